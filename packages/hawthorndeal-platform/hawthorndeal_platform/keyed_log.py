"""What the project asks of a log whose records have keys."""

import typing

import attrs

from hawthorndeal_fleet import errors


class Fenced(errors.PlatformError):
    """Report an append whose epoch is older than one already seen."""

    reason = 'fenced'


# An append that was not answered by then counts as unknown.
APPEND_LIMIT_S = 2.0


class EndMoved(errors.PlatformError):
    """Report a conditional append that found the log longer.

    :param end: offset at which the partition ends now
    """

    reason = 'end_moved'

    def __init__(self, end):
        self.end = end
        super().__init__(f'the partition ends at offset {end} now')


class Overloaded(errors.PlatformUnavailable):
    """Report a call that the log turned away; nothing was done."""

    reason = 'log_overloaded'


@attrs.frozen
class Partition:
    """Name one ordered part of a topic."""

    topic: str
    number: int = 0


@attrs.frozen
class KeyedRecord:
    """Carry one record as it was read; an empty value drops its key."""

    offset: int
    key: str
    value: bytes


@attrs.frozen
class RecordPage:
    """Carry records read at once.

    :ivar next_offset: where to read on
    :ivar end: offset at which the partition ended
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@attrs.frozen
class NewestPage:
    """Carry the newest records of some keys, in the order of the keys.

    :ivar end: offset at which the partition ended
    :ivar next_key: where to read on; empty after the last page
    """

    records: tuple[KeyedRecord, ...]
    end: int
    next_key: str = ''


@attrs.frozen
class Fence:
    """Let only the newest epoch append, and each append only once.

    :ivar epoch: an older one than any seen is refused
    :ivar sequence: follows that of the epoch's last append
    """

    epoch: int
    sequence: int


class KeyedLog(typing.Protocol):
    """Append to and read from partitions of keyed records.

    The newest record of each key is kept for good, others for a limited
    time. What is acknowledged is never lost.
    """

    async def append(self, partition, records, fence=None, end=None):
        """Append records, all or none, and return the first's offset.

        :param records: objects with a key and a value
        :param fence: repeats and older epochs are recognised by it
        :param end: append only where the partition ends here
        :raises Fenced: a newer epoch was seen
        :raises EndMoved: the partition ends elsewhere
        :raises errors.PlatformUnavailable: nothing was appended
        :raises errors.OutcomeUnknown: it may be appended, also later
        """

    async def read(self, partition, offset, wait_s):
        """Return the records from an offset, waiting for the first.

        :raises errors.OffsetExpired: the records are no longer kept
        :raises errors.PlatformError: the log can't be read now
        """

    async def newest(self, partition, after_key=''):
        """Return a page of the newest record of each key."""
