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


class Workers(typing.Protocol):
    """Have workers run tasks under leases.

    A token stands for one try to run a job. Every call may be repeated, and
    answers with the task's status. A token that has ended never runs again.
    """

    async def reports(self, cursor):
        """Return the reports that came since a cursor; they lag.

        :rtype: tasks.ReportPage
        """

    async def tasks(self, host):
        """Return the status of each task of a host, up to date.

        :rtype: dict[int, tasks.TaskStatus]
        """

    async def start(self, host, order):
        """Start a task, unless its token is known or its lease is over.

        :param order: a :class:`tasks.TaskOrder`
        :raises errors.OutcomeUnknown: it may have started
        """

    async def renew(self, host, until_s):
        """Extend leases, and return the status of each token known.

        :param until_s: end of each lease by token, since the epoch; an
            end earlier than the one in force changes nothing
        """

    async def throttle(self, host, token, version):
        """Have a task run slowly.

        :param version: grows with each wish about the task
        """

    async def resume(self, host, token, version):
        """Have a throttled task run in full, unless throttled later."""

    async def checkpoint(self, host, token):
        """Keep a task's progress and end it.

        :raises errors.PlatformRefused: it can't be checkpointed
        """

    async def stop(self, host, token):
        """End a task, or see that it never starts."""


HostStatus = maintenance.HostStatus
