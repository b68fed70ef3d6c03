"""Choose the executors of one pool.

Executors with room are ranked for each kind of step, and are ranked again
only when they have changed.
"""

import heapq
import math

from . import placement

# Changes and kinds of step that are remembered before all ranks are dropped.
MAX_CHANGES = 1000
MAX_KINDS = 200
# Executors that are passed by for a retry.
MAX_AVOIDED = 16
# An executor that is held for a suspect of a crash takes no other runs for
# this long. Runs that have only just started there are proven sooner.
HOLD_S = 1.0
# Share of the executors of a pool that are held at once.
MAX_APART_SHARE = 0.3


class PoolPlacement:
    """Chooses executors for the tasks of one pool.

    :ivar reopens_s: when an executor that is excluded now may be used again
        without further news; infinity if none will be
    """

    def __init__(self):
        self.reopens_s = math.inf
        self._usable = {}
        # Executors on which only suspects of crashes may start.
        self._apart = {}
        # Jobs with suspects that found no executor in this cycle.
        self._waiting_jobs = set()
        self._versions = {}
        self._rankings = {}
        # Numbers of the executors that have changed, in order of time.
        self._changed = []

    @property
    def has_usable(self):
        """Whether new runs may be placed anywhere in the pool."""
        return bool(self._usable or self._apart)

    def update(self, executors, now_s):
        """Record what has changed since the last cycle.

        :param executors: the executors of the pool
        """
        if len(self._changed) > MAX_CHANGES or len(self._rankings) > MAX_KINDS:
            self._rankings.clear()
            self._changed.clear()
        before = self._versions
        self._usable, self._apart = {}, {}
        self._waiting_jobs.clear()
        for executor in executors:
            if not placement.is_usable(executor, now_s):
                continue
            is_apart = placement.is_apart(executor, now_s)
            group = self._apart if is_apart else self._usable
            group[executor.number] = executor
        closed = [e for e in executors if e.number not in self._usable]
        self.reopens_s = min(
            (placement.reopens_s(executor, now_s) for executor in closed),
            default=math.inf,
        )
        self._versions = {
            number: executor.version
            for number, executor in self._usable.items()
        }
        differences = before.items() ^ self._versions.items()
        self._changed += {number for number, _ in differences}

    def has_room(self, step):
        """Return True if a task of a step, or its whole gang, may have room.

        Limits per executor and racks are not considered.
        """
        return self._ranking(step).has_room(step)

    def choose(self, step, task_id, task, allowed_ids=None):
        """Return the best and the second-best executor for a task.

        :param step: the declared step of the task
        :param allowed_ids: ids of executors that the step may use; None for
            all
        :returns: a pair, with None for each executor that was not found
        """
        if allowed_ids is not None:
            allowed = self._usable_of(allowed_ids)
            return placement.choose(allowed, step, task_id, task)
        ranking = self._ranking(step)
        found = []
        if task.failures:
            found = ranking.best_two(
                step,
                task_id,
                lambda executor: placement.is_doubtful(executor, task),
            )
        found = found or ranking.best_two(step, task_id)
        return (*found, None, None)[:2]

    def choose_gang(self, step, task_ids, allowed_ids=None, has_failed=False):
        """Return an executor for each task of a gang, or None.

        :param has_failed: whether a run of the gang has failed
        """
        executors = list(self._usable.values())
        if allowed_ids is not None:
            executors = self._usable_of(allowed_ids)
        chosen = None
        if has_failed:
            trusted = [e for e in executors if not e.incarnation.failed_runs]
            chosen = placement.choose_gang(trusted, step, task_ids)
        return chosen or placement.choose_gang(executors, step, task_ids)

    def has_room_apart(self, step):
        """Return True if a suspect of a crash may have room."""
        return self.has_room(step) or any(
            placement.has_room(executor, step)
            for executor in self._apart.values()
        )

    def choose_apart(self, step, task_id, now_s, allowed_ids=None):
        """Return an executor for a suspect of a crash, or None.

        No run of another job has only just started there, so that a further
        crash has no other suspect. Of those, the one with the fewest runs is
        chosen, since its runs may be lost. If there is none, an executor is
        held until its runs are proven.
        """
        job_id = task_id.job_id
        candidates = [
            executor
            for executor in self._for_suspects(job_id, allowed_ids)
            if placement.can_place(executor, step, task_id)
        ]
        quiet = [e for e in candidates if placement.is_quiet(e, job_id)]
        if quiet:
            return min(quiet, key=_by_runs)
        self._waiting_jobs.add(job_id)
        others = [e for e in candidates if e.number not in self._apart]
        if others and self._may_hold(len(candidates) - len(others)):
            self._hold(min(others, key=_by_runs), now_s)
        return None

    def _may_hold(self, held_count):
        """Return whether another executor may be held.

        :param held_count: number of executors held for the same tasks
        """
        known = len(self._usable) + len(self._apart)
        limit = math.ceil(known * MAX_APART_SHARE)
        return held_count < len(self._waiting_jobs) and (
            len(self._apart) < limit
        )

    def choose_gang_apart(self, step, task_ids, now_s, allowed_ids=None):
        """Return an executor for each task of a gang of suspects, or None."""
        job_id = task_ids[0].job_id
        candidates = self._for_suspects(job_id, allowed_ids)
        quiet = [e for e in candidates if placement.is_quiet(e, job_id)]
        chosen = placement.choose_gang(quiet, step, task_ids)
        if chosen is None:
            held = placement.choose_gang(candidates, step, task_ids) or ()
            for executor in {e.number: e for e in held}.values():
                self._hold(executor, now_s)
        return chosen

    def _for_suspects(self, job_id, allowed_ids):
        return [
            executor
            for executor in (*self._usable.values(), *self._apart.values())
            if placement.may_share_probation(executor, job_id)
            and (allowed_ids is None or executor.executor_id in allowed_ids)
        ]

    def _hold(self, executor, now_s):
        executor.held_until_s = now_s + HOLD_S
        self.reopens_s = min(self.reopens_s, executor.held_until_s)
        self._set_apart(executor)

    def _set_apart(self, executor):
        """Start no other runs on an executor in this cycle."""
        if self._usable.pop(executor.number, None) is not None:
            self._versions.pop(executor.number, None)
            self._changed.append(executor.number)
        self._apart[executor.number] = executor

    def note_placed(self, executor):
        """Record that a run was added to an executor in this cycle."""
        if placement.has_probation(executor):
            executor.held_until_s = 0.0
            self._set_apart(executor)
        if executor.number in self._usable:
            self._versions[executor.number] = executor.version
            self._changed.append(executor.number)

    def _usable_of(self, executor_ids):
        if not executor_ids:
            return []
        return [
            executor
            for executor in self._usable.values()
            if executor.executor_id in executor_ids
        ]

    def _ranking(self, step):
        ranking = self._rankings.get(step.placement_kind)
        if ranking is None:
            ranking = _Ranking(step, self._usable, len(self._changed))
            self._rankings[step.placement_kind] = ranking
        ranking.update(self._usable, self._changed)
        return ranking


