"""Decide which hosts move between pools as demand shifts.

Pools with a host deficit receive idle hosts of other pools in turn, early
enough for the forecast growth of their demand. Surplus hosts are put on
standby.

Work is measured in hosts: a task counts as the fraction of a host that it
takes of its dominant resource.
"""

import collections
import itertools
import math

import attrs

# A host that has only just become idle may be needed again at once.
MIN_IDLE_S = 0.3
# Idle time after which standby saves more than the two moves cost.
STANDBY_IDLE_S = 1.2
# Idle time after which a host is released though its pool would keep it for a
# load that rises again.
LONG_IDLE_S = 3.0
# Idle capacity that each pool keeps for unexpected work.
HEADROOM_HOSTS = 0.5
# Surplus that a pool keeps before it releases a host.
RELEASE_MARGIN_HOSTS = 1.0
# Tasks don't pack perfectly: hosts needed for each host of work.
PACKING_FACTOR = 1.15
# Time within which the backlog should be drained. Work that is late anyway
# leaves hosts to pools whose work can still be in time.
BACKLOG_DRAIN_S = 2.0
LATE_BACKLOG_DRAIN_S = 6.0


@attrs.frozen
class IdleHost:
    """A host without runs.

    :ivar idle_s: how long it has been idle
    """

    host: str
    pool: str
    idle_s: float


@attrs.frozen
class PoolLoad:
    """The load of one pool.

    :ivar hosts: usable hosts in the pool; a shrunk one counts in part
    :ivar arriving: hosts that are being moved to the pool
    :ivar lasting_hosts: hosts that long-running tasks use or wait for
    :ivar rate_hosts: hosts kept busy by arriving work
    :ivar growth_hosts: additional hosts needed for the forecast growth
    :ivar backlog_host_s: pending work that may be in time, in host-seconds;
        no more than hosts can do while the backlog is drained
    :ivar late_backlog_host_s: pending work that is late
    :ivar starved_hosts: hosts needed for tasks that no host has room for,
        though the pool has
    :ivar late_starved_hosts: the same for tasks of late jobs
    :ivar waiting_host_s: pending work that new jobs have to wait for, in
        host-seconds
    :ivar late_waiting_host_s: the same of late jobs
    """

    pool: str
    is_standby: bool = False
    hosts: float = 0
    arriving: int = 0
    lasting_hosts: float = 0.0
    rate_hosts: float = 0.0
    growth_hosts: float = 0.0
    backlog_host_s: float = 0.0
    late_backlog_host_s: float = 0.0
    starved_hosts: int = 0
    late_starved_hosts: int = 0
    waiting_host_s: float = 0.0
    late_waiting_host_s: float = 0.0

    @property
    def in_time(self):
        """The load without the work that is late."""
        return attrs.evolve(
            self, late_backlog_host_s=0.0, late_starved_hosts=0
        )

    @property
    def needed_hosts(self):
        """Hosts that the pool's work will need soon."""
        # A rate that has only begun to rise is a weak forecast: growth counts
        # for at most the current rate.
        growth = min(self.growth_hosts, self.rate_hosts)
        arriving_work = self.rate_hosts + growth
        backlog = self.backlog_host_s / BACKLOG_DRAIN_S
        backlog += self.late_backlog_host_s / LATE_BACKLOG_DRAIN_S
        return self.lasting_hosts + (arriving_work + backlog) * PACKING_FACTOR


@attrs.frozen
class Move:
    """A move of a host to another pool.

    :ivar load: load of the pool with the deficit or surplus that caused it
    """

    host: str
    from_pool: str
    to_pool: str
    load: PoolLoad


def plan_moves(loads, idle_hosts):
    """Return the moves to make now.

    Work that may be in time gets hosts before late work does.

    :param loads: loads of all pools
    :param idle_hosts: hosts that may be moved
    """
    by_pool = {load.pool: load for load in loads}
    in_time = {load.pool: load.in_time for load in loads}
    moves = _plan_transfers(in_time, idle_hosts)
    moves += _plan_transfers(
        _with_arrivals(by_pool, moves), _not_moved(idle_hosts, moves)
    )
    return moves + _plan_standby(by_pool, _not_moved(idle_hosts, moves))


