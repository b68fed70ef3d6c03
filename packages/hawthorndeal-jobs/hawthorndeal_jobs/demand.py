"""Measure the rate at which work arrives in a pool, and its growth."""

import collections
import itertools
import math

import attrs

BUCKET_S = 0.25
# Buckets in the window of the current rate; the trend compares it with the
# window before.
WINDOW_BUCKETS = 4
WINDOW_S = BUCKET_S * WINDOW_BUCKETS
# Hosts that are needed later than this are not asked for now. A declared run
# time may be far off.
HORIZON_S = 30.0
# Number of jobs over which the mean work per job is averaged.
MEAN_WORK_JOBS = 30


@attrs.define
class DemandMeter:
    """Sliding-window meter of arriving work.

    It counts jobs and multiplies by their mean work, since a single large job
    says little about how many will follow. Work is in host-seconds, so that a
    rate is the number of hosts that the work keeps busy on average.
    """

    _buckets: collections.deque = attrs.Factory(
        lambda: collections.deque([0] * 2 * WINDOW_BUCKETS)
    )
    _bucket_start_s: float | None = None
    _mean_work: float = 0.0
    _job_count: int = 0

    def note(self, work, now_s):
        """Record a job that arrives now."""
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
        """Return the arriving work per second, over both windows."""
        earlier, latest = self._counts(now_s)
        # A falling rate takes effect later than a rising one.
        jobs_per_s = max(latest, (earlier + latest) / 2) / WINDOW_S
        return jobs_per_s * self._mean_work

    def growth(self, now_s, ahead_s):
        """Return the expected growth of the rate.

        Only an increase beyond random variation counts as growth.
        """
        earlier, latest = self._counts(now_s)
        noise = math.sqrt(earlier + 1)
        jobs_per_s2 = max(0.0, latest - earlier - noise) / WINDOW_S**2
        return jobs_per_s2 * ahead_s * self._mean_work


def declared_work(spec, capacity):
    """Return the declared work of a job within the horizon, in host-seconds.

    Long-running tasks are excluded: their load is measured once they run. So
    are tasks that need more than a host.

    :param capacity: the capacity of one host
    """
    return sum(
        step.count * share * min(HORIZON_S, step.estimate_s)
        for step in spec.steps
        for share in [step.reserved.dominant_share(capacity)]
        if share <= 1.0 and not step.is_lasting
    )
