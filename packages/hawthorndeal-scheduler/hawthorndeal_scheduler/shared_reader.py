"""Reads a part of the log on behalf of many callers."""

import asyncio

from hawthorndeal_platform import tasks


class SharedReader:
    """Shares reads among callers.

    A caller needs what a read returns that begins after its call. So those
    that call while a read is under way wait for the next one, together.

    :param read: coroutine function that takes an offset
    :param min_interval_s: time between the begins of two reads at least
    """

    def __init__(self, read, min_interval_s=0.0):
        self._read_from = read
        self._min_interval_s = min_interval_s
        self._next_s = 0.0
        self._lock = asyncio.Lock()
        self._next_read = None

    async def read(self, offset):
        """Return the result of a read from an offset on.

        :param offset: what is stored before it is of no interest
        :raises errors.PlatformError: the log can't be read at present
        """
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read(offset))
            self._next_read.add_done_callback(tasks.retrieve_error)
        # A caller that gives up doesn't cancel the read of the others.
        return await asyncio.shield(self._next_read)

    async def _read(self, offset):
        now_s = asyncio.get_running_loop().time
        async with self._lock:
            await asyncio.sleep(max(0.0, self._next_s - now_s()))
            self._next_s = now_s() + self._min_interval_s
            # From here on, callers need a later read.
            self._next_read = None
            return await self._read_from(offset)
