"""In-memory fake of the keyed log, with fencing and conditional appends."""

import asyncio
import collections
import math

from fakes import links
from hawthorndeal_fleet import errors
from hawthorndeal_platform import hedging
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import paging
from hawthorndeal_platform import reachability

APPEND_LATENCY_S = 0.003
# Limits of one page of newest records.
NEWEST_PAGE_RECORDS = 500
NEWEST_PAGE_BYTES = 1_000_000
# Size of a record's framing.
RECORD_OVERHEAD_BYTES = 5
# Base64 adds a third.
NEWEST_ENCODING_FACTOR = 4 / 3


class Silent(errors.OutcomeUnknown):
    """Raised at the remote end when a partition answers nothing."""


class _Partition:
    """State of one partition."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.newest = {}
        self.epoch = -1
        self.sequence = 0
        self.append_results = collections.OrderedDict()
        self.appended = asyncio.Event()
        self.busy_until_s = 0.0


class KeyedStore:
    """Server side of the keyed log, shared by all daemons.

    :ivar append_s: time to process an append; those of a partition are
        serialized
    :ivar read_s: latency of a read, besides the wait for records
    :ivar unreadable: names of partitions that can't be read
    :ivar silent: names of partitions that answer nothing
    :ivar refusing: names of partitions that refuse all calls
    :ivar max_record_bytes: size of the largest record that it takes
    :ivar is_refused: tells whether it never takes a record
    :ivar refused: keys and sizes of the records that it has refused
    :ivar is_late: whether what a silent partition was sent takes effect when
        it answers again
    """

    def __init__(self):
        self._partitions = collections.defaultdict(_Partition)
        self.is_down = False
        self.appends = 0
        self.append_s = 0.0
        self.read_s = 0.0
        self.unreadable = set()
        self.silent = set()
        self.refusing = set()
        self.max_record_bytes = math.inf
        self.is_refused = lambda record: False
        self.refused = []
        self.is_late = False
        self._late_appends = []

    async def wait_for_read(self, partition, offset, wait_s):
        """Wait for a record at an offset, then for the read latency."""
        await self.wait(partition, offset, wait_s)
        await asyncio.sleep(self.read_s)

    async def wait_until_appended(self, partition):
        """Wait until an append that arrives now has been processed."""
        state = self._partitions[partition]
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, state.busy_until_s)
        state.busy_until_s = begin_s + self.append_s
        await asyncio.sleep(state.busy_until_s - now_s + APPEND_LATENCY_S)

    def append(self, partition, records, fence=None, end=None):
        """Append records atomically and return the offset of the first.

        :param fence: epoch and sequence number of the writer, or None
        :param end: expected end offset, or None for an unconditional append
        """
        state = self._partitions[partition]
        if self.is_late and partition.name in self.silent:
            self._late_appends.append((partition, records, fence, end))
        self._check_available(partition)
        if fence is not None and fence.epoch < state.epoch:
            raise keyed_log.Fenced(f'epoch {fence.epoch}')
        key = fence and (fence.epoch, fence.sequence)
        if key in state.append_results:
            return state.append_results[key]
        if end is not None and end != len(state.records):
            raise keyed_log.EndMoved(len(state.records))
        self._check_content(records)
        if fence is not None:
            self._advance_fence(state, fence)
        offset = len(state.records)
        for record in records:
            record_offset = len(state.records)
            stored = keyed_log.KeyedRecord(
                record_offset, record.key, record.value
            )
            state.records.append(stored)
            state.newest[record.key] = stored
        self.appends += 1
        if key is not None:
            state.append_results[key] = offset
        state.appended.set()
        state.appended = asyncio.Event()
        return offset

    def _check_content(self, records):
        for record in records:
            content_bytes = 1 + len(record.key) + len(record.value)
            if content_bytes > self.max_record_bytes or self.is_refused(
                record
            ):
                self.refused.append((record.key, content_bytes))
                raise keyed_log.RecordsRefused(f'status 400: {record.key}')

    def end_silence(self, names):
        """Let partitions answer again."""
        self.silent.difference_update(names)
        late, self._late_appends = self._late_appends, []
        for arguments in late:
            try:
                self.append(*arguments)
            except errors.HawthorndealError:
                # Nobody waits for the answer any more.
                continue

    def _advance_fence(self, state, fence):
        is_newer = fence.epoch > state.epoch
        if not is_newer and fence.sequence != state.sequence + 1:
            raise errors.PlatformRefused(f'sequence {fence.sequence}')
        state.epoch, state.sequence = fence.epoch, fence.sequence

    def _check_available(self, partition):
        if self.is_down or partition.name in self.refusing:
            raise keyed_log.Overloaded('the store is down')
        if partition.name in self.silent:
            raise Silent('no answer')

    def is_available(self, partition):
        """Return whether a partition takes appends."""
        return not self.is_down and not (
            partition.name in self.refusing | self.silent
        )

    def _check_readable(self, partition):
        self._check_available(partition)
        if partition.name in self.unreadable:
            raise keyed_log.Overloaded('the partition is down')

    def read(self, partition, offset, limit_bytes=paging.MAX_PAGE_BYTES):
        """Return a page of the records from an offset on."""
        self._check_readable(partition)
        state = self._partitions[partition]
        if offset < state.first_offset:
            raise errors.OffsetExpired(offset, state.first_offset)
        records = tuple(_first_bytes(state.records[offset:], limit_bytes))
        end = len(state.records)
        return keyed_log.RecordPage(records, offset + len(records), end)

    def end(self, partition):
        """Return the end offset of a partition."""
        self._check_available(partition)
        return len(self._partitions[partition].records)

    def newest(self, partition, after_key=''):
        """Return a page of the newest records of the keys after a key."""
        self._check_readable(partition)
        state = self._partitions[partition]
        stored = [
            record
            for record in self.all_newest(partition)
            if record.key > after_key
        ]
        page = tuple(
            _first_bytes(stored[:NEWEST_PAGE_RECORDS], NEWEST_PAGE_BYTES)
        )
        next_key = page[-1].key if len(page) < len(stored) else ''
        return keyed_log.NewestPage(page, len(state.records), next_key)

    def all_newest(self, partition):
        """Return the newest records of all keys, sorted by key."""
        newest = self._partitions[partition].newest
        return [record for _, record in sorted(newest.items()) if record.value]

    def find(self, partition, key):
        """Return the newest record of a key, or None."""
        return self._partitions[partition].newest.get(key)

    async def wait(self, partition, offset, wait_s):
        """Wait until a record exists at an offset, or for a timeout."""
        state = self._partitions[partition]
        if offset < len(state.records):
            return
        try:
            await asyncio.wait_for(state.appended.wait(), wait_s)
        except asyncio.TimeoutError:
            return

    def compact(self, partition):
        """Compact the log: keep only the newest record of each key."""
        state = self._partitions[partition]
        state.first_offset = len(state.records)


def size_bytes(records):
    """Return the size of records on the wire."""
    return links.REQUEST_BYTES + sum(
        len(r.key) + len(r.value) + RECORD_OVERHEAD_BYTES for r in records
    )


def _first_bytes(records, limit_bytes):
    """Yield records up to a total size, and at least one."""
    total_bytes = 0
    for number, record in enumerate(records):
        total_bytes += len(record.key) + len(record.value)
        if number and total_bytes > limit_bytes:
            return
        yield record


class StoreClient:
    """Client of the store for one daemon; see :class:`keyed_log.KeyedLog`.

    :ivar is_cut: whether the daemon can't reach the store
    """

    def __init__(self, store, link):
        self._store = store
        self._link = link
        self._append_latency = hedging.LatencyEstimate()
        self._read_latency = hedging.LatencyEstimate()
        self.reachability = reachability.Reachability(
            self._read_latency, asyncio.get_running_loop().time
        )
        self._page_size = paging.PageSize()
        self.is_cut = False

    async def _call(
        self,
        operation,
        wait=None,
        timeout_s=links.CALL_TIMEOUT_S,
        sent_bytes=links.REQUEST_BYTES,
        response_bytes=None,
        is_idle_timeout=False,
        timing=None,
    ):
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('the store is unreachable')
        begun_s = asyncio.get_running_loop().time()
        try:
            return await self._link.call(
                operation,
                wait,
                timeout_s,
                sent_bytes,
                response_bytes,
                is_idle_timeout,
                timing,
            )
        except Silent:
            took_s = asyncio.get_running_loop().time() - begun_s
            await asyncio.sleep(timeout_s - took_s)
            raise

    @property
    def overdue_s(self):
        """Time after which the answer to an append is overdue."""
        return max(
            self._append_latency.usual_delay_s,
            self._read_latency.usual_delay_s,
        )

    async def append(self, partition, records, fence=None, end=None):
        """Append records atomically and return the offset of the first."""
        return await hedging.call(
            lambda: self._call(
                lambda: self._store.append(partition, records, fence, end),
                lambda: self._store.wait_until_appended(partition),
                keyed_log.APPEND_TIMEOUT_S,
                size_bytes(records),
            ),
            self._append_latency,
            keyed_log.APPEND_TIMEOUT_S,
            asyncio.get_running_loop().time,
            self._read_latency.delay_s,
            self.reachability,
        )

    async def read(self, partition, offset, wait_s):
        """Return the records from an offset on; wait for the first one."""

        async def send(timeout_s):
            limit_bytes = self._page_size.size_bytes
            timing = links.Timing()
            page = await self._call(
                lambda: self._store.read(partition, offset, limit_bytes),
                lambda: self._store.wait_for_read(partition, offset, wait_s),
                timeout_s,
                response_bytes=lambda page: size_bytes(page.records),
                is_idle_timeout=True,
                timing=timing,
            )
            latency_s, transfer_s = timing.times_s()
            page_bytes = size_bytes(page.records)
            self._page_size.note_transfer(page_bytes, transfer_s)
            return page, latency_s

        return await hedging.read(
            send, self._read_latency, wait_s, self.reachability
        )

    async def end(self, partition, offset):
        """Return the end offset of a partition."""
        end = await self._call(lambda: self._store.end(partition))
        self.reachability.note_answer()
        return end

    async def newest(self, partition, after_key=''):
        """Return the newest record of each key."""
        page = await self._call(
            lambda: self._store.newest(partition, after_key),
            response_bytes=lambda page: (
                size_bytes(page.records) * NEWEST_ENCODING_FACTOR
            ),
            is_idle_timeout=True,
        )
        self.reachability.note_answer()
        return page
