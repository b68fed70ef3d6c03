"""Interfaces of the platform's services, independent of the adapter."""

import typing

import attrs

from hawthorndeal_fleet import maintenance


@attrs.frozen
class Entry:
    """One entry of a log stream."""

    offset: int
    data: typing.Any


@attrs.frozen
class Page:
    """Entries returned by one read.

    :ivar next_offset: offset of the next read
    :ivar is_last: whether the stream had no further entries at that time
    """

    entries: tuple[Entry, ...]
    next_offset: int
    is_last: bool


class Log(typing.Protocol):
    """Append to and read from the platform's log.

    Offsets increase by one per entry of a stream. Entries are kept for a
    limited time.
    """

    async def append(self, stream, entries):
        """Append entries of plain data, and return the first offset.

        :raises errors.PlatformUnavailable: nothing was appended
        :raises errors.OutcomeUnknown: the entries may have been appended
        """

    async def read(self, stream, offset, limit=1000):
        """Return the page at an offset, empty at the end of the stream.

        :param limit: maximum number of entries
        :raises errors.OffsetExpired: the log no longer holds the offset
        :raises errors.OffsetBeyondEnd: the offset is past the stream's end
        :raises errors.PlatformError: the log can't be read at present
        """


class Hosts(typing.Protocol):
    """List, drain, reboot and move hosts.

    A call carries a deadline, in seconds since the epoch, after which the
    platform must not begin it: the calling process may have been paused
    before the call was sent.
    """

    async def list(self):
        """Return the status of every host by name, possibly outdated.

        :rtype: dict[str, maintenance.HostStatus]
        """

    async def get(self, host):
        """Return the current status of one host.

        :rtype: maintenance.HostStatus
        """

    async def drain(self, host, deadline_s):
        """Start moving all tasks off a host; idempotent."""

    async def reboot(self, host, boot_id, deadline_s):
        """Reboot a host if its boot id is still the one given.

        :raises errors.OutcomeUnknown: the host may be rebooting
        """

    async def move(self, host, pool, deadline_s):
        """Move a host to a pool; idempotent."""

    async def restore(self, host, deadline_s):
        """Allow tasks on a drained host again."""


class Workers(typing.Protocol):
    """Run tasks on workers under leases.

    A token identifies one attempt to run a job. Every call is idempotent and
    returns the task's status. A token that has ended never runs again.
    """

    async def reports(self, cursor):
        """Return the reports since a cursor, with a delay.

        :rtype: tasks.ReportPage
        """

    async def tasks(self, host):
        """Return the current status of each task on a host.

        :rtype: dict[int, tasks.TaskStatus]
        """

    async def start(self, host, order):
        """Start a task, unless its token is known or its lease has expired.

        :param order: a :class:`tasks.TaskOrder`
        :raises errors.OutcomeUnknown: the task may have started
        """

    async def renew(self, host, until_s):
        """Extend leases, and return the status of each known token.

        :param until_s: end of each lease by token, in seconds since the
            epoch; an end before the current one has no effect
        """

    async def throttle(self, host, token, version):
        """Throttle a task.

        :param version: increases with each throttle or resume of the task
        """

    async def resume(self, host, token, version):
        """Undo a throttle, unless the task has a newer one."""

    async def checkpoint(self, host, token):
        """Save a task's progress and end the task.

        :raises errors.PlatformRefused: the task can't be checkpointed
        """

    async def stop(self, host, token):
        """End a task, or prevent it from starting."""


HostStatus = maintenance.HostStatus
