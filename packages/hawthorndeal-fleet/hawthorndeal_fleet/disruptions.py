"""The rules of the fold for disruptions: grants, steps and their end."""

import attrs

from . import budget
from . import configuration
from . import model
from . import outages
from . import permission
from . import records
from . import state as state_module

_STEP_ORDER = list(records.Step)
_STOPPING_INDEX = _STEP_ORDER.index(records.Step.STOPPING)


def ask(body, state, offset):
    """Grant a disruption that the budgets allow at this offset."""
    refusal = _refuse_ask(body, state)
    if refusal is None:
        _grant(body, state, offset)
    return refusal


def _grant(body, state, offset):
    wave = state.fleet.waves[body.wave]
    state.disruptions[body.host] = state_module.Disruption(
        host=body.host,
        wave=body.wave,
        holder=body.holder,
        grant_offset=offset,
        granted_s=state.log_time_s,
        step=records.Step.GRANTED,
        stepped_s=state.log_time_s,
        step_offset=offset,
        action=wave.action,
        target_pool=wave.target_pool,
        expected_s=outages.expected_s(state, wave),
    )
    state.progress_s[body.wave] = state.log_time_s
    outages.begin(state, body.host)


def _refuse_ask(body, state):
    if body.host not in state.fleet.hosts:
        return f'host {body.host!r} is not declared'
    if body.host in state.disruptions:
        return f'host {body.host!r} is already granted'
    wave = state.fleet.waves.get(body.wave)
    if wave is None:
        return f'wave {body.wave!r} is not declared'
    if wave.state is not model.WaveState.RUNNING:
        return f'wave {body.wave!r} is {wave.state.value}'
    if state.log_time_s < wave.start_at_s:
        return f'wave {body.wave!r} starts at {wave.start_at_s:.0f} s'
    if not covers_host(state.fleet, wave, body.host):
        return f'host {body.host!r} is not in wave {body.wave!r}'
    if body.host in state.finished.get(body.wave, ()):
        return f'host {body.host!r} is finished in wave {body.wave!r}'
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    return budget.refuse_disruption(
        state, body.host, outages.expected_s(state, wave)
    )


def covers_host(fleet, wave, host):
    """Return whether a wave includes a host."""
    return fleet.hosts[host].pool in wave.pools and (
        not wave.hosts or host in wave.hosts
    )


def _find_grant(body, state):
    found = state.disruptions.get(body.host)
    if found is None or found.grant_offset != body.grant_offset:
        return None
    return found


def _refuse_holder(body, found):
    if found is None:
        return f'no grant at offset {body.grant_offset} for {body.host!r}'
    if found.holder != body.holder:
        return f'{body.holder!r} does not hold {body.host!r}'
    return None


def step(body, state, offset):
    """Record the next step; a step already reached changes nothing."""
    found = _find_grant(body, state)
    refusal = _refuse_holder(body, found)
    if refusal is not None:
        return refusal
    if _STEP_ORDER.index(body.step) <= _STEP_ORDER.index(found.step):
        return None
    if _STEP_ORDER.index(body.step) != _STEP_ORDER.index(found.step) + 1:
        return f'{body.step.value} does not follow {found.step.value}'
    if body.step is records.Step.STOPPING:
        refusal = refuse_stop(state, found)
        if refusal is not None:
            return refusal
    state.disruptions[body.host] = attrs.evolve(
        found,
        step=body.step,
        stepped_s=state.log_time_s,
        step_offset=offset,
        boot_id=body.boot_id or found.boot_id,
    )
    return None


def refuse_stop(state, found):
    """Return why a host may not be stopped and must be returned, or None."""
    wave = state.fleet.waves.get(found.wave)
    if wave is None:
        return f'wave {found.wave!r} is no longer declared'
    if wave.state is not model.WaveState.RUNNING:
        return f'wave {found.wave!r} is {wave.state.value}'
    if not covers_host(state.fleet, wave, found.host):
        return f'host {found.host!r} is not in wave {found.wave!r}'
    return budget.refuse_stop(state, found.host)


def renew(body, state, offset):
    """Accept a renewal; :func:`record_activity` has stored its time."""
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    return None


def record_activity(state, writer):
    """Record that a member wrote a record."""
    if writer in state.members:
        state.renewed_s[writer] = state.log_time_s


def refuse_takeover(state, found):
    """Return why a disruption can't be taken over yet, or None."""
    renewed_s = state.renewed_s.get(found.holder)
    if renewed_s is None:
        return None
    left_s = renewed_s + permission.TAKEOVER_AFTER_S - state.log_time_s
    if left_s > 0:
        return f'its holder {found.holder!r} may act for {left_s:.1f} s more'
    return None


def take(body, state, offset):
    """Transfer a disruption whose holder left or stopped writing records."""
    found = _find_grant(body, state)
    if found is None:
        return f'no grant at offset {body.grant_offset} for {body.host!r}'
    if found.holder == body.holder:
        return None
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    refusal = refuse_takeover(state, found)
    if refusal is None:
        state.disruptions[body.host] = attrs.evolve(found, holder=body.holder)
    return refusal


def end(body, state, offset):
    """End a disruption and its charge to budgets.

    If the work is complete, the host is finished in its wave.
    """
    found = _find_grant(body, state)
    refusal = _refuse_holder(body, found)
    if refusal is not None:
        return refusal
    if body.is_complete and found.step is not records.Step.HEALTHY:
        return f'{body.host!r} is {found.step.value} and not yet healthy'
    if (
        not body.is_complete
        and _STEP_ORDER.index(found.step) >= _STOPPING_INDEX
    ):
        return f'{body.host!r} is {found.step.value} and may be stopped'
    del state.disruptions[body.host]
    outages.finish(state, body.host)
    if found.wave in state.progress_s:
        state.progress_s[found.wave] = state.log_time_s
    if body.is_complete:
        _finish_host(state, found)
    return None


def _finish_host(state, found):
    outages.update_average_duration(state, found)
    if found.wave in state.fleet.waves:
        state.finished.setdefault(found.wave, set()).add(found.host)
    if found.action is model.WaveAction.MOVE:
        _move(state, found.host, found.target_pool)


def _move(state, host, pool):
    # The document is updated too, so that an operator's next file is compared
    # with the pool in force and can't move the host back unnoticed.
    configuration.install_patch(state, {'hosts': {host: {'pool': pool}}})
