"""Follow one partition of the keyed log."""

import asyncio
import typing

from hawthorndeal_fleet import errors

WAIT_S = 0.3
RETRY_S = 0.1
MAX_RETRY_S = 0.5


class Reader(typing.Protocol):
    """Take in what is followed."""

    def take(self, record):
        """Take in one record.

        :raises errors.InvalidRecord: when it can't be read
        """

    def note_loaded(self, keys):
        """Note that the newest record of every key was read."""

    def note_read(self, sent_s):
        """Note that a call sent then has reached the end."""


class Follower:
    """Read a partition from its newest records on, for as long as it runs.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partition: what to follow
    :param reader: takes in the records
    :param clock: the daemon's clocks
    :param events: the decision log
    :param wait_s: how long a reading waits for a record
    """

    def __init__(self, log, partition, reader, clock, events, wait_s=WAIT_S):
        self.name = f'follower of {partition.topic}'
        self.partition = partition
        self.next_offset = 0
        self.is_loaded = False
        self.pause_s = 0.0
        self._log = log
        self._reader = reader
        self._clock = clock
        self._events = events
        self._wait_s = wait_s
        self._is_lost = False
        self._is_at_end = False
        self._hurry = asyncio.Event()
        self._progress = asyncio.Event()

    async def run(self):
        """Follow until cancelled."""
        retry_s = 0.0
        while True:
            try:
                await self._step()
                retry_s = 0.0
            except errors.OffsetExpired:
                self.is_loaded = False
            except errors.PlatformError as error:
                self._note_lost(error)
                # An answer may be lost; the next asks for what is there.
                self._is_at_end = False
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, max(RETRY_S, retry_s * 2))

    async def stop(self):
        """Do nothing: a reading may be cut off anywhere."""

    async def _step(self):
        if not self.is_loaded:
            await self._load()
        sent_s = self._clock.monotonic_s()
        # Until the end was reached once, nobody knows how old all this is.
        wait_s = self._wait_s if self._is_at_end else 0.0
        page = await self._log.read(self.partition, self.next_offset, wait_s)
        self._note_regained()
        for record in page.records:
            self._take(record)
        self.next_offset = max(self.next_offset, page.next_offset)
        if page.next_offset >= page.end:
            self._is_at_end = True
            self._reader.note_read(sent_s)
        self._progress.set()
        self._progress = asyncio.Event()
        if page.records and self.pause_s:
            await self._rest()

    async def _rest(self):
        # Records come in groups: one reading then serves several.
        self._hurry.clear()
        try:
            await asyncio.wait_for(self._hurry.wait(), self.pause_s)
        except asyncio.TimeoutError:
            return

    async def _load(self):
        self._is_at_end = False
        keys, next_key, first_end = set(), '', None
        while True:
            page = await self._log.newest(self.partition, next_key)
            if first_end is None:
                first_end = page.end
            for record in page.records:
                keys.add(record.key)
                self._take(record)
            next_key = page.next_key
            if not next_key:
                break
        self.next_offset = first_end
        self.is_loaded = True
        self._reader.note_loaded(keys)

    def _take(self, record):
        try:
            self._reader.take(record)
        except errors.InvalidRecord as error:
            self._events.write(
                'record_skipped',
                topic=self.partition.topic,
                offset=record.offset,
                key=record.key[:80],
                why=str(error)[:200],
            )

    def _note_lost(self, error):
        if not self._is_lost:
            self._events.write(
                'dependency_lost',
                dependency=self.partition.topic,
                why=str(error)[:200],
            )
        self._is_lost = True

    def _note_regained(self):
        if self._is_lost:
            self._events.write(
                'dependency_regained', dependency=self.partition.topic
            )
        self._is_lost = False

    async def reach(self, offset, timeout_s):
        """Wait until an offset was read, and tell whether it was."""
        limit_s = self._clock.monotonic_s() + timeout_s
        while self.next_offset <= offset or not self.is_loaded:
            left_s = limit_s - self._clock.monotonic_s()
            if left_s <= 0:
                return False
            self._hurry.set()
            try:
                await asyncio.wait_for(self._progress.wait(), left_s)
            except asyncio.TimeoutError:
                return False
        return True

    async def catch_up(self, timeout_s):
        """Wait for the next reading, and tell whether it came."""
        self._hurry.set()
        try:
            await asyncio.wait_for(self._progress.wait(), timeout_s)
        except asyncio.TimeoutError:
            return False
        return True