def _with_arrivals(by_pool, moves):
    """Return the loads after moves were ordered."""
    targets = collections.Counter(move.to_pool for move in moves)
    return {
        pool: attrs.evolve(load, arriving=load.arriving + targets[pool])
        for pool, load in by_pool.items()
    }


def _not_moved(idle_hosts, moves):
    moved = {move.host for move in moves}
    return [host for host in idle_hosts if host.host not in moved]


def _plan_transfers(by_pool, idle_hosts):
    deficits = {pool: host_deficit(load) for pool, load in by_pool.items()}
    donors = sorted(
        (
            host
            for host in idle_hosts
            if not deficits.get(host.pool) and host.idle_s >= MIN_IDLE_S
        ),
        # Idle hosts in active pools are taken before hosts on standby.
        key=lambda host: (by_pool[host.pool].is_standby, -host.idle_s),
    )
    return [
        Move(host.host, host.pool, pool, by_pool[pool])
        for host, pool in zip(
            _without_last(donors, by_pool), _recipients(deficits)
        )
    ]


def _without_last(donors, by_pool):
    """Return the hosts that leave another one to their pool.

    A pool without hosts waits for one longer than its jobs may take, and for
    good if the others have gone to long-running tasks.
    """
    left = {
        pool: math.inf if load.is_standby else load.hosts + load.arriving
        for pool, load in by_pool.items()
    }
    given = []
    for host in donors:
        if left[host.pool] > 1:
            left[host.pool] -= 1
            given.append(host)
    return given


def _recipients(deficits):
    """Yield the pools that get a host each, as long as one lacks hosts.

    Pools take turns, so that a large deficit does not starve others. A pool
    may lack far more hosts than there are, so none is named before there is a
    host for it.
    """
    by_deficit = sorted(deficits, key=lambda name: -deficits[name])
    for count in itertools.count():
        lacking = [pool for pool in by_deficit if deficits[pool] > count]
        if not lacking:
            return
        yield from lacking


def _plan_standby(by_pool, idle_hosts):
    standby = next((p for p, load in by_pool.items() if load.is_standby), '')
    if not standby:
        return []
    left = dict(by_pool)
    moves = []
    for host in sorted(idle_hosts, key=lambda host: -host.idle_s):
        load = left[host.pool]
        if _may_release(load, host.idle_s):
            left[host.pool] = attrs.evolve(load, hosts=load.hosts - 1)
            moves.append(
                Move(host.host, host.pool, standby, by_pool[host.pool])
            )
    return moves


def _may_release(load, idle_s):
    if idle_s < STANDBY_IDLE_S:
        return False
    if host_surplus(load) >= 1:
        return True
    return idle_s >= LONG_IDLE_S and may_spare_host(load)


def host_deficit(load):
    """Return how many more hosts a pool needs."""
    if load.is_standby:
        return 0
    deficit = load.needed_hosts + HEADROOM_HOSTS - load.hosts
    starved = load.starved_hosts + load.late_starved_hosts
    deficit = max(math.ceil(deficit), starved)
    return max(0, deficit - load.arriving)


def may_spare_host(load):
    """Return whether a pool with one host less would ask for none."""
    left = attrs.evolve(load, hosts=load.hosts - 1)
    return not load.is_standby and not host_deficit(left)


def host_surplus(load):
    """Return how many hosts a pool can release."""
    if load.is_standby or load.starved_hosts or load.late_starved_hosts:
        return 0
    retained = load.needed_hosts + HEADROOM_HOSTS + RELEASE_MARGIN_HOSTS
    return max(0, math.floor(load.hosts + load.arriving - retained + 0.5))
