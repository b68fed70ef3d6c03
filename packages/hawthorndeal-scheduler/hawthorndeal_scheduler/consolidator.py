"""Empties hosts that only a few long-running tasks keep in their pools."""

import collections

from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import consolidation
from hawthorndeal_jobs import placement

from . import displacer as displacer_module

# Time within which a host is empty, or its tasks are left where they are.
MAX_EMPTYING_S = 8.0
# Time until another host of the pool is tried after one that wasn't emptied.
RETRY_S = 8.0


class Consolidator:
    """Empties one host of each pool at a time.

    :param owner: its scheduler knows the executors
    """

    def __init__(self, owner):
        self._owner = owner
        self._displacer = displacer_module.Displacer(owner)
        # The executor that is being emptied in each pool, and since when.
        self._emptying = {}
        self._retry_at_s = {}
        # Ids of the executors in each pool that could not be emptied.
        self._failed = collections.defaultdict(set)

    def update(self, loads):
        """Displace the next long-running tasks.

        :param loads: loads of all pools
        """
        now_s = self._owner.now_s()
        for load in loads:
            executor, since_s = self._emptying.get(load.pool, (None, 0.0))
            if executor is None:
                self._begin(load, now_s)
            elif self._is_over(executor):
                self._end(load.pool, executor)
            elif not capacity.may_spare_host(load) or (
                now_s - since_s > MAX_EMPTYING_S
            ):
                self._retry_at_s[load.pool] = now_s + RETRY_S
                self._failed[load.pool].add(executor.executor_id)
                self._end(load.pool, executor)
            else:
                self._displace(executor)

    def _begin(self, load, now_s):
        if now_s < self._retry_at_s.get(load.pool, 0.0):
            return
        executors = [
            executor
            for executor in self._owner.scheduler.executors_in(load.pool)
            if placement.is_usable(executor, now_s)
        ]
        failed = self._failed[load.pool]
        executor = consolidation.choose_host(load, executors, now_s, failed)
        if executor is None:
            return
        if executor.executor_id in failed:
            # Each of the others was tried since.
            failed.clear()
        self._emptying[load.pool] = executor, now_s
        self._owner.events.write(
            'host_consolidating',
            host=executor.entry.host,
            pool=load.pool,
            runs=len(executor.runs),
        )
        executor.close_to_lasting()
        self._displace(executor)

    def _displace(self, executor):
        for run in executor.lasting_runs():
            self._displacer.displace(run)
        self._owner.wake()

    def _is_over(self, executor):
        known = self._owner.scheduler.executors
        is_known = known.get(executor.executor_id) is executor
        return not is_known or not executor.lasting_runs()

    def _end(self, pool, executor):
        del self._emptying[pool]
        executor.open_to_lasting()
        self._owner.scheduler.reopen_executor(executor)
