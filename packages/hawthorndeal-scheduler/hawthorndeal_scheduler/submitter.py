"""Batched appends of callers' records, with an outcome for each record."""

import asyncio

import attrs

from hawthorndeal_fleet import errors

MAX_BATCH_RECORDS = 100
# A batch crosses a link of 5 Mbit/s in a fraction of the append's timeout.
MAX_BATCH_BYTES = 65536


def _allow():
    """Permit any append."""


@attrs.frozen(eq=False)
class _Entry:
    """A record to be appended."""

    record: object
    verify: object
    done: asyncio.Future

    @property
    def size_bytes(self):
        """Size of the record's value."""
        return len(self.record.value)

    def is_permitted(self):
        """Return whether the record may be appended now."""
        if self.done.done():
            return False
        try:
            self.verify()
        except errors.RequestFailed as error:
            _resolve(self.done, error=error)
            return False
        return True


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

    async def append(self, record, timeout_s, verify=_allow):
        """Append a record and return its offset.

        :param verify: called right before the append, which is left out if
            this raises an error: the daemon may have been suspended since the
            call was checked
        :raises errors.RequestFailed: by ``verify``; it was not appended
        :raises errors.PlatformUnavailable: if it was not appended
        :raises errors.OutcomeUnknown: if it may have been appended, or may
            still be
        """
        done = asyncio.get_running_loop().create_future()
        self._queue.put_nowait(_Entry(record, verify, done))
        try:
            return await asyncio.wait_for(done, timeout_s)
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown('not appended in time') from error

    async def run(self):
        """Append queued records until cancelled."""
        while True:
            batch = [await self._queue.get()]
            size_bytes = batch[0].size_bytes
            while (
                len(batch) < MAX_BATCH_RECORDS
                and size_bytes < MAX_BATCH_BYTES
                and not self._queue.empty()
            ):
                batch.append(self._queue.get_nowait())
                size_bytes += batch[-1].size_bytes
            batch = [entry for entry in batch if entry.is_permitted()]
            if batch:
                await self._append(batch)

    async def _append(self, batch):
        records = [entry.record for entry in batch]
        try:
            offset = await self._log.append(self._partition, records)
        except errors.PlatformError as error:
            for entry in batch:
                _resolve(entry.done, error=error)
            return
        for index, entry in enumerate(batch):
            _resolve(entry.done, offset + index)

    async def stop(self):
        """Do nothing; the outcome of queued records is reported as unknown."""


def _resolve(done, offset=None, error=None):
    if done.done():
        return
    if error is not None:
        done.set_exception(error)
    else:
        done.set_result(offset)
