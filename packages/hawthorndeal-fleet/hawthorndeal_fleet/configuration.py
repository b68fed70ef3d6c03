"""Accept or refuse configurations, and install accepted ones."""

from . import checks
from . import document
from . import errors
from . import outages
from . import records
from . import state as state_module

_SOURCE = 'apply'


def apply_config(body, state, offset):
    """Accept a configuration that is based on the current revision.

    :returns: reason of the refusal, or None
    """
    known = state.verdicts.get(body.apply_id)
    if known is not None:
        return known.reason or None
    if body.base_revision != state.revision:
        return (
            f'conflict: made from revision {body.base_revision}, '
            f'the current one is {state.revision}'
        )
    return _apply_delta(body, state)


def _apply_delta(body, state):
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
    refusal = _refuse_busy_host_removal(state, fleet)
    if refusal is None:
        _install(state, result, fleet, changes, fingerprint)
    return refusal


def _refuse_busy_host_removal(state, fleet):
    # A host that is being maintained stays declared until its work ends.
    gone = [host for host in state.disruptions if host not in fleet.hosts]
    if gone:
        return f'host {gone[0]!r} is under maintenance and cannot be removed'
    return _refuse_target_pool_removal(state, fleet)


def _refuse_target_pool_removal(state, fleet):
    lost = [
        disruption
        for disruption in state.disruptions.values()
        if disruption.target_pool and disruption.target_pool not in fleet.pools
    ]
    if lost:
        return (
            f'pool {lost[0].target_pool!r} cannot be removed: host '
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
    """Install a patch that is known to be valid as the next revision."""
    result = document.merge(state.document, patch)
    fleet, changes = checks.patch_fleet(
        state.fleet, state.index, result, patch, _SOURCE
    )
    fingerprint = document.updated_fingerprint(
        state.fingerprint, state.document, result, patch
    )
    _install(state, result, fleet, changes, fingerprint)


def store_verdict(state, body, decision):
    """Store the first decision on an apply, which repeats of it get too."""
    if not isinstance(body, records.ConfigApplied):
        return
    state.verdicts.setdefault(body.apply_id, decision)
    if len(state.verdicts) > state_module.MAX_VERDICTS:
        state.verdicts.pop(next(iter(state.verdicts)))


def delta_record(state, new_document, apply_id, operator):
    """Return the body that proposes a document as the next revision.

    :raises errors.InvalidFile: if the document is not a valid fleet
    """
    checks.fleet_from_document(new_document, _SOURCE)
    return make_config_applied(
        state.document, state.revision, new_document, apply_id, operator
    )


def make_config_applied(old, base_revision, new, apply_id, operator):
    """Return a :class:`ConfigApplied` that turns one document into another."""
    return records.ConfigApplied(
        apply_id=apply_id,
        operator=operator,
        base_revision=base_revision,
        delta=document.diff(old, new),
        digest=format(document.fingerprint(new), 'x'),
    )
