"""Choose the executors of one pool in one scheduling cycle.

Executors with room are ranked once for all steps of the same kind. During a
cycle, only the executors on which a task was placed are ranked again.
"""

import heapq

from . import placement


class PoolPlacement:
    """Chooses executors for the tasks of one pool in one cycle.

    :param executors: the executors of the pool
    """

    def __init__(self, executors, now_s):
        self._usable = [
            executor
            for executor in executors
            if placement.is_usable(executor, now_s)
        ]
        self._positions = {
            executor.executor_id: position
            for position, executor in enumerate(self._usable)
        }
        self._rankings = {}
        self._placed_at = []

    @property
    def has_usable(self):
        """Whether new runs may be placed anywhere in the pool."""
        return bool(self._usable)

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
        if not self._ranking(step).has_room:
            return None
        executors = self._usable
        if allowed_ids is not None:
            executors = self._usable_of(allowed_ids)
        return placement.choose_gang(executors, step, task_ids)

    def note_placed(self, run):
        """Record that a run was added to its executor."""
        self._placed_at.append(self._positions[run.executor_id])

    def _usable_of(self, executor_ids):
        positions = sorted(
            self._positions[executor_id]
            for executor_id in executor_ids
            if executor_id in self._positions
        )
        return [self._usable[position] for position in positions]

    def _ranking(self, step):
        ranking = self._rankings.get(step.placement_kind)
        if ranking is None:
            ranking = _Ranking(self._usable, step, self._placed_at)
            self._rankings[step.placement_kind] = ranking
        ranking.refresh()
        return ranking


class _Ranking:
    """The executors with room for one kind of step, lowest cost first.

    :param placed_at: positions of the executors on which runs were placed;
        grows during the cycle
    """

    def __init__(self, executors, step, placed_at):
        self._executors = executors
        self._step = step
        self._placed_at = placed_at
        self._placed_count = len(placed_at)
        # The valid entry of each position; the heap may have others too.
        self._entries = {}
        for position, executor in enumerate(executors):
            if placement.has_room(executor, step):
                cost = placement.cost(executor, step)
                self._entries[position] = (cost, position)
        self._heap = list(self._entries.values())
        heapq.heapify(self._heap)

    @property
    def has_room(self):
        """Whether any executor has room."""
        return bool(self._entries)

    def refresh(self):
        """Rank the executors again on which runs were placed."""
        if self._placed_count == len(self._placed_at):
            return
        changed = set(self._placed_at[self._placed_count :])
        self._placed_count = len(self._placed_at)
        for position in changed & self._entries.keys():
            self._rank_again(position)

    def _rank_again(self, position):
        executor = self._executors[position]
        if not placement.has_room(executor, self._step):
            del self._entries[position]
            return
        entry = (placement.cost(executor, self._step), position)
        self._entries[position] = entry
        heapq.heappush(self._heap, entry)

    def best_two(self, step, task_id, avoided_id=''):
        """Return up to two executors that may run a task, the best first.

        :param avoided_id: id of an executor that is left out
        """
        found, seen = [], []
        while self._heap and len(found) < 2:
            entry = heapq.heappop(self._heap)
            position = entry[1]
            if self._entries.get(position) is not entry:
                continue
            seen.append(entry)
            executor = self._executors[position]
            if executor.executor_id != avoided_id and placement.is_below_limit(
                executor, step, task_id
            ):
                found.append(executor)
        for entry in seen:
            heapq.heappush(self._heap, entry)
        return found
