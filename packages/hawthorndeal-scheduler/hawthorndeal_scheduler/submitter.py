"""Batched appends of callers' records, with an outcome for each record."""

import asyncio

from hawthorndeal_fleet import errors

MAX_BATCH_RECORDS = 100
# A batch crosses a link of 5 Mbit/s in a fraction of the append's timeout.
MAX_BATCH_BYTES = 65536


class Submitter:
    """Task that appends the records of callers; runs on every daemon.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partition: partition to append to
    """

    name = 'submitter'

    def __init__(self, log, partition):
        self._log = log
        self._partition = partition
        self._queue = asyncio.Queue()

    async def append(self, record, timeout_s):
        """Append a record and return its offset.

        :raises errors.PlatformUnavailable: if it was not appended
        :raises errors.OutcomeUnknown: if it may have been appended, or may
            still be
        """
        done = asyncio.get_running_loop().create_future()
        self._queue.put_nowait((record, done))
        try:
            return await asyncio.wait_for(done, timeout_s)
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown('not appended in time') from error

    async def run(self):
        """Append queued records until cancelled."""
        while True:
            batch = [await self._queue.get()]
            size_bytes = len(batch[0][0].value)
            while (
                len(batch) < MAX_BATCH_RECORDS
                and size_bytes < MAX_BATCH_BYTES
                and not self._queue.empty()
            ):
                batch.append(self._queue.get_nowait())
                size_bytes += len(batch[-1][0].value)
            batch = [entry for entry in batch if not entry[1].done()]
            if batch:
                await self._append(batch)

    async def _append(self, batch):
        records = [record for record, _ in batch]
        try:
            offset = await self._log.append(self._partition, records)
        except errors.PlatformError as error:
            for _, done in batch:
                _resolve(done, error=error)
            return
        for index, (_, done) in enumerate(batch):
            _resolve(done, offset + index)

    async def stop(self):
        """Do nothing; the outcome of queued records is reported as unknown."""


def _resolve(done, offset=None, error=None):
    if done.done():
        return
    if error is not None:
        done.set_exception(error)
    else:
        done.set_result(offset)
