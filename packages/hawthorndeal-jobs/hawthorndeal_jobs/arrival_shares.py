"""Tell which jobs are beyond the share of their workspace.

The load: one to three workspaces send four to seven times their usual for some
seconds, and fill the hosts that all of them share. A workspace's weight is the
number of jobs per second that are owed to it. What it sends beyond that is
served from room that nobody else needs.
"""

import attrs

# A workspace may send this many seconds' worth of its jobs at once, and a few
# jobs in any case: the arrivals of callers who don't know of each other vary.
BURST_S = 1.0
MIN_BURST_JOBS = 4.0


@attrs.define
class _Bucket:
    """What is left of a workspace's share.

    :ivar jobs: number of jobs that are owed to it now
    """

    jobs: float
    updated_s: float


class ArrivalShares:
    """Counts the jobs that arrive from each workspace, in the log's order."""

    def __init__(self):
        self._buckets = {}

    def note(self, workspace, weight, arrived_s):
        """Count a job; return whether it is beyond the workspace's share.

        :param weight: jobs per second that are owed to the workspace
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = _Bucket(_burst(weight), arrived_s)
            self._buckets[workspace] = bucket
        bucket.jobs = _refilled(bucket, weight, arrived_s)
        bucket.updated_s = max(bucket.updated_s, arrived_s)
        if bucket.jobs < 1.0:
            return True
        bucket.jobs -= 1.0
        return False

    def is_used_up(self, workspace, weight, now_s):
        """Return whether a job that arrives now would be beyond the share."""
        bucket = self._buckets.get(workspace)
        return bucket is not None and _refilled(bucket, weight, now_s) < 1.0


def _burst(weight):
    return max(MIN_BURST_JOBS, weight * BURST_S)


def _refilled(bucket, weight, now_s):
    passed_s = max(0.0, now_s - bucket.updated_s)
    return min(_burst(weight), bucket.jobs + passed_s * weight)
