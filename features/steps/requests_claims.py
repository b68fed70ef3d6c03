"""Steps that repeat non-idempotent requests at another entry host."""

import asyncio
import collections
import itertools
import time

from behave import given
from behave import then
from behave import when

from fakes import raw_endpoint
from hawthorndeal_daemon import endpoints
from hawthorndeal_fleet import claims
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module
from stage import request_bench
from steps import requests_faults

ID = 'once'
PAUSE_S = 200.0


@given('two entry hosts that share a log')
@requests_faults.on_bench
async def select_hosts(context):
    context.first, context.second = context.bench.entry_hosts


def _set_fault(context, fault):
    for endpoint in (context.bench.near, context.bench.far):
        endpoint.fault = fault


async def _send_without_fault(context):
    return await context.first.send(ID, False)


async def _send_with_fault(context, fault):
    _set_fault(context, fault)
    got = await _send_without_fault(context)
    _set_fault(context, raw_endpoint.Fault.NONE)
    return got


def _make_fault_event(fault):
    return lambda context: _send_with_fault(context, fault)


async def _send_without_endpoints(context):
    await context.bench.near.stop()
    await context.bench.far.stop()
    return await _send_without_fault(context)


async def _lose_append_answer(context):
    context.bench.log.loses_answers = True
    got = await _send_without_fault(context)
    context.bench.log.loses_answers = False
    return got


async def _send_without_log(context):
    context.bench.log.is_down = True
    got = await _send_without_fault(context)
    context.bench.log.is_down = False
    return got


async def _delay_claim(context):
    log = context.bench.log
    log.late_s = 0.5
    got = await _send_without_fault(context)
    log.late_s = 0.0
    await _await_return(context)
    return got


async def _await_return(context):
    await request_bench.wait_for(
        lambda: any(
            claim.status is state_module.ClaimStatus.RETURNED
            for claim in context.second.follower.state.claims.values()
        )
    )


async def _kill_before_send(context):
    real = context.first.client.send
    held = asyncio.Event()

    async def block_send(*arguments):
        held.set()
        await asyncio.sleep(60.0)
        return await real(*arguments)

    context.first.client.send = block_send
    return await _kill_after(context, held.wait())


async def _kill_after_send(context):
    context.bench.near.delay_s = 0.2
    return await _kill_after(
        context, request_bench.wait_for(lambda: context.bench.near.runs[ID])
    )


async def _kill_after(context, event):
    task = asyncio.create_task(_send_without_fault(context))
    await event
    await context.first.kill()
    await asyncio.gather(task, return_exceptions=True)
    context.bench.near.delay_s = 0.0
    return 'nothing', '', None


async def _pause_before_send(context):
    real = context.first.writer.commit

    async def commit(body, *arguments, **options):
        decision = await real(body, *arguments, **options)
        if isinstance(body, records.RequestClaimed):
            context.first.clock.offset_s = PAUSE_S
        return decision

    context.first.writer.commit = commit
    return await _send_past_deadline(context)


async def _pause_while_connecting(context):
    real = endpoints.make_socket

    def make_socket(address_info):
        context.first.clock.offset_s = PAUSE_S
        return real(address_info)

    endpoints.make_socket = make_socket
    context.add_cleanup(setattr, endpoints, 'make_socket', real)
    got = await _send_past_deadline(context)
    endpoints.make_socket = real
    return got


async def _send_past_deadline(context):
    # Advances log time at the second entry host past the claim's expiry.
    got = await _send_without_fault(context)
    context.second.clock.offset_s = PAUSE_S
    return got


EVENTS = {
    'it is answered': _send_without_fault,
    "the append's answer is lost": _lose_append_answer,
    'the endpoints refuse it': _make_fault_event(raw_endpoint.Fault.REFUSE),
    'the endpoints are gone': _send_without_endpoints,
    'the endpoint breaks off before running': _make_fault_event(
        raw_endpoint.Fault.ABORT_BEFORE
    ),
    'the endpoint breaks off after running': _make_fault_event(
        raw_endpoint.Fault.ABORT_AFTER
    ),
    'the log is down': _send_without_log,
    'the claim is read back after the timeout': _delay_claim,
    'it is killed before it sends': _kill_before_send,
    'it is killed after it sent': _kill_after_send,
    'it is paused past the deadline before it sends': _pause_before_send,
    'it is paused past the deadline while it connects': (
        _pause_while_connecting
    ),
}


@when('a request is sent to the first, and {event}')
@requests_faults.on_bench
async def send_first(context, event):
    context.got = await EVENTS[event](context)
    if context.got[1] == 'endpoint_refused':
        await _await_return(context)
        # The router excludes an endpoint briefly after a refusal.
        await asyncio.sleep(0.02)


@then('the {which:w} reports {told}')
def check_told(context, which, told):
    got = ' '.join(context.got[:2]).strip()
    assert got == told, (got, context.got)


@when('the same request is sent to the second')
@requests_faults.on_bench
async def send_second(context):
    offset_s = context.second.clock.offset_s
    context.got = await context.second.send(ID, False, 2.0 + offset_s)


@then('the request ran {count:d} times')
def check_runs(context, count):
    assert sum(context.bench.runs(ID)) == count, context.bench.runs(ID)


