"""A log of keyed records in memory, with fences and conditions."""

import asyncio
import collections

from fakes import links
from hawthorndeal_fleet import errors
from hawthorndeal_platform import hedging
from hawthorndeal_platform import keyed_log

APPEND_S = 0.003


class _Part:
    """Hold one partition."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.epoch = -1
        self.sequence = 0
        self.answers = collections.OrderedDict()
        self.grown = asyncio.Event()


class KeyedStore:
    """Be the other end of all daemons' stores."""

    def __init__(self):
        self._parts = collections.defaultdict(_Part)
        self.is_down = False
        self.appends = 0
        # Appends are taken one after the other, each for so long.
        self.append_s = 0.0
        # What a reading takes beyond its wait.
        self.read_s = 0.0
        self._busy_until_s = 0.0

    async def wait_to_read(self, partition, offset, wait_s):
        """Wait for a record, and for the reading itself."""
        await self.wait(partition, offset, wait_s)
        await asyncio.sleep(self.read_s)

    async def wait_turn(self):
        """Wait until an append that arrives now is taken."""
        now_s = asyncio.get_running_loop().time()
        begin_s = max(now_s, self._busy_until_s)
        self._busy_until_s = begin_s + self.append_s
        await asyncio.sleep(self._busy_until_s - now_s + APPEND_S)

    def append(self, partition, records, fence=None, end=None):
        """Append records, all or none, and return the first's offset."""
        part = self._parts[partition]
        self._check_up()
        if fence is not None and fence.epoch < part.epoch:
            raise keyed_log.Fenced(f'epoch {fence.epoch}')
        key = fence and (fence.epoch, fence.sequence)
        if key in part.answers:
            return part.answers[key]
        if end is not None and end != len(part.records):
            raise keyed_log.EndMoved(len(part.records))
        if fence is not None:
            self._take_fence(part, fence)
        offset = len(part.records)
        for record in records:
            at = len(part.records)
            kept = keyed_log.KeyedRecord(at, record.key, record.value)
            part.records.append(kept)
            part.newest[record.key] = kept
        self.appends += 1
        if key is not None:
            part.answers[key] = offset
        part.grown.set()
        part.grown = asyncio.Event()
        return offset

    def _take_fence(self, part, fence):
        is_newer = fence.epoch > part.epoch
        if not is_newer and fence.sequence != part.sequence + 1:
            raise errors.PlatformRefused(f'sequence {fence.sequence}')
        part.epoch, part.sequence = fence.epoch, fence.sequence

    def _check_up(self):
        if self.is_down:
            raise keyed_log.Overloaded('the store is down')

    def read(self, partition, offset):
        """Return the records from an offset."""
        self._check_up()
        part = self._parts[partition]
        if offset < part.first:
            raise errors.OffsetExpired(offset, part.first)
        records = tuple(part.records[offset:])
        end = len(part.records)
        return keyed_log.RecordPage(records, end, end)

    def newest(self, partition):
        """Return the newest record of each key."""
        self._check_up()
        part = self._parts[partition]
        kept = [r for _, r in sorted(part.newest.items()) if r.value]
        return keyed_log.NewestPage(tuple(kept), len(part.records))

    def find(self, partition, key):
        """Return the newest record of a key, or None."""
        return self._parts[partition].newest.get(key)

    async def wait(self, partition, offset, wait_s):
        """Wait until there is a record at an offset."""
        part = self._parts[partition]
        if offset < len(part.records):
            return
        try:
            await asyncio.wait_for(part.grown.wait(), wait_s)
        except asyncio.TimeoutError:
            return

    def forget(self, partition):
        """Drop all but the newest record of each key."""
        part = self._parts[partition]
        part.first = len(part.records)


class StoreClient:
    """Be one daemon's way to the store; see :class:`keyed_log.KeyedLog`."""

    def __init__(self, store, link):
        self._store = store
        self._link = link
        self._append_latency = hedging.LatencyEstimate()
        self._read_latency = hedging.LatencyEstimate()
        self.is_cut = False

    async def _call(self, act, wait=None, timeout_s=links.CALL_TIMEOUT_S):
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('cut off from the store')
        return await self._link.call(act, wait, timeout_s)

    async def append(self, partition, records, fence=None, end=None):
        """Append records, all or none, and return the first's offset."""
        return await hedging.call(
            lambda: self._call(
                lambda: self._store.append(partition, records, fence, end),
                self._store.wait_turn,
                keyed_log.APPEND_TIMEOUT_S,
            ),
            self._append_latency,
            keyed_log.APPEND_TIMEOUT_S,
            asyncio.get_running_loop().time,
        )

    async def read(self, partition, offset, wait_s):
        """Return the records from an offset, waiting for the first."""

        async def send(timeout_s):
            return await self._call(
                lambda: self._store.read(partition, offset),
                lambda: self._store.wait_to_read(partition, offset, wait_s),
                timeout_s,
            )

        now_s = asyncio.get_running_loop().time
        return await hedging.read(send, self._read_latency, wait_s, now_s)

    async def newest(self, partition, after_key=''):
        """Return the newest record of each key."""
        return await self._call(lambda: self._store.newest(partition))
