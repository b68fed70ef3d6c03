"""Batched appends of callers' records, with an outcome for each record."""

import asyncio
import collections

import attrs

from hawthorndeal_fleet import errors

MAX_BATCH_RECORDS = 100
# A batch crosses a link of 5 Mbit/s in a fraction of the append's timeout.
MAX_BATCH_BYTES = 65536


def _allow():
    """Permit any append."""


@attrs.define(eq=False)
class _Entry:
    """A record to be appended.

    :ivar is_sent: whether an append of it has begun
    """

    record: object
    verify: object
    done: asyncio.Future
    is_sent: bool = False

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

    One append to each partition is in flight at a time. What arrives
    meanwhile shares the next one, so that a store that slows down gets larger
    appends rather than more of them.

    :param log: a :class:`keyed_log.KeyedLog`
    """

    name = 'submitter'

    def __init__(self, log):
        self._log = log
        self._queues = collections.defaultdict(collections.deque)
        # Partitions with records, and no append in flight.
        self._waiting = asyncio.Queue()
        self._busy = set()
        self._tasks = set()

    async def append(self, partition, record, timeout_s, verify=_allow):
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
        entry = _Entry(record, verify, done)
        self._queues[partition].append(entry)
        if partition not in self._busy:
            self._busy.add(partition)
            self._waiting.put_nowait(partition)
        try:
            return await asyncio.wait_for(done, timeout_s)
        except asyncio.TimeoutError as error:
            if entry.is_sent:
                raise errors.OutcomeUnknown('no answer in time') from error
            # The timeout has cancelled the entry, so that it is never sent.
            raise errors.PlatformUnavailable('not sent in time') from error

    async def run(self):
        """Append queued records until cancelled."""
        try:
            while True:
                partition = await self._waiting.get()
                task = asyncio.create_task(self._drain(partition))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            for task in self._tasks:
                task.cancel()

    async def _drain(self, partition):
        """Append the records of a partition until none are left."""
        try:
            while self._queues[partition]:
                batch = [
                    entry
                    for entry in _take_batch(self._queues[partition])
                    if entry.is_permitted()
                ]
                if batch:
                    await self._append(partition, batch)
        finally:
            del self._queues[partition]
            self._busy.discard(partition)

    async def _append(self, partition, batch):
        for entry in batch:
            entry.is_sent = True
        records = [entry.record for entry in batch]
        try:
            offset = await self._log.append(partition, records)
        except errors.PlatformError as error:
            for entry in batch:
                _resolve(entry.done, error=error)
            return
        for index, entry in enumerate(batch):
            _resolve(entry.done, offset + index)

    async def stop(self):
        """Do nothing; the outcome of queued records is reported as unknown."""


def _take_batch(queue):
    """Remove and return the first entries of a queue that fit an append."""
    batch = [queue.popleft()]
    size_bytes = batch[0].size_bytes
    while (
        queue
        and len(batch) < MAX_BATCH_RECORDS
        and size_bytes < MAX_BATCH_BYTES
    ):
        batch.append(queue.popleft())
        size_bytes += batch[-1].size_bytes
    return batch


def _resolve(done, offset=None, error=None):
    if done.done():
        return
    if error is not None:
        done.set_exception(error)
    else:
        done.set_result(offset)
