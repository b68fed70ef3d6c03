"""What the owner of a partition knows of executors and of their runs."""

import collections
import enum

import attrs

from . import jobs
from . import specs

# An executor's steady clock may run this much slower than ours.
MAX_CLOCK_DRIFT = 0.02
# Time in which a run that was told to stop has ended, and was seen to.
STOP_TIMEOUT_S = 1.0
# Time for an executor to kill what has lost its lease.
LEASE_EXPIRY_MARGIN_S = 0.3


@attrs.frozen
class ExecutorEntry:
    """Hold what an executor, or the platform for it, tells of itself.

    :ivar executor_id: this life of a host; a later one has another
    :ivar host: the host it lives on; empty where it isn't told
    :ivar clock_s: its steady clock when it wrote this
    :ivar remaining_s: time left at least, where it is leaving
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
    """Name what is known of one run of a task."""

    # Decided, and not yet in the store; nothing was sent.
    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'
    # The order was not answered: it may have run, or may run later.
    UNKNOWN = 'unknown'
    # An earlier owner has stored it, and may have ordered it.
    INHERITED = 'inherited'


@attrs.define(eq=False)
class Run:
    """Follow one run of a task on one executor.

    :ivar changed_s: when the phase changed, on this daemon's steady clock
    :ivar barred_since_s: since when it can't begin any more, unless it has
        begun before; None while it may begin
    :ivar is_stop_wanted: whether it has to end
    :ivar is_stop_sent: whether a stop is under way
    :ivar percent: progress as last reported
    :ivar usage: tail in ms for a serving task, millicores otherwise
    :ivar advanced_s: when the progress last grew
    :ivar pace_percent: share of its speed that it was told to work at
    :ivar paced_s: when that last changed
    :ivar ticket: permission of the advice service, where one is needed
    :ivar planned_s: when it was decided
    :ivar second_choice: executor it would have gone to otherwise, if any
    """

    task_id: jobs.TaskId
    number: int
    occurrence: jobs.Occurrence
    executor_id: str
    reserved: specs.Resources
    phase: RunPhase
    changed_s: float
    start_blocked_since_s: float | None = None
    is_stop_wanted: bool = False
    is_stop_sent: bool = False
    stop_retry_s: float = 0.0
    percent: int = 0
    usage: int = 0
    progressed_s: float = 0.0
    started_s: float | None = None
    planned_s: float = 0.0
    second_choice: str = ''
    pace_percent: int = 100
    paced_s: float = 0.0
    ticket: str = ''
    checkpoint: str = ''

    @property
    def step(self):
        """Return the declared step of the task."""
        return self.occurrence.job.spec.steps[self.task_id.step]

    @property
    def task(self):
        """Return the task's lasting state."""
        return self.occurrence.task(self.task_id)

    @property
    def key(self):
        """Return what names the run among those of its executor."""
        return self.task_id, self.number


@attrs.frozen
class ReportedRun:
    """Hold one row of an executor's running tasks."""

    task_id: jobs.TaskId
    number: int
    checkpoint: str
    percent: int
    usage: int = 0


class EndCause(enum.Enum):
    """Name how a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    GANG_BROKEN = 'gang_broken'
    GANG_ALONE = 'gang_alone'


@attrs.frozen
class ReportedEnd:
    """Hold one row of an executor's ended tasks.

    :ivar sequence: rises with each end of this executor
    """

    sequence: int
    task_id: jobs.TaskId
    number: int
    cause: EndCause
    checkpoint: str


@attrs.frozen
class Look:
    """Hold what an executor answered when it was looked at.

    :ivar sent_s: when the call was sent, on this daemon's steady clock
    :ivar received_s: when the answer came
    :ivar clock_s: the executor's steady clock as it answered
    :ivar is_whole: whether all ends that it keeps are listed
    """

    sent_s: float
    received_s: float
    clock_s: float
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
    is_whole: bool = True


@attrs.define(eq=False)
class Executor:
    """Follow one executor.

    :ivar known_since_s: when it was first heard of
    :ivar runs: by task and number; all that takes or may take its room
    :ivar free: capacity that no run takes
    :ivar is_fenced: whether it has seen this owner's epoch
    :ivar fenced_since_s: since when it surely has
    :ivar last_recorded_end: the last end that is in the store
    :ivar last_processed_end: the last end that was taken in
    :ivar lease_ends_s: when every lease given has surely run out, on this
        daemon's steady clock
    :ivar suspended_until_s: no new runs before
    """

    entry: ExecutorEntry
    free: specs.Resources
    discovered_s: float = 0.0
    runs: dict = attrs.Factory(dict)
    step_counts: collections.Counter = attrs.Factory(collections.Counter)
    is_fenced: bool = False
    fenced_since_s: float = 0.0
    last_recorded_end: int = 0
    last_processed_end: int = 0
    clock_s: float | None = None
    clock_read_s: float = 0.0
    lease_expires_s: float = 0.0
    reached_s: float = 0.0
    is_reserved: bool = False
    suspended_until_s: float = 0.0
    consecutive_failures: int = 0
    idle_since_s: float = 0.0
    missing_since_s: float | None = None

    @property
    def executor_id(self):
        """Return the identity of this life."""
        return self.entry.executor_id

    def mark_fenced(self, now_s):
        """Note that it has seen this owner's epoch."""
        if not self.is_fenced:
            self.fenced_since_s = now_s
        self.is_fenced = True

    def has_ended_inherited_runs(self, now_s):
        """Tell whether what an earlier owner has stopped here has ended."""
        return self.is_fenced and now_s - self.fenced_since_s > STOP_TIMEOUT_S

    def add(self, run):
        """Take room for a run."""
        self.runs[run.key] = run
        self.free = self.free - run.reserved
        self.step_counts[_step_key(run.task_id)] += 1

    def remove(self, run, now_s):
        """Give back the room of a run."""
        if self.runs.pop(run.key, None) is None:
            return
        self.free = self.free + run.reserved
        self.step_counts[_step_key(run.task_id)] -= 1
        if not self.runs:
            self.idle_since_s = now_s

    def step_run_count(self, task_id):
        """Return how many tasks of a task's step run here."""
        return self.step_counts[_step_key(task_id)]

    def read_clock(self, clock_s, now_s):
        """Note the executor's clock; an older reading changes nothing."""
        if self.clock_s is None or clock_s > self.clock_s:
            self.clock_s = clock_s
            self.clock_read_s = now_s

    def give_lease(self, duration_s, now_s):
        """Return the end, on the executor's clock, of a lease from now."""
        age_s = now_s - self.clock_read_s
        local_duration_s = (duration_s + age_s * MAX_CLOCK_DRIFT) / (
            1.0 - MAX_CLOCK_DRIFT
        )
        self.lease_expires_s = max(
            self.lease_expires_s, now_s + local_duration_s
        )
        return self.clock_s + age_s + duration_s

    def has_lapsed(self, now_s):
        """Tell whether everything here has surely been killed."""
        return now_s > self.lease_expires_s + LEASE_EXPIRY_MARGIN_S


def _step_key(task_id):
    return task_id.job_id, task_id.occurrence, task_id.step
