"""Index of the declared hosts by pool."""

import attrs

from . import jobs as jobs_module


@attrs.define
class PoolIndex:
    """Hosts and total capacity of each pool, for one revision."""

    revision: int = -1
    hosts: dict[str, tuple[str, ...]] = attrs.Factory(dict)
    host_capacity: dict[str, jobs_module.Size] = attrs.Factory(dict)
    capacity: dict[str, jobs_module.Size] = attrs.Factory(dict)


def hosts_of(state, pool):
    """Return the names of a pool's hosts."""
    return _index(state).hosts.get(pool, ())


def capacity_of(state, pool):
    """Return the total capacity of a pool."""
    return _index(state).capacity.get(pool, jobs_module.Size())


def host_capacity(state, name):
    """Return the total capacity of a declared host."""
    return _index(state).host_capacity[name]


def free_capacity(state, name):
    """Return a host's capacity that is not charged to any job."""
    capacity = host_capacity(state, name)
    used = state.ledger.used.get(name)
    return capacity if used is None else capacity.minus(used)


def _index(state):
    index = state.pool_index
    if index.revision != state.revision:
        _rebuild(index, state)
    return index


def _rebuild(index, state):
    groups = {}
    index.capacity = {}
    index.host_capacity = {}
    for name, host in state.fleet.hosts.items():
        groups.setdefault(host.pool, []).append(name)
        known = index.capacity.get(host.pool, jobs_module.Size())
        size = jobs_module.capacity_of(host)
        index.host_capacity[name] = size
        index.capacity[host.pool] = known.plus(size)
    index.hosts = {pool: tuple(names) for pool, names in groups.items()}
    index.revision = state.revision
