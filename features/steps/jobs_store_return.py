"""Steps for what happens when the store answers again."""

import asyncio
import itertools

from behave import then
from behave import when

from hawthorndeal_fleet import errors
from stage import job_world

STEPS = 3
TASKS = 2
RETURN_WAIT_S = 3.0
# Number of the partition of the submissions that the owner can't read.
HIDDEN = 3


@when('{count:d} jobs of three steps are submitted')
def submit_jobs(context, count):
    world = context.world
    spec = job_world.chain(*[TASKS] * STEPS, estimate_s=1.0)

    async def submit():
        await asyncio.sleep(2.0)
        for number in range(count):
            job_id = f'chain{number}'
            daemon = world.daemons[number % len(world.daemons)]
            assert await world.submit(daemon, 'web', job_id, spec) is None
        await asyncio.sleep(0.5)

    context.runner.run(submit())


def _set_silent(world, is_silent):
    for daemon in world.daemons:
        daemon.parts.log.is_cut = is_silent


def _set_refusing(world, is_refusing):
    world.store.is_down = is_refusing


@when('the store {kind} for {away_s:g} seconds')
def interrupt_store(context, kind, away_s):
    world = context.world
    set_away = {'is silent': _set_silent, 'refuses calls': _set_refusing}[kind]

    async def interrupt():
        set_away(world, True)
        await asyncio.sleep(away_s)
        set_away(world, False)

    context.runner.run(interrupt())
    context.returned_s = world.now_s()


@then('a task starts within {limit_s:g} seconds of its return')
def check_start(context, limit_s):
    world = context.world
    context.runner.run(asyncio.sleep(RETURN_WAIT_S))
    started_s = min(
        time_s
        for time_s, _, kind, _ in world.log
        if kind == 'run_started' and time_s > context.returned_s
    )
    assert started_s - context.returned_s <= limit_s, started_s


@then('every daemon reads statuses within {limit_s:g} seconds of its return')
def check_reads(context, limit_s):
    regained_s = {
        daemon: time_s
        for time_s, daemon, kind, fields in context.world.log
        if kind == 'dependency_regained'
        and fields['dependency'] == job_world.STATUSES.name
    }
    assert len(regained_s) == len(context.world.daemons), regained_s
    last_s = max(regained_s.values())
    assert last_s - context.returned_s <= limit_s, last_s


@then('a job that comes {after_s:g} seconds after its return is accepted')
def check_accepted_after(context, after_s):
    world = context.world

    async def submit():
        await asyncio.sleep(after_s)
        spec = job_world.one_step(1)
        return [
            await world.submit(daemon, 'web', f'after-{daemon.name}', spec)
            for daemon in world.daemons
        ]

    refusals = context.runner.run(submit())
    assert not any(refusals), refusals


@when(
    "the owner can't read {which} partition of the submissions for "
    '{seconds:g} seconds'
)
def hide_partitions(context, which, seconds):
    world = context.world
    partitions = world.daemons[0].parts.submission_partitions
    hidden = partitions if which == 'any' else [partitions[HIDDEN]]
    _hide(world.owner.parts.log, hidden)
    context.runner.run(asyncio.sleep(seconds))


def _hide(log, hidden):
    """Let a daemon read no record of some partitions."""
    read = log.read

    async def read_others(partition, *arguments):
        if partition in hidden:
            raise errors.OutcomeUnknown('no answer')
        return await read(partition, *arguments)

    log.read = read_others


def _submit_to(context, is_hidden):
    """Submit a job of the hidden partition, or of another one."""
    world = context.world
    parts = world.daemons[1].parts
    hidden = parts.submission_partitions[HIDDEN]
    job_id = next(
        f'late{number}'
        for number in itertools.count(len(world.specs))
        if (parts.submission_partition(f'late{number}') == hidden) == is_hidden
    )
    spec = job_world.one_step(1)
    submitted = world.submit(world.daemons[1], 'web', job_id, spec)
    return context.runner.run(submitted)


@then('a job of that partition that comes then is refused as {reason}')
def check_hidden_refused(context, reason):
    refusal = _submit_to(context, True)
    assert refusal == reason, refusal


@then('a job of another partition that comes then is refused as {reason}')
def check_other_refused(context, reason):
    refusal = _submit_to(context, False)
    assert refusal == reason, refusal


@then('a job of another partition that comes then is accepted')
def check_other_accepted(context):
    refusal = _submit_to(context, False)
    assert refusal is None, refusal


@when('each append takes {append_s:g} s and each read {read_s:g} s')
def slow_down(context, append_s, read_s):
    store = context.world.store
    store.append_s, store.read_s = append_s, read_s
    context.runner.run(asyncio.sleep(2.0))
    context.since_s = context.world.now_s()


def _since(context, kind):
    return [
        (time_s, daemon)
        for time_s, daemon, logged, _ in context.world.log
        if logged == kind and time_s > context.since_s
    ]


@then('another daemon is at work within {limit_s:g} seconds')
def check_successor(context, limit_s):
    context.runner.run(asyncio.sleep(3.0))
    released_s = _since(context, 'owner_released')[0][0]
    at_work_s = _since(context, 'owner_at_work')[0][0]
    assert at_work_s - released_s <= limit_s, at_work_s - released_s


@then('it is the only one that has claimed since')
def check_claims(context):
    claims = _since(context, 'owner_claimed')
    assert len(claims) == 1, claims
