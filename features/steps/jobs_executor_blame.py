"""Steps for what failures and slow progress say of executors."""

import asyncio
import math

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import run_state
from stage import job_world
from stage import scheduler_harness
from stage import virtual_time

POOL = 'web'
SOUND_JOBS = 20
SOUND_GAP_S = 0.5
SOUND_S = 0.3
HOPELESS_S = 0.05
HOPELESS_CORES = 2.7
# Jobs that arrive before the first hopeless one.
SOUND_BEFORE = 4
GREY_S = 6.5
GREY_GAP_S = 0.25
ODD_ESTIMATE_S = 0.2
CHECK_S = 0.05
# Of the rule LOST.
STANDING_S = 3.0
END_S = 30.0

_Cause = run_state.EndCause


@given('a pool of {hosts:d} hosts, with seed {seed:d}')
def start_pool(context, hosts, seed):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)

    async def start():
        context.world = job_world.World(
            seed, hosts_per_pool=hosts, pools=(POOL,), has_standby=False
        )
        await context.world.start()
        await asyncio.sleep(3.0)

    context.add_cleanup(_stop, context)
    context.runner.run(start())
    context.hosts, context.sound, context.hopeless = hosts, {}, []
    context.standing, context.most_suspended = {}, 0
    context.failed_runs = 0
    _count_failures(context)


def _stop(context):
    context.runner.run(context.world.stop())
    context.runner.close()


def _count_failures(context):
    record_end = context.world.record_end

    def count(executor, run, cause):
        context.failed_runs += cause is _Cause.FAILED
        record_end(executor, run, cause)

    context.world.record_end = count


async def _submit(context, job_id, spec):
    world = context.world
    daemon = world.daemons[len(world.specs) % len(world.daemons)]
    refusal = await world.submit(daemon, POOL, job_id, spec)
    assert refusal is None, refusal


async def _submit_sound(context, count, tasks, gap_s):
    for number in range(count):
        job_id = f'sound{number}'
        context.world.durations_s[job_id] = SOUND_S
        spec = job_world.one_step(tasks, estimate_s=SOUND_S)
        await _submit(context, job_id, spec)
        context.sound[job_id] = context.world.now_s()
        await asyncio.sleep(gap_s)


async def _submit_hopeless(context, count, steps, tasks, gap_s):
    world = context.world
    for number in range(count):
        job_id = f'hopeless{number}'
        world.failing.add(job_id)
        world.durations_s[job_id] = HOPELESS_S
        context.hopeless.append(job_id)
        step = job_world.one_step(
            tasks, estimate_s=SOUND_S, cores=HOPELESS_CORES
        )
        await _submit(
            context,
            job_id,
            job_world.attrs.evolve(step, steps=step.steps * steps),
        )
        await asyncio.sleep(gap_s)


def _is_completed(context, job_id):
    status = context.world.stored_status(job_id)
    return status is not None and status.state is jobs.JobState.COMPLETED


async def _watch(context):
    """Note how long sound jobs stand, and how many hosts are suspended."""
    since_s = {}
    while True:
        await asyncio.sleep(CHECK_S)
        now_s = context.world.now_s()
        owner = context.world.owner
        if owner is not None:
            executors = owner.candidate.owner.scheduler.executors
            suspended = sum(
                executor.incarnation.suspended_until_s > now_s
                for executor in executors.values()
            )
            context.most_suspended = max(context.most_suspended, suspended)
        for job_id in context.sound:
            is_idle = not context.world.running(job_id)
            if not is_idle or _is_completed(context, job_id):
                since_s.pop(job_id, None)
                continue
            waited_s = now_s - since_s.setdefault(job_id, now_s)
            if waited_s >= STANDING_S:
                context.standing[job_id] = round(waited_s, 2)


def _play(context, *arrivals):
    async def play():
        watch = asyncio.create_task(_watch(context))
        await asyncio.gather(*arrivals)
        await asyncio.sleep(END_S)
        watch.cancel()

    context.runner.run(play())


@when(
    'sound jobs arrive steadily, and {count:d} jobs of {steps:d} x {tasks:d} '
    'tasks that fail at once, {gap_s:g} s apart'
)
def play_hopeless(context, count, steps, tasks, gap_s):
    async def submit_hopeless():
        await asyncio.sleep(SOUND_BEFORE * SOUND_GAP_S + 0.1)
        await _submit_hopeless(context, count, steps, tasks, gap_s)

    _play(
        context,
        _submit_sound(context, SOUND_JOBS, 4, SOUND_GAP_S),
        submit_hopeless(),
    )


@when(
    '{count:d} executors fail all that they start for {seconds:g} s, and '
    '{number:d} jobs of {tasks:d} tasks arrive'
)
def play_grey(context, count, seconds, number, tasks):
    play_grey_beside(context, count, seconds, number, tasks, 0)


@when(
    '{count:d} executors fail all that they start for {seconds:g} s, and '
    '{number:d} jobs of {tasks:d} tasks arrive, {hopeless:d} of them hopeless'
)
def play_grey_beside(context, count, seconds, number, tasks, hopeless):
    world = context.world
    grey = []
    check_start = world.check_start

    def begin(executor, run):
        # The executors that get the first starts.
        if len(grey) < count and executor not in grey:
            grey.append(executor)
            executor.fails_all = True
            world._call_later(seconds, setattr, executor, 'fails_all', False)
        if executor.fails_all:
            run.cause = _Cause.FAILED
            run.ends_s = world.now_s() + HOPELESS_S
        check_start(executor, run)

    world.check_start = begin
    _play(
        context,
        _submit_sound(context, number - hopeless, tasks, GREY_GAP_S),
        _submit_hopeless(context, hopeless, 1, tasks, 1.0),
    )


