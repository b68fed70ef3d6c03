"""Wall-clock and monotonic time."""

import time
import typing


class Clock(typing.Protocol):
    """Interface of a source of time."""

    def now_s(self):
        """Return the wall-clock time in seconds since the epoch."""

    def monotonic_s(self):
        """Return monotonic time in seconds, from an arbitrary start."""


class SystemClock:
    """Clock of this host."""

    def now_s(self):
        """Return the wall-clock time in seconds since the epoch."""
        return time.time()

    def monotonic_s(self):
        """Return monotonic time in seconds, from an arbitrary start."""
        return time.monotonic()
