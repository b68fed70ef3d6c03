"""Steps for executors that take no new runs for a while."""

import types

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import capacity
from hawthorndeal_scheduler import consolidator
from hawthorndeal_scheduler import host_inventory
from stage import scheduler_harness

EXCLUSIONS = ('suspended', 'held for a suspect')
LASTING = {'is_lasting': True, 'max_unavailable': 1}


@given('a scheduler without executors')
def make_scheduler(context):
    context.harness = scheduler_harness.Harness()


@when('"{executor_id}" is added, on which a predecessor has started a task')
def add_with_inherited(context, executor_id):
    harness = context.harness
    harness.register_executor(executor_id)
    harness.inherit_job('inherited', scheduler_harness.steps(1), executor_id)


@when('"{executor_id}" answers a poll that lists its runs')
def poll_with_runs(context, executor_id):
    context.harness.poll_runs(executor_id)


def _owner_of(harness):
    return types.SimpleNamespace(
        scheduler=harness.scheduler,
        now_s=lambda: harness.now_s,
        events=types.SimpleNamespace(write=lambda kind, **fields: None),
        wake=lambda: None,
    )


@when('"{executor_id}" is {exclusion} for {seconds:g} s')
def exclude(context, executor_id, exclusion, seconds):
    harness = context.harness
    # Nothing is left that would have the pool planned.
    harness.plan()
    executor = harness.scheduler.executors[executor_id]
    assert exclusion in EXCLUSIONS, exclusion
    until_s = harness.now_s + seconds
    if exclusion == 'suspended':
        executor.incarnation.suspended_until_s = until_s
    else:
        executor.held_until_s = until_s


@then('nothing starts for {seconds:g} s')
def check_nothing_starts(context, seconds):
    harness = context.harness
    end_s = harness.now_s + seconds
    while harness.now_s < end_s:
        assert not harness.start_all()


@then('nothing starts for {seconds:g} s, and no pool is planned meanwhile')
def check_nothing_planned(context, seconds):
    scheduler = context.harness.scheduler
    assert not context.harness.start_all()
    end_s = context.harness.now_s + seconds
    while context.harness.now_s < end_s:
        assert not scheduler.steps.pools_to_schedule
        assert not context.harness.start_all()


@then('"{job_id}" starts within {limit_s:g} s')
def check_starts(context, job_id, limit_s):
    harness = context.harness
    end_s = harness.now_s + limit_s
    started = []
    while not started and harness.now_s < end_s:
        started = [run.task_id.job_id for run in harness.start_all()]
    assert started == [job_id], started


@when('the host of "{executor_id}" is reserved for an order')
def reserve_host(context, executor_id):
    harness = context.harness
    harness.register_executor(executor_id, host=executor_id)
    harness.plan()
    context.inventory = host_inventory.HostInventory(None, _owner_of(harness))
    context.inventory.reserve(executor_id)


@when('the host of "{executor_id}" is reserved no longer')
def unreserve_host(context, executor_id):
    context.inventory.unreserve(executor_id)


def _start_alone_on(harness, executor, job_id, spec):
    """Start a job on one executor, while all others are excluded."""
    known = harness.scheduler.executors.values()
    for other in known:
        other.is_reserved = other is not executor
    harness.add_job(job_id, spec)
    assert {run.executor_id for run in harness.start_all()} == {
        executor.executor_id
    }
    for other in known:
        other.is_reserved = False


@when(
    'each runs a long-running task, and the host of "{executor_id}" is being '
    'emptied'
)
def begin_emptying(context, executor_id):
    harness = context.harness
    known = harness.scheduler.executors
    for name, executor in known.items():
        spec = scheduler_harness.steps(1, **LASTING)
        _start_alone_on(harness, executor, f'on-{name}', spec)
    context.consolidator = consolidator.Consolidator(_owner_of(harness))
    context.consolidator.update(
        [capacity.PoolLoad(scheduler_harness.POOL, hosts=len(known))]
    )
    assert known[executor_id].is_closed_to_lasting


@when(
    '"{executor_id}" is full, and a job "{job_id}" of 1 long-running task is '
    'added'
)
def fill_executor(context, executor_id, job_id):
    harness = context.harness
    executor = harness.scheduler.executors[executor_id]
    _start_alone_on(harness, executor, 'fill', scheduler_harness.steps(3))
    harness.plan()
    harness.add_job(job_id, scheduler_harness.steps(1, **LASTING))


@when('the pool needs all its hosts again')
def need_all_hosts(context):
    hosts = len(context.harness.scheduler.executors)
    context.consolidator.update(
        [
            capacity.PoolLoad(
                scheduler_harness.POOL, hosts=hosts, lasting_hosts=hosts
            )
        ]
    )
