"""Decide which pools hold back late work while others lack hosts.

A pool that has more jobs than it can do in time keeps all its hosts busy with
late ones, long after its burst, so that none becomes idle. Meanwhile the next
pool's burst, which could still be served in time, gets no hosts.
"""

import attrs

from . import capacity

# Share of all hosts that has to be lacking; a few are soon idle anyway.
MIN_LACKING_SHARE = 0.05
# Time for which late work is held back at least: hosts become idle only if
# nothing new starts on them while their runs end.
HOLD_S = 0.5
# A lack that lasts longer can't be met by waiting. Late work then goes on for
# as long, before it is held back again.
MAX_HOLD_S = 5.0


@attrs.define
class _Hold:
    """A period in which a pool starts no late work, and a rest after it.

    :ivar until_s: when it ends unless it is extended
    """

    begun_s: float
    until_s: float

    def is_active(self, now_s):
        """Return whether no late work may start."""
        return now_s < min(self.until_s, self.begun_s + MAX_HOLD_S)

    def is_over(self, now_s):
        """Return whether another period may begin."""
        is_ended_early = self.until_s < self.begun_s + MAX_HOLD_S
        rest_s = 0.0 if is_ended_early else MAX_HOLD_S
        return now_s >= self.until_s + rest_s


class LateWorkHolds:
    """The pools that start no late work at present.

    :ivar pools: their names
    """

    def __init__(self):
        self.pools = frozenset()
        self._holds = {}

    def update(self, loads, moves, now_s):
        """Process the loads of all pools, and the moves that they led to.

        :param moves: moves that are made now
        """
        self._holds = {
            pool: hold
            for pool, hold in self._holds.items()
            if not hold.is_over(now_s)
        }
        if _is_lacking(loads, moves):
            for load in filter(_may_hold, loads):
                self._extend(load.pool, now_s)
        self.pools = frozenset(
            pool for pool, hold in self._holds.items() if hold.is_active(now_s)
        )

    def _extend(self, pool, now_s):
        hold = self._holds.setdefault(pool, _Hold(now_s, now_s))
        hold.until_s = min(now_s + HOLD_S, hold.begun_s + MAX_HOLD_S)


def _is_lacking(loads, moves):
    targets = [move.to_pool for move in moves]
    lacking = sum(
        max(0, capacity.host_deficit(load.in_time) - targets.count(load.pool))
        for load in loads
    )
    hosts = sum(load.hosts for load in loads)
    return lacking > MIN_LACKING_SHARE * hosts


def _may_hold(load):
    return load.late_backlog_host_s > 0.0 and not capacity.host_deficit(
        load.in_time
    )