@when('one request is sent {count:d} times to each of them at once')
@requests_faults.on_bench
async def send_all(context, count):
    hosts = itertools.chain(*[context.bench.entry_hosts] * count)
    context.results = await asyncio.gather(
        *(host.send(ID, False) for host in hosts)
    )


@then('exactly {count:d} is answered and the others are told {reason:w}')
def check_one_answered(context, count, reason):
    counts = collections.Counter(got[1] for got in context.results)
    expected = {'200': count, reason: len(context.results) - count}
    assert counts == expected, counts


@when(
    'a request is refused, repeated at the same entry host and returned again'
)
@requests_faults.on_bench
async def return_twice(context):
    returned = []
    real = context.first.returner.add

    def add(claimed):
        returned.append(claimed)
        real(claimed)

    context.first.returner.add = add
    await _send_with_fault(context, raw_endpoint.Fault.REFUSE)
    await _await_return(context)
    await asyncio.sleep(0.02)
    context.got = await _send_without_fault(context)
    assert context.got[0] == 'answered', context.got
    await context.first.writer.commit(
        records.ClaimReturned(key=returned[0].key, holder=returned[0].holder),
        1.0,
    )


@then('the same request at the second entry host does not run again')
@requests_faults.on_bench
async def check_no_second_run(context):
    got = await context.second.send(ID, False)
    assert got[1] == 'already_claimed', got
    assert sum(context.bench.runs(ID)) == 1, context.bench.runs(ID)


def _claim(state, key, deadline_s, offset=0):
    body = records.RequestClaimed(key=key, deadline_s=deadline_s, holder='h')
    return claims.claim(body, state, offset)


@given('a claim with a deadline at {deadline_s:d} s')
def make_claim(context, deadline_s):
    context.state = state_module.State(log_time_s=1.0)
    # Claims are checked for expiry oldest first: the ten before this one
    # keep it in memory.
    for number in range(10):
        _claim(context.state, f'other-{number}', 1000.0)
    assert _claim(context.state, 'k', deadline_s) is None


@when('log time reaches {log_time_s:d} s')
def set_log_time(context, log_time_s):
    context.state.log_time_s = log_time_s


@when('a claim on the same key with a deadline at {deadline_s:d} s arrives')
def claim_again(context, deadline_s):
    context.refusal = _claim(context.state, 'k', deadline_s, 1)


@then('it is refused')
def check_refused(context):
    assert context.refusal


@then('it is accepted')
def check_accepted(context):
    assert context.refusal is None, context.refusal


@given('{count:d} claims with a deadline a day away')
def add_far_claims(context, count):
    context.state = state_module.State(log_time_s=1.0)
    for number in range(count):
        _claim(context.state, f'far-{number}', 86400.0)


@when(
    '{count:d} claims follow, {rate:d} a second with a deadline in '
    '{deadline_s:d} s'
)
def add_near_claims(context, count, rate, deadline_s):
    for number in range(count):
        context.state.log_time_s = 1.0 + number / rate
        _claim(
            context.state,
            f'near-{number}',
            context.state.log_time_s + deadline_s,
        )


@then('fewer than {most:d} claims are kept')
def check_kept(context, most):
    assert len(context.state.claims) < most, len(context.state.claims)


@given('the log is down for them')
def stop_log(context):
    context.bench.log.is_down = True


@when('an idempotent and a non-idempotent request are sent')
@requests_faults.on_bench
async def send_both(context):
    context.idempotent = await context.first.send('other', True)
    started_s = time.monotonic()
    context.got = await context.first.send(ID, False)
    context.took_s = time.monotonic() - started_s


@then('the idempotent one is answered')
def check_idempotent(context):
    assert context.idempotent[0] == 'answered', context.idempotent


@then('the other is told {reason:w} within {limit_s:g} s, with a retry delay')
def check_non_idempotent(context, reason, limit_s):
    assert context.got[:2] == ('not_run', reason), context.got
    assert context.got[2].retry_after_s, context.got
    assert context.took_s < limit_s, context.took_s


@given('a request that ran, {known}')
@requests_faults.on_bench
async def run_once(context, known):
    context.ticket = ''
    context.asked = context.second
    context.repeat_deadline_s = 2.0
    if known == 'by a ticket':
        context.asked = context.first
        context.ticket = str(context.first.dispatcher.issue_ticket())
    got = await context.first.send(ID, False, ticket=context.ticket)
    assert got[0] == 'answered', got
    if not context.ticket:
        state = context.second.follower.state
        await request_bench.wait_for(lambda: state.claims)


@when('the entry host is leaving')
def start_draining(context):
    context.asked.dispatcher.is_draining = True


@when('the log is lost')
def lose_log(context):
    context.bench.log.is_down = True


@when('the repeat is past its deadline')
def pass_deadline(context):
    context.repeat_deadline_s = -1.0


@then('a repeat is told {outcome:w} {reason:w}')
@requests_faults.on_bench
async def check_repeat(context, outcome, reason):
    got = await context.asked.send(
        ID, False, deadline_s=context.repeat_deadline_s, ticket=context.ticket
    )
    assert got[:2] == (outcome, reason), got
