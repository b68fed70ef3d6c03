"""Steps for keys and quotas of workspaces."""

import asyncio
import itertools
import json
import re
import types
from unittest import mock

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import key_check
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import quotas
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import specs
from hawthorndeal_jobs import workspaces
from hawthorndeal_scheduler import callers_app
from hawthorndeal_site import configuration
from stage import fault_search
from stage import job_world
from stage import scheduler_harness
from stage import virtual_time

REVOCATION_S = 5.0
PRAGUE_KEY = 'prague-secret'
BRNO_KEY = 'brno-secret'
KEYS = {'vltava': PRAGUE_KEY, 'brno': BRNO_KEY}
CORE = 1000
SPEC = job_world.chain(2, 1)


def _workspace(name, *keys, weight=0.0, cores=0.0):
    digests = tuple(map(workspaces.key_digest, keys))
    quota = specs.Resources(int(cores * CORE))
    return workspaces.Workspace(name, digests, weight, quota)


# Decisions


@given('workspace "{name}" with the key "{key}"')
def declare_workspace(context, name, key):
    context.configuration = queues.Configuration(
        1, {}, {}, workspaces={name: _workspace(name, key)}
    )


@when(
    'the key "{key}" is checked {age_s} seconds after the configuration was '
    'confirmed'
)
def check_key(context, key, age_s):
    context.checked = key_check.check(
        context.configuration,
        workspaces.key_digest(key),
        float(age_s),
        REVOCATION_S,
    )


@when(
    'the key "" is checked {age_s} seconds after the configuration was '
    'confirmed'
)
def check_no_key(context, age_s):
    check_key(context, '', age_s)


@then('the key is {verdict}')
def check_verdict(context, verdict):
    assert context.checked.verdict.value == verdict, context.checked
    assert bool(context.checked.workspace) == (verdict == 'valid')


@when('workspaces are declared: {declared}')
def declare_workspaces(context, declared):
    parsed = []
    for part in declared.split(','):
        name, key, weight, cores = (part.strip().split(':') + [''] * 3)[:4]
        parsed.append(
            _workspace(
                name, key, weight=float(weight or 0), cores=float(cores or 0)
            )
        )
    context.problem = workspaces.validation_error(parsed)


@then('they are invalid because of "{problem}"')
def check_problem(context, problem):
    assert problem in context.problem, context.problem


@when('a step of {step} is checked against a quota of {cores:d} cores')
def check_step(context, step, cores):
    numbers = list(map(int, re.findall('[0-9]+', step)))
    request = specs.Resources(numbers[1] * CORE)
    spec = specs.StepSpec(numbers[0], request, is_gang='gang' in step)
    context.problem = quotas.never_fits(
        specs.Resources(cores * CORE), specs.JobSpec('', (spec,))
    )


@then('the step {fits}')
def check_fits(context, fits):
    assert bool(context.problem) == (fits == 'never fits'), context.problem


# Daemons


@given(
    'simulated daemons with seed {seed:d}, and queue "{queue}" for workspaces '
    '"{one}" and "{other}"'
)
def start_with_workspaces(context, seed, queue, one, other):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.queue = queue
    context.declared = {n: _workspace(n, KEYS[n]) for n in (one, other)}

    async def start():
        context.world = job_world.World(seed)
        _configure(context)
        await context.world.start()

    context.add_cleanup(_stop, context)
    context.runner.run(start())


def _configure(context):
    queue = queues.Queue(
        context.queue,
        context.queue,
        f'{context.queue}.example',
        '/jobs/',
        is_public=False,
    )
    context.world.configure(
        context.declared.values(), **{context.queue: queue}
    )


def _stop(context):
    context.runner.run(context.world.stop())
    context.runner.close()


def _submit(context, key, job_id, daemon):
    context.world.keys[context.queue] = key
    context.refusal = context.runner.run(
        context.world.submit(daemon, context.queue, job_id, SPEC)
    )


