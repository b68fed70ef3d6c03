"""Baseline policies for the measurements of the request path."""

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import calls
from hawthorndeal_fleet import health
from hawthorndeal_fleet import retries
from hawthorndeal_fleet import routing
from hawthorndeal_fleet import scheduling


class Adaptive(scheduling.Scheduler):
    """Policy of the daemon."""

    def __init__(self, zone, rng):
        super().__init__(routing.Router(zone), rng)

    def may_retry(self, call, failure, left_s, budget):
        """Return whether a failed call is retried."""
        return call.attempts.allows_retry(call, failure, left_s, budget)


class AnswersOnlyRouter(routing.Router):
    """Route without quarantine: every endpoint is considered healthy."""

    def finish(self, name, outcome, now_s, rng, took_s=None):
        """Record every outcome but a refusal as an answer."""
        if outcome is not health.Outcome.REFUSED:
            outcome = health.Outcome.ANSWERED
        super().finish(name, outcome, now_s, rng, took_s)


class NoQuarantine(Adaptive):
    """Policy of the daemon without quarantine."""

    def __init__(self, zone, rng):
        scheduling.Scheduler.__init__(self, AnswersOnlyRouter(zone), rng)


class NoDelaySignal(Adaptive):
    """Policy of the daemon whose limits only refusals lower."""

    def leave(self, service, urgency, name, outcome, now_s, took_s=None):
        """Reset the unloaded latency, the reference for rising delays."""
        super().leave(service, urgency, name, outcome, now_s, took_s)
        load = self._router._loads.get(name)
        if load is not None:
            load.limit.unloaded_latency_s = None


class _RandomRouter(routing.Router):
    """Route to a random endpoint that has room."""

    def _wait_s(self, name, now_s):
        return 0.0


class RandomChoice(Adaptive):
    """Policy of the daemon with one random choice."""

    def __init__(self, zone, rng):
        scheduling.Scheduler.__init__(self, _RandomRouter(zone), rng)


class NoReserve(Adaptive):
    """Policy of the daemon with the same urgency for all requests."""

    def enter(self, state, service, waiting, now_s):
        """Treat every request as interactive."""
        waiting.urgency = calls.Urgency.INTERACTIVE
        return super().enter(state, service, waiting, now_s)

    def leave(self, service, urgency, name, outcome, now_s, took_s=None):
        """Treat every request as interactive."""
        super().leave(
            service,
            calls.Urgency.INTERACTIVE,
            name,
            outcome,
            now_s,
            took_s,
        )


class Unlimited:
    """Send each request at once, without limits or a queue.

    :param zone: not used, as endpoints of all zones are treated alike
    """

    def __init__(self, zone, rng):
        self._rng = rng
        self._in_flight = {}
        self._queue = admission.ServiceQueue()

    def queue(self, service):
        """Return a queue that stays empty."""
        return self._queue

    def enter(self, state, service, waiting, now_s):
        """Return the endpoint chosen by the baseline policy."""
        names = state.endpoints_of(service)
        left = [name for name in names if name not in waiting.excluded]
        name = self._choose(left or names)
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        return name

    def may_retry(self, call, failure, left_s, budget):
        """Retry if it is safe and the retry budget allows it."""
        return (
            call.number < retries.MAX_FAILURES
            and retries.is_safe_to_retry(call, failure)
            and budget.spend()
        )

    def start_next(self, state, service, now_s):
        """Return None, as no request waits."""
        return None

    def leave(self, service, urgency, name, outcome, now_s, took_s=None):
        """Decrement the requests in flight to the endpoint."""
        self._in_flight[name] -= 1


class RoundRobin(Unlimited):
    """Choose the endpoints in turn."""

    _turn = 0

    def _choose(self, names):
        self._turn += 1
        return names[self._turn % len(names)]


class LeastInFlight(Unlimited):
    """Choose the endpoint with the fewest requests of this entry host."""

    def _choose(self, names):
        self._rng.shuffle(names)
        return min(names, key=lambda name: self._in_flight.get(name, 0))


class RetryAll(LeastInFlight):
    """Retry every failure, without a retry budget."""

    def may_retry(self, call, failure, left_s, budget):
        """Retry up to the maximum number of failures."""
        return call.number < retries.MAX_FAILURES
