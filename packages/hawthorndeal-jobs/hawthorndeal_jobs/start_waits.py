"""Forecast how long new jobs wait for a start, though there is room for them.

An owner sends a limited number of starts at a time. The rate follows from what
executors answer and from the owner's own processor, so it is measured.
"""

import collections

# The rate is measured over this period.
PERIOD_S = 1.0
# Starts that were short for less than this say little about the rate.
MIN_PERIOD_S = 0.2
# A longer wait, or one without any starts, is told as this: how long it will
# last isn't known.
MAX_WAIT_S = 3.0
# What was noted last tells nothing any more after this time.
MAX_AGE_S = 0.5


class StartWaits:
    """Forecasts the wait for a start.

    Times are in seconds of the daemon's monotonic clock.
    """

    def __init__(self):
        self._waiting = 0
        self._short_since_s = None
        self._noted_s = 0.0
        # Time and number of starts of each cycle.
        self._cycles = collections.deque()

    def note_cycle(self, starts, waiting, is_limited, now_s):
        """Record what a cycle of the owner has started.

        :param starts: number of starts
        :param waiting: number of starts that wait beside room
        :param is_limited: whether no starts were left for others
        """
        if not is_limited:
            self._waiting = 0
            self._short_since_s = None
            self._cycles.clear()
            return
        self._waiting = waiting
        self._noted_s = now_s
        if self._short_since_s is None:
            self._short_since_s = now_s
        self._cycles.append((now_s, starts))
        self._forget_before(now_s - PERIOD_S)

    def wait_s(self, now_s):
        """Return how long a start that is planned last has to wait.

        Nothing is told while no cycles are noted, as while starts are halted.
        """
        if not self._waiting or now_s - self._noted_s > MAX_AGE_S:
            return 0.0
        period_s = min(PERIOD_S, now_s - self._short_since_s)
        if period_s < MIN_PERIOD_S:
            return 0.0
        self._forget_before(now_s - period_s)
        starts = sum(count for _, count in self._cycles)
        if not starts:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, self._waiting * period_s / starts)

    def _forget_before(self, limit_s):
        while self._cycles and self._cycles[0][0] < limit_s:
            self._cycles.popleft()
