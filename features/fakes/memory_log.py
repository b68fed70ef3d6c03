"""In-memory fake of the platform's log, for tests in one process."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_platform import protocols


class MemoryLog:
    """Log with a single stream and injectable faults.

    :ivar is_down: whether appends and reads fail
    :ivar loses_answers: whether responses to appends are lost after the
        append took effect
    :ivar late_s: delay until an append takes effect
    """

    def __init__(self):
        self.entries = []
        self.is_down = False
        self.loses_answers = False
        self.late_s = 0.0
        self.appends = 0

    async def append(self, stream, entries):
        """Append entries and return the offset of the first one."""
        if self.is_down:
            raise errors.PlatformUnavailable('the log is down')
        self.appends += 1
        if self.late_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self.entries.extend, entries)
            await asyncio.sleep(self.late_s)
        else:
            self.entries.extend(entries)
        if self.loses_answers:
            raise errors.OutcomeUnknown('the response was lost')
        return len(self.entries) - len(entries)

    async def read(self, stream, offset):
        """Return the page that starts at an offset."""
        if self.is_down:
            raise errors.PlatformUnavailable('the log is down')
        found = tuple(
            protocols.Entry(number, data)
            for number, data in enumerate(self.entries[offset:], offset)
        )
        return protocols.Page(found, offset + len(found), True)
