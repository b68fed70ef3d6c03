"""Append callers' records in groups, and tell each what became of it."""

import asyncio

from hawthorndeal_fleet import errors

MAX_GROUP = 100


class Submitter:
    """Be a task that appends what callers hand in, on any daemon.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partition: where to append
    """

    name = 'submitter'

    def __init__(self, log, partition):
        self._log = log
        self._partition = partition
        self._waiting = asyncio.Queue()

    async def append(self, record, timeout_s):
        """Append a record and return its offset.

        :raises errors.PlatformUnavailable: it was surely not appended
        :raises errors.OutcomeUnknown: it may be appended, also later
        """
        done = asyncio.get_running_loop().create_future()
        self._waiting.put_nowait((record, done))
        try:
            return await asyncio.wait_for(done, timeout_s)
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown('not appended in time') from error

    async def run(self):
        """Append until cancelled."""
        while True:
            group = [await self._waiting.get()]
            while len(group) < MAX_GROUP and not self._waiting.empty():
                group.append(self._waiting.get_nowait())
            group = [pair for pair in group if not pair[1].done()]
            if group:
                await self._append(group)

    async def _append(self, group):
        records = [record for record, _ in group]
        try:
            offset = await self._log.append(self._partition, records)
        except errors.PlatformError as error:
            for _, done in group:
                _settle(done, error=error)
            return
        for index, (_, done) in enumerate(group):
            _settle(done, offset + index)

    async def stop(self):
        """Do nothing: callers that wait are answered as unknown."""


def _settle(done, offset=None, error=None):
    if done.done():
        return
    if error is not None:
        done.set_exception(error)
    else:
        done.set_result(offset)
