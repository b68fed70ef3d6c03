"""Steps for what callers are told of calls whose effect is not known."""

import asyncio

from behave import given
from behave import then
from behave import when

from fakes import links
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import admission
from hawthorndeal_jobs import journal
from hawthorndeal_platform import peer_calls
from stage import job_world
from stage import outcome_search

HOPELESS_S = 600.0
UNANSWERED_S = 60.0
UNKNOWN_STATUSES = (502, 504)


def _first(context):
    """Return the daemon that callers use, which is not the owner."""
    world = context.world
    if not getattr(context, 'cut', None):
        context.cut = [d for d in world.daemons if d is not world.owner][:1]
    return context.cut[0]


def _others(context):
    first = _first(context)
    return [d for d in context.world.daemons if d is not first]


def _bystander(context):
    """Return a daemon that is neither the owner nor the first."""
    owner = context.world.owner
    return next(d for d in _others(context) if d is not owner)


def _overload(daemon, pool):
    """Let a daemon refuse what arrives for a pool, until the test ends."""
    waits = admission.PoolForecast(HOPELESS_S, HOPELESS_S)
    daemon.parts.board.load = admission.LoadReport({pool: waits})
    daemon.parts.owner_view.load_read_s = daemon.parts.clock.monotonic_s()


@given('pool "{pool}" is overloaded for all daemons but the first')
def overload_others(context, pool):
    for daemon in _others(context):
        _overload(daemon, pool)


@when('pool "{pool}" is overloaded for all daemons')
def overload_all(context, pool):
    for daemon in context.world.daemons:
        _overload(daemon, pool)


@when('pool "{pool}" is overloaded for the daemon that is asked next')
def overload_next(context, pool):
    for daemon in _others(context):
        if daemon is not context.asked_first:
            _overload(daemon, pool)


@when('the answers of the store to the first daemon are lost')
def lose_answers(context):
    log = _first(context).parts.log
    context.sound_link = log._link
    log._link = links.Link(context.world.rng, lost_share=1.0)
    context.runner.run(asyncio.sleep(0.5))


@when('appends of the first daemon are carried out {delay_s:d} seconds later')
def delay_appends(context, delay_s):
    log = _first(context).parts.log

    append = log.append

    async def append_late(partition, records, *arguments):
        if not records[0].key.startswith(journal.JOB):
            return await append(partition, records, *arguments)
        context.world.loop.call_later(
            delay_s, log._store.append, partition, records, None, None
        )
        await asyncio.sleep(2.6)
        raise errors.OutcomeUnknown('no answer')

    log.append = append_late


@when('the answers of the store to the first daemon arrive again')
def return_answers(context):
    _first(context).parts.log._link = context.sound_link
    context.runner.run(asyncio.sleep(0.2))


@given('an append of the first daemon is under way in each partition')
def fill_partitions(context):
    parts = _first(context).parts
    append = parts.log.append

    async def append_slowly(partition, records, *arguments):
        await asyncio.sleep(2.0)
        return await append(partition, records, *arguments)

    parts.log.append = append_slowly

    async def fill():
        context.filling = [
            asyncio.create_task(
                context.world.call(
                    _first(context), 'POST', 'web', f'full{n}', _spec()
                )
            )
            for n in range(40)
        ]
        await asyncio.sleep(0.2)

    context.runner.run(fill())


@given('the owner reads submissions {delay_s:d} seconds late')
def delay_owner(context, delay_s):
    world = context.world
    owner = world.owner.parts
    blocked = owner.submission_partitions
    read = owner.log.read

    async def read_others(partition, *arguments):
        if partition in blocked:
            await asyncio.sleep(delay_s)
        return await read(partition, *arguments)

    owner.log.read = read_others
    context.runner.run(asyncio.sleep(1.0))


def _ask_first(context, answer):
    """Let each daemon that is asked first answer a call in some way."""
    context.asked_first = None
    for daemon in _others(context):
        _replace_first_answer(context, daemon, answer)


def _replace_first_answer(context, daemon, replace):
    answer = daemon.handler.answer

    async def answer_first(call):
        if context.asked_first is None:
            context.asked_first = daemon
            return await replace(answer(call))
        return await answer(call)

    daemon.handler.answer = answer_first


