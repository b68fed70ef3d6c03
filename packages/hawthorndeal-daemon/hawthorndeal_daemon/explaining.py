"""Explain what holds something up, by its id."""

import itertools

from . import jobs_interface


def _explain_job(state, name, waits):
    found = jobs_interface.describe(state, name)
    return [] if found is None else [{'kind': 'job', **found}]


def _explain_host(state, name, waits):
    host = state.fleet.hosts.get(name)
    if host is None:
        return []
    work = state.disruptions.get(name)
    entry = {
        'kind': 'host',
        'host': name,
        'pool': host.pool,
        'zone': host.zone,
        'is_up': name not in state.down_hosts,
        'wave': work.wave if work else '',
        'step': work.step.value if work else '',
        'reasons': [waits[name]] if waits.get(name) else [],
    }
    return [entry]


# Each finds things of one kind by their id in the state.
_FINDERS = (_explain_job, _explain_host)


def explain(state, name, waits):
    """Return what is known of an id, one entry for each kind of thing.

    :param waits: why hosts wait, by host
    """
    found = (find(state, name, waits) for find in _FINDERS)
    return list(itertools.chain.from_iterable(found))