@when(
    'sound jobs arrive steadily, and a job of {tasks:d} tasks that takes '
    '{factor:d} times as long as it declares'
)
def play_odd(context, tasks, factor):
    async def submit_odd():
        await asyncio.sleep(SOUND_BEFORE * SOUND_GAP_S + 0.1)
        await _submit_odd(context, tasks, factor)

    _play(
        context,
        _submit_sound(context, SOUND_JOBS, 4, SOUND_GAP_S),
        submit_odd(),
    )


async def _submit_odd(context, tasks, factor):
    context.world.durations_s['odd'] = factor * ODD_ESTIMATE_S
    spec = job_world.one_step(tasks, estimate_s=ODD_ESTIMATE_S)
    await _submit(context, 'odd', spec)


@when(
    'a job of {tasks:d} tasks arrives that takes {factor:d} times as long as '
    'it declares'
)
def play_odd_alone(context, tasks, factor):
    context.runner.run(_submit_odd(context, tasks, factor))


@then('it is completed within {limit_s:d} s')
def check_odd(context, limit_s):
    context.runner.run(asyncio.sleep(limit_s))
    assert _is_completed(context, 'odd'), context.world.running('odd')


@then('each sound job is completed, and none had nothing running for 3 s')
def check_sound(context):
    left = [i for i in context.sound if not _is_completed(context, i)]
    assert not left, left
    assert not context.standing, context.standing
    assert not context.world.violations, context.world.violations


@then('at most a quarter of the hosts, or one, was suspended at a time')
def check_suspended(context):
    most = min(context.hosts - 1, max(1, context.hosts // 4))
    assert context.most_suspended <= most, context.most_suspended


@then('each hopeless job has failed')
def check_hopeless(context):
    states = {
        job_id: context.world.stored_status(job_id).state
        for job_id in context.hopeless
    }
    assert set(states.values()) == {jobs.JobState.FAILED}, states


@then('at most {count:d} runs have failed')
def check_failed_runs(context, count):
    assert context.failed_runs <= count, context.failed_runs


@then('each suspension is logged with the runs of each job that failed there')
def check_log(context):
    log = context.world.log
    found = [
        fields for _, _, kind, fields in log if kind == 'executor_suspended'
    ]
    assert found
    for fields in found:
        assert fields['cause'] == 'failures', fields
        assert sum(fields['failed_runs'].values()) >= 2, fields
        assert fields['for_s'] > 0, fields


@then('each executor that was suspended is cleared within {limit_s:g} s')
def check_cleared(context, limit_s):
    changes = {kind: {} for kind in ('executor_suspended', 'executor_cleared')}
    for time_s, _, kind, fields in context.world.log:
        if kind in changes:
            changes[kind][fields['executor']] = time_s
    suspended_s, cleared_s = changes.values()
    assert suspended_s
    assert all(
        0 <= cleared_s.get(name, math.inf) - begun_s <= limit_s
        for name, begun_s in suspended_s.items()
    ), changes


@given('executors "{names}", of which "{failing}" have failed a run each')
def make_executors(context, names, failing, is_cancelled=False):
    context.harness = harness = scheduler_harness.Harness()
    for name in names.split(', '):
        harness.add_executor(name)
    context.ends = {}
    started = {}
    # Each fills an executor, in the order in which they are known.
    for number, name in enumerate(failing.split(', ')):
        harness.add_job(f'before{number}', scheduler_harness.steps(4))
        started[name] = harness.start_all()
        assert {run.executor_id for run in started[name]} == {name}
    for name, runs in started.items():
        if is_cancelled:
            harness.scheduler.cancel_job(runs[0].occurrence.job)
        _end(context, name, runs)
        harness.scheduler.cancel_job(runs[0].occurrence.job)


@given(
    'executors "{names}", of which "{failing}" have failed a run of a '
    'cancelled job each'
)
def make_after_cancellation(context, names, failing):
    make_executors(context, names, failing, is_cancelled=True)


@then('no failure is held against "{one}" or "{other}"')
def check_no_failure(context, one, other):
    executors = context.harness.scheduler.executors
    for name in (one, other):
        assert not executors[name].incarnation.failed_runs


def _end(context, name, runs):
    ends = context.ends.setdefault(name, [])
    first, *others = runs
    for run, cause in [
        (first, _Cause.FAILED),
        *((run, _Cause.STOPPED) for run in others),
    ]:
        ends.append(
            run_state.ReportedEnd(
                len(ends) + 1, run.task_id, run.number, cause, ''
            )
        )
    context.harness.poll(name, (), ends)


@when('{kind} of which a run has failed on "{name}" is started again')
def start_again(context, kind, name):
    context.gang = kind.startswith('a gang')
    spec = scheduler_harness.steps(1)
    if context.gang:
        spec = scheduler_harness.steps(2, is_gang=True, max_per_executor=1)
    job = context.harness.add_job('again', spec)
    for task in job.occurrences[0].tasks[0]:
        task.run, task.executor, task.failed_runs = 1, name, (1,)
    context.runs = context.harness.start_all()


@then('it starts on "{one}" or "{other}"')
def check_started(context, one, other):
    chosen = {run.executor_id for run in context.runs}
    assert chosen and chosen <= {one, other}, chosen
