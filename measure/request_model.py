"""Run the request path in virtual time against a small endpoint model.

Entry hosts run the same router and queues as the daemon. An endpoint runs
requests on its slots and either refuses or queues those that exceed them.
"""

import collections
import heapq
import itertools
import random

import attrs

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import calls
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import health
from hawthorndeal_fleet import retries
from hawthorndeal_fleet import state as state_module

SERVICE = 'checker'
CONNECT_TIMEOUT_S = 0.25
FAST_FAILURE_S = 0.001
NETWORK_S = 0.001
LOOK_AGAIN_S = 0.01
SLOWNESS = 4.0


def make_state(zones=3, per_zone=2, entry_hosts=8, slots=8):
    """Return a folded state with one service spread over zones."""
    names = [
        (f'z{zone}', f'e{zone}-{number}')
        for zone in range(zones)
        for number in range(per_zone)
    ]
    document = {
        'zones': {f'z{zone}': {'region': 'r'} for zone in range(zones)},
        'pools': {'p': {}},
        'hosts': {
            f'host-{name}': {
                'pool': 'p',
                'zone': zone,
                'rack': f'rack-{name}',
                'cpu_cores': 16,
                'memory_bytes': 64 * 2**30,
            }
            for zone, name in names
        },
        'services': {SERVICE: {'workspace': 'w', 'pool': 'p', 'slots': slots}},
        'endpoints': {
            name: {
                'service': SERVICE,
                'host': f'host-{name}',
                'address': f'127.0.0.1:{number + 1}',
            }
            for number, (_, name) in enumerate(names)
        },
        'workspaces': {'w': {}},
    }
    state = state_module.State()
    configuration.install_patch(state, document)
    for number in range(entry_hosts):
        state.members[str(number)] = state_module.Member(
            str(number), f'd{number}', f'z{number % zones}', '', 0, 1
        )
    return state


@attrs.define
class Endpoint:
    """Model an executor.

    :ivar queue_limit: requests queued beyond the slots; others are refused
    :ivar mode: ``ok``, ``slow``, ``failing`` at once, ``frozen`` or ``gone``
    """

    slots: int = 8
    queue_limit: int = 0
    mode: str = 'ok'
    running: int = 0
    waiting: collections.deque = attrs.Factory(collections.deque)


_FAILURES = {
    health.Outcome.REFUSED: errors.EndpointRefused('busy'),
    health.Outcome.UNREACHABLE: errors.NoEndpoint('gone'),
    health.Outcome.FAILED: errors.AnswerLate('failed'),
}


@attrs.define(eq=False)
class Call:
    """The state of one request in the model."""

    urgency: calls.Urgency
    came_s: float
    deadline_s: float
    work_s: float
    entry: object = None
    attempts: retries.Attempts = attrs.Factory(retries.Attempts)
    number: int = 0
    endpoint: str = ''
    sent_s: float = 0.0
    is_done: bool = False
    is_idempotent: bool = True


@attrs.define
class Result:
    """Count the outcomes of the calls.

    :ivar good: calls answered before the deadline, by urgency
    :ivar latencies_s: of good answers, by urgency
    """

    good: collections.Counter = attrs.Factory(collections.Counter)
    asked: collections.Counter = attrs.Factory(collections.Counter)
    bad: collections.Counter = attrs.Factory(collections.Counter)
    refused: int = 0
    sent: collections.Counter = attrs.Factory(collections.Counter)
    latencies_s: dict = attrs.Factory(
        lambda: {urgency: [] for urgency in calls.Urgency}
    )

    def percentile_s(self, urgency, share):
        """Return a percentile of the latency of good answers."""
        values = sorted(self.latencies_s[urgency])
        return values[int(share * (len(values) - 1))] if values else 0.0

    @property
    def success_share(self):
        """Return the share of requests answered in time."""
        return sum(self.good.values()) / max(1, sum(self.asked.values()))


