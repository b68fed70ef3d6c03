"""Decide which hosts change their pool; answers demand that shifts.

Pools get work by turns. A pool whose work grows beyond its hosts gets hosts
that are idle elsewhere, in time for what its growth foretells. Hosts that
nobody needs are put on standby.

Amounts of work are in hosts: the part of a host that a task takes of the
resource that it takes most of.
"""

import math

import attrs

# A host that has just become idle may be needed again at once.
MIN_IDLE_S = 0.3
# Time idle after which standby saves more than the two moves cost.
STANDBY_IDLE_S = 1.2
# Hosts kept free in a pool for work that comes unannounced.
HEADROOM_HOSTS = 0.5
# Hosts beyond what a pool needs before one is given away.
RELEASE_MARGIN_HOSTS = 1.0
# Tasks don't fill a host to the brim.
PACKING_FACTOR = 1.15
# Time in which waiting work should be done.
BACKLOG_DRAIN_S = 2.0


@attrs.frozen
class IdleHost:
    """Hold a host that nothing runs on.

    :ivar idle_s: for how long
    """

    host: str
    pool: str
    idle_s: float


@attrs.frozen
class PoolLoad:
    """Hold the load of one pool.

    :ivar hosts: usable hosts in it
    :ivar arriving: hosts on their way to it
    :ivar lasting_hosts: what lasting tasks take or wait for
    :ivar rate_hosts: what the work that arrives keeps busy
    :ivar growth_hosts: what expected work will keep busy beyond that
    :ivar backlog_host_s: work that waits, in host-seconds
    :ivar starved_hosts: hosts for tasks that no host here has room for
    """

    pool: str
    is_standby: bool = False
    hosts: int = 0
    arriving: int = 0
    lasting_hosts: float = 0.0
    rate_hosts: float = 0.0
    growth_hosts: float = 0.0
    backlog_host_s: float = 0.0
    starved_hosts: int = 0

    @property
    def needed_hosts(self):
        """Return the hosts that the pool's work will take soon."""
        # A rate that is just beginning says little of where it goes.
        growth = min(self.growth_hosts, self.rate_hosts)
        arriving_work = self.rate_hosts + growth
        backlog = self.backlog_host_s / BACKLOG_DRAIN_S
        return self.lasting_hosts + (arriving_work + backlog) * PACKING_FACTOR


@attrs.frozen
class Move:
    """Put a host into another pool.

    :ivar load: load of the pool whose need or lack of need decided it
    """

    host: str
    from_pool: str
    to_pool: str
    load: PoolLoad


def plan_moves(loads, idle_hosts):
    """Return the moves to make now.

    :param loads: of every pool
    :param idle_hosts: hosts that may be given away
    """
    by_pool = {load.pool: load for load in loads}
    moves = _plan_transfers(by_pool, idle_hosts)
    moved = {move.host for move in moves}
    remaining = [host for host in idle_hosts if host.host not in moved]
    return moves + _plan_standby(by_pool, remaining)


def _plan_transfers(by_pool, idle_hosts):
    needs = {pool: host_deficit(load) for pool, load in by_pool.items()}
    donors = sorted(
        (
            host
            for host in idle_hosts
            if not needs.get(host.pool) and host.idle_s >= MIN_IDLE_S
        ),
        # Hosts that run in vain go before those that are off.
        key=lambda host: (by_pool[host.pool].is_standby, -host.idle_s),
    )
    # Each pool in turn, so that one that needs many starves no other.
    rounds = range(max(needs.values(), default=0))
    by_need = sorted(needs, key=lambda name: -needs[name])
    recipients = [
        pool
        for round_index in rounds
        for pool in by_need
        if needs[pool] > round_index
    ]
    return [
        Move(host.host, host.pool, pool, by_pool[pool])
        for host, pool in zip(donors, recipients)
    ]


def _plan_standby(by_pool, idle_hosts):
    standby = next((p for p, load in by_pool.items() if load.is_standby), '')
    if not standby:
        return []
    surplus = {pool: host_surplus(load) for pool, load in by_pool.items()}
    moves = []
    for host in sorted(idle_hosts, key=lambda host: -host.idle_s):
        if host.idle_s < STANDBY_IDLE_S or surplus[host.pool] < 1:
            continue
        surplus[host.pool] -= 1
        moves.append(Move(host.host, host.pool, standby, by_pool[host.pool]))
    return moves


def host_deficit(load):
    """Return how many more hosts a pool should get."""
    if load.is_standby:
        return 0
    deficit = load.needed_hosts + HEADROOM_HOSTS - load.hosts
    deficit = max(math.ceil(deficit), load.starved_hosts)
    return max(0, deficit - load.arriving)


def host_surplus(load):
    """Return how many hosts a pool can do without."""
    if load.is_standby or load.starved_hosts:
        return 0
    retained = load.needed_hosts + HEADROOM_HOSTS + RELEASE_MARGIN_HOSTS
    return max(0, math.floor(load.hosts + load.arriving - retained + 0.5))
