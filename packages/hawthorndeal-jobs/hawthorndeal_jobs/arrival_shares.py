"""Find the jobs that a workspace sends in excess of its share.

The load: one to three workspaces send four to seven times as many jobs as
usual for some seconds, and fill the hosts that they share with others. A
workspace's weight is the number of jobs per second that are owed to it. Jobs
in excess of that are placed after all other jobs that may be in time.
"""

import attrs

# A workspace may send the jobs of this many seconds at once, and a few in any
# case: its callers don't know of each other, so arrivals vary.
BURST_S = 1.0
MIN_BURST_JOBS = 4.0


@attrs.define
class _Bucket:
    """Token bucket of one workspace.

    :ivar tokens: number of jobs that are owed to the workspace
    """

    tokens: float
    updated_s: float


class ArrivalShares:
    """Counts the jobs that arrive from each workspace.

    :ivar workspaces: the declared workspaces by name
    """

    def __init__(self):
        self.workspaces = {}
        self._buckets = {}

    def note(self, job, arrived_s):
        """Count a job, and record in it whether it is beyond the share."""
        workspace = self.workspaces.get(job.workspace)
        if workspace is None or not workspace.weight:
            return
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(_burst(workspace.weight), arrived_s)
            self._buckets[workspace.name] = bucket
        bucket.tokens = _refilled(bucket, workspace.weight, arrived_s)
        bucket.updated_s = max(bucket.updated_s, arrived_s)
        job.is_beyond_share = bucket.tokens < 1.0
        if not job.is_beyond_share:
            bucket.tokens -= 1.0

    def used_up(self, now_s):
        """Return the names of workspaces whose next job would be beyond."""
        return [
            name
            for name, bucket in self._buckets.items()
            for workspace in [self.workspaces.get(name)]
            if workspace is not None
            and workspace.weight
            and _refilled(bucket, workspace.weight, now_s) < 1.0
        ]


def _burst(weight):
    return max(MIN_BURST_JOBS, weight * BURST_S)


def _refilled(bucket, weight, now_s):
    passed_s = max(0.0, now_s - bucket.updated_s)
    return min(_burst(weight), bucket.tokens + passed_s * weight)
