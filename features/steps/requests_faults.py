"""Steps that inject faults between an entry host and its endpoints."""

import asyncio
import collections
import functools
import time

from behave import given
from behave import then
from behave import when

from fakes import raw_endpoint
from hawthorndeal_daemon import endpoints
from stage import request_bench

SHORT_S = 0.4
STEP_TIMEOUT_S = 15.0
LATE_S = 0.25
ID = 'the-request'


def on_bench(act):
    """Run an asynchronous step in the event loop of the scenario's bench."""

    @functools.wraps(act)
    def run(context, *args, **kwargs):
        if not hasattr(context, 'bench'):
            _start_bench(context)
        return context.runner.run(
            asyncio.wait_for(act(context, *args, **kwargs), STEP_TIMEOUT_S)
        )

    return run


def _start_bench(context):
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.bench = request_bench.Bench()
    context.runner.run(context.bench.__aenter__())
    context.add_cleanup(lambda: context.runner.run(context.bench.__aexit__()))
    context.entry = context.bench.entry_hosts[0]
    _set_timeouts(context, PROGRESS_TIMEOUT_S=0.1, SILENCE_TIMEOUT_S=0.1)


def _set_timeouts(context, **times_s):
    for name, time_s in times_s.items():
        context.add_cleanup(setattr, endpoints, name, getattr(endpoints, name))
        setattr(endpoints, name, time_s)


async def _set_fault(endpoint, fault):
    if fault == 'is down':
        await endpoint.stop()
        return
    endpoint.fault = raw_endpoint.Fault(fault)
    if endpoint.fault is raw_endpoint.Fault.SLOW:
        endpoint.delay_s = 2 * SHORT_S


@given('the near endpoint {fault}')
@on_bench
async def set_near_fault(context, fault):
    await _set_fault(context.bench.near, fault)


@given('both endpoints take {work_s:g} s and {slots:d} at a time')
@on_bench
async def set_work(context, work_s, slots):
    for endpoint in (context.bench.near, context.bench.far):
        endpoint.delay_s = work_s
    for entry_host in context.bench.entry_hosts:
        fleet = entry_host.follower.state.fleet
        service = fleet.services['checker']
        fleet.services['checker'] = type(service)(
            workspace='w', pool='p', slots=slots
        )


@given('both endpoints {fault}')
@on_bench
async def set_both_faults(context, fault):
    for endpoint in (context.bench.near, context.bench.far):
        await _set_fault(endpoint, fault)


def _is_true(text):
    return text == 'true'


@when('a request with idempotent {idempotent:w} is sent')
@on_bench
async def send(context, idempotent):
    context.got = await context.entry.send(ID, _is_true(idempotent), SHORT_S)


@when(
    'a request that crashes endpoints is sent {times:d} times, with '
    'idempotent {idempotent:w}'
)
@on_bench
async def send_deadly(context, times, idempotent):
    context.is_idempotent = _is_true(idempotent)
    for number in range(times):
        context.deadly_id = f'deadly-{number}'
        await _send_deadly(context, context.deadly_id)


async def _send_deadly(context, request_id):
    context.got = await context.entry.send(
        request_id,
        context.is_idempotent,
        body=raw_endpoint.DEADLY_BODY,
    )


@when('both endpoints are up again')
@on_bench
async def restart_both(context):
    for endpoint in (context.bench.near, context.bench.far):
        await endpoint.start()
    # The pauses after failures have ended.
    context.entry.router._loads.clear()


@when('both endpoints work again')
def repair_both(context):
    for endpoint in (context.bench.near, context.bench.far):
        endpoint.fault = raw_endpoint.Fault.NONE


@when('the request that crashes endpoints is sent again')
@on_bench
async def send_deadly_again(context):
    request_id = context.deadly_id
    if not context.is_idempotent:
        # Its claim is used up; only a new request may run.
        request_id = 'deadly-again'
    await _send_deadly(context, request_id)


@when('the content that crashes endpoints is sent in another request')
@on_bench
async def send_deadly_content(context):
    await _send_deadly(context, 'deadly-content')


@then('{count:d} endpoints have crashed')
def check_crashes(context, count):
    near, far = context.bench.near, context.bench.far
    assert near.crashes + far.crashes == count, (near.crashes, far.crashes)


@then('its outcome is {outcome:w} with {reason:w}')
def check_outcome(context, outcome, reason):
    assert context.got[:2] == (outcome, reason), context.got
    if outcome == 'answered':
        assert context.got[2].body == request_bench.BODY, context.got
    if outcome == 'not_run':
        assert context.got[2].retry_after_s is not None, context.got


