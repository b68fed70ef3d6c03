"""Explain why an object is waiting, given its id."""

import itertools

from . import jobs_interface


def _explain_job(state, name, wait_reasons):
    found = jobs_interface.describe(state, name)
    return [] if found is None else [{'kind': 'job', **found}]


def _explain_host(state, name, wait_reasons):
    host = state.fleet.hosts.get(name)
    if host is None:
        return []
    disruption = state.disruptions.get(name)
    entry = {
        'kind': 'host',
        'host': name,
        'pool': host.pool,
        'zone': host.zone,
        'is_up': name not in state.down_hosts,
        'wave': disruption.wave if disruption else '',
        'step': disruption.step.value if disruption else '',
        'reasons': [wait_reasons[name]] if wait_reasons.get(name) else [],
    }
    return [entry]


# Each looks up an object of one kind by its id.
_EXPLAINERS = (_explain_job, _explain_host)


def explain(state, name, wait_reasons):
    """Return one entry for each kind of object that has the id.

    :param wait_reasons: why hosts are waiting, by host name
    """
    found = (
        explain_kind(state, name, wait_reasons) for explain_kind in _EXPLAINERS
    )
    return list(itertools.chain.from_iterable(found))
