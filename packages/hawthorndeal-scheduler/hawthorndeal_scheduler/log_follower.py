"""Follower of one partition of the keyed log."""

import asyncio
import typing

from hawthorndeal_fleet import errors

READ_WAIT_S = 0.3
RETRY_S = 0.1
MAX_RETRY_S = 0.5


class Reader(typing.Protocol):
    """Consumer of the records of a partition."""

    def handle_record(self, record):
        """Process one record.

        :raises errors.InvalidRecord: if it can't be decoded
        """

    def note_loaded(self, keys):
        """Record that the newest record of every key has been read."""

    def note_read(self, sent_s):
        """Record that a read sent at this time reached the end."""


class Follower:
    """Task that loads the newest record of each key, then reads new records.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partition: partition to follow
    :param reader: processes the records
    :param clock: clocks of the daemon
    :param events: the decision log
    :param metrics: counts the pages
    :param wait_s: how long a read waits for new records
    :ivar read_pause_s: pause after a read that returned records
    """

    def __init__(
        self,
        log,
        partition,
        reader,
        clock,
        events,
        metrics,
        wait_s=READ_WAIT_S,
    ):
        self.name = f'follower of {partition.name}'
        self.partition = partition
        self.next_offset = 0
        self.is_loaded = False
        self.read_pause_s = 0.0
        self._log = log
        self._reader = reader
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._wait_s = wait_s
        self._is_unavailable = False
        self._is_at_end = False
        self._read_requested = asyncio.Event()
        self._read_finished = asyncio.Event()

    async def run(self):
        """Follow until cancelled."""
        retry_s = 0.0
        while True:
            try:
                await self._read_page()
                retry_s = 0.0
            except errors.OffsetExpired:
                self.is_loaded = False
            except errors.PlatformError as error:
                self._metrics.note_failed_read(self.partition.name)
                self._note_unavailable(error)
                # The answer may be lost: the next read returns at once.
                self._is_at_end = False
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, max(RETRY_S, retry_s * 2))

    async def stop(self):
        """Do nothing; a read may be cancelled at any point."""

    async def _read_page(self):
        if not self.is_loaded:
            await self._load()
        sent_s = self._clock.monotonic_s()
        # The age of the data is unknown until a read has reached the end, so
        # reads don't wait until then.
        wait_s = self._wait_s if self._is_at_end else 0.0
        page = await self._log.read(self.partition, self.next_offset, wait_s)
        self._note_available()
        self._note_page(page.records, page.end - page.next_offset)
        for record in page.records:
            self._deliver(record)
        self.next_offset = max(self.next_offset, page.next_offset)
        if page.next_offset >= page.end:
            self._is_at_end = True
            self._reader.note_read(sent_s)
        self._read_finished.set()
        self._read_finished = asyncio.Event()
        if page.records and self.read_pause_s:
            await self._pause_between_reads()

    async def _pause_between_reads(self):
        # Records tend to arrive in groups, which one read can then return.
        self._read_requested.clear()
        try:
            await asyncio.wait_for(
                self._read_requested.wait(), self.read_pause_s
            )
        except asyncio.TimeoutError:
            return

    async def _load(self):
        self._is_at_end = False
        begun_s = self._clock.monotonic_s()
        keys, next_key, first_end = set(), '', None
        while True:
            try:
                page = await self._log.newest(self.partition, next_key)
            except errors.PlatformError as error:
                self._log_failed_load(keys, begun_s, error)
                raise
            if first_end is None:
                first_end = page.end
            self._note_page(page.records, page.end - first_end)
            for record in page.records:
                keys.add(record.key)
                self._deliver(record)
            next_key = page.next_key
            if not next_key:
                break
        self.next_offset = first_end
        self.is_loaded = True
        self._reader.note_loaded(keys)

    def _note_page(self, records, behind):
        self._metrics.note_page(self.partition.name, records, max(0, behind))

    def _log_failed_load(self, keys, begun_s, error):
        self._events.write(
            'load_failed',
            partition=self.partition.name,
            keys=len(keys),
            took_s=round(self._clock.monotonic_s() - begun_s, 3),
            why=str(error)[:200],
        )

    def _deliver(self, record):
        try:
            self._reader.handle_record(record)
        except errors.InvalidRecord as error:
            self._events.write(
                'record_skipped',
                partition=self.partition.name,
                offset=record.offset,
                key=record.key[:80],
                why=str(error)[:200],
            )

    def _note_unavailable(self, error):
        if not self._is_unavailable:
            self._events.write(
                'dependency_lost',
                dependency=self.partition.name,
                why=str(error)[:200],
            )
        self._is_unavailable = True

    def _note_available(self):
        if self._is_unavailable:
            self._events.write(
                'dependency_regained', dependency=self.partition.name
            )
        self._is_unavailable = False

    async def wait_for_offset(self, offset, timeout_s):
        """Wait until an offset has been read; return False on timeout."""
        deadline_s = self._clock.monotonic_s() + timeout_s
        while self.next_offset <= offset or not self.is_loaded:
            left_s = deadline_s - self._clock.monotonic_s()
            if left_s <= 0:
                return False
            self._read_requested.set()
            try:
                await asyncio.wait_for(self._read_finished.wait(), left_s)
            except asyncio.TimeoutError:
                return False
        return True

    async def wait_for_read(self, timeout_s):
        """Wait for the next read to finish; return False on timeout."""
        self._read_requested.set()
        try:
            await asyncio.wait_for(self._read_finished.wait(), timeout_s)
        except asyncio.TimeoutError:
            return False
        return True
