"""Generate fleets of any size, in the proportions of the design size."""

HOSTS = 5800
ACCELERATORS = 12_000
POOLS = 346
WORKSPACES = 260
REGIONS = 7
ZONES = 25
HOSTS_PER_RACK = 20
CHANGES_PER_DAY = 18_000


def make(hosts):
    """Return a fleet as plain mappings and lists.

    :param hosts: number of hosts; all other counts are in proportion
    """
    pools = max(1, hosts * POOLS // HOSTS)
    workspaces = max(1, hosts * WORKSPACES // HOSTS)
    return {
        'zones': {
            f'z{n}': {'region': f'r{n % REGIONS}'} for n in range(ZONES)
        },
        'pools': {f'p{n}': {'description': ''} for n in range(pools)},
        'hosts': {f'h{n}': _host(n, pools) for n in range(hosts)},
        'services': {
            f's{n}': {'workspace': f'w{n % workspaces}', 'pool': f'p{n}'}
            for n in range(pools)
        },
        'endpoints': {
            f'e{n}': {
                'service': f's{n % pools}',
                'host': f'h{n}',
                'address': f'127.250.{n // 256}.{n % 256}:9',
            }
            for n in range(hosts)
        },
        'workspaces': {
            f'w{n}': _workspace(n, pools, workspaces)
            for n in range(workspaces)
        },
        'waves': {},
    }


def _host(number, pools):
    zone = number % ZONES
    rack = number // ZONES // HOSTS_PER_RACK
    return {
        'pool': f'p{number % pools}',
        'zone': f'z{zone}',
        'rack': f'z{zone}-r{rack}',
        'cpu_cores': 16,
        'memory_bytes': 64 * 2**30,
        'accelerators': ACCELERATORS // HOSTS,
    }


def _workspace(number, pools, workspaces):
    services = range(number, pools, workspaces)
    return {
        'quota': {'requests_in_flight': 100},
        'budgets': {
            f's{n}': {'max_unavailable': 1, 'survive': 'none'}
            for n in services
        },
    }