@when('"{name}" submits job "{job_id}" to daemon {n:d}')
def submit_job(context, name, job_id, n):
    _submit(context, KEYS[name], job_id, context.world.daemons[n])


@when('a caller without a key submits job "{job_id}" to daemon {n:d}')
def submit_without_key(context, job_id, n):
    _submit(context, None, job_id, context.world.daemons[n])


def _state(context, key, daemon, job_id):
    context.world.keys[context.queue] = key
    try:
        return context.runner.run(
            context.world.state(daemon, context.queue, job_id)
        )
    except errors.RequestFailed as failure:
        return failure.reason


@then('"{name}" sees job "{job_id}" as {state} at every daemon')
def check_seen(context, name, job_id, state):
    for daemon in context.world.daemons:
        found = _state(context, KEYS[name], daemon, job_id)
        assert found == state, (daemon.name, found)


@then(
    'the caller with the key of "{name}" sees job "{job_id}" as {state} at '
    'every daemon'
)
def check_seen_with_key(context, name, job_id, state):
    check_seen(context, name, job_id, state)


@then('"{name}" is told {reason} about job "{job_id}" by daemon {n:d}')
def check_told(context, name, reason, job_id, n):
    daemon = context.world.daemons[n]
    found = _state(context, KEYS[name], daemon, job_id)
    assert found == reason, found


@then('"{name}" can\'t cancel job "{job_id}"')
def check_not_cancelled(context, name, job_id):
    world = context.world
    world.keys[context.queue] = KEYS[name]
    exists = context.runner.run(
        world.cancel(world.daemons[0], context.queue, job_id)
    )
    assert not exists


@when('a request {action} by HTTP, with the key of "{name}"')
def send_request(context, action, name):
    world = context.world
    if 'withdrawal' in action:
        withdraw_keys(context, name)
    if 'unreadable configuration' in action:
        # The adapter's own decoder meets what an operator wrote.
        plain = [{'tenants': [{'name': name, 'api-keys': [KEYS[name]]}]}]
        world.formats.decode_configuration = configuration.decode_configuration
        world.store.append(
            job_world.OPERATORS,
            [journal.Record('config', json.dumps(plain).encode())],
        )
    context.runner.run(asyncio.sleep(0.5))
    body = world.spec_body(SPEC)
    request = types.SimpleNamespace(
        method='DELETE' if 'cancels' in action else 'POST',
        path='/jobs/a',
        headers={'host': 'web.example', 'key': KEYS[name]},
        body=b'{' if 'no job' in action else body,
    )
    world.specs['a'] = SPEC
    daemon = world.daemons[1]
    context.answer = context.runner.run(
        callers_app.answer_request(
            request, daemon.handler, daemon.interface.key_header
        )
    )
    context.metrics_text = daemon.parts.metrics.exposition().decode()


@then('it is answered with {status:d}, and the log has {event}')
def check_answered(context, status, event):
    assert context.answer.status == status, context.answer
    kinds = {kind for _, _, kind, _ in context.world.log}
    assert event in kinds, kinds


@then('no log line, metric or answer holds a key')
def check_no_key_shown(context):
    answer = context.answer.body.decode()
    texts = context.world.event_log_text(), context.metrics_text, answer
    for text, key in itertools.product(texts, KEYS.values()):
        assert key not in text, text


@when('daemon {n:d} is cut off from the store')
def cut_off(context, n):
    context.world.daemons[n].parts.log.is_cut = True


@when('the keys of "{name}" are withdrawn')
def withdraw_keys(context, name):
    context.older = context.world.configuration
    context.declared[name] = _workspace(name)
    _configure(context)


@when(
    'the keys of "{name}" are withdrawn and added {times:d} times, '
    '{period_s:g} seconds apart'
)
def withdraw_and_add(context, name, times, period_s):
    for _ in range(times):
        withdraw_keys(context, name)
        context.runner.run(asyncio.sleep(period_s))
        context.declared[name] = _workspace(name, KEYS[name])
        _configure(context)
        context.runner.run(asyncio.sleep(period_s))


