"""Order the steps that wait for executors in a pool.

The order matters while a pool has less room than its jobs ask for. If each
job were started as late as its objective allows, every delay would make it
late, and its remaining tasks would then give way to other jobs: all of the
pool would work on jobs that are of little use by their end. Therefore jobs
that have begun are finished first, and a job is put back as soon as it is not
expected to be in time.

Jobs that a workspace sends beyond its share come after those of all others
that may be in time. If those of them that have begun were finished first, too,
each moment with room would let the workspace take the pool for a while.

Where there is room, and only the owner's starts are short, each job without
runs gets one before others, once it has been waiting for some time.
"""

import enum
import functools

import attrs

from . import crash_blame
from . import jobs

# A job loses its value this many times its objective after it was due.
CUTOFF_FACTOR = 3.0
# A step that waits beside room for longer, only because others take all starts
# of the owner, goes before them.
MAX_TURN_WAIT_S = 1.0
# Wait after starts were rejected for reasons that another executor would not
# change; doubles with each further round of starts in a row.
REJECTED_WAIT_S = 0.05
MAX_REJECTED_WAIT_S = 1.5
# Time from the end of a job until the daemons of its callers know of it.
PUBLICATION_S = 0.2


class Urgency(enum.IntEnum):
    """Groups of steps; those of a lower one are placed first."""

    # Long-running tasks are useful from the start and for a long time.
    LASTING = 0
    # Work that would be lost if the rest of the job came too late.
    BEGUN = 1
    EXPECTED_IN_TIME = 2
    # In time only if its tasks end sooner than those of other jobs.
    HARDLY_IN_TIME = 3
    BEGUN_BEYOND_SHARE = 4
    LATE = 5
    BEYOND_SHARE = 6
    WORTHLESS = 7