@then('it ran {near:d} times at the near endpoint and {far:d} at the far one')
def check_runs(context, near, far):
    assert context.bench.runs(ID) == (near, far), context.bench.runs(ID)


@then('the request is no longer in flight')
@then('the requests are no longer in flight')
@on_bench
async def check_not_in_flight(context):
    entry = context.entry
    await request_bench.wait_for(lambda: not entry.dispatcher._running)
    assert not entry.router.busy_hosts(entry.follower.state)
    assert not entry.dispatcher._quotas._in_flight
    assert not entry.dispatcher._gate._granted


@given('a connection to the near endpoint that has served')
@given('{count:d} connections to the near endpoint that have served')
@on_bench
async def open_connections(context, count=1):
    near = context.bench.near
    near.delay_s = 0.03
    limit = 50
    while near.connections < count and limit:
        limit -= 1
        await asyncio.gather(
            *(
                context.entry.send(f'warm-{limit}-{number}', True)
                for number in range(count)
            )
        )
    assert near.connections >= count, near.connections
    near.delay_s = 0.0
    context.before = near.connections


async def _disconnect_caller(context):
    context.bench.near.delay_s = SHORT_S
    task = asyncio.create_task(context.entry.send(ID, True))
    await request_bench.wait_for(lambda: context.bench.near.runs[ID])
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    context.bench.near.delay_s = 0.0


async def _answer_past_deadline(context):
    context.bench.near.delay_s = SHORT_S
    assert (await context.entry.send(ID, False, LATE_S))[0] == 'unknown'
    context.bench.near.delay_s = 0.0


async def _answer_wrong_request(context):
    context.bench.near.fault = raw_endpoint.Fault.WRONG_ID
    assert (await context.entry.send(ID, False))[0] == 'unknown'
    context.bench.near.fault = raw_endpoint.Fault.NONE


_EVENTS = {
    'the caller of a request disconnects': _disconnect_caller,
    'an answer arrives past the deadline': _answer_past_deadline,
    'an answer belongs to another request': _answer_wrong_request,
}


def _make_event_step(text, act):
    @when(text)
    @on_bench
    async def run_event(context):
        await act(context)


for _text, _act in _EVENTS.items():
    _make_event_step(_text, _act)


@then('the next request is answered over a new connection')
@on_bench
async def check_new_connection(context):
    got = await context.entry.send('next', True)
    assert got[0] == 'answered', got
    assert context.bench.runs('next') == (1, 0), context.bench.runs('next')
    assert context.bench.near.connections == context.before + 1


@then('the old connection is closed')
@on_bench
async def check_old_closed(context):
    await request_bench.wait_for(lambda: len(context.bench.near.open) == 1)


@when('its open connections stop responding while new ones work')
@on_bench
async def stop_responding(context):
    context.bench.near.last_silent_connection = context.bench.near.connections


@then('of {count:d} requests one after the other at most {most:d} is lost')
@on_bench
async def check_lost(context, count, most):
    got = [
        await context.entry.send(f'after-{number}', False, LATE_S)
        for number in range(count)
    ]
    lost = [outcome for outcome, _, _ in got if outcome != 'answered']
    assert 0 < len(lost) <= most, got


@then('a request sent while the first one waits is answered')
@on_bench
async def check_later(context):
    first = asyncio.create_task(context.entry.send('first', False, 1.0))
    await asyncio.sleep(2 * endpoints.SILENCE_TIMEOUT_S)
    got = await context.entry.send('later', False, 0.5)
    assert got[0] == 'answered', got
    assert context.bench.runs('later') == (1, 0)
    assert (await first)[0] == 'unknown'


@when(
    '{count:d} requests with idempotent {idempotent:w} are sent and cancelled'
)
@on_bench
async def cancel_burst(context, count, idempotent):
    tasks = [
        asyncio.create_task(
            context.entry.send(f'burst-{number}', _is_true(idempotent), 10.0)
        )
        for number in range(count)
    ]
    await request_bench.wait_for(lambda: context.bench.near.runs)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    context.cancelled = all(task.cancelled() for task in tasks)


@then(
    'only idempotent requests were cancelled at the endpoints: {idempotent:w}'
)
@on_bench
async def check_cancelled_work(context, idempotent):
    assert context.cancelled
    bench = context.bench
    finished = bench.near.finished + bench.far.finished
    started = bench.near.runs + bench.far.runs
    if _is_true(idempotent):
        await request_bench.wait_for(lambda: not bench.near.open)
        assert len(started) < 60, len(started)
    else:
        assert finished == started and len(started) == 6, finished


