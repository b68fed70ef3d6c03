"""A minimal fleet document."""


def minimal_document():
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