@attrs.define(eq=False)
class ReadyStep:
    """A step whose tasks may start.

    :ivar pending: indexes of tasks without a run
    :ivar objective_s: when the job should be done, on the local monotonic
        clock
    :ivar cutoff_s: when the job has lost its value
    :ivar remaining_path_s: declared run time of the critical path from here
    :ivar unplaced_since_s: since when no task of the step could be placed
    :ivar placed_s: when a task of the step was last placed
    :ivar short_since_s: since when the step has been waiting beside room for
        a start; None if it waits for something else
    :ivar number: increases with each step of the partition
    :ivar suspects: indexes of pending tasks that may crash executors
    :ivar rejected_wait_s: for how long the step is put off if a start is
        rejected for reasons that another executor would not change
    :ivar beside_room_since_s: since when the step is held back though there
        is room for it; None while it isn't
    :ivar put_off_until_s: no task of the step starts before
    """

    occurrence: jobs.Occurrence
    step: int
    pending: list[int]
    objective_s: float
    cutoff_s: float
    priority: int
    remaining_path_s: float
    unplaced_since_s: float | None = None
    placed_s: float | None = None
    short_since_s: float | None = None
    number: int = 0
    suspects: set[int] = attrs.Factory(set)
    rejected_wait_s: float = REJECTED_WAIT_S
    put_off_until_s: float = 0.0
    beside_room_since_s: float | None = None

    @property
    def key(self):
        """Key that identifies the step."""
        return self.occurrence.job.job_id, self.occurrence.number, self.step

    @functools.cached_property
    def spec(self):
        """The declared step."""
        return self.occurrence.job.spec.steps[self.step]

    @property
    def job(self):
        """The job that the step belongs to."""
        return self.occurrence.job

    @property
    def is_begun(self):
        """Whether a task of the step, or one that it waits for, has begun."""
        return len(self.pending) < self.spec.count or bool(self.spec.after)

    @property
    def waits_apart(self):
        """Whether all pending tasks are suspects of crashes."""
        return bool(self.pending) and len(self.suspects) == len(self.pending)

    def note_pending(self, index):
        """Record that a task waits for a run, and whether it is a suspect."""
        if crash_blame.probation_s(self.occurrence.tasks[self.step][index]):
            self.suspects.add(index)
        else:
            self.suspects.discard(index)

    def take(self, index):
        """Record that a task got a run."""
        self.pending.remove(index)
        self.suspects.discard(index)

    def note_rejected(self, planned_s, now_s):
        """Record that a start was rejected, and put off the next ones.

        Starts that were planned before the step was last put off belong to the
        round that put it off: one event may reject all of them.

        :param planned_s: when the start was planned
        """
        if planned_s < self.put_off_until_s:
            return
        self.put_off_until_s = now_s + self.rejected_wait_s
        self.rejected_wait_s = min(
            MAX_REJECTED_WAIT_S, 2 * self.rejected_wait_s
        )

    @property
    def is_rejected(self):
        """Whether a start of the last round was rejected."""
        return self.rejected_wait_s > REJECTED_WAIT_S

    def note_accepted(self):
        """Record that a start was accepted."""
        self.rejected_wait_s = REJECTED_WAIT_S

    def note_short(self, now_s):
        """Record that the step got no start though there is room for it."""
        if self.short_since_s is None:
            self.short_since_s = now_s

    def is_overdue(self, now_s):
        """Return whether the step has waited too long for a start."""
        return self.turn_s(now_s) < now_s

    def turn_s(self, now_s):
        """Return by when the step should have had a start, or now if earlier.

        Steps that have not waited for too long don't differ in it.
        """
        if self.short_since_s is None:
            return now_s
        return min(now_s, self.short_since_s + MAX_TURN_WAIT_S)

    @property
    def latest_start_s(self):
        """When the step has to begin if the job is to be in time."""
        return self.objective_s - self.remaining_path_s

    def is_late(self, now_s):
        """Return whether the job can't be in time any more."""
        return now_s > self.latest_start_s

    @property
    def is_beyond_share(self):
        """Whether the job is beyond the share of its workspace."""
        return self.occurrence.job.is_beyond_share

    def gives_way(self, now_s):
        """Return whether the step is placed after what may be in time.

        Long-running tasks are never too late to be useful.
        """
        if self.spec.is_lasting:
            return False
        return self.is_late(now_s) or self.is_beyond_share


def objective_s(queue, spec):
    """Return the time within which a due job should be done."""
    return queue.stretch * spec.critical_path_s + queue.latency_target_s


def rank(ready_step, now_s, run_time_factor=1.0):
    """Return the sort key of a step; the lowest is placed first.

    Among steps of one urgency and priority, those in time are ordered by
    latest start time, and late ones by objective.

    :param run_time_factor: by how much steps of the queue take longer than
        declared; see :class:`estimates.StepTimes`
    """
    spec = ready_step.spec
    if spec.is_lasting:
        return (Urgency.LASTING, spec.is_filler, ready_step.objective_s)
    urgency = _urgency(ready_step, now_s, run_time_factor)
    if ready_step.is_beyond_share:
        is_begun = urgency is Urgency.BEGUN
        urgency = max(
            urgency,
            Urgency.BEGUN_BEYOND_SHARE if is_begun else Urgency.BEYOND_SHARE,
        )
    order_s = ready_step.objective_s
    if urgency < Urgency.LATE:
        order_s -= ready_step.remaining_path_s
    return (urgency, ready_step.priority, order_s)


def _urgency(ready_step, now_s, run_time_factor):
    left_s = ready_step.objective_s - now_s
    path_s = ready_step.remaining_path_s
    if not ready_step.is_late(now_s):
        if ready_step.is_begun:
            return Urgency.BEGUN
        if left_s >= path_s * run_time_factor + PUBLICATION_S:
            return Urgency.EXPECTED_IN_TIME
        return Urgency.HARDLY_IN_TIME
    if now_s <= ready_step.cutoff_s:
        return Urgency.LATE
    return Urgency.WORTHLESS
