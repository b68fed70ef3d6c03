"""Decide which step's tasks go first; answers waiting work in a pool."""

import attrs

from . import jobs

# A job earns something until it is this many times its objective late.
CUTOFF_FACTOR = 3.0


@attrs.define(eq=False)
class OpenStep:
    """Hold a step whose tasks may start.

    :ivar pending: indexes of tasks without a run
    :ivar objective_s: when its job should be done, since the epoch
    :ivar latest_s: when its job is too late to be of use
    :ivar waits_since_s: since when none of its tasks has found room
    """

    occurrence: jobs.Occurrence
    step: int
    pending: list[int]
    objective_s: float
    cutoff_s: float
    priority: int
    remaining_path_s: float
    unplaced_since_s: float | None = None

    @property
    def key(self):
        """Return what names the step."""
        return self.occurrence.job.job_id, self.occurrence.number, self.step

    @property
    def spec(self):
        """Return the declared step."""
        return self.occurrence.job.spec.steps[self.step]


def objective_s(queue, spec):
    """Return the time from its due time in which a job should be done."""
    return queue.stretch * spec.critical_path_s() + queue.latency_target_s


def remaining_path_s(spec, step):
    """Return the declared run time of the longest chain from a step."""
    successors_s = [
        remaining_path_s(spec, index)
        for index, other in enumerate(spec.steps)
        if step in other.after
    ]
    return spec.steps[step].estimate_s + max(successors_s, default=0.0)


def rank(ready_step, now_s):
    """Return the sort key of a step; the least goes first.

    Lasting tasks go first, since they are of use at once and for long. A
    job that can still make its objective goes before one that can't, so
    that one late job doesn't make others late. Among equals the earliest
    start still in time goes first.
    """
    spec = ready_step.spec
    if spec.is_lasting:
        return (0, spec.is_filler, ready_step.objective_s)
    latest_start_s = ready_step.objective_s - ready_step.remaining_path_s
    if now_s <= latest_start_s:
        return (1, ready_step.priority, latest_start_s)
    if now_s <= ready_step.cutoff_s:
        return (2, ready_step.priority, ready_step.objective_s)
    return (3, ready_step.priority, ready_step.objective_s)