class Entry:
    """Simulate one entry host.

    :param policy: a :class:`scheduling.Scheduler` or a baseline like it
    """

    def __init__(self, world, policy, rng):
        self.world = world
        self.policy = policy
        self.rng = rng
        self.budget = retries.RetryBudget()
        self.calls = {}
        self.has_timer = False

    def arrive(self, call):
        """Accept a new request."""
        self.budget.note_request()
        self.attempt(call)

    def attempt(self, call):
        """Send, queue or refuse a request."""
        now_s = self.world.now_s
        waiting = admission.WaitingRequest(
            call.urgency, call.deadline_s, tuple(call.attempts.failed)
        )
        call.number += 1
        try:
            name = self.policy.enter(self.world.state, SERVICE, waiting, now_s)
        except errors.NotRun:
            self.world.end(call, 'refused')
            return
        if name is not None:
            self.world.send(call, name)
            return
        self.calls[id(waiting)] = call
        latest_s = self.policy.queue(SERVICE).latest_start_s(waiting)
        self.world.at(max(now_s, latest_s), self._give_up, waiting)
        self._start_waiting()

    def _give_up(self, waiting):
        call = self.calls.pop(id(waiting), None)
        if call is not None:
            self.policy.queue(SERVICE).remove(waiting)
            self.world.end(call, 'refused')

    def _start_waiting(self):
        while True:
            started = self.policy.start_next(
                self.world.state, SERVICE, self.world.now_s
            )
            if started is None:
                break
            waiting, name = started
            self.world.send(self.calls.pop(id(waiting)), name)
        if len(self.policy.queue(SERVICE)) and not self.has_timer:
            self.has_timer = True
            self.world.after(LOOK_AGAIN_S, self._on_timer)

    def _on_timer(self):
        self.has_timer = False
        self._start_waiting()

    def finish(self, call, outcome):
        """Process the outcome of an exchange."""
        now_s = self.world.now_s
        is_answer = outcome is health.Outcome.ANSWERED
        took_s = now_s - call.sent_s if is_answer else None
        self.policy.leave(
            SERVICE, call.urgency, call.endpoint, outcome, now_s, took_s
        )
        self._settle(call, outcome)
        self._start_waiting()

    def _settle(self, call, outcome):
        if call.is_done:
            return
        if outcome is health.Outcome.ANSWERED:
            self.world.end(call, 'good')
        elif not self._retry(call, outcome):
            self.world.end(call, outcome.value)

    def _retry(self, call, outcome):
        failure = _FAILURES[outcome]
        call.attempts.note(failure, call.endpoint)
        left_s = call.deadline_s - self.world.now_s
        may = self.policy.may_retry(call, failure, left_s, self.budget)
        if may:
            wait_s = call.attempts.backoff_s(self.rng)
            self.world.after(wait_s, self.attempt, call)
        return may


class World:
    """Simulate endpoints and entry hosts in virtual time.

    :param make_policy: returns the policy of an entry host, from its zone
        and the random generator
    :param seed: seed of the random number generator
    """

    def __init__(self, state, make_policy, seed, queue_limit=0):
        self.state = state
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.result = Result()
        self._events = []
        self._numbers = itertools.count()
        self.endpoints = {
            name: Endpoint(queue_limit=queue_limit)
            for name in state.fleet.endpoints
        }
        self.entries = [
            Entry(self, make_policy(member.zone, self.rng), self.rng)
            for member in state.members.values()
        ]

    def at(self, when_s, act, *arguments):
        """Schedule a call of a function at a time."""
        heapq.heappush(
            self._events, (when_s, next(self._numbers), act, arguments)
        )

    def after(self, wait_s, act, *arguments):
        """Schedule a call of a function after a delay."""
        self.at(self.now_s + wait_s, act, *arguments)

    def run(self, until_s):
        """Advance virtual time and run the events that are due."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)

    def offer(self, rate, until_s, make_call, entries=None):
        """Schedule arrivals of calls at random entry hosts.

        :param rate: calls per second
        :param make_call: returns a call, given the time and a random generator
        """
        when_s = self.now_s
        while True:
            when_s += self.rng.expovariate(rate)
            if when_s >= until_s:
                return
            call = make_call(when_s, self.rng)
            entry = self.rng.choice(entries or self.entries)
            self.at(when_s, self._arrive, entry, call)

    def _arrive(self, entry, call):
        call.entry = entry
        self.result.asked[call.urgency] += 1
        entry.arrive(call)

    def end(self, call, how):
        """Count the final answer to a call."""
        call.is_done = True
        if how == 'good':
            self.result.good[call.urgency] += 1
            took_s = self.now_s - call.came_s
            self.result.latencies_s[call.urgency].append(took_s)
        elif how == 'refused':
            self.result.refused += 1
        else:
            self.result.bad[how] += 1

    def send(self, call, name):
        """Send a call to an endpoint."""
        call.endpoint = name
        call.sent_s = self.now_s
        self.result.sent[name] += 1
        self.after(NETWORK_S, self._receive, call, name, call.number)

    def _receive(self, call, name, number):
        endpoint = self.endpoints[name]
        if endpoint.mode == 'gone':
            self.after(
                CONNECT_TIMEOUT_S, self._reply, call, number, 'unreachable'
            )
        elif endpoint.mode == 'failing':
            self.after(FAST_FAILURE_S, self._reply, call, number, 'failed')
        elif endpoint.mode == 'frozen':
            self.at(call.deadline_s, self._reply, call, number, 'failed')
        elif endpoint.running < endpoint.slots:
            self._start_work(endpoint, call, number)
        elif len(endpoint.waiting) < endpoint.queue_limit:
            endpoint.waiting.append((call, number))
            self.at(call.deadline_s, self._reply, call, number, 'failed')
        else:
            self.after(NETWORK_S, self._reply, call, number, 'refused')

    def _start_work(self, endpoint, call, number):
        endpoint.running += 1
        work_s = call.work_s * (SLOWNESS if endpoint.mode == 'slow' else 1.0)
        self.after(work_s, self._end_work, endpoint, call, number)

    def _end_work(self, endpoint, call, number):
        endpoint.running -= 1
        while endpoint.waiting and endpoint.running < endpoint.slots:
            self._start_work(endpoint, *endpoint.waiting.popleft())
        # Work that ends after the deadline is of no use to its caller.
        late = self.now_s > call.deadline_s
        self._reply(call, number, 'failed' if late else 'answered')

    def _reply(self, call, number, outcome):
        if call.is_done or call.number != number or not call.endpoint:
            return
        call.entry.finish(call, health.Outcome(outcome))
