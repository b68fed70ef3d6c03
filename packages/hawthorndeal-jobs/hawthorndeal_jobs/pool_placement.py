"""Choose the executors of one pool.

Executors with room are ranked for each kind of step, and are ranked again
only when they have changed.
"""

import heapq

from . import placement

# Changes and kinds of step that are remembered before all ranks are dropped.
MAX_CHANGES = 1000
MAX_KINDS = 200


class PoolPlacement:
    """Chooses executors for the tasks of one pool."""

    def __init__(self):
        self._usable = {}
        self._versions = {}
        self._rankings = {}
        # Numbers of the executors that have changed, in order of time.
        self._changed = []

    @property
    def has_usable(self):
        """Whether new runs may be placed anywhere in the pool."""
        return bool(self._usable)

    def update(self, executors, now_s):
        """Record what has changed since the last cycle.

        :param executors: the executors of the pool
        """
        if len(self._changed) > MAX_CHANGES or len(self._rankings) > MAX_KINDS:
            self._rankings.clear()
            self._changed.clear()
        before = self._versions
        self._usable = {
            executor.number: executor
            for executor in executors
            if placement.is_usable(executor, now_s)
        }
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
            found = ranking.best_two(step, task_id, avoided_id=task.executor)
        found = found or ranking.best_two(step, task_id)
        return (*found, None, None)[:2]

    def choose_gang(self, step, task_ids, allowed_ids=None):
        """Return an executor for each task of a gang, or None."""
        executors = list(self._usable.values())
        if allowed_ids is not None:
            executors = self._usable_of(allowed_ids)
        return placement.choose_gang(executors, step, task_ids)

    def note_placed(self, executor):
        """Record that a run was added to an executor in this cycle."""
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

    def best_two(self, step, task_id, avoided_id=''):
        """Return up to two executors that may run a task, the best first.

        :param avoided_id: id of an executor that is left out
        """
        found, seen = [], []
        while self._heap and len(found) < 2:
            entry = heapq.heappop(self._heap)
            number = entry[1]
            if self._entries.get(number) is not entry:
                continue
            seen.append(entry)
            executor = self._usable[number]
            if executor.executor_id != avoided_id and placement.is_below_limit(
                executor, step, task_id
            ):
                found.append(executor)
        for entry in seen:
            heapq.heappush(self._heap, entry)
        return found
