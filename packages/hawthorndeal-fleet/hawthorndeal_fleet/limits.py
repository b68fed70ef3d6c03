"""Adaptive limit on the requests in flight to one endpoint.

All entry hosts share the slots of an endpoint. They detect each other's load
only by the endpoint's behaviour: refusals and increasing latency.
"""

import attrs

MIN_LIMIT = 1.0
REFUSAL_FACTOR = 0.7
QUEUEING_FACTOR = 0.85
QUEUEING_LATENCY_RATIO = 2.0
QUEUEING_MIN_ADDED_S = 0.005
REFUSAL_HOLD_S = 0.05
LATENCY_WEIGHT = 0.1


def _moving_average(average_s, took_s):
    if average_s is None:
        return took_s
    return average_s + LATENCY_WEIGHT * (took_s - average_s)


@attrs.define
class ConcurrencyLimit:
    """Additive-increase, multiplicative-decrease (AIMD) concurrency limit.

    The limit increases only while it is used up.

    :ivar ceiling: maximum of the limit
    :ivar latency_s: moving average of the latency, or None
    :ivar unloaded_latency_s: the same over answers to at most ``MIN_LIMIT``
        requests in flight from this entry host, or None
    """

    ceiling: int
    value: float = MIN_LIMIT
    latency_s: float | None = None
    unloaded_latency_s: float | None = None
    _held_until_s: float = float('-inf')

    def note_answered(self, in_flight, took_s, now_s):
        """Update the limit after an answer.

        :param in_flight: requests in flight from this entry host, including
            the answered one
        """
        self.latency_s = _moving_average(self.latency_s, took_s)
        if in_flight <= MIN_LIMIT:
            self.unloaded_latency_s = _moving_average(
                self.unloaded_latency_s, took_s
            )
        if self._is_queueing():
            self._decrease(QUEUEING_FACTOR, now_s, self.latency_s)
        elif in_flight >= int(self.value):
            self.value = min(self.ceiling, self.value + 1.0 / self.value)

    def _is_queueing(self):
        if self.unloaded_latency_s is None or self.value <= MIN_LIMIT:
            return False
        added_s = self.latency_s - self.unloaded_latency_s
        return (
            added_s > QUEUEING_MIN_ADDED_S
            and self.latency_s
            > QUEUEING_LATENCY_RATIO * self.unloaded_latency_s
        )

    def note_refused(self, now_s):
        """Decrease the limit after a refusal for lack of a free slot."""
        self._decrease(REFUSAL_FACTOR, now_s, REFUSAL_HOLD_S)

    def _decrease(self, factor, now_s, hold_s):
        # All requests in flight observe the same congestion; it counts once.
        if now_s < self._held_until_s:
            return
        self.value = max(MIN_LIMIT, self.value * factor)
        self._held_until_s = now_s + hold_s

    def reset(self):
        """Return to the minimum, as for an endpoint that just came back."""
        self.value = MIN_LIMIT

    def set_ceiling(self, ceiling):
        """Change the maximum of the limit."""
        self.ceiling = ceiling
        self.value = min(self.value, float(ceiling))
