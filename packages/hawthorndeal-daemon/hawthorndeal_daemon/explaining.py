"""Explain what holds something up, by its id."""

import itertools

from . import jobs_interface


def _explain_job(state, name):
    found = jobs_interface.describe(state, name)
    return [] if found is None else [{'kind': 'job', **found}]


# Each finds things of one kind by their id in the state.
_FINDERS = (_explain_job,)


def explain(state, name):
    """Return what is known of an id, one entry for each kind of thing."""
    return list(
        itertools.chain.from_iterable(find(state, name) for find in _FINDERS)
    )
