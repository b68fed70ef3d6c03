"""Decide who may take a host away, and follow each step to its end."""

import attrs

from . import budget
from . import configuration
from . import model
from . import records
from . import state as state_module

_ORDER = list(records.Step)


def ask(body, state, offset):
    """Grant a disruption that the budgets allow at this offset."""
    refusal = _refuse_ask(body, state)
    if refusal is None:
        state.disruptions[body.host] = state_module.Disruption(
            host=body.host,
            wave=body.wave,
            holder=body.holder,
            grant_offset=offset,
            granted_s=state.log_time_s,
            step=records.Step.GRANTED,
            stepped_s=state.log_time_s,
            step_offset=offset,
        )
    return refusal


def _refuse_ask(body, state):
    if body.host not in state.fleet.hosts:
        return f'host {body.host!r} is not declared'
    if body.host in state.disruptions:
        return f'host {body.host!r} is already granted'
    wave = state.fleet.waves.get(body.wave)
    if wave is None or wave.state is not model.WaveState.RUNNING:
        return f'wave {body.wave!r} is not running'
    if body.host in state.finished.get(body.wave, ()):
        return f'host {body.host!r} is finished in wave {body.wave!r}'
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    return budget.refuse_disruption(state, body.host)


def _find(body, state):
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
    """Note the next step; a step already reached is left as it is."""
    found = _find(body, state)
    refusal = _refuse_holder(body, found)
    if refusal is not None:
        return refusal
    if _ORDER.index(body.step) <= _ORDER.index(found.step):
        return None
    if _ORDER.index(body.step) != _ORDER.index(found.step) + 1:
        return f'{body.step.value} does not follow {found.step.value}'
    state.disruptions[body.host] = attrs.evolve(
        found,
        step=body.step,
        stepped_s=state.log_time_s,
        step_offset=offset,
        boot_id=body.boot_id or found.boot_id,
    )
    return None


def take(body, state, offset):
    """Hand a disruption over when its holder is no longer a member."""
    found = _find(body, state)
    if found is None:
        return f'no grant at offset {body.grant_offset} for {body.host!r}'
    if found.holder == body.holder:
        return None
    if found.holder in state.members:
        return f'its holder {found.holder!r} is still a member'
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    state.disruptions[body.host] = attrs.evolve(found, holder=body.holder)
    return None


def end(body, state, offset):
    """Give the budget back; complete work finishes the host in its wave."""
    found = _find(body, state)
    refusal = _refuse_holder(body, found)
    if refusal is not None:
        return refusal
    if body.is_complete and found.step is not records.Step.HEALTHY:
        return f'{body.host!r} is only {found.step.value}'
    del state.disruptions[body.host]
    if body.is_complete:
        _finish(state, found)
    return None


def _finish(state, found):
    state.finished.setdefault(found.wave, set()).add(found.host)
    wave = state.fleet.waves.get(found.wave)
    if wave is not None and wave.action is model.WaveAction.MOVE:
        _move(state, found.host, wave.target_pool)


def _move(state, host, pool):
    # The document follows, so that an operator's next file starts from the
    # pool in force and can't move the host back unseen.
    configuration.install_patch(state, {'hosts': {host: {'pool': pool}}})