@then('the next request is answered')
@on_bench
async def check_next(context):
    context.bench.near.fault = raw_endpoint.Fault.NONE
    context.bench.near.delay_s = context.bench.far.delay_s = 0.0
    got = await context.entry.send('next', True, 5.0)
    assert got[0] == 'answered', got


@given('unanswered requests occupy both endpoints')
@on_bench
async def occupy_both(context):
    context.occupying = [
        asyncio.create_task(context.entry.send(f'fill-{n}', True, 2.0))
        for n in range(2)
    ]
    state = context.entry.follower.state
    await request_bench.wait_for(
        lambda: len(context.entry.router.busy_hosts(state)) == 2
    )


@when(
    'a request with a deadline in {deadline_s:g} s is sent and finds no room'
)
@on_bench
async def send_without_room(context, deadline_s):
    started_s = time.monotonic()
    context.got = await context.entry.send(ID, True, deadline_s)
    context.took_s = time.monotonic() - started_s
    for task in context.occupying:
        task.cancel()


@then('it is told {reason:w} before {limit_s:g} s have passed')
def check_told_in_time(context, reason, limit_s):
    assert context.got[:2] == ('not_run', reason), context.got
    assert context.took_s < limit_s, context.took_s


@when('a waiting request is cancelled as soon as it is granted an endpoint')
@on_bench
async def cancel_granted(context):
    gate = context.entry.dispatcher._gate
    running = [
        asyncio.create_task(context.entry.send(f'run-{n}', True, 5.0))
        for n in range(2)
    ]
    await request_bench.wait_for(lambda: sum(context.bench.far.runs.values()))
    waiting = asyncio.create_task(context.entry.send(ID, True, 5.0))
    await request_bench.wait_for(lambda: gate._granted)
    granted = next(iter(gate._granted.values()))
    real = gate._dispatch_waiting

    def start_waiting(service):
        real(service)
        if granted.done():
            # Before the waiting task has resumed.
            waiting.cancel()

    gate._dispatch_waiting = start_waiting
    await asyncio.gather(*running)
    await asyncio.gather(waiting, return_exceptions=True)
    assert granted.done() and not granted.cancelled()
    assert not any(context.bench.runs(ID)), context.bench.runs(ID)


@given('two entry hosts and a quota of {quota:d} requests in flight')
@on_bench
async def set_quota(context, quota):
    workspaces = context.entry.follower.state.fleet.workspaces
    old = workspaces['w'].quota
    workspaces['w'] = type(workspaces['w'])(
        quota=type(old)(requests_in_flight=quota)
    )


@when('{count:d} requests are sent at once')
@on_bench
async def send_at_once(context, count):
    await _send_many(context, count, 2.0)


async def _send_many(context, count, deadline_s):
    async def send_one(number):
        started_s = time.monotonic()
        got = await context.entry.send(f'many-{number}', True, deadline_s)
        return (*got, time.monotonic() - started_s)

    context.results = await asyncio.gather(*map(send_one, range(count)))
    context.counts = collections.Counter(got[:2] for got in context.results)


@when(
    '{count:d} requests with a deadline in {deadline_s:g} s are sent at once'
)
@on_bench
async def send_many(context, count, deadline_s):
    for number in range(5):
        await context.entry.send(f'learn-{number}', True)
    context.deadline_s = deadline_s
    await _send_many(context, count, deadline_s)


@then('{count:d} of them are told {outcome:w} with {reason:w}')
def check_told(context, count, outcome, reason):
    assert context.counts[(outcome, reason)] == count, context.counts


@then('each is answered in time or told {outcome:w} with {reason:w}')
def check_each(context, outcome, reason):
    allowed = {('answered', '200'), (outcome, reason)}
    assert set(context.counts) == allowed, context.counts
    slowest_s = max(got[3] for got in context.results)
    assert slowest_s < context.deadline_s, slowest_s


@then('more than {count:d} are answered')
def check_answered_count(context, count):
    assert context.counts[('answered', '200')] > count, context.counts


@then('the refused requests got a retry delay')
def check_retry_delay(context):
    refused = [got for got in context.results if got[0] == 'not_run']
    assert refused
    assert all(got[2].retry_after_s > 0 for got in refused)
    at_once = [got for got in refused if got[3] < 0.1]
    assert len(at_once) > len(refused) // 2, [got[3] for got in refused]