@when('the key of "{name}" moves to "{other}"')
def move_key(context, name, other):
    context.declared[name] = _workspace(name)
    context.declared[other] = _workspace(other, KEYS[name], KEYS[other])
    _configure(context)


@when(
    'daemon {n:d} is suspended for {seconds:g} seconds between the check of a '
    'submission by "{name}" and its append'
)
def suspend_before_append(context, n, seconds, name):
    daemon = context.world.daemons[n]

    def suspend():
        daemon.parts.clock.suspended_s += seconds

    _submit_interrupted(context, daemon, KEYS[name], suspend)


@when(
    'daemon {n:d} reads that the keys of "{name}" are withdrawn between the '
    'check of a submission and its append'
)
def withdraw_before_append(context, n, name):
    daemon = context.world.daemons[n]

    def withdraw():
        withdraw_keys(context, name)
        daemon.parts.configuration_reader.configuration = (
            context.world.configuration
        )

    _submit_interrupted(context, daemon, KEYS[name], withdraw)


def _submit_interrupted(context, daemon, key, interrupt):
    """Submit a job, and let something happen after its first check."""
    original = daemon.parts.submitter.append

    async def append(*arguments):
        interrupt()
        return await original(*arguments)

    with mock.patch.object(daemon.parts.submitter, 'append', append):
        _submit(context, key, 'bad', daemon)


@when('daemon {n:d} restarts')
def restart_daemon(context, n):
    context.runner.run(context.world.daemons[n].restart())


@when('the older configuration is written again')
def write_older(context):
    world = context.world
    world._write(job_world.OPERATORS, 'config', context.older)


@when('the configuration is deleted')
def delete_configuration(context):
    context.world.store.append(job_world.OPERATORS, [journal.Record('config')])


@when("the operators' history is dropped, and daemon {n:d} restarts")
def drop_history(context, n):
    context.world.store.compact(job_world.OPERATORS)
    restart_daemon(context, n)


@when('daemon {n:d} restarts without reaching the store')
def restart_cut_off(context, n):
    daemon = context.world.daemons[n]

    async def restart():
        await daemon.kill()
        daemon._build_parts()
        daemon.parts.log.is_cut = True
        daemon.start()

    context.runner.run(restart())


@then('daemon {n:d} isn\'t ready, and refuses "{name}" as {reason}')
def check_not_ready(context, n, name, reason):
    daemon = context.world.daemons[n]
    # It may know an old configuration, as after a load that didn't end.
    reader = daemon.parts.configuration_reader
    reader.configuration = context.world.configuration
    assert not daemon.interface.is_ready
    _submit(context, KEYS[name], 'early', daemon)
    assert context.refusal == reason, context.refusal


@then('job "{job_id}" is stored as {state}')
def check_stored(context, job_id, state):
    assert context.world.stored_status(job_id).state.value == state


# A scheduler alone


@given(
    'a scheduler with workspaces "{one}" of {cores:g} cores and "{other}" '
    'without a limit'
)
def make_scheduler(context, one, cores, other):
    context.harness = harness = scheduler_harness.Harness()
    context.limits = {one: cores, other: 0.0}
    context.running = []
    context.job_count = 0
    _apply_limits(context)
    for name in 'abcd':
        harness.add_executor(name)
        harness.poll(name)


def _apply_limits(context):
    declared = {
        name: _workspace(name, cores=cores)
        for name, cores in context.limits.items()
    }
    context.harness.scheduler.set_configuration(
        attrs.evolve(scheduler_harness.CONFIGURATION, workspaces=declared)
    )


