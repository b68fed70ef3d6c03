"""Simple policies that the request path is measured against."""

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import calls
from hawthorndeal_fleet import health
from hawthorndeal_fleet import retries
from hawthorndeal_fleet import routing
from hawthorndeal_fleet import scheduling


class Adaptive(scheduling.Scheduler):
    """Be the daemon's own policy."""

    def __init__(self, zone, rng):
        super().__init__(routing.Router(zone), rng)

    def may_retry(self, call, failure, left_s, budget):
        """Tell whether a failed call is tried again."""
        return call.attempts.allows_retry(call, failure, left_s, budget)


class AnswersOnlyRouter(routing.Router):
    """Route without quarantine: every endpoint looks healthy."""

    def finish(self, name, outcome, now_s, rng, took_s=None):
        """Learn from answers only."""
        if outcome is not health.Outcome.REFUSED:
            outcome = health.Outcome.ANSWERED
        super().finish(name, outcome, now_s, rng, took_s)


class NoQuarantine(Adaptive):
    """Be the daemon's policy without quarantine."""

    def __init__(self, zone, rng):
        scheduling.Scheduler.__init__(self, AnswersOnlyRouter(zone), rng)


class NoDelaySignal(Adaptive):
    """Be the daemon's policy with limits that refusals alone lower."""

    def leave(self, service, urgency, name, outcome, now_s, took_s=None):
        """Forget how long an endpoint takes with little to do."""
        super().leave(service, urgency, name, outcome, now_s, took_s)
        load = self._router._loads.get(name)
        if load is not None:
            load.limit.unloaded_latency_s = None


class _RandomRouter(routing.Router):
    """Route to any endpoint that has room."""

    def _wait_s(self, name, now_s):
        return 0.0


class RandomChoice(Adaptive):
    """Be the daemon's policy with one random choice."""

    def __init__(self, zone, rng):
        scheduling.Scheduler.__init__(self, _RandomRouter(zone), rng)


class NoReserve(Adaptive):
    """Be the daemon's policy with one order for all requests."""

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
    """Send at once, whatever runs already; no limits and no queue.

    :param zone: not used: all endpoints are alike
    """

    def __init__(self, zone, rng):
        self._rng = rng
        self._in_flight = {}
        self._queue = admission.ServiceQueue()

    def queue(self, service):
        """Return a queue that stays empty."""
        return self._queue

    def enter(self, state, service, waiting, now_s):
        """Return the endpoint that the baseline chooses."""
        names = state.endpoints_of(service)
        left = [name for name in names if name not in waiting.excluded]
        name = self._choose(left or names)
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        return name

    def may_retry(self, call, failure, left_s, budget):
        """Retry what is safe, within the budget."""
        return (
            call.number < retries.MAX_FAILURES
            and retries.is_safe_to_retry(call, failure)
            and budget.spend()
        )

    def start_next(self, state, service, now_s):
        """Return None: nothing waits."""
        return None

    def leave(self, service, urgency, name, outcome, now_s, took_s=None):
        """Count an exchange that ended."""
        self._in_flight[name] -= 1


class RoundRobin(Unlimited):
    """Take the endpoints in turn."""

    _turn = 0

    def _choose(self, names):
        self._turn += 1
        return names[self._turn % len(names)]


class LeastInFlight(Unlimited):
    """Take the endpoint with the fewest requests from here."""

    def _choose(self, names):
        self._rng.shuffle(names)
        return min(names, key=lambda name: self._in_flight.get(name, 0))


class RetryAll(LeastInFlight):
    """Retry whatever fails, without a budget."""

    def may_retry(self, call, failure, left_s, budget):
        """Retry always, a few times."""
        return call.number < retries.MAX_FAILURES
