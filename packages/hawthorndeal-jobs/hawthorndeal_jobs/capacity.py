"""Decide which hosts change their pool; answers demand that shifts.

Pools get work by turns. A pool that has more waiting than room gets hosts
that are idle elsewhere.
"""

import math

import attrs

from . import specs

# A host that has just become idle may be needed again at once.
MIN_IDLE_S = 0.3


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
    :ivar arriving: hosts on their way to it
    :ivar host_capacity: room of one host
    """

    pool: str
    is_standby: bool
    waiting: specs.Resources
    free: specs.Resources
    arriving: int
    host_capacity: specs.Resources
    hosts: int = 0


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
    needs = {load.pool: hosts_needed(load) for load in loads}
    standby = {load.pool for load in loads if load.is_standby}
    givers = sorted(
        (
            host
            for host in idle_hosts
            if not needs.get(host.pool) and host.idle_s >= MIN_IDLE_S
        ),
        # Hosts that run in vain go before those that are off.
        key=lambda host: (host.pool in standby, -host.idle_s),
    )
    moves = []
    for pool in sorted(needs, key=lambda name: -needs[name]):
        for _ in range(needs[pool]):
            if not givers:
                return moves
            host = givers.pop(0)
            moves.append(Move(host.host, host.pool, pool))
    return moves


def hosts_needed(load):
    """Return how many more hosts the waiting work of a pool would fill."""
    if load.is_standby:
        return 0
    needed = max(
        _hosts(load.waiting.cpu_millicores - load.free.cpu_millicores,
               load.host_capacity.cpu_millicores),
        _hosts(load.waiting.memory_mb - load.free.memory_mb,
               load.host_capacity.memory_mb),
        _hosts(load.waiting.gpus - load.free.gpus, load.host_capacity.gpus),
    )  # fmt: skip
    return max(0, needed - load.arriving)


def _hosts(lacking, capacity):
    if lacking <= 0 or capacity <= 0:
        return 0
    return math.ceil(lacking / capacity)