def _by_runs(executor):
    return len(executor.runs), executor.number


class _Ranking:
    """The executors with room for one kind of step, lowest cost first.

    :param usable: the usable executors of the pool, by number
    :param change_count: number of changes that these executors include
    """

    def __init__(self, step, usable, change_count):
        self._step = step
        self._usable = usable
        self._change_count = change_count
        # The valid entry of each executor; the heap may have others too.
        self._entries = {
            number: (placement.cost(executor, step), number)
            for number, executor in usable.items()
            if placement.has_room(executor, step)
        }
        self._heap = list(self._entries.values())
        heapq.heapify(self._heap)
        # The entries of executors that run as many tasks as they may of the
        # step that was placed last.
        self._full_for = None
        self._full = []
        # For gangs only: for how many tasks each executor has room.
        self._slots = {}
        self._slot_count = 0
        if step.is_gang:
            for number in self._entries:
                self._count_slots(number)

    def has_room(self, step):
        """Return True if the executors have room for a step."""
        if step.is_gang:
            return self._slot_count >= step.count
        return bool(self._entries)

    def update(self, usable, changed):
        """Rank the executors again that have changed.

        :param changed: numbers of executors; grows with each change
        """
        self._usable = usable
        if self._change_count == len(changed):
            return
        for number in set(changed[self._change_count :]):
            self._rank_again(number)
            if self._step.is_gang:
                self._count_slots(number)
        self._change_count = len(changed)

    def _rank_again(self, number):
        executor = self._usable.get(number)
        if executor is None or not placement.has_room(executor, self._step):
            self._entries.pop(number, None)
            return
        entry = (placement.cost(executor, self._step), number)
        self._entries[number] = entry
        heapq.heappush(self._heap, entry)

    def _count_slots(self, number):
        executor = self._usable.get(number)
        slots = 0
        if executor is not None:
            slots = placement.room_slots(executor, self._step)
        self._slot_count += slots - self._slots.get(number, 0)
        self._slots[number] = slots

    def _begin_step(self, task_id):
        """Consider all executors again if another step is placed.

        Each task of a step would pass by the full executors otherwise. One
        where a run ends gets a new entry.
        """
        if task_id.step_key == self._full_for:
            return
        for entry in self._full:
            heapq.heappush(self._heap, entry)
        self._full_for, self._full = task_id.step_key, []

    def best_two(self, step, task_id, is_avoided=lambda executor: False):
        """Return up to two executors that may run a task, the best first.

        :param is_avoided: tells which executors are left out; after
            MAX_AVOIDED of them no more are considered
        """
        self._begin_step(task_id)
        found, seen = [], []
        while (
            self._heap
            and len(found) < 2
            and len(seen) < len(found) + MAX_AVOIDED
        ):
            entry = heapq.heappop(self._heap)
            number = entry[1]
            if self._entries.get(number) is not entry:
                continue
            executor = self._usable[number]
            if not placement.is_below_limit(executor, step, task_id):
                self._full.append(entry)
                continue
            seen.append(entry)
            if not is_avoided(executor):
                found.append(executor)
        for entry in seen:
            heapq.heappush(self._heap, entry)
        return found
