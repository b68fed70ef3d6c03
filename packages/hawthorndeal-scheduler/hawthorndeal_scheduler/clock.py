"""The clocks that a scheduling daemon reads."""

import time

from hawthorndeal_daemon import clock


class SteadyClock(clock.SystemClock):
    """Tell the time of this host, also across its suspension."""

    def boot_s(self):
        """Return seconds that also count while the host is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
