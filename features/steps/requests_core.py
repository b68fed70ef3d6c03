"""Steps for routing, admission and retries of requests, without I/O."""

import random

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import calls
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import health
from hawthorndeal_fleet import limits
from hawthorndeal_fleet import records
from hawthorndeal_fleet import retries
from hawthorndeal_fleet import routing
from hawthorndeal_fleet import state as state_module
from measure import request_baselines
from measure import request_model
from measure import requests as measured

INTERACTIVE = calls.Urgency.INTERACTIVE
LONG = calls.Urgency.LONG
SERVICE = request_model.SERVICE
_MODEL_NAMES = {'a1': 'e0-0', 'a2': 'e0-1', 'b1': 'e1-0', 'b2': 'e1-1'}
_MODEL_ZONES = {'a': 'z0', 'b': 'z1'}


@given('endpoints "a1 a2" in zone "a" and "b1 b2" in zone "b"')
def make_endpoints(context):
    context.state = request_model.make_state(zones=2, entry_hosts=1)
    context.router = routing.Router(_MODEL_ZONES['a'])
    context.rng = random.Random(7)
    context.now_s = 100.0


def _start(context, name, now_s=None):
    when_s = context.now_s if now_s is None else now_s
    context.router.start(context.state, name, when_s)


def _finish(context, name, outcome, took_s=None):
    context.router.finish(
        name, outcome, context.now_s, context.rng, took_s=took_s
    )


def _exchange(context, name, outcome, took_s=None):
    _start(context, name)
    _finish(context, name, outcome, took_s)


def _fill(context, name):
    _start(context, name)


def _disrupt_host(context, name):
    host = context.state.fleet.endpoints[name].host
    context.state.disruptions[host] = state_module.Disruption(
        host, 'w', 'h', 1, 1.0, records.Step.GRANTED, 1.0, 1
    )


def _fail_until_quarantined(context, name):
    for _ in range(health.QUARANTINE_STREAK):
        _exchange(context, name, health.Outcome.FAILED)


def _answer_slowly(context, name):
    _exchange(context, name, health.Outcome.ANSWERED, 1.0)


def _hosts(context, names):
    return {context.state.fleet.endpoints[name].host for name in names}


def _for_each_endpoint(act):
    def apply_to_all(context, names):
        for name in names:
            act(context, name)

    return apply_to_all


def _record_outcome(kind):
    return _for_each_endpoint(
        lambda context, name: _exchange(context, name, kind)
    )


_CONDITIONS = {
    'full': _for_each_endpoint(_fill),
    'reported down': lambda context, names: context.state.down_hosts.update(
        _hosts(context, names)
    ),
    'not in the host list': lambda context, names: (
        context.router.set_lost_hosts(_hosts(context, names))
    ),
    'marked leaving in the host list': lambda context, names: (
        context.router.set_leaving_hosts(_hosts(context, names))
    ),
    'leaves': lambda context, names: context.router.set_leaving_hosts(
        _hosts(context, names)
    ),
    'under maintenance': _for_each_endpoint(_disrupt_host),
    'announces its shutdown': _record_outcome(health.Outcome.LEAVING),
    'answers slowly': _for_each_endpoint(_answer_slowly),
    'refuses': _record_outcome(health.Outcome.REFUSED),
    'three times in a row': _for_each_endpoint(_fail_until_quarantined),
}


@given('the condition: {condition}')
def set_condition(context, condition):
    for part in condition.split(' and '):
        names = [
            _MODEL_NAMES[word] for word in part.split() if word in _MODEL_NAMES
        ]
        for text in sorted(_CONDITIONS, key=len, reverse=True):
            if part.endswith(text):
                _CONDITIONS[text](context, names)
                break
        else:
            assert condition == 'nothing special', condition


@given('a1 has a request without answer for {silent_s:d} s')
def leave_unanswered(context, silent_s):
    name = _MODEL_NAMES['a1']
    for _ in range(40):
        _start(context, name)
        _start(context, name)
        _finish(context, name, health.Outcome.ANSWERED, 0.01)
        _finish(context, name, health.Outcome.ANSWERED, 0.01)
    _start(context, name)
    context.now_s += silent_s


