"""The runs of tasks, and what executors report of them."""

import enum
import functools

import attrs

from . import estimates
from . import jobs
from . import run_index as run_index_module
from . import specs

# Time that a long-running task takes at least until it is at work.
LASTING_STARTUP_S = 0.25


class RunPhase(enum.Enum):
    """State of a run of a task, as far as it is known."""

    # Decided but not yet stored; no request has been sent.
    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'
    # The start request was not acknowledged: the run may have executed, or
    # may still start.
    UNKNOWN = 'unknown'
    # Stored by a previous owner, which may have sent the start request.
    INHERITED = 'inherited'


@attrs.define(eq=False)
class Run:
    """One run of a task on one executor.

    :ivar phase_changed_s: when the phase changed, on the local monotonic clock
    :ivar start_blocked_since_s: since when the run cannot start any more, if
        it had not started before; None while it may start
    :ivar is_unlisted: whether a poll that was sent after its start went
        unanswered doesn't list it
    :ivar is_stop_in_flight: whether a stop request is in flight
    :ivar stop_retry_s: earliest time for the next stop request
    :ivar percent: last reported progress
    :ivar usage: tail latency in ms for a serving task, otherwise millicores
    :ivar progressed_s: when the reported progress last increased
    :ivar pace_changed_s: when pace_percent last changed
    :ivar ticket: permission from the advice service, if its queue needs one
    :ivar planned_s: when the run was planned
    :ivar second_choice: executor ranked second at placement, if any
    :ivar probation_s: time for which it starts apart from other runs, since
        its task may crash executors; 0 if it doesn't
    :ivar is_inherited: whether an earlier owner started it, so that it may
        have lasted longer than is known
    :ivar is_pace_known: whether it is certain which pace it was told last
    :ivar place: sorts the runs of a partition by executor and age there
    :ivar index: the index that the run is in, if any
    """

    task_id: jobs.TaskId
    number: int
    occurrence: jobs.Occurrence
    executor_id: str
    reserved: specs.Resources
    _phase: RunPhase
    phase_changed_s: float
    start_blocked_since_s: float | None = None
    _is_stop_requested: bool = False
    is_unlisted: bool = False
    is_stop_in_flight: bool = False
    stop_retry_s: float = 0.0
    percent: int = 0
    usage: int = 0
    progressed_s: float = 0.0
    started_s: float | None = None
    planned_s: float = 0.0
    second_choice: str = ''
    probation_s: float = 0.0
    is_inherited: bool = False
    is_pace_known: bool = attrs.field()
    _pace_percent: int = 100
    pace_changed_s: float = 0.0
    ticket: str = ''
    checkpoint: str = ''
    place: tuple[int, int] = (0, 0)
    index: run_index_module.RunIndex | None = None

    @is_pace_known.default
    def _is_started_here(self):
        # An earlier owner may have changed the pace of its runs.
        return not self.is_inherited

    @property
    def phase(self):
        """State of the run, as far as it is known."""
        return self._phase

    @phase.setter
    def phase(self, phase):
        self._phase = phase
        self._update_index()

    @property
    def is_stop_requested(self):
        """Whether the run has to end."""
        return self._is_stop_requested

    @is_stop_requested.setter
    def is_stop_requested(self, is_requested):
        self._is_stop_requested = is_requested
        self._update_index()

    @property
    def pace_percent(self):
        """Share of full speed that the run was told to use."""
        return self._pace_percent

    @pace_percent.setter
    def pace_percent(self, percent):
        self._pace_percent = percent
        self.is_pace_known = True
        if self.index is not None:
            self.index.note_pace_input(self.executor_id)

    def note_pace_lost(self):
        """Record that a change of pace was not answered."""
        self.is_pace_known = False
        if self.index is not None:
            self.index.note_pace_input(self.executor_id)

    def _update_index(self):
        if self.index is not None:
            self.index.update(self)

    @property
    def may_need_stop(self):
        """Whether a stop request may have to be sent."""
        return self._is_stop_requested or self._phase is RunPhase.UNKNOWN

    @functools.cached_property
    def step(self):
        """The declared step of the task."""
        return self.occurrence.job.spec.steps[self.task_id.step]

    @property
    def workspace(self):
        """Workspace of the job; empty where its queue is public."""
        return self.occurrence.job.workspace

    @property
    def task(self):
        """The persistent state of the task."""
        return self.occurrence.task(self.task_id)

    @property
    def is_known_to_have_started(self):
        """Whether it is certain that the run has started."""
        return self.started_s is not None or (
            self.task.started_run == self.number
        )

    @property
    def worked_s(self):
        """Least time for which it has worked, by its progress.

        A run of a previous owner may have lasted longer than it is known.
        """
        if self.step.is_lasting:
            return LASTING_STARTUP_S if self.percent >= 100 else 0.0
        if self.step.is_checkpointing:
            # It may have begun with the progress of an earlier run.
            return 0.0
        least_factor, _ = estimates.CORRECTION_RANGE
        work_s = self.step.estimate_s * least_factor
        return work_s * self.percent / 100

    @property
    def is_suspect(self):
        """Whether its task may have crashed executors."""
        return self.probation_s > 0.0 or self.task.crash_count > 0

    @functools.cached_property
    def key(self):
        """Key that identifies the run on its executor."""
        return run_key(self.task_id, self.number)


@attrs.frozen
class ReportedRun:
    """One entry of an executor's list of running tasks."""

    task_id: jobs.TaskId
    number: int
    checkpoint: str
    percent: int
    usage: int = 0


class EndCause(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    # Its executor has ended, and reported nothing.
    LOST = 'lost'
    GANG_BROKEN = 'gang_broken'
    GANG_ALONE = 'gang_alone'


@attrs.frozen
class ReportedEnd:
    """One entry of an executor's list of ended runs.

    :ivar sequence: increases with each end on this executor
    """

    sequence: int
    task_id: jobs.TaskId
    number: int
    cause: EndCause
    checkpoint: str


@attrs.frozen
class ExecutorPoll:
    """An executor's response to a poll.

    :ivar sent_s: when the poll was sent, on the local monotonic clock
    :ivar received_s: when the response arrived
    :ivar clock_s: the executor's monotonic clock at the time of the response
    :ivar is_whole: whether every end that the executor retains is listed
    :ivar born_ms: when the incarnation began, since the epoch, by its own
        clock; 0 where executors don't tell
    """

    sent_s: float
    received_s: float
    clock_s: float
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    is_whole: bool = True
    born_ms: int = 0


def run_key(task_id, number):
    """Return the key that identifies a run of a task on an executor.

    A tuple of plain values is hashed and compared faster than a task id.
    """
    return (
        task_id.job_id,
        task_id.occurrence,
        task_id.step,
        task_id.index,
        number,
    )
