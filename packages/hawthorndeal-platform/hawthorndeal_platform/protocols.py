"""What the project asks of the platform, whatever the adapter."""

import typing

import attrs

from hawthorndeal_fleet import maintenance


@attrs.frozen
class Entry:
    """Carry one entry of a log stream."""

    offset: int
    data: typing.Any


@attrs.frozen
class Page:
    """Carry entries read at once.

    :ivar next_offset: where to read on
    :ivar is_last: whether the stream held no more at that moment
    """

    entries: tuple[Entry, ...]
    next_offset: int
    is_last: bool


class Log(typing.Protocol):
    """Append to and read from the platform's log.

    Offsets grow by one for each entry of a stream. Entries are kept for a
    limited time.
    """

    async def append(self, stream, entries):
        """Append plain data and return the offset of the first.

        :raises errors.PlatformUnavailable: nothing was appended
        :raises errors.OutcomeUnknown: the entries may have been appended
        """

    async def read(self, stream, offset, limit=1000):
        """Return the page at an offset; an empty page at the end.

        :param limit: entries to return at most
        :raises errors.OffsetExpired: the log no longer holds the offset
        :raises errors.OffsetBeyondEnd: the log never reached the offset
        :raises errors.PlatformError: the log can't be read now
        """


class Hosts(typing.Protocol):
    """Ask the platform about hosts and have it work on them.

    A call carries a deadline, in seconds since the epoch, after which the
    platform must not begin it: its caller may have been paused on the way.
    """

    async def list(self):
        """Return the status of every host by name; it lags.

        :rtype: dict[str, maintenance.HostStatus]
        """

    async def get(self, host):
        """Return the status of one host, up to date.

        :rtype: maintenance.HostStatus
        """

    async def drain(self, host, deadline_s):
        """Have tasks moved off a host; repeating it changes nothing."""

    async def reboot(self, host, boot_id, deadline_s):
        """Reboot a host that still runs the boot named.

        :raises errors.OutcomeUnknown: it may be rebooting
        """

    async def move(self, host, pool, deadline_s):
        """Put a host into a pool; repeating it changes nothing."""

    async def restore(self, host, deadline_s):
        """Let a drained host take tasks again."""


HostStatus = maintenance.HostStatus
