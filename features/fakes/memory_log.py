"""A stand-in for the platform's log inside the process of a test."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_platform import protocols


class MemoryLog:
    """Keep one stream in memory and fail on demand.

    :ivar is_down: nothing is appended or read
    :ivar loses_answers: appends take effect, and their answer is lost
    :ivar late_s: how much later an append takes effect
    """

    def __init__(self):
        self.entries = []
        self.is_down = False
        self.loses_answers = False
        self.late_s = 0.0
        self.appends = 0

    async def append(self, stream, entries):
        """Append plain data and return the offset of the first."""
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
            raise errors.OutcomeUnknown('the answer is lost')
        return len(self.entries) - len(entries)

    async def read(self, stream, offset):
        """Return the page at an offset."""
        if self.is_down:
            raise errors.PlatformUnavailable('the log is down')
        found = tuple(
            protocols.Entry(number, data)
            for number, data in enumerate(self.entries[offset:], offset)
        )
        return protocols.Page(found, offset + len(found), True)