@when('the daemon that is asked first takes a call without an answer')
def lose_first_answer(context):
    async def replace(answering):
        await answering
        for daemon in _others(context):
            if daemon is not context.asked_first:
                _overload(daemon, 'web')
        await asyncio.sleep(UNANSWERED_S)

    _ask_first(context, replace)


@when('the daemon that is asked first tells that an answer was lost')
def tell_lost_answer(context):
    async def replace(answering):
        await answering
        status = errors.AnswerLost.status
        return peer_calls.CallerAnswer(status, {'reason': 'answer_lost'})

    _ask_first(context, replace)


@when('the other daemons leave all calls unanswered')
def silence_others(context):
    async def never_answer(call):
        await asyncio.sleep(UNANSWERED_S)

    for daemon in _others(context):
        daemon.handler.answer = never_answer


@when('the other daemons answer all calls with {status:d}')
def refuse_all(context, status):
    async def refuse(call):
        return peer_calls.CallerAnswer(status, {})

    for daemon in _others(context):
        daemon.handler.answer = refuse


def _spec():
    return job_world.one_step(1)


def _submit(context, daemon, job_id):
    begun_s = context.world.now_s()
    context.answer = context.runner.run(
        context.world.call(daemon, 'POST', 'web', job_id, _spec())
    )
    context.took_s = context.world.now_s() - begun_s


@when('job "{job_id}" is submitted to the first daemon')
def submit_to_first(context, job_id):
    _submit(context, _first(context), job_id)


@when('job "{job_id}" is submitted to another daemon')
def submit_to_other(context, job_id):
    other = _bystander(context)
    del other.handler.answer
    _submit(context, other, job_id)


@when('another daemon reads all submissions')
def read_all(context):
    context.reader = _bystander(context)


@when('another daemon reads no submissions')
def read_none(context):
    read_all(context)
    parts = context.reader.parts
    read = parts.log.read

    async def read_others(partition, *arguments):
        if partition in parts.submission_partitions:
            await asyncio.sleep(0.25)
            raise errors.OutcomeUnknown('no answer')
        return await read(partition, *arguments)

    parts.log.read = read_others


@when('job "{job_id}" is submitted to that daemon')
def submit_to_reader(context, job_id):
    del context.reader.handler.answer
    _submit(context, context.reader, job_id)


@given('job "{job_id}" of a long-running task runs')
def run_lasting_job(context, job_id):
    world = context.world
    spec = job_world.one_step(1, is_lasting=True)
    answer = context.runner.run(
        world.call(_first(context), 'POST', 'web', job_id, spec)
    )
    assert answer.status == 200, answer
    context.runner.run(asyncio.sleep(2.0))
    assert world.running(job_id)


@when('job "{job_id}" is cancelled at the first daemon')
def cancel_job(context, job_id):
    context.answer = context.runner.run(
        context.world.call(_first(context), 'DELETE', 'web', job_id)
    )


@then("the call isn't told as not run")
def check_not_refused(context):
    status = context.answer.status
    assert status == 200 or status in UNKNOWN_STATUSES, context.answer


@then('the call is accepted')
def check_accepted(context):
    assert context.answer.status == 200, context.answer


@then('the call is refused as {reason}')
def check_refused(context, reason):
    assert context.answer.plain.get('reason') == reason, context.answer


@then('the call is answered with {status:d} within {limit_s:g} seconds')
def check_answer(context, status, limit_s):
    assert context.answer.status == status, context.answer
    assert context.took_s <= limit_s, context.took_s


@then('job "{job_id}" has run')
def check_run(context, job_id):
    assert _starts(context, job_id), context.world.event_log_text()


@then('job "{job_id}" has not run')
def check_not_run(context, job_id):
    assert not _starts(context, job_id)


def _starts(context, job_id):
    return [
        task_id for task_id in context.world.starts if task_id.job_id == job_id
    ]


@then('nothing of job "{job_id}" runs')
def check_nothing_runs(context, job_id):
    assert not context.world.running(job_id)


@then('the first daemon doesn\'t tell that job "{job_id}" doesn\'t exist')
def check_state(context, job_id):
    answer = context.runner.run(
        context.world.call(_first(context), 'GET', 'web', job_id)
    )
    assert answer.status != 410, answer


@when('calls beside random faults of seed {seed:d} are compared with what ran')
def search_outcomes(context, seed):
    context.result = outcome_search.run(seed)


@then('no answer was untrue')
def check_outcomes(context):
    result = context.result
    assert not result.untrue, (result.untrue, result.event_log_text)
