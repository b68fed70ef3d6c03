"""Interface of a log of keyed records."""

import typing

import attrs

from hawthorndeal_fleet import errors

from . import reachability


class Fenced(errors.PlatformError):
    """Raised when the log has already seen a newer epoch."""

    reason = 'fenced'


# The outcome of an append is unknown after this time without an answer. A slow
# log takes what waits up to 2 s, and callers wait a little longer.
APPEND_TIMEOUT_S = 2.6


class EndMoved(errors.PlatformError):
    """Raised when a conditional append finds more records than expected.

    :param end: current end offset of the partition
    """

    reason = 'end_moved'

    def __init__(self, end):
        self.end = end
        super().__init__(f'the partition now ends at offset {end}')


class RecordsRefused(errors.PlatformRefused):
    """Raised when the log appends nothing of some records, now or later."""

    reason = 'records_refused'


class Overloaded(errors.PlatformUnavailable):
    """Raised when the overloaded log rejects a call without effect."""

    reason = 'log_overloaded'


@attrs.frozen
class Partition:
    """Identify one partition of a topic; its records are ordered."""

    topic: str
    number: int = 0

    @property
    def name(self):
        """Return a name for logs and metrics."""
        return f'{self.topic}/{self.number}' if self.number else self.topic


@attrs.frozen
class KeyedRecord:
    """One record of the log; an empty value deletes its key."""

    offset: int
    key: str
    value: bytes


@attrs.frozen
class RecordPage:
    """Records returned by one read.

    :ivar next_offset: offset of the next read
    :ivar end: end offset of the partition at the time of the read
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@attrs.frozen
class NewestPage:
    """The newest record of each of some keys, sorted by key.

    :ivar end: end offset of the partition at the time of the read
    :ivar next_key: key after which the next page begins; empty on the last
        page
    """

    records: tuple[KeyedRecord, ...]
    end: int
    next_key: str = ''


@attrs.frozen
class AppendFence:
    """Fence off older writers and deduplicate appends.

    :ivar epoch: the log refuses an epoch older than the newest it has seen
    :ivar sequence: one more than that of the epoch's last append; a retry
        reuses the sequence of the append it repeats
    """

    epoch: int
    sequence: int


class KeyedLog(typing.Protocol):
    """Append to and read from partitions of keyed records.

    The newest record of each key is kept indefinitely, others for a limited
    time. Acknowledged records are never lost.

    :ivar reachability: whether the log answers
    :ivar overdue_s: time after which the answer to an append is overdue
    """

    reachability: reachability.Reachability
    overdue_s: float

    async def append(self, partition, records, fence=None, end=None):
        """Append records atomically, and return the offset of the first.

        :param records: objects with a key and a value
        :param fence: lets the log detect duplicates and older epochs
        :param end: append only if the partition ends at this offset
        :raises Fenced: the log has seen a newer epoch
        :raises EndMoved: the partition ends at another offset
        :raises RecordsRefused: one of the records, or all of them together,
            are none that the log takes, as by their size
        :raises errors.PlatformUnavailable: nothing was appended
        :raises errors.OutcomeUnknown: the records may have been appended, or
            may be later
        """

    async def read(self, partition, offset, wait_s):
        """Return the records from an offset, waiting for at least one.

        :param wait_s: longest wait; the page is empty after it
        :raises errors.OffsetExpired: the log no longer holds the offset
        :raises errors.PlatformError: the log can't be read at present
        """

    async def end(self, partition, offset):
        """Return the end offset of a partition.

        :param offset: an offset that is not beyond the end
        :raises errors.PlatformError: the log can't be read at present
        """

    async def newest(self, partition, after_key=''):
        """Return a page of the newest record of each key after a key."""
