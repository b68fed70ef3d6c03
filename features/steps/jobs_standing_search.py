"""Steps for the search for jobs that stand beside room."""

import asyncio

from behave import given
from behave import step
from behave import then
from behave import when

from stage import job_world
from stage import standing_search
from stage import world_beside_room

POOL = 'web'
# On each host, more than half is in use, and there is room for more tasks.
LARGE_CORES = 9.0


@given('a judge of work beside room')
def add_judge(context):
    context.accepted = set()
    context.judge = world_beside_room.WorldBesideRoom(
        context.world, context.accepted
    )


def _accept(context, job_id, spec):
    world = context.world
    refusal = context.runner.run(
        world.submit(world.daemons[0], POOL, job_id, spec)
    )
    assert refusal is None, refusal
    context.accepted.add(job_id)


@given('the owner starts nothing')
def halt_starts(context):
    gate = context.world.owner.candidate.owner._gate
    context.may_start = gate.may_start
    gate.may_start = lambda now_s: False


@when('{work} is accepted in a pool that is {use}')
def accept_work(context, work, use):
    if use != 'idle':
        _fill(context)
    if work == 'a job':
        _accept(context, 'a', job_world.chain(2, 1))
        return
    assert work == 'a long-running job', work
    _accept(context, 'a', job_world.one_step(2, is_lasting=True))


def _fill(context):
    """Let other tasks use more than half of the pool."""
    gate = context.world.owner.candidate.owner._gate
    halted, gate.may_start = gate.may_start, context.may_start
    spec = job_world.one_step(
        4, cores=LARGE_CORES, is_lasting=True, max_per_executor=1
    )
    _accept(context, 'large', spec)
    context.runner.run(asyncio.sleep(2.0))
    assert len(context.world.running('large')) == 4
    gate.may_start = halted


@step('{seconds:g} seconds pass under the judge')
def watch(context, seconds):
    async def look():
        end_s = context.world.now_s() + seconds
        while context.world.now_s() < end_s:
            context.judge.look()
            await asyncio.sleep(world_beside_room.PERIOD_S)

    context.runner.run(look())


@then('the judge has found nothing')
def check_nothing_found(context):
    assert not context.judge.findings, context.judge.findings


@then('the judge has found {count:d} job')
def check_job_found(context, count):
    _check_found(context, count, is_lasting=False)


@then('the judge has found {count:d} long-running tasks')
def check_tasks_found(context, count):
    _check_found(context, count, is_lasting=True)


def _check_found(context, count, is_lasting):
    found = context.judge.findings
    assert len(found) == count, found
    for job_id, task in found:
        assert job_id == 'a' and (task is not None) is is_lasting, found


@when('days of seeds {first:d} to {last:d} are played')
def play_days(context, first, last):
    context.days = [
        standing_search.run_day(seed) for seed in range(first, last + 1)
    ]


@then('no job stood beside room, and no invariant was violated')
def check_days(context):
    found = [day.describe() for day in context.days if day.findings]
    violations = [(d.seed, d.violations[:3]) for d in context.days]
    assert not found, '\n'.join(found)
    assert not any(v for _, v in violations), violations
