"""Clocks of a scheduling daemon."""

import time

from hawthorndeal_daemon import clock


class SteadyClock(clock.SystemClock):
    """System clock that can also measure time across a host suspension."""

    def boot_s(self):
        """Return the seconds since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
