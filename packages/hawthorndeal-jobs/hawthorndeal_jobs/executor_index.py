"""Index of the executors of a partition, by pool and by host."""

import collections
import itertools


class ExecutorIndex:
    """The executors of each pool and of each host, in order of discovery."""

    def __init__(self):
        self._numbers = itertools.count()
        self._by_pool = collections.defaultdict(dict)
        self._by_host = collections.defaultdict(dict)

    def add(self, executor):
        """Add an executor that was discovered now."""
        executor.number = next(self._numbers)
        self._insert(executor)

    def remove(self, executor):
        """Remove an executor."""
        entry = executor.entry
        for groups, name in (
            (self._by_pool, entry.pool),
            (self._by_host, entry.host),
        ):
            group = groups[name]
            del group[executor.number]
            if not group:
                del groups[name]

    def replace_entry(self, executor, entry):
        """Replace the entry of an executor."""
        self.remove(executor)
        executor.replace_entry(entry)
        self._insert(executor)

    def _insert(self, executor):
        entry = executor.entry
        self._by_pool[entry.pool][executor.number] = executor
        self._by_host[entry.host][executor.number] = executor

    def in_pool(self, pool):
        """Return the executors of a pool."""
        return _in_order(self._by_pool.get(pool, {}))

    def on_host(self, host):
        """Return the executors of a host."""
        return _in_order(self._by_host.get(host, {}))


def _in_order(group):
    return [group[number] for number in sorted(group)]
