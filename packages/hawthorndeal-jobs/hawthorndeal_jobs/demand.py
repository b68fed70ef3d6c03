"""Measure how much work arrives in a pool, and where that is going."""

import collections
import itertools
import math

import attrs

BUCKET_S = 0.25
# Buckets of the latest rate, and as many before it for the trend.
WINDOW_BUCKETS = 4
WINDOW_S = BUCKET_S * WINDOW_BUCKETS
# Jobs over which the mean work is taken.
MEAN_WORK_JOBS = 30


@attrs.define
class DemandMeter:
    """Keep what arrived in the last seconds.

    Jobs are counted, and weighed by their mean work: a single large job says
    little of how many follow. Work is in host-seconds, so that a rate is in
    hosts: what the work keeps busy on average.
    """

    _buckets: collections.deque = attrs.Factory(
        lambda: collections.deque([0] * 2 * WINDOW_BUCKETS)
    )
    _bucket_start_s: float | None = None
    _mean_work: float = 0.0
    _job_count: int = 0

    def note(self, work, now_s):
        """Note a job that arrives now."""
        self._advance(now_s)
        self._buckets[-1] += 1
        self._job_count += 1
        weight = 1.0 / min(self._job_count, MEAN_WORK_JOBS)
        self._mean_work += (work - self._mean_work) * weight

    def _advance(self, now_s):
        if self._bucket_start_s is None:
            self._bucket_start_s = now_s
        steps = int((now_s - self._bucket_start_s) / BUCKET_S)
        for _ in range(min(steps, len(self._buckets))):
            self._buckets.popleft()
            self._buckets.append(0)
        self._bucket_start_s += steps * BUCKET_S

    def _counts(self, now_s):
        self._advance(now_s)
        earlier = sum(itertools.islice(self._buckets, WINDOW_BUCKETS))
        return earlier, sum(self._buckets) - earlier

    def rate(self, now_s):
        """Return the work a second that arrives, over both windows."""
        earlier, latest = self._counts(now_s)
        # A falling rate is believed later than a rising one.
        jobs_per_s = max(latest, (earlier + latest) / 2) / WINDOW_S
        return jobs_per_s * self._mean_work

    def growth(self, now_s, ahead_s):
        """Return by how much the rate is expected to grow.

        Only what is beyond chance counts as growth.
        """
        earlier, latest = self._counts(now_s)
        noise = math.sqrt(earlier + 1)
        jobs_per_s2 = max(0.0, latest - earlier - noise) / WINDOW_S**2
        return jobs_per_s2 * ahead_s * self._mean_work


def declared_work(spec, capacity):
    """Return the declared work of a job, in host-seconds.

    Lasting tasks are left out: what they take is known once they run.

    :param capacity: what one host has
    """
    return sum(
        step.count * step.reserved.dominant_share(capacity) * step.estimate_s
        for step in spec.steps
        if not step.is_lasting
    )
