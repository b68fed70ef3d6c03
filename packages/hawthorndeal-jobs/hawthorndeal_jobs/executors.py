"""The partition owner's view of executors and their runs."""

import collections
import enum
import functools
import itertools

import attrs

from . import jobs
from . import run_index as run_index_module
from . import specs

# Upper bound on how much slower an executor's monotonic clock runs than ours.
MAX_CLOCK_DRIFT = 0.02
# Time within which a stopped run has ended and its end has been observed.
STOP_TIMEOUT_S = 1.0
# What an executor told of its runs counts for this long. Longer than a poll
# may take that waits for an end, and shorter than planned operations must
# take notice of a task that is not at work.
MAX_POLL_AGE_S = 2.5
# Time that a long-running task takes at least until it is at work.
LASTING_STARTUP_S = 0.25
# Lower bound on the ratio of actual to declared run times.
MIN_RUN_TIME_FACTOR = 0.25
# Time for an executor to kill its runs after their lease has expired.
LEASE_EXPIRY_MARGIN_S = 0.3


@attrs.frozen
class ExecutorEntry:
    """Attributes that an executor, or the platform on its behalf, advertises.

    :ivar executor_id: identifies one incarnation of the executor on a host
    :ivar host: host that it runs on; empty if unknown
    :ivar clock_s: the executor's monotonic clock when it wrote the entry
    :ivar remaining_s: minimum time left before it shuts down, if it is leaving
    """

    executor_id: str
    address: str
    pool: str
    zone: str
    capacity: specs.Resources
    labels: tuple[str, ...] = ()
    rack: str = ''
    host: str = ''
    is_leaving: bool = False
    remaining_s: float = 0.0
    clock_s: float | None = None


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
    _pace_percent: int = 100
    pace_changed_s: float = 0.0
    ticket: str = ''
    checkpoint: str = ''
    place: tuple[int, int] = (0, 0)
    index: run_index_module.RunIndex | None = None

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
        work_s = self.step.estimate_s * MIN_RUN_TIME_FACTOR
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
    """

    sent_s: float
    received_s: float
    clock_s: float
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    is_whole: bool = True


@attrs.define(eq=False)
class Executor:
    """One executor, with the runs that occupy or may occupy its capacity.

    :ivar discovered_s: when it was first seen
    :ivar number: increases with each executor of the partition
    :ivar version: increases when runs are added or removed, and with each
        entry
    :ivar run_index: the runs of all executors of the partition
    :ivar runs: runs by :func:`run_key`
    :ivar suspect_runs: runs whose tasks may crash executors, by the same key
    :ivar expired_runs: runs that have ended with their leases, since when it
        was not reached
    :ivar free: capacity not reserved by any run
    :ivar whole_capacity: the largest capacity that it has told
    :ivar is_fenced: whether it has seen this owner's epoch
    :ivar fenced_since_s: time by which it had seen the epoch
    :ivar last_recorded_end: sequence of the last end that is stored
    :ivar last_processed_end: sequence of the last end that was processed
    :ivar lease_expires_s: time by which every lease granted has certainly
        expired, on the local monotonic clock
    :ivar is_closed_to_lasting: whether no long-running task is placed here
    :ivar suspended_until_s: no new runs are placed here before this time
    :ivar polled_s: when the last answer to a poll arrived
    :ivar held_until_s: until when no runs start here but those of suspects
    :ivar last_answer_s: when the last answer to any call arrived
    :ivar unanswered_since_s: when a poll first failed after that, or None
    :ivar is_ordered_away: whether an order that ends it was sent to its host,
        and may have taken effect
    """

    entry: ExecutorEntry
    free: specs.Resources
    whole_capacity: specs.Resources = attrs.field(init=False)
    discovered_s: float = 0.0
    number: int = 0
    version: int = 0
    run_index: run_index_module.RunIndex = attrs.Factory(
        run_index_module.RunIndex
    )
    _run_numbers: itertools.count = attrs.Factory(itertools.count)
    runs: dict = attrs.Factory(dict)
    suspect_runs: dict = attrs.Factory(dict)
    expired_runs: list = attrs.Factory(list)
    step_counts: collections.Counter = attrs.Factory(collections.Counter)
    is_fenced: bool = False
    fenced_since_s: float = 0.0
    last_recorded_end: int = 0
    last_processed_end: int = 0
    clock_s: float | None = None
    clock_read_s: float = 0.0
    lease_expires_s: float = 0.0
    last_contact_s: float = 0.0
    polled_s: float = 0.0
    held_until_s: float = 0.0
    last_answer_s: float = 0.0
    unanswered_since_s: float | None = None
    is_reserved: bool = False
    is_ordered_away: bool = False
    is_closed_to_lasting: bool = False
    suspended_until_s: float = 0.0
    consecutive_failures: int = 0
    idle_since_s: float = 0.0
    missing_since_s: float | None = None

    @property
    def executor_id(self):
        """Identity of this incarnation."""
        return self.entry.executor_id

    def __attrs_post_init__(self):
        self.whole_capacity = self.entry.capacity

    @property
    def whole_share(self):
        """What is left of its capacity, as a fraction of the largest."""
        return self.entry.capacity.smallest_share(self.whole_capacity)

    def replace_entry(self, entry):
        """Replace the entry by a newer one."""
        self.whole_capacity = self.whole_capacity.at_least(entry.capacity)
        self.free = self.free + (entry.capacity - self.entry.capacity)
        self.entry = entry
        self.version += 1

    def close_to_lasting(self):
        """Place no more long-running tasks here."""
        if not self.is_closed_to_lasting:
            self.is_closed_to_lasting = True
            self.version += 1

    def may_start(self, run):
        """Return whether a planned run may still start here.

        The executor may have shrunk, or begun to leave, since it was planned.
        """
        need, free = run.reserved, self.free
        return not self.entry.is_leaving and all(
            left >= 0 or not needed
            for needed, left in zip(attrs.astuple(need), attrs.astuple(free))
        )

    def exposed_runs(self):
        """Return the runs that may have been executing when it ended.

        Runs whose leases expired while it was not reached may have ended with
        it before.
        """
        runs = {run.key: run for run in self.expired_runs}
        return list({**runs, **self.runs}.values())

    def lasting_runs(self):
        """Return the runs of long-running tasks."""
        return [run for run in self.runs.values() if run.step.is_lasting]

    def mark_fenced(self, now_s):
        """Record that the executor has seen this owner's epoch."""
        if not self.is_fenced:
            self.fenced_since_s = now_s
        self.is_fenced = True

    def has_ended_inherited_runs(self, now_s):
        """Return True if every run that a previous owner stopped has ended."""
        return self.is_fenced and now_s - self.fenced_since_s > STOP_TIMEOUT_S

    def is_known_to_serve(self, now_s):
        """Return True if the progress of the runs here is known and holds."""
        return (
            now_s - self.polled_s <= MAX_POLL_AGE_S
            and self.has_ended_inherited_runs(now_s)
        )

    def add(self, run):
        """Add a run and reserve its capacity."""
        replaced = self.runs.get(run.key)
        if replaced is None:
            run.place = (self.number, next(self._run_numbers))
        else:
            run.place = replaced.place
            self.run_index.remove(replaced)
        self.runs[run.key] = run
        if run.is_suspect:
            self.suspect_runs[run.key] = run
        self.run_index.add(run)
        self.free = self.free - run.reserved
        self.step_counts[_step_key(run.task_id)] += 1
        self.version += 1

    def remove(self, run, now_s):
        """Remove a run and free its capacity."""
        removed = self.runs.pop(run.key, None)
        if removed is None:
            return
        self.suspect_runs.pop(run.key, None)
        self.run_index.remove(removed)
        self.free = self.free + run.reserved
        self.step_counts[_step_key(run.task_id)] -= 1
        self.version += 1
        if not self.runs:
            self.idle_since_s = now_s

    def step_run_count(self, task_id):
        """Return the number of runs here that belong to the step of a task."""
        return self.step_counts[_step_key(task_id)]

    def survival_s(self, run):
        """Return how long a run is known to have lasted here.

        :returns: None if its start was not acknowledged
        """
        if run.started_s is None:
            return None
        return max(run.worked_s, self.last_answer_s - run.started_s)

    def note_answer(self, now_s):
        """Record that the executor answered a call."""
        self.last_answer_s = max(self.last_answer_s, now_s)
        self.unanswered_since_s = None

    def note_unanswered(self, now_s):
        """Record that a poll of the executor failed."""
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def update_clock(self, clock_s, now_s):
        """Record the executor's clock; older readings are ignored."""
        if self.clock_s is None or clock_s > self.clock_s:
            self.clock_s = clock_s
            self.clock_read_s = now_s

    def grant_lease(self, duration_s, now_s):
        """Grant a lease that starts now.

        :returns: the end of the lease, on the executor's clock
        """
        age_s = now_s - self.clock_read_s
        local_duration_s = (duration_s + age_s * MAX_CLOCK_DRIFT) / (
            1.0 - MAX_CLOCK_DRIFT
        )
        self.lease_expires_s = max(
            self.lease_expires_s, now_s + local_duration_s
        )
        return self.clock_s + age_s + duration_s

    def is_lease_expired(self, now_s):
        """Return True if every run here has certainly been killed."""
        return now_s > self.lease_expires_s + LEASE_EXPIRY_MARGIN_S


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


def _step_key(task_id):
    return task_id.job_id, task_id.occurrence, task_id.step
