"""Steps for maintenance waves that change, or last long."""

import asyncio
import itertools

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import run_state
from stage import job_world
from stage import scheduler_harness
from stage import virtual_time

POOL = 'web'
OTHER_POOL = 'ci'
LASTING = 'lasting'
LONG_S = 16.0
SHORT_S = 2.5
SHORT_EVERY_S = 1.0
WATCH_S = 60.0
CHECK_S = 0.1


@given('a pool of {hosts:d} hosts beside another, with seed {seed:d}')
def start_pools(context, hosts, seed):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs = {}

    async def start():
        context.world = job_world.World(
            seed, hosts_per_pool=hosts, has_standby=False
        )
        await context.world.start()
        await asyncio.sleep(3.0)

    context.add_cleanup(_stop, context)
    context.runner.run(start())
    context.hosts = [h for h in context.world.hosts.entries if POOL in h]


def _stop(context):
    context.runner.run(context.world.stop())
    context.runner.close()


async def _submit(context, job_id, spec, pool=POOL):
    world = context.world
    for attempt in range(50):
        daemon = world.daemons[attempt % len(world.daemons)]
        refusal = await world.submit(daemon, pool, job_id, spec)
        if refusal is None:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(refusal)


def _one_per_host(context, count, estimate_s, **options):
    return job_world.one_step(
        count, estimate_s=estimate_s, max_per_executor=1, **options
    )


def _keep_at_work(context, pools):
    """Submit short tasks to each host of some pools."""

    async def submit():
        for number in itertools.count():
            for pool in pools:
                job_id = f'short-{pool}{number}'
                context.world.durations_s[job_id] = SHORT_S
                spec = _one_per_host(context, len(context.hosts), SHORT_S)
                await context.world.submit(
                    context.world.daemons[0], pool, job_id, spec
                )
            await asyncio.sleep(SHORT_EVERY_S)

    async def begin():
        context.load = asyncio.create_task(submit())

    context.runner.run(begin())


@when(
    'each host runs a task of {seconds:d} s, and a wave over the pool takes '
    '{most:d} at once within {limit_s:d} s'
)
def begin_wave_beside_long(context, seconds, most, limit_s):
    world = context.world
    _keep_at_work(context, [OTHER_POOL])
    world.durations_s['long'] = seconds
    spec = _one_per_host(context, len(context.hosts), seconds)

    async def begin():
        await _submit(context, 'long', spec)
        await asyncio.sleep(1.0)
        world.add_wave(1, context.hosts, limit_s, most)

    context.runner.run(begin())
    context.wave = limit_s, most


def _rename(context, hosts):
    context.is_owner_killed = False
    context.hosts_left = hosts
    context.world.add_wave(1, hosts, *context.wave)


@when('the wave names a host of another pool')
def name_other(context):
    _rename(context, [f'{OTHER_POOL}-h0'])


@when('the wave names no host')
def name_none(context):
    _rename(context, [])


@when('the wave names a host, and the owner dies')
def name_one_and_kill(context):
    _rename(context, context.hosts[:1])
    context.is_owner_killed = True
    context.runner.run(context.world.owner.kill())


@when('a job of {count:d} lasting tasks arrives')
def submit_lasting(context, count):
    spec = _one_per_host(
        context, count, 1.0, is_lasting=True, max_unavailable=1
    )
    context.count = count
    context.runner.run(_submit(context, LASTING, spec))


@then('{count:d} of its tasks run')
def check_running(context, count):
    running = context.world.running(LASTING)
    assert len(running) == count, (running, context.world.log[-40:])


@then('hosts are logged as not emptied unless the owner died')
def check_logged(context):
    drained, released = (
        {
            fields['host']
            for _, _, kind, fields in context.world.log
            if kind == k
        }
        for k in ('host_emptying', 'host_not_emptied')
    )
    assert drained
    if not context.is_owner_killed:
        unneeded = drained - set(context.hosts_left)
        assert released == unneeded, (released, unneeded)


@then('no host outside the wave was maintained')
def check_maintained(context):
    maintained = context.world.hosts.maintained
    assert maintained <= set(context.hosts_left), maintained


@when(
    'a job of {count:d} lasting tasks arrives, and short tasks keep all hosts '
    'at work'
)
def submit_beside_short(context, count):
    _keep_at_work(context, [POOL, OTHER_POOL])
    submit_lasting(context, count)
    context.runner.run(asyncio.sleep(6.0))
    assert len(context.world.running(LASTING)) == count


@when('a wave over the pool takes {most:d} at once within {limit_s:d} s')
def begin_wave(context, most, limit_s):
    context.world.add_wave(1, context.hosts, limit_s, most)


@when(
    'one of these tasks fails after {first_s:d} s, and one after '
    '{second_s:d} s'
)
def fail_two(context, first_s, second_s):
    context.longest_away_s = {}

    async def play():
        watch = asyncio.create_task(_watch(context))
        await asyncio.sleep(first_s)
        _fail_one(context)
        await asyncio.sleep(second_s - first_s)
        _fail_one(context)
        await watch

    context.runner.run(play())


def _fail_one(context):
    """Let the long-running task fail that runs for the longest time."""
    began = [
        (run.began_s, executor, run)
        for executor in context.world.executors.values()
        for run in executor.runs.values()
        if run.task_id.job_id == LASTING
    ]
    _, executor, run = min(began, key=lambda row: row[0])
    executor._end(run, run_state.EndCause.FAILED)


async def _watch(context):
    """Note how long lasting tasks are away, beside room for two of them."""
    world, away_s = context.world, {}
    end_s = world.now_s() + WATCH_S
    while world.now_s() < end_s:
        await asyncio.sleep(CHECK_S)
        running = world.running(LASTING)
        taken = set(itertools.chain(*running.values()))
        free = sum(
            executor.entry.pool == POOL
            and not executor.is_gone
            and name not in taken
            for name, executor in world.executors.items()
        )
        indexes = {task_id.index for task_id in running}
        for index in range(context.count):
            if index in indexes or free < 2:
                away_s.pop(index, None)
                continue
            begun_s = away_s.setdefault(index, world.now_s())
            longest_s = context.longest_away_s.get(index, 0.0)
            context.longest_away_s[index] = max(
                longest_s, world.now_s() - begun_s
            )


@then('neither was away for more than {limit_s:d} s, while others had room')
def check_away(context, limit_s):
    longest_s = context.longest_away_s
    assert max(longest_s.values(), default=0.0) <= limit_s, longest_s


@given('executors "{names}", of which "{due}" are due for maintenance')
def make_due(context, names, due):
    context.harness = harness = scheduler_harness.Harness()
    for name in names.split(', '):
        harness.add_executor(name)
    for name in due.split(', '):
        harness.scheduler.executors[name].set_due(True)


@when('{count:d} lasting tasks start, one on each executor at most')
def start_lasting(context, count):
    spec = scheduler_harness.steps(count, is_lasting=True, max_per_executor=1)
    context.harness.add_job(LASTING, spec)
    context.runs = context.harness.start_all()


@then('one runs on "{name}", and the other one on a host that is due')
def check_places(context, name):
    chosen = [run.executor_id for run in context.runs]
    assert len(chosen) == 2 and name in chosen, chosen


@then('neither can be displaced to a host that is due')
def check_not_displaced(context):
    harness = context.harness
    for run in context.runs:
        assert not harness.scheduler.can_run_elsewhere(run, harness.now_s)
