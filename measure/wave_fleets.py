"""Make fleets of any size for measurements."""

FULL_HOSTS = 5800
FULL_POOLS = 346
HOSTS_PER_RACK = 4
ZONES = 25
HOST = {'cpu_cores': 16, 'memory_bytes': 64 * 2**30}


def make_document(hosts):
    """Return a document of pools, each with one service on all its hosts.

    Half of the budgets must survive a host, half a rack.

    :param hosts: number of hosts
    """
    pools = range(hosts * FULL_POOLS // FULL_HOSTS)
    names = [(f'h{n}', n % len(pools)) for n in range(hosts)]
    return {
        'zones': {f'z{n}': {'region': f'r{n % 7}'} for n in range(ZONES)},
        'pools': {f'p{n}': {} for n in pools},
        'hosts': {
            name: {
                **HOST,
                'pool': f'p{pool}',
                'zone': f'z{pool % ZONES}',
                'rack': f'p{pool}-{index // len(pools) // HOSTS_PER_RACK}',
            }
            for index, (name, pool) in enumerate(names)
        },
        'services': {
            f's{n}': {'workspace': 'w', 'pool': f'p{n}'} for n in pools
        },
        'endpoints': {
            f'e-{name}': {
                'service': f's{pool}',
                'host': name,
                'address': f'10.{index >> 8}.{index & 255}.1:7000',
            }
            for index, (name, pool) in enumerate(names)
        },
        'workspaces': {'w': {'budgets': _budgets(pools)}},
        'waves': {'all': {'pools': [f'p{n}' for n in pools]}},
    }


def _budgets(pools):
    kinds = (
        {'max_unavailable': 3, 'survive': 'host'},
        {'max_unavailable': 6, 'survive': 'rack'},
    )
    window = {'downtime_s': 21 * 3600.0, 'window_s': 21 * 86400.0}
    return {f's{n}': {**kinds[n % 2], **window} for n in pools}
