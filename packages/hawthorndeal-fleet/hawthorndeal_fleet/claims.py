"""Grant the exclusive right to run a non-idempotent request."""

import itertools

import attrs

from . import state as state_module

CLOCK_SKEW_S = 5.0
# A claim outlives its deadline, so that a repeat soon after is still refused.
RETENTION_S = 60.0
_EXPIRY_CHECKS_PER_CLAIM = 2


def claim(body, state, offset):
    """Grant the first claim on a key and refuse all others."""
    _forget_expired(state)
    if body.deadline_s + CLOCK_SKEW_S <= state.log_time_s:
        return f'the deadline {body.deadline_s:.3f} has passed'
    held = _find(state, body.key)
    if held is not None and held.status is state_module.ClaimStatus.HELD:
        return f'claimed at offset {held.offset}'
    state.claims[body.key] = state_module.Claim(
        holder=body.holder, offset=offset, deadline_s=body.deadline_s
    )
    return None


def holder_of(state, key):
    """Return the daemon that may have run the request of a key, or None."""
    held = _find(state, key)
    if held is None or held.status is not state_module.ClaimStatus.HELD:
        return None
    return held.holder


def _find(state, key):
    # Expired claims are removed lazily, so one still present must not
    # influence a decision.
    held = state.claims.get(key)
    if held is None or _is_expired(state, held):
        return None
    return held


def _is_expired(state, held):
    return held.deadline_s + RETENTION_S <= state.log_time_s


def _forget_expired(state):
    # Claims are not ordered by deadline. Checking two of them, in rotation,
    # for each new claim bounds the memory to twice the unexpired claims.
    oldest = list(itertools.islice(state.claims, _EXPIRY_CHECKS_PER_CLAIM))
    for key in oldest:
        held = state.claims.pop(key)
        if not _is_expired(state, held):
            state.claims[key] = held


def return_claim(body, state, offset):
    """Release a claim whose holder guarantees not to run the request."""
    held = _find(state, body.key)
    if held is None or held.holder != body.holder:
        return f'{body.holder!r} does not hold {body.key!r}'
    state.claims[body.key] = attrs.evolve(
        held, status=state_module.ClaimStatus.RETURNED
    )
    return None
