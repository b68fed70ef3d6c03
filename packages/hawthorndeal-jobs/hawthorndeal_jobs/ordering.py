"""Order the steps that wait for executors in a pool."""

import functools

import attrs

from . import jobs

# A job loses its value this many times its objective after it was due.
CUTOFF_FACTOR = 3.0


@attrs.define(eq=False)
class ReadyStep:
    """A step whose tasks may start.

    :ivar pending: indexes of tasks without a run
    :ivar objective_s: when the job should be done, on the local monotonic
        clock
    :ivar cutoff_s: when the job has lost its value
    :ivar remaining_path_s: declared run time of the critical path from here
    :ivar unplaced_since_s: since when no task of the step could be placed
    :ivar number: increases with each step of the partition
    """

    occurrence: jobs.Occurrence
    step: int
    pending: list[int]
    objective_s: float
    cutoff_s: float
    priority: int
    remaining_path_s: float
    unplaced_since_s: float | None = None
    number: int = 0

    @property
    def key(self):
        """Key that identifies the step."""
        return self.occurrence.job.job_id, self.occurrence.number, self.step

    @functools.cached_property
    def spec(self):
        """The declared step."""
        return self.occurrence.job.spec.steps[self.step]


def objective_s(queue, spec):
    """Return the time within which a due job should be done."""
    return queue.stretch * spec.critical_path_s() + queue.latency_target_s


def remaining_path_s(spec, step):
    """Return the declared run time of the critical path from a step."""
    successors_s = [
        remaining_path_s(spec, index)
        for index, other in enumerate(spec.steps)
        if step in other.after
    ]
    return spec.steps[step].estimate_s + max(successors_s, default=0.0)


def rank(ready_step, now_s):
    """Return the sort key of a step; the lowest is placed first.

    Long-running tasks come first, since they are useful from the start and
    for a long time. Jobs that can still meet their objective come before
    those that cannot, so that one late job does not delay others. Among steps
    of equal priority, those in time are ordered by latest start time, and
    late ones by objective.
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
