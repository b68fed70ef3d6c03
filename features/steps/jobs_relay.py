"""Steps for calls that daemons pass on to others."""

import asyncio
import json
import random


from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import peer_choice
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import peer_calls
from hawthorndeal_scheduler import peer_client
from stage import fault_search
from stage import job_world
from stage import virtual_time

ANNOUNCED_S = 5.0


@given('{count:d} simulated daemons that pass calls on, with seed {seed:d}')
def start_simulation(context, count, seed):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs = {}
    limits = {'relay_address': '127.0.0.1:2', 'submission_partitions': 4}

    async def start():
        context.world = job_world.World(
            seed, hosts_per_pool=8, limits=[limits] * count
        )
        await context.world.start()
        await asyncio.sleep(ANNOUNCED_S)

    context.add_cleanup(_stop, context)
    context.runner.run(start())


def _stop(context):
    context.runner.run(context.world.stop())
    context.runner.close()


def _refuse(*_, **__):
    async def fail():
        raise keyed_log.Overloaded('turned away')

    return fail()


@when('the store {kind} {count:d} of the daemons')
def separate(context, kind, count):
    world = context.world
    # Not the owner, so that its change is not what is measured.
    others = [d for d in world.daemons if d is not world.owner]
    context.cut = (others + [world.owner])[:count]
    for daemon in context.cut:
        if kind == 'turns away':
            daemon.parts.log._call = _refuse
        else:
            daemon.parts.log.is_cut = True
    context.runner.run(asyncio.sleep(1.0))


@when('the store answers reads, but takes no submissions')
def refuse_submissions(context):
    store = context.world.store
    append = store.append

    def append_unless_submission(partition, records, *arguments):
        if any(record.key.startswith(journal.JOB) for record in records):
            raise keyed_log.Overloaded('the queue is full')
        return append(partition, records, *arguments)

    store.append = append_unless_submission
    context.cut = context.world.daemons


@then('it is passed on to nobody')
def check_not_passed(context):
    assert not _passed_on(context)


@when(
    '{count:d} jobs are submitted to these daemons within {span_s:d} seconds'
)
def submit_jobs(context, count, span_s):
    world = context.world
    spec = job_world.chain(2, 2, estimate_s=1.5)

    async def submit(number):
        daemon = context.cut[number % len(context.cut)]
        begun_s = world.now_s()
        answer = await world.call(daemon, 'POST', 'web', f'j{number}', spec)
        return daemon, answer.status, world.now_s() - begun_s

    async def submit_all():
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(submit(number)))
            await asyncio.sleep(span_s / count)
        return await asyncio.gather(*tasks)

    context.submitted = context.runner.run(submit_all())


@then('each of them was accepted within {limit_s:g} second')
def check_accepted(context, limit_s):
    for _, status, took_s in context.submitted:
        assert status == 200 and took_s <= limit_s, context.submitted


def _state(context, daemon, job_id):
    answer = context.runner.run(
        context.world.call(daemon, 'GET', 'web', job_id)
    )
    return answer.plain.get('state', answer.status)


@then('each of these daemons tells the state of each job')
def check_states(context):
    context.runner.run(asyncio.sleep(0.5))
    for daemon in context.cut:
        states = {
            _state(context, daemon, f'j{number}')
            for number in range(len(context.submitted))
        }
        assert states <= {'queued', 'running', 'completed'}, states


@then('each of these daemons cancels a job that runs')
def cancel_jobs(context):
    count = len(context.submitted)
    context.cancelled = set()
    for number in range(count - len(context.cut), count):
        daemon = context.submitted[number][0]
        answer = context.runner.run(
            context.world.call(daemon, 'DELETE', 'web', f'j{number}')
        )
        assert answer.status == 200, answer
        context.cancelled.add(number)


@then('each other job is reported as completed by its daemon')
def check_completed(context):
    for number, (daemon, _, _) in enumerate(context.submitted):
        state = _state(context, daemon, f'j{number}')
        expected = (
            {'cancelled', 'completed'}
            if number in context.cancelled
            else {'completed'}
        )
        assert state in expected, (number, state)


def _submit_timed(context, daemon, queue='web', job_id='one'):
    world = context.world
    begun_s = world.now_s()
    spec = job_world.one_step(1)
    answer = context.runner.run(
        world.call(daemon, 'POST', queue, job_id, spec)
    )
    return answer, world.now_s() - begun_s


@then(
    'a job submitted to a daemon is refused as {reason} within {limit_s:g} '
    'seconds'
)
def check_refused(context, reason, limit_s):
    answer, took_s = _submit_timed(context, context.cut[0])
    assert answer.status == errors.NotReady.status, answer
    assert answer.plain['reason'] == reason, answer
    assert answer.retry_after_s and took_s <= limit_s, (answer, took_s)
    context.runner.run(asyncio.sleep(10.0))
    assert not context.world.running('one')


def _passed_on(context):
    return [
        (daemon, fields['to'])
        for _, daemon, kind, fields in context.world.log
        if kind == 'call_passed_on'
    ]


@then('it is passed on no further than once to each other daemon')
def check_passed_once(context):
    passed = _passed_on(context)
    assert 0 < len(passed) == len(set(passed)), passed
    assert {sender for sender, _ in passed} == {context.cut[0].name}


@when('a job is submitted to a daemon that the store turns away')
def submit_to_first(context):
    answer, _ = _submit_timed(context, context.cut[0])
    assert answer.status == 200, answer


@then("the other daemon without the store doesn't pass it on")
def check_not_passed_on(context):
    senders = {sender for sender, _ in _passed_on(context)}
    assert senders == {context.cut[0].name}, senders