def _add_job(context, workspace, count, cores, estimate_s=1.0, **options):
    harness = context.harness
    context.job_count += 1
    step = specs.StepSpec(
        count, specs.Resources(int(cores * CORE), 1), estimate_s, **options
    )
    job = jobs.Job(
        f'{workspace}{context.job_count}',
        scheduler_harness.POOL,
        scheduler_harness.POOL,
        harness.now_s,
        specs.JobSpec('payload', (step,)),
        workspace,
    )
    job.occurrence(0)
    harness.replica.jobs[job.job_id] = job
    harness.scheduler.add_job(job, harness.now_s, harness.now_s)
    return job


@when('"{name}" submits {count:d} tasks of {cores:g} core')
def submit_tasks(context, name, count, cores):
    context.job = _add_job(context, name, count, cores)


@when('"{name}" submits {count:d} urgent task of {cores:g} cores')
def submit_urgent_tasks(context, name, count, cores):
    _add_job(context, name, count, cores, estimate_s=0.1)


@when('"{name}" submits {count:d} jobs of {tasks:d} tasks of {cores:g} core')
def submit_jobs(context, name, count, tasks, cores):
    for _ in range(count):
        _add_job(context, name, tasks, cores)


@then('{count:d} tasks of "{one}" start, and {others:d} of "{other}"')
@then('{count:d} task of "{one}" starts, and {others:d} of "{other}"')
def check_starts(context, count, one, others, other):
    starts = context.harness.start_all()
    context.running += starts
    found = [
        sum(run.workspace == name for run in starts) for name in (one, other)
    ]
    assert found == [count, others], found


@when('all that may start has started')
def start_all(context):
    context.running += context.harness.start_all()


def _end(context, runs, cause):
    for run in runs:
        context.running.remove(run)
        executor = context.harness.scheduler.executors[run.executor_id]
        context.harness.scheduler._endings.finish(
            executor,
            run_tracking.FinishedRun(run, cause),
            context.harness.now_s,
        )


@when('a task of "{name}" ends')
@when('{count:d} tasks of "{name}" end')
@when('{count:d} task of "{name}" ends')
def end_tasks(context, name, count=1):
    runs = [run for run in context.running if run.workspace == name]
    _end(context, runs[:count], run_state.EndCause.DONE)


@when(
    'the job of "{name}" is cancelled, and another of {count:d} tasks arrives'
)
def cancel_job(context, name, count):
    context.job.is_cancelled = True
    context.harness.scheduler.cancel_job(context.job)
    _add_job(context, name, count, 1.0)


@when('the cancelled runs have ended')
def end_cancelled(context):
    _end(context, list(context.running), run_state.EndCause.STOPPED)


@given(
    'a predecessor that started {count:d} tasks of "{name}" on an executor '
    'out of reach'
)
def inherit_runs(context, count, name):
    job = _add_job(context, name, count, 1.0)
    context.harness.scheduler.steps.remove_job(job)
    context.harness.assign_all_tasks(job.job_id, 'gone')


@when('the quota of "{name}" becomes {cores:g} cores')
def change_quota(context, name, cores):
    context.limits[name] = cores
    _apply_limits(context)


@then('{count:d} tasks of "{name}" start, and nothing is stopped')
def check_nothing_stopped(context, count, name):
    planned = context.harness.plan()
    assert len(planned.starts) == count, planned
    assert not planned.stops, planned


@then('a scheduling cycle ranks {count:d} step')
def check_ranked(context, count):
    scheduler = context.harness.scheduler
    with mock.patch.object(
        scheduler.steps, 'rank', wraps=scheduler.steps.rank
    ) as rank:
        context.harness.plan()
    ranked = {call.args[0].key for call in rank.call_args_list}
    assert len(ranked) == count, len(ranked)


@when(
    'simulations with random faults and quotas of seeds {first:d} to {last:d} '
    'run'
)
def run_searches(context, first, last):
    context.verdicts = [
        fault_search.run_with_faults(seed, quota=specs.Resources(20 * CORE))
        for seed in range(first, last + 1)
    ]
