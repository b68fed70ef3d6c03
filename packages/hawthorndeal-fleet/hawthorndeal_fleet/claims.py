"""Decide who alone may run a non-idempotent request."""

import attrs

from . import state as state_module

CLOCK_SKEW_S = 5.0


def claim(body, state, offset):
    """Grant the first claim on a key; refuse every other."""
    _forget_expired(state)
    if body.deadline_s + CLOCK_SKEW_S <= state.log_time_s:
        return f'the deadline {body.deadline_s:.3f} has passed'
    held = state.claims.get(body.key)
    if held is not None and held.status is state_module.ClaimStatus.HELD:
        return f'claimed at offset {held.offset}'
    state.claims[body.key] = state_module.Claim(
        holder=body.holder, offset=offset, deadline_s=body.deadline_s
    )
    return None


def _forget_expired(state):
    # Claims arrive roughly in deadline order, so looking at the oldest few
    # keeps the memory bounded at constant cost.
    oldest = [key for key, _ in zip(state.claims, range(2))]
    for key in oldest:
        if state.claims[key].deadline_s + CLOCK_SKEW_S <= state.log_time_s:
            del state.claims[key]


def give_back(body, state, offset):
    """Free a key whose holder promises never to run the request."""
    held = state.claims.get(body.key)
    if held is None or held.holder != body.holder:
        return f'{body.holder!r} does not hold {body.key!r}'
    state.claims[body.key] = attrs.evolve(
        held, status=state_module.ClaimStatus.RETURNED
    )
    return None