@when('{count:d} of the others answer no calls')
def silence_some(context, count):
    world = context.world
    others = [d for d in world.daemons if d is not context.cut[0]]
    for daemon in others[:count]:
        daemon.link.is_cut = True


@when('the others answer no calls')
def silence_all(context):
    silence_some(context, len(context.world.daemons) - 1)


@then(
    'a job submitted to the first daemon is accepted within {limit_s:g} '
    'seconds'
)
def check_accepted_by_first(context, limit_s):
    answer, took_s = _submit_timed(context, context.cut[0])
    assert answer.status == 200 and took_s <= limit_s, (answer, took_s)


@then(
    'a job submitted to the first daemon is answered with {status:d} within '
    '{limit_s:g} seconds'
)
def check_unknown(context, status, limit_s):
    answer, took_s = _submit_timed(context, context.cut[0])
    assert answer.status == status and took_s <= limit_s, (answer, took_s)


@when('a configuration without queue "{name}" comes into force elsewhere')
def drop_queue(context, name):
    world = context.world
    world._pools = tuple(pool for pool in world._pools if pool != name)
    world.configure()
    context.runner.run(asyncio.sleep(2.0))
    context.older = context.cut[0].parts.configuration_reader.configuration
    assert name in context.older.queues


@then('the first daemon answers a submission to "{queue}" with {status:d}')
def check_status(context, queue, status):
    job_id = f'late{context.world.now_s()}'
    answer, _ = _submit_timed(context, context.cut[0], queue, job_id)
    assert answer.status == status, answer


def _hide_configuration(log):
    """Let a daemon read all but the operators' records."""
    read = log.read

    async def read_others(partition, *arguments):
        if partition == job_world.OPERATORS:
            await asyncio.sleep(0.5)
            raise keyed_log.Overloaded('turned away')
        return await read(partition, *arguments)

    log.read = read_others


@when('that daemon reads the store again, but no configuration')
def return_without_configuration(context):
    daemon = context.cut[0]
    del daemon.parts.log._call
    _hide_configuration(daemon.parts.log)
    context.runner.run(asyncio.sleep(2.0))
    reader = daemon.parts.configuration_reader
    assert reader.configuration is context.older


@when('only the first daemon reads a newer configuration')
def configure_first(context):
    world = context.world
    first = next(d for d in world.daemons if d is not world.owner)
    context.cut = [first]
    for daemon in world.daemons:
        if daemon is not first:
            _hide_configuration(daemon.parts.log)
    context.runner.run(asyncio.sleep(1.5))
    world.configure()
    context.runner.run(asyncio.sleep(0.5))
    versions = [d.parts.configuration_version for d in world.daemons]
    assert len(set(versions)) == 2, versions


@when('the store turns away that daemon')
def turn_away(context):
    context.cut[0].parts.log._call = _refuse
    context.runner.run(asyncio.sleep(2.0))


@then('a job submitted to it is refused as {reason}')
def check_refused_reason(context, reason):
    answer, _ = _submit_timed(context, context.cut[0])
    assert answer.plain.get('reason') == reason, answer


@when(
    'a call that needs version {version:d} of the configuration is passed on'
)
def pass_on_newer(context, version):
    call = peer_calls.CallerCall(
        'GET', 'web.example', '/jobs/', None, b'', True, version
    )
    daemon = context.world.daemons[0]
    context.answer = context.runner.run(daemon.handler.answer(call))


@then('it is answered with {status:d}')
def check_answer_status(context, status):
    assert context.answer.status == status, context.answer


@then('a malformed {what} is refused: {text}')
def check_malformed(context, what, text):
    plain = json.loads(text)
    decode, error = {
        'call': (peer_client.decode_call, ValueError),
        'answer': (peer_client.decode_answer, errors.OutcomeUnknown),
    }[what]
    try:
        decode(plain)
    except error:
        return
    raise AssertionError(f'{text} was decoded')


@given('daemons "a" and "b" in zone 1 and "c" and "d" in zone 2')
def make_daemons(context):
    context.daemons = {
        name: journal.DaemonRecord('127.0.0.1:1', zone)
        for name, zone in zip('abcd', '1122')
    }
    context.choice = peer_choice.PeerChoice('a', '1')
    context.rng = random.Random(1)


def _order(context, now_s):
    return context.choice.order(context.daemons, now_s, context.rng)


@then('"a" tries "b" first, and all others after it')
def check_first(context):
    orders = [_order(context, 0.0) for _ in range(20)]
    assert all(order[0] == 'b' for order in orders)
    assert {tuple(order[1:]) for order in orders} == {('c', 'd'), ('d', 'c')}


@when('"b" has failed')
def fail_peer(context):
    context.choice.note_failed('b', 10.0)


@then('"a" doesn\'t try "b" for 0.5 seconds')
def check_left_out(context):
    assert 'b' not in _order(context, 10.4)
    assert _order(context, 10.6)[0] == 'b'


@then('the first daemon refuses to tell a state with {status:d}')
def check_state_refused(context, status):
    answer = context.runner.run(
        context.world.call(context.cut[0], 'GET', 'web', 'unknown')
    )
    assert answer.status == status, answer


@when(
    'simulations with random faults and calls passed on of seeds {first:d} to '
    '{last:d} run'
)
def run_searches(context, first, last):
    limits = [{'relay_address': '127.0.0.1:2'}] * 3
    context.verdicts = [
        fault_search.run_with_faults(seed, limits=limits)
        for seed in range(first, last + 1)
    ]
