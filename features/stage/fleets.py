"""Fleet documents of any size."""

RACK_HOSTS = 4


def small_document():
    """Return a valid document with one or two entries of each section."""
    host = {'pool': 'a', 'zone': 'a', 'rack': 'a', 'cpu_cores': 1}
    return {
        'zones': {'a': {'region': 'x'}, 'b': {'region': 'x'}},
        'pools': {'a': {}, 'b': {}},
        'hosts': {
            'a': {**host, 'memory_bytes': 2**30},
            'b': {**host, 'memory_bytes': 2**30},
        },
        'services': {'a': {'workspace': 'a', 'pool': 'a'}},
        'endpoints': {
            'a': {'service': 'a', 'host': 'a', 'address': '10.0.0.1:1'},
            'b': {'service': 'a', 'host': 'b', 'address': '10.0.0.2:1'},
        },
        'workspaces': {'a': {'budgets': {'a': {'max_unavailable': 1}}}},
        'waves': {},
        'weights': {'moves': 1.0},
    }


def large_document(hosts, pools, zones=25, workspaces=260):
    """Return a valid document with a service on each pool.

    :param hosts: number of hosts, each with one endpoint
    """
    pools = min(pools, hosts)
    workspaces = min(workspaces, pools)
    return {
        'zones': {f'z{i}': {'region': f'r{i % 7}'} for i in range(zones)},
        'pools': {f'p{i}': {} for i in range(pools)},
        'hosts': {f'h{i}': _host(i, pools, zones) for i in range(hosts)},
        'services': {
            f's{i}': {'workspace': f'w{i % workspaces}', 'pool': f'p{i}'}
            for i in range(pools)
        },
        'endpoints': {
            f'e{i}': {
                'service': f's{i % pools}',
                'host': f'h{i}',
                'address': f'10.{i >> 8}.{i & 255}.1:7000',
            }
            for i in range(hosts)
        },
        'workspaces': {
            f'w{i}': {
                'budgets': {
                    f's{pool}': {'max_unavailable': 0}
                    for pool in range(i, pools, workspaces)
                }
            }
            for i in range(workspaces)
        },
    }


def _host(number, pools, zones):
    return {
        'pool': f'p{number % pools}',
        'zone': f'z{number // RACK_HOSTS % zones}',
        'rack': f'rack{number // RACK_HOSTS}',
        'cpu_cores': 16,
        'memory_bytes': 2**36,
        'accelerators': 2,
    }
