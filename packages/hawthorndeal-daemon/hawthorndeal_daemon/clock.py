"""The two clocks a daemon reads."""

import time
import typing


class Clock(typing.Protocol):
    """Tell the time."""

    def now_s(self):
        """Return seconds since the epoch."""

    def monotonic_s(self):
        """Return seconds that never go back, from any start."""


class SystemClock:
    """Tell the time of this host."""

    def now_s(self):
        """Return seconds since the epoch."""
        return time.time()

    def monotonic_s(self):
        """Return seconds that never go back, from any start."""
        return time.monotonic()