@when('{count:d} requests are routed one at a time in zone "a"')
def route(context, count):
    context.sent = set()
    for _ in range(count):
        name = context.router.choose(
            context.state, SERVICE, context.rng, context.now_s
        )
        if name is not None:
            context.sent.add(name)


@then('they went to "{names}"')
def check_routed(context, names):
    expected = {_MODEL_NAMES.get(name) for name in names.split()} - {None}
    assert context.sent == expected, (context.sent, expected)


@when('its quarantine is over')
def wait_for_quarantine(context):
    health_record = context.router._loads[_MODEL_NAMES['a1']].health_record
    context.began_s = context.now_s
    while health_record.is_quarantined(context.now_s):
        context.now_s += 0.01


@then('the quarantine is at least {least_s:f} s long')
def check_quarantine(context, least_s):
    health_record = context.router._loads[_MODEL_NAMES['a1']].health_record
    assert health_record.is_quarantined(context.now_s + least_s - 0.01)


@then('a1 has room for {count:d} request')
@then('a1 has room for {count:d} requests')
def check_room(context, count):
    name = _MODEL_NAMES['a1']
    excluded = tuple(set(_MODEL_NAMES.values()) - {name})
    started = 0
    while started <= count and context.router.choose(
        context.state, SERVICE, context.rng, context.now_s, excluded
    ):
        _start(context, name)
        started += 1
    for _ in range(started):
        _finish(context, name, health.Outcome.CANCELLED)
    assert started == count, started


@when('the probe fails')
def fail_probe(context):
    _exchange(context, _MODEL_NAMES['a1'], health.Outcome.FAILED)


@when('the probe succeeds until its probation ends')
def pass_probes(context):
    for _ in range(10):
        _exchange(context, _MODEL_NAMES['a1'], health.Outcome.ANSWERED, 0.01)


@given('a concurrency limit with a ceiling of {ceiling:d}')
def make_limit(context, ceiling):
    context.limit = limits.ConcurrencyLimit(ceiling)


def _record_answers(limit, latency_s, in_flight=None, count=100):
    for number in range(count):
        used = int(limit.value) if in_flight is None else in_flight
        limit.note_answered(used, latency_s, number * 1.0)


def _record_refusals(limit, count, gap_s):
    limit.value = 7.0
    for number in range(count):
        limit.note_refused(number * gap_s)


def _record_late_answers(limit):
    _record_answers(limit, 0.02, 1)
    limit.value = 7.0
    _record_answers(limit, 0.08, count=25)


_EVENTS = {
    'nothing': lambda limit: None,
    '100 answers under full use': lambda limit: _record_answers(limit, 0.02),
    '100 answers under little use': lambda limit: _record_answers(
        limit, 0.02, 0
    ),
    '1 refusal at 7': lambda limit: _record_refusals(limit, 1, 0.0),
    '10 refusals at 7 at once': lambda limit: _record_refusals(
        limit, 10, 0.001
    ),
    '50 refusals at 7 one by one': lambda limit: _record_refusals(
        limit, 50, 0.1
    ),
    '25 answers with 4 times the latency at 7': _record_late_answers,
}


@when('it records {events}')
def apply_events(context, events):
    _EVENTS[events](context.limit)


@then('the limit is at least {least:g} and at most {most:g}')
def check_limit(context, least, most):
    assert least <= context.limit.value <= most, context.limit.value


@given('a queue with room for {room:d} and requests that take {took_s:g} s')
def make_queue(context, room, took_s):
    context.room = room
    context.queue = admission.ServiceQueue()
    for urgency in calls.Urgency:
        context.queue.start(urgency)
        context.queue.finish(urgency, took_s)


def _enqueue(context, urgency, count=1):
    for _ in range(count):
        context.queue.put(admission.WaitingRequest(urgency, 1000.0))


@given('{count:d} interactive requests wait in it')
def fill_queue(context, count):
    _enqueue(context, INTERACTIVE, count)


@when('an interactive request with a deadline in {deadline_s:g} s arrives')
def submit_request(context, deadline_s):
    context.failure = None
    waiting = admission.WaitingRequest(INTERACTIVE, deadline_s)
    try:
        context.queue.check(waiting, context.room, 0.0)
    except errors.Overloaded as failure:
        context.failure = failure


@then('it is admitted')
def check_admitted(context):
    assert context.failure is None, context.failure


