"""Decide which hosts change their pool; answers demand that shifts.

Pools get work by turns. A pool whose work grows beyond its room gets hosts
that are idle elsewhere, in time for what its growth foretells. Hosts that
nobody needs are put on standby.
"""

import itertools
import math

import attrs

from . import specs

# A host that has just become idle may be needed again at once.
MIN_IDLE_S = 0.3
# Time idle after which standby saves more than the two moves cost.
STANDBY_IDLE_S = 0.8
# Room kept free in a pool, in hosts, for work that comes unannounced.
FREE_HOSTS = 0.75


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

    :ivar waiting: what tasks that could start now would take
    :ivar free: room of its usable executors
    :ivar growth_millicores: what expected work will take beyond the work
        that arrives now
    :ivar arriving: hosts on their way to it
    :ivar host_capacity: room of one host
    """

    pool: str
    is_standby: bool
    waiting: specs.Resources
    free: specs.Resources
    arriving: int
    host_capacity: specs.Resources
    growth_millicores: float = 0.0


@attrs.frozen
class Move:
    """Put a host into another pool."""

    host: str
    from_pool: str
    to_pool: str


def plan_moves(loads, idle_hosts):
    """Return the moves to make now.

    :param loads: of every pool
    :param idle_hosts: hosts that may be given away
    """
    by_pool = {load.pool: load for load in loads}
    moves = _plan_gains(by_pool, idle_hosts)
    moved = {move.host for move in moves}
    left = [host for host in idle_hosts if host.host not in moved]
    return moves + _plan_standby(by_pool, left)


def _plan_gains(by_pool, idle_hosts):
    needs = {pool: hosts_needed(load) for pool, load in by_pool.items()}
    givers = sorted(
        (
            host
            for host in idle_hosts
            if not needs.get(host.pool) and host.idle_s >= MIN_IDLE_S
        ),
        # Hosts that run in vain go before those that are off.
        key=lambda host: (by_pool[host.pool].is_standby, -host.idle_s),
    )
    takers = itertools.chain.from_iterable(
        itertools.repeat(pool, needs[pool])
        for pool in sorted(needs, key=lambda name: -needs[name])
    )
    return [
        Move(host.host, host.pool, pool) for host, pool in zip(givers, takers)
    ]


def _plan_standby(by_pool, idle_hosts):
    standby = next((p for p, load in by_pool.items() if load.is_standby), '')
    if not standby:
        return []
    spare = {pool: hosts_spare(load) for pool, load in by_pool.items()}
    moves = []
    for host in sorted(idle_hosts, key=lambda host: -host.idle_s):
        if host.idle_s < STANDBY_IDLE_S or spare[host.pool] < 1:
            continue
        spare[host.pool] -= 1
        moves.append(Move(host.host, host.pool, standby))
    return moves


def hosts_needed(load):
    """Return how many more hosts the work of a pool would fill."""
    if load.is_standby:
        return 0
    capacity = load.host_capacity
    lacking = load.waiting - load.free
    lacking_millicores = lacking.cpu_millicores + load.growth_millicores
    needed = max(
        _hosts(lacking_millicores, capacity.cpu_millicores),
        _hosts(lacking.memory_mb, capacity.memory_mb),
        _hosts(lacking.gpus, capacity.gpus),
    )
    return max(0, needed - load.arriving)


def hosts_spare(load):
    """Return how many hosts a pool can do without."""
    capacity = load.host_capacity.cpu_millicores
    if load.is_standby or load.arriving or not capacity:
        return 0
    spare = load.free - load.waiting
    kept = FREE_HOSTS * capacity + load.growth_millicores
    return int((spare.cpu_millicores - kept) // capacity)


def _hosts(lacking, capacity):
    if lacking <= 0 or capacity <= 0:
        return 0
    return math.ceil(lacking / capacity)
