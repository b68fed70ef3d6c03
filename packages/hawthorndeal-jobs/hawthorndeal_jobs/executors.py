"""The partition owner's view of executors."""

import collections
import itertools
import math

import attrs

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
# Time for an executor to kill its runs after their lease has expired.
LEASE_EXPIRY_MARGIN_S = 0.3


@attrs.frozen
class ExecutorEntry:
    """Attributes that an executor, or the platform on its behalf, advertises.

    :ivar executor_id: identifies one incarnation of the executor on a host
    :ivar host: host that it runs on; empty if unknown
    :ivar born_ms: when the incarnation began; 0 where executors don't tell
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
    born_ms: int = 0


@attrs.define(eq=False)
class Executor:
    """One executor, with the runs that occupy or may occupy its capacity.

    :ivar discovered_s: when it was first seen
    :ivar number: increases with each executor of the partition
    :ivar version: increases when runs are added or removed, and with each
        entry
    :ivar run_index: the runs of all executors of the partition
    :ivar runs: runs by :func:`run_state.run_key`
    :ivar suspect_runs: runs whose tasks may crash executors, by the same key
    :ivar filler_count: number of runs of filler tasks
    :ivar lasting_count: number of runs of long-running tasks
    :ivar expired_runs: runs that have ended with their leases, since when it
        was not reached
    :ivar free: capacity not reserved by any run
    :ivar whole_capacity: the largest capacity that it has told
    :ivar is_fenced: whether it has seen this owner's epoch
    :ivar fenced_since_s: time by which it had seen the epoch
    :ivar born_ms: when the incarnation began that last answered a poll; 0
        before the first answer, and where executors don't tell
    :ivar last_recorded_end: sequence of the last end that is stored
    :ivar last_processed_end: sequence of the last end that was processed
    :ivar lease_expires_s: time by which every lease granted has certainly
        expired, on the local monotonic clock
    :ivar is_closed_to_lasting: whether no long-running task is placed here
    :ivar finite_ended_s: when a run that ends by itself was last removed
    :ivar suspended_until_s: no new runs are placed here before this time
    :ivar failing_since_s: since when it was distrusted, when its runs failed
    :ivar succeeded_s: when a run last succeeded here
    :ivar failing_until_s: until when it is distrusted, since its runs failed
    :ivar slow_until_s: until when it is distrusted, since its runs are slow
    :ivar failures: failed runs since the last success, by key of their step
    :ivar distrusted_for: keys of the steps whose failures it is distrusted for
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
    filler_count: int = 0
    lasting_count: int = 0
    is_fenced: bool = False
    fenced_since_s: float = 0.0
    born_ms: int = 0
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
    finite_ended_s: float = 0.0
    suspended_until_s: float = 0.0
    failing_since_s: float = 0.0
    failing_until_s: float = 0.0
    succeeded_s: float = -math.inf
    slow_until_s: float = 0.0
    failures: collections.Counter = attrs.Factory(collections.Counter)
    distrusted_for: set = attrs.Factory(set)
    idle_since_s: float = 0.0
    missing_since_s: float | None = None

    @property
    def executor_id(self):
        """Identity of this incarnation."""
        return self.entry.executor_id

    @property
    def distrusted_until_s(self):
        """Until when runs are placed here only if no other has room."""
        return max(self.failing_until_s, self.slow_until_s)

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

    def open_to_lasting(self):
        """Place long-running tasks here again."""
        if self.is_closed_to_lasting:
            self.is_closed_to_lasting = False
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

    def is_followed_by(self, born_ms):
        """Return whether another incarnation has begun under the same id."""
        return 0 < self.born_ms < born_ms

    def is_after(self, born_ms):
        """Return whether an incarnation of the same id has ended."""
        return 0 < born_ms < self.born_ms

    def begin_incarnation(self):
        """Forget what the incarnation before has counted and granted."""
        self.last_recorded_end = self.last_processed_end = 0
        self.clock_s = None
        self.expired_runs.clear()
        self.is_fenced = False

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
            self._count_kinds(replaced.step, -1)
        self.runs[run.key] = run
        self._count_kinds(run.step, 1)
        if run.is_suspect:
            self.suspect_runs[run.key] = run
        self.run_index.add(run)
        self.free = self.free - run.reserved
        self.step_counts[run.task_id.step_key] += 1
        self.version += 1

    def remove(self, run, now_s):
        """Remove a run and free its capacity."""
        removed = self.runs.pop(run.key, None)
        if removed is None:
            return
        self._count_kinds(removed.step, -1)
        self.suspect_runs.pop(run.key, None)
        self.run_index.remove(removed)
        self.free = self.free + run.reserved
        self.step_counts[run.task_id.step_key] -= 1
        self.version += 1
        if not run.step.is_lasting:
            self.finite_ended_s = now_s
        if not self.runs:
            self.idle_since_s = now_s

    def _count_kinds(self, step, change):
        self.filler_count += change * step.is_filler
        self.lasting_count += change * step.is_lasting

    def step_run_count(self, task_id):
        """Return the number of runs here that belong to the step of a task."""
        return self.step_counts[task_id.step_key]

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
