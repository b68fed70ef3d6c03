"""The partition owner's view of executors."""

import collections
import itertools

import attrs

from . import incarnations
from . import run_index as run_index_module
from . import specs

# What an executor told of its runs counts for this long. Longer than a poll
# may take that waits for an end, and shorter than planned operations must
# take notice of a task that is not at work.
MAX_POLL_AGE_S = 2.5


@attrs.frozen
class ExecutorEntry:
    """Attributes that an executor, or the platform on its behalf, advertises.

    :ivar executor_id: identifies one incarnation of the executor on a host
    :ivar host: host that it runs on; empty if unknown
    :ivar born_ms: when the incarnation began; 0 where executors don't tell
    :ivar sequence: increases with each entry that the incarnation publishes
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
    sequence: int = 0


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
    :ivar free: capacity not reserved by any run
    :ivar whole_capacity: the largest capacity that it has told
    :ivar incarnation: its present life, as far as it is known
    :ivar former: the life before, until a poll has told which runs have ended
        with it; None otherwise
    :ivar is_closed_to_lasting: whether no long-running task is placed here
    :ivar is_due: whether its host is due for maintenance, so that long-running
        tasks are placed here only if there is room nowhere else
    :ivar finite_ended_s: when a run that ends by itself was last removed
    :ivar polled_s: when the last answer to a poll arrived
    :ivar held_until_s: until when no runs start here but those of suspects
    :ivar last_answer_s: when the last answer to any call arrived
    :ivar unanswered_since_s: when a poll first failed after that, or None
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
    step_counts: collections.Counter = attrs.Factory(collections.Counter)
    filler_count: int = 0
    lasting_count: int = 0
    incarnation: incarnations.Incarnation = attrs.field(init=False)
    former: incarnations.Incarnation | None = None
    last_contact_s: float = 0.0
    polled_s: float = 0.0
    held_until_s: float = 0.0
    last_answer_s: float = 0.0
    unanswered_since_s: float | None = None
    is_reserved: bool = False
    is_closed_to_lasting: bool = False
    is_due: bool = False
    finite_ended_s: float = 0.0
    idle_since_s: float = 0.0
    missing_since_s: float | None = None

    @property
    def executor_id(self):
        """Identity of the executor, which incarnations may share."""
        return self.entry.executor_id

    def __attrs_post_init__(self):
        self.whole_capacity = self.entry.capacity
        self.incarnation = incarnations.Incarnation(
            self.entry.born_ms, is_leaving=self.entry.is_leaving
        )

    @property
    def shares_id(self):
        """Whether another incarnation may follow under the same id."""
        return self.incarnation.born_ms > 0

    @property
    def whole_share(self):
        """What is left of its capacity, as a fraction of the largest."""
        return self.entry.capacity.smallest_share(self.whole_capacity)

    def replace_entry(self, entry):
        """Replace the entry by a newer one of the same incarnation."""
        self.whole_capacity = self.whole_capacity.at_least(entry.capacity)
        self.free = self.free + (entry.capacity - self.entry.capacity)
        self.entry = entry
        self.incarnation.is_leaving = entry.is_leaving
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

    def set_due(self, is_due):
        """Set whether its host is due for maintenance."""
        if self.is_due is not is_due:
            self.is_due = is_due
            self.version += 1

    def may_start(self, run):
        """Return whether a planned run may still start here.

        The executor may have shrunk, begun to leave, or begun another
        incarnation since it was planned.
        """
        need, free = run.reserved, self.free
        is_known = self.incarnation.clock_s is not None
        return (
            is_known
            and not self.entry.is_leaving
            and all(
                left >= 0 or not needed
                for needed, left in zip(
                    attrs.astuple(need), attrs.astuple(free)
                )
            )
        )

    def exposed_runs(self):
        """Return the runs that may have been executing when it ended.

        Runs whose leases expired while it was not reached may have ended with
        it before.
        """
        expired_runs = self.last_reached.expired_runs
        runs = {run.key: run for run in expired_runs}
        return list({**runs, **self.runs}.values())

    def lasting_runs(self):
        """Return the runs of long-running tasks."""
        return [run for run in self.runs.values() if run.step.is_lasting]

    @property
    def last_reached(self):
        """The incarnation that the runs here were started on."""
        return self.former or self.incarnation

    def is_followed_by(self, born_ms):
        """Return whether another incarnation has begun under the same id."""
        return 0 < self.incarnation.born_ms < born_ms

    def is_after(self, born_ms):
        """Return whether an incarnation of the same id has ended."""
        return 0 < born_ms < self.incarnation.born_ms

    def is_after_poll(self, poll):
        """Return whether the incarnation that answered a poll has ended.

        One that answers a poll that was sent later runs, whatever an entry
        has told.
        """
        return (
            self.is_after(poll.born_ms)
            and poll.sent_s < self.incarnation.known_since_s
        )

    def begin_incarnation(self, born_ms, now_s, longest_lease_s):
        """Begin another incarnation, which nothing is known of.

        :param born_ms: when it began
        :param longest_lease_s: longest lease that executors grant
        """
        if self.former is None:
            self.former = self.incarnation
        self.incarnation = self.incarnation.successor(
            born_ms, now_s, longest_lease_s
        )
        self.version += 1

    def resume_former(self):
        """Go on with the incarnation that an entry has taken for ended."""
        self.incarnation, self.former = self.former, None
        self.incarnation.doubt()
        self.version += 1

    def is_known_to_serve(self, now_s):
        """Return True if the progress of the runs here is known and holds."""
        return (
            now_s - self.polled_s <= MAX_POLL_AGE_S
            and self.incarnation.has_ended_inherited_runs(now_s)
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
