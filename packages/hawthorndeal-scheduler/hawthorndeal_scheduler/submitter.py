"""Batched appends of callers' records, with an outcome for each record."""

import asyncio
import collections

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import tasks

MAX_BATCH_RECORDS = 100
# A batch crosses a link of 5 Mbit/s in a fraction of the append's timeout.
MAX_BATCH_BYTES = 65536
# Errors after which a record is certainly not stored.
_NOT_STORED = (
    errors.PlatformUnavailable,
    errors.RequestFailed,
    keyed_log.RecordsRefused,
)


def _allow():
    """Permit any append."""


@attrs.define(eq=False)
class _Entry:
    """A record to be appended.

    :ivar partitions: where it may still be tried, the preferred one first
    :ivar attempts: number of its appends that are queued or in flight
    :ivar is_sent: whether an append of it has begun
    :ivar is_unknown: whether a failed append may have stored it
    """

    record: object
    verify: object
    done: asyncio.Future
    partitions: list
    attempts: int = 0
    is_sent: bool = False
    is_unknown: bool = False

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
            self.partitions.clear()
            self.note_failed(error)
            return False
        return True

    def note_failed(self, error):
        """Record that an attempt has failed; the last one settles it."""
        self.attempts -= 1
        self.is_unknown |= not isinstance(error, _NOT_STORED)
        if self.attempts or self.done.done():
            return
        if self.is_unknown and isinstance(error, _NOT_STORED):
            error = errors.OutcomeUnknown(f'one copy may be stored: {error}')
        self.done.set_exception(error)

    def note_stored(self, offset):
        """Record that an attempt has stored the record."""
        self.attempts -= 1
        if not self.done.done():
            self.done.set_result(offset)


class Submitter:
    """Task that appends the records of callers; runs on every daemon.

    One append to each partition is in flight at a time. What arrives
    meanwhile shares the next one, so that a store that slows down gets larger
    appends rather than more of them. While one partition leaves an append
    unanswered that others would have answered, its records go to another one
    as well.

    :param log: a :class:`keyed_log.KeyedLog`
    """

    name = 'submitter'

    def __init__(self, log):
        self._log = log
        self._queues = collections.defaultdict(collections.deque)
        # Partitions with records, and no append in flight.
        self._waiting = asyncio.Queue()
        self._busy = set()
        # Partitions whose append should have been answered.
        self._overdue = set()
        self._tasks = set()

    async def append(self, partitions, record, timeout_s, verify=_allow):
        """Append a record to one of some partitions, and return its offset.

        :param partitions: the preferred one first; a record that is stored
            in several of them counts once
        :param verify: called right before each append, which is left out if
            this raises an error: the daemon may have been suspended since the
            call was checked
        :raises errors.RequestFailed: by ``verify``; it was not appended
        :raises errors.PlatformUnavailable: if it was not appended
        :raises keyed_log.RecordsRefused: if it never will be
        :raises errors.OutcomeUnknown: if it may have been appended, or may
            still be
        """
        done = asyncio.get_running_loop().create_future()
        entry = _Entry(record, verify, done, list(partitions))
        self._enqueue(entry)
        try:
            return await asyncio.wait_for(done, timeout_s)
        except asyncio.TimeoutError as error:
            if entry.is_sent:
                raise errors.OutcomeUnknown('no answer in time') from error
            # The timeout has cancelled the entry, so that it is never sent.
            raise errors.PlatformUnavailable('not sent in time') from error

    def _enqueue(self, entry):
        """Queue a record for the next partition that it may be stored in."""
        answering = [p for p in entry.partitions if p not in self._overdue]
        partition = (answering or entry.partitions)[0]
        entry.partitions.remove(partition)
        entry.attempts += 1
        self._queues[partition].append(entry)
        if partition not in self._busy:
            self._busy.add(partition)
            self._waiting.put_nowait(partition)

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
        sending = asyncio.create_task(self._log.append(partition, records))
        try:
            await asyncio.wait([sending], timeout=self._log.overdue_s)
            if not sending.done():
                self._note_overdue(partition, batch)
            offset = await sending
        except errors.PlatformRefused as error:
            await self._append_apart(partition, batch, error)
            return
        except errors.PlatformError as error:
            for entry in batch:
                self._try_elsewhere(entry)
                entry.note_failed(error)
            return
        finally:
            self._overdue.discard(partition)
            sending.cancel()
            sending.add_done_callback(tasks.retrieve_error)
        for index, entry in enumerate(batch):
            entry.note_stored(offset + index)

    async def _append_apart(self, partition, batch, error):
        """Append each record of a refused append by itself.

        One that the store refuses doesn't keep the others from being stored.
        """
        if len(batch) == 1:
            batch[0].note_failed(error)
            return
        for entry in batch:
            await self._append(partition, [entry])

    def _note_overdue(self, partition, batch):
        """Try elsewhere what waits for a partition that should have answered.

        Records that were not sent leave its queue.
        """
        if self._log.reachability.is_silent:
            return
        self._overdue.add(partition)
        for entry in batch:
            self._try_elsewhere(entry)
        queued = self._queues[partition]
        staying = collections.deque()
        while queued:
            entry = queued.popleft()
            if entry.partitions and not entry.done.done():
                entry.attempts -= 1
                self._enqueue(entry)
            else:
                staying.append(entry)
        queued.extend(staying)

    def _try_elsewhere(self, entry):
        if entry.done.done() or not entry.partitions:
            return
        if not self._log.reachability.is_silent:
            self._enqueue(entry)

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
