"""An index of the declared hosts by pool."""

import attrs


@attrs.define
class PoolIndex:
    """Hold the names of each pool's hosts, for one revision."""

    revision: int = -1
    hosts: dict[str, tuple[str, ...]] = attrs.Factory(dict)


def hosts_of(state, pool):
    """Return the names of the hosts that a pool has now."""
    index = state.pool_index
    if index.revision != state.revision:
        _rebuild(index, state)
    return index.hosts.get(pool, ())


def _rebuild(index, state):
    groups = {}
    for name, host in state.fleet.hosts.items():
        groups.setdefault(host.pool, []).append(name)
    index.hosts = {pool: tuple(names) for pool, names in groups.items()}
    index.revision = state.revision
