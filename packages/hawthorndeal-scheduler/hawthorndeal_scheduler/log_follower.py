"""Follower of one partition of the keyed log."""

import asyncio
import math
import typing

import attrs

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

    def note_page(self, sent_s):
        """Prepare for the records of a read that was sent at this time."""

    def note_read(self, sent_s):
        """Record that a read sent at this time reached the end."""


@attrs.define(eq=False)
class _Load:
    """Progress of a load of the newest records.

    :ivar begun_s: when the first page was asked for
    :ivar keys: keys of the records that were read
    :ivar next_key: key after which the next page begins
    :ivar first_end: end offset of the partition at the first page
    :ivar is_complete: whether the last page has been read
    """

    begun_s: float | None = None
    keys: set = attrs.Factory(set)
    next_key: str = ''
    first_end: int | None = None
    is_complete: bool = False


class Follower:
    """Task that loads the newest record of each key, then reads new records.

    After an error a load goes on with the first key that it has not read.
    What was appended during a load is read from the log after it.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partition: partition to follow
    :param reader: processes the records
    :param clock: clocks of the daemon
    :param events: the decision log
    :param metrics: counts the pages
    :param wait_s: how long a read waits for new records
    :ivar last_answer_s: when the last page arrived; None before the first
    :ivar lost_boot_s: when a read last failed after one that was answered, on
        the clock that counts suspensions
    :ivar confirmed_boot_s: when the last read that reached the end was sent,
        on the clock that counts suspensions; -inf before the first one
    :ivar read_pause_s: pause after a read that returned the last records
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
        self.last_answer_s = None
        self.lost_boot_s = -math.inf
        self.confirmed_boot_s = -math.inf
        self.read_pause_s = 0.0
        self._log = log
        self._reader = reader
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._wait_s = wait_s
        # None once a read after the load has reached the end.
        self._load = _Load()
        self._is_unavailable = False
        self._is_at_end = False
        self._read_requested = asyncio.Event()
        self._read_finished = asyncio.Event()

    @property
    def is_loaded(self):
        """Return whether the newest record of each key has been read."""
        return self._load is None or self._load.is_complete

    @property
    def is_available(self):
        """Return whether the last read was answered."""
        return not self._is_unavailable

    def has_read(self, offset):
        """Return whether all records before an offset were read."""
        return self.next_offset >= offset and self.is_loaded

    def reload(self):
        """Load again from the first key; a page under way is discarded."""
        self._load = _Load()
        self._is_at_end = False

    async def run(self):
        """Follow until cancelled."""
        retry_s = 0.0
        while True:
            sent_s = self._clock.monotonic_s()
            try:
                await self._read_page()
                retry_s = 0.0
            except errors.OffsetExpired as error:
                self._log_failed_load(error)
                self.reload()
            except errors.PlatformError as error:
                self._note_error(error)
                retry_s = await self._pause(retry_s, sent_s)

    async def _pause(self, retry_s, sent_s):
        """Wait after a read that failed.

        :param sent_s: when that read was sent
        :returns: how long to wait after another one
        """
        reachability = self._log.reachability
        if reachability.is_silent:
            await reachability.pause(retry_s)
            return min(MAX_RETRY_S, max(RETRY_S, retry_s * 2))
        # A partition that alone is away comes back unannounced. A read that
        # was not answered has taken longer than the pause already.
        took_s = self._clock.monotonic_s() - sent_s
        await reachability.pause(max(0.0, retry_s - took_s))
        return RETRY_S

    def _note_error(self, error):
        self._metrics.note_failed_read(self.partition.name)
        self._note_unavailable(error)
        if not self.is_loaded:
            self._log_failed_load(error)
        # The answer may be lost: the next read returns at once.
        self._is_at_end = False

    async def stop(self):
        """Do nothing; a read may be cancelled at any point."""

    async def _read_page(self):
        if not self.is_loaded:
            await self._read_newest(self._load)
        else:
            await self._read_log(self._load)

    async def _read_newest(self, load):
        if load.begun_s is None:
            load.begun_s = self._clock.monotonic_s()
        page = await self._log.newest(self.partition, load.next_key)
        if load is not self._load:
            return
        self._note_available()
        if load.first_end is None:
            load.first_end = page.end
        self._note_page(page.records, page.end - load.first_end)
        for record in page.records:
            load.keys.add(record.key)
            self._deliver(record)
        load.next_key = page.next_key
        if not page.next_key:
            self.next_offset = load.first_end
            load.is_complete = True
            self._reader.note_loaded(load.keys)

    async def _read_log(self, load):
        sent_s = self._clock.monotonic_s()
        sent_boot_s = self._clock.boot_s()
        # The age of the data is unknown until a read has reached the end, so
        # reads don't wait until then.
        wait_s = self._wait_s if self._is_at_end else 0.0
        page = await self._log.read(self.partition, self.next_offset, wait_s)
        if load is not self._load:
            return
        self._note_available()
        self._note_page(page.records, page.end - page.next_offset)
        self._reader.note_page(sent_s)
        for record in page.records:
            self._deliver(record)
        self.next_offset = max(self.next_offset, page.next_offset)
        self._is_at_end = page.next_offset >= page.end
        if self._is_at_end:
            self._load = None
            self.confirmed_boot_s = max(self.confirmed_boot_s, sent_boot_s)
            self._reader.note_read(sent_s)
        self._read_finished.set()
        self._read_finished = asyncio.Event()
        if page.records and self._is_at_end and self.read_pause_s:
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

    def _note_page(self, records, behind):
        self.last_answer_s = self._clock.monotonic_s()
        self._metrics.note_page(self.partition.name, records, max(0, behind))

    def _log_failed_load(self, error):
        now_s = self._clock.monotonic_s()
        load = self._load or _Load()
        begun_s = now_s if load.begun_s is None else load.begun_s
        self._events.write(
            'load_failed',
            partition=self.partition.name,
            keys=len(load.keys),
            took_s=round(now_s - begun_s, 3),
            why=str(error)[:200],
        )

    def _deliver(self, record):
        try:
            self._reader.handle_record(record)
        except errors.InvalidRecord as error:
            self._log_skipped(record, str(error))
        except Exception as error:
            # The same record would stop this daemon and each of its restarts.
            self._log_skipped(record, repr(error))

    def _log_skipped(self, record, why):
        self._events.write(
            'record_skipped',
            partition=self.partition.name,
            offset=record.offset,
            key=record.key[:80],
            why=why[:200],
        )

    def _note_unavailable(self, error):
        if not self._is_unavailable:
            self.lost_boot_s = self._clock.boot_s()
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
