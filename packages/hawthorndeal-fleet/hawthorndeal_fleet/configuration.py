"""Decide whether an applied configuration becomes the next revision."""

from . import checks
from . import document
from . import errors
from . import outages
from . import records
from . import state as state_module

_SOURCE = 'apply'


def apply_config(body, state, offset):
    """Accept a configuration that was made from the current revision.

    :returns: why it is refused, or None
    """
    known = state.verdicts.get(body.apply_id)
    if known is not None:
        return known.reason or None
    if body.base_revision != state.revision:
        return (
            f'conflict: made from revision {body.base_revision}, '
            f'the current one is {state.revision}'
        )
    return _replace(body, state)


def _replace(body, state):
    try:
        result = document.merge(state.document, body.delta)
        fleet, changes = checks.patch_fleet(
            state.fleet, state.index, result, body.delta, _SOURCE
        )
    except errors.InvalidFile as error:
        return f'invalid: {error.problems[0]}'
    fingerprint = document.updated_fingerprint(
        state.fingerprint, state.document, result, body.delta
    )
    if format(fingerprint, 'x') != body.digest:
        return f'conflict: the result differs from digest {body.digest:.16}'
    refusal = _refuse_lost_work(state, fleet)
    if refusal is None:
        _install(state, result, fleet, changes, fingerprint)
    return refusal


def _refuse_lost_work(state, fleet):
    # A host in the middle of a step must stay declared until it is back.
    gone = [host for host in state.disruptions if host not in fleet.hosts]
    if gone:
        return f'host {gone[0]!r} is being worked on and can not be removed'
    return _refuse_lost_pool(state, fleet)


def _refuse_lost_pool(state, fleet):
    lost = [
        found
        for found in state.disruptions.values()
        if found.target_pool and found.target_pool not in fleet.pools
    ]
    if lost:
        return (
            f'pool {lost[0].target_pool!r} can not be removed: host '
            f'{lost[0].host!r} is on its way there'
        )
    return None


def _install(state, result, fleet, changes, fingerprint):
    state.document = result
    state.fleet = fleet
    state.index.update(changes)
    state.fingerprint = fingerprint
    state.revision += 1
    state.finished = {
        wave: hosts
        for wave, hosts in state.finished.items()
        if wave in fleet.waves
    }
    state.progress_s = {
        wave: state.progress_s.get(wave, state.log_time_s)
        for wave in fleet.waves
    }
    for incarnation in fleet.dead_daemons:
        state.members.pop(incarnation, None)
    outages.forget_undeclared(state)


def install_patch(state, patch):
    """Make a patch that is known to be valid the next revision."""
    result = document.merge(state.document, patch)
    fleet, changes = checks.patch_fleet(
        state.fleet, state.index, result, patch, _SOURCE
    )
    fingerprint = document.updated_fingerprint(
        state.fingerprint, state.document, result, patch
    )
    _install(state, result, fleet, changes, fingerprint)


def remember_verdict(state, body, decision):
    """Keep the first decision on an apply, for its repeats."""
    if not isinstance(body, records.ConfigApplied):
        return
    state.verdicts.setdefault(body.apply_id, decision)
    if len(state.verdicts) > state_module.VERDICTS_KEPT:
        state.verdicts.pop(next(iter(state.verdicts)))


def delta_record(state, new_document, apply_id, operator):
    """Return the record that would make a document the next revision.

    :raises errors.InvalidFile: when the document is not a valid fleet
    """
    checks.fleet_from_document(new_document, _SOURCE)
    return make_applied(
        state.document, state.revision, new_document, apply_id, operator
    )


def make_applied(old, base_revision, new, apply_id, operator):
    """Return the body of a record that turns one document into another."""
    return records.ConfigApplied(
        apply_id=apply_id,
        operator=operator,
        base_revision=base_revision,
        delta=document.diff(old, new),
        digest=format(document.fingerprint(new), 'x'),
    )
