"""Adapt how many requests may run at one endpoint at once from here.

The slots of an endpoint are shared by all entry hosts, which learn of each
other's use only by what the endpoint does: it refuses, or it answers later.
"""

import attrs

FLOOR = 1.0
REFUSED_FACTOR = 0.7
QUEUED_FACTOR = 0.85
QUEUED_RATIO = 2.0
QUEUED_MIN_S = 0.005
HOLD_S = 0.05
LATENCY_WEIGHT = 0.1


def _blend(average_s, took_s):
    if average_s is None:
        return took_s
    return average_s + LATENCY_WEIGHT * (took_s - average_s)


@attrs.define
class ConcurrencyLimit:
    """Raise the limit while it is used up, lower it on congestion.

    :ivar ceiling: the limit never exceeds it
    :ivar latency_s: average time to an answer, or None
    :ivar lone_latency_s: the same while little ran from here, or None
    """

    ceiling: int
    value: float = FLOOR
    latency_s: float | None = None
    lone_latency_s: float | None = None
    _held_until_s: float = float('-inf')

    def note_answered(self, in_flight, took_s, now_s):
        """Learn from an answer.

        :param in_flight: requests that ran from here, this one included
        """
        self.latency_s = _blend(self.latency_s, took_s)
        if in_flight <= FLOOR:
            self.lone_latency_s = _blend(self.lone_latency_s, took_s)
        if self._is_queueing():
            self._lower(QUEUED_FACTOR, now_s, self.latency_s)
        elif in_flight >= int(self.value):
            self.value = min(self.ceiling, self.value + 1.0 / self.value)

    def _is_queueing(self):
        if self.lone_latency_s is None or self.value <= FLOOR:
            return False
        added_s = self.latency_s - self.lone_latency_s
        return (
            added_s > QUEUED_MIN_S
            and self.latency_s > QUEUED_RATIO * self.lone_latency_s
        )

    def note_refused(self, now_s):
        """Learn that the endpoint had no slot free."""
        self._lower(REFUSED_FACTOR, now_s, HOLD_S)

    def _lower(self, factor, now_s, hold_s):
        # One congestion is seen by every request in flight; it counts once.
        if now_s < self._held_until_s:
            return
        self.value = max(FLOOR, self.value * factor)
        self._held_until_s = now_s + hold_s

    def restart(self):
        """Begin at the floor, as with an endpoint just back."""
        self.value = FLOOR

    def cap(self, ceiling):
        """Change the ceiling."""
        self.ceiling = ceiling
        self.value = min(self.value, float(ceiling))