@then('it is refused, with a retry after {after_s:g} s')
def check_refused(context, after_s):
    assert context.failure.outcome == 'not_run'
    got_s = context.failure.retry_after_s
    assert abs(got_s - after_s) < 0.01, got_s


@given('{interactive:d} interactive and {long:d} long requests run')
def start_requests(context, interactive, long):
    for _ in range(interactive):
        context.queue.start(INTERACTIVE)
    for _ in range(long):
        context.queue.start(LONG)


@given(
    'interactive and long requests wait, the last interactive one arrived '
    '{ago_s:d} s ago'
)
def enqueue_both(context, ago_s):
    _enqueue(context, INTERACTIVE)
    enqueue_long(context, ago_s)


@given(
    'only long requests wait, the last interactive one arrived {ago_s:d} s ago'
)
def enqueue_long(context, ago_s):
    _enqueue(context, LONG)
    context.queue.note_arrival(INTERACTIVE, 100.0 - ago_s)


@then('the next to start is {expected}')
def check_next(context, expected):
    waiting = context.queue.next(context.room, 100.0)
    got = waiting.urgency.value if waiting else 'nothing'
    assert got == expected, got


@given('a quota of {quota:d} requests and {hosts:d} entry hosts')
def make_quota(context, quota, hosts):
    context.quota = (quota, hosts)


@then('each entry host admits {share:d} requests and refuses the next')
def check_share(context, share):
    table = admission.QuotaTable()
    for _ in range(share):
        table.enter('w', *context.quota)
    try:
        table.enter('w', *context.quota)
    except errors.QuotaExceeded as failure:
        assert failure.reason == 'quota_exceeded'
        table.leave('w')
        table.enter('w', *context.quota)
        return
    raise AssertionError('a request over the share was admitted')


@when('a request fails with {kind}')
def fail_by(context, kind):
    context.failure = getattr(errors, kind)('for the test')


def _may_retry(context, is_idempotent, budget):
    request = calls.Request(
        'w', SERVICE, 'id', 10.0, is_idempotent, INTERACTIVE, b''
    )
    attempts = retries.Attempts()
    attempts.note(context.failure, 'e')
    return attempts.allows_retry(request, context.failure, 5.0, budget)


@then('an idempotent one is retried: {expected}')
def check_idempotent(context, expected):
    may = _may_retry(context, True, retries.RetryBudget())
    assert may == (expected == 'yes'), may


@then('a non-idempotent one is retried: {expected}')
def check_non_idempotent(context, expected):
    may = _may_retry(context, False, retries.RetryBudget())
    assert may == (expected == 'yes'), may


@when('{count:d} requests all fail with {kind}')
def fail_many(context, count, kind):
    fail_by(context, kind)
    budget = retries.RetryBudget()
    context.retries = 0
    for _ in range(count):
        budget.note_request()
        context.retries += _may_retry(context, True, budget)


@then('at most {most:d} retries are made')
def check_retries(context, most):
    assert 0 < context.retries <= most, context.retries


_FAULTS = {
    'no fault': ('ok', ()),
    'one endpoint failing': ('failing', ('e0-0',)),
    'one endpoint frozen': ('frozen', ('e0-0',)),
    'a zone gone': ('gone', ('e0-0', 'e0-1')),
}


@when('{load:g} times the capacity is offered to the daemon with {fault}')
def run_offered_load(context, load, fault):
    mode, names = _FAULTS[fault]
    context.faulty = names
    context.fitting_share = min(1.0, 1.0 / load)

    def break_world(world):
        for name in names:
            world.endpoints[name].mode = mode

    context.result = measured.run_load(
        request_baselines.Adaptive,
        load,
        seed=3,
        queue_limit=0,
        run_s=4.0,
        break_world=break_world,
    )


@then('at least {share:g} of the requests that fit are answered in time')
def check_success(context, share):
    got = context.result.success_share / context.fitting_share
    assert got >= share, (got, context.result.bad, context.result.refused)


@then('at most {share:g} of the requests are sent to the faulty endpoints')
def check_sends(context, share):
    sent = context.result.sent
    to_faulty = sum(sent[name] for name in context.faulty)
    assert to_faulty <= share * sum(sent.values()), (to_faulty, sent)
