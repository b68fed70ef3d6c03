"""Measure how much work arrives in a pool, and where that is going."""

import collections
import itertools

import attrs

BUCKET_S = 0.25
# Buckets of the latest rate, and as many before it for the trend.
WINDOW_BUCKETS = 4
WINDOW_S = BUCKET_S * WINDOW_BUCKETS


@attrs.define
class DemandMeter:
    """Keep the work that arrived in the last seconds.

    Work is in millicore-seconds, so that a rate is in millicores: what the
    work keeps busy on average.
    """

    _buckets: collections.deque = attrs.Factory(
        lambda: collections.deque([0.0] * 2 * WINDOW_BUCKETS)
    )
    _begin_s: float | None = None

    def note(self, work, now_s):
        """Note work that arrives now."""
        self._advance(now_s)
        self._buckets[-1] += work

    def _advance(self, now_s):
        if self._begin_s is None:
            self._begin_s = now_s
        steps = int((now_s - self._begin_s) / BUCKET_S)
        for _ in range(min(steps, len(self._buckets))):
            self._buckets.popleft()
            self._buckets.append(0.0)
        self._begin_s += steps * BUCKET_S

    def rate(self, now_s):
        """Return the work a second of the latest window."""
        self._advance(now_s)
        latest = itertools.islice(self._buckets, WINDOW_BUCKETS, None)
        return sum(latest) / WINDOW_S

    def forecast(self, now_s, ahead_s):
        """Return the rate expected soon, going on as it has grown."""
        rate = self.rate(now_s)
        earlier = itertools.islice(self._buckets, WINDOW_BUCKETS)
        growth = (rate - sum(earlier) / WINDOW_S) / WINDOW_S
        return rate + max(0.0, growth) * ahead_s


def work_of(spec):
    """Return the declared work of a job, in millicore-seconds.

    Lasting tasks are left out: what they take is known once they run.
    """
    return sum(
        step.count * step.reserved.cpu_millicores * step.estimate_s
        for step in spec.steps
        if not step.is_lasting
    )
