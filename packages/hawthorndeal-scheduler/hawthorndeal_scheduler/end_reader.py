"""Reads the end of a partition on behalf of many callers."""

import asyncio

from hawthorndeal_platform import tasks


class EndReader:
    """Shares reads of a partition's end among callers.

    A caller needs an end that is read after its call. So those that call
    while a read is under way wait for the next one, together.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partition: partition whose end is read
    """

    def __init__(self, log, partition):
        self._log = log
        self._partition = partition
        self._lock = asyncio.Lock()
        self._next_read = None

    async def read(self, offset):
        """Return the end offset of the partition.

        :param offset: an offset that is not beyond the end
        :raises errors.PlatformError: the log can't be read at present
        """
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read(offset))
            self._next_read.add_done_callback(tasks.retrieve_error)
        # A caller that gives up doesn't cancel the read of the others.
        return await asyncio.shield(self._next_read)

    async def _read(self, offset):
        async with self._lock:
            # From here on, callers need a later read.
            self._next_read = None
            return await self._log.end(self._partition, offset)
