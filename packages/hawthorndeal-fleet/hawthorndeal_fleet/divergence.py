"""Maintain a digest of all decisions, to detect daemons that diverge."""

import hashlib

from . import peer_digests
from . import state as state_module

MARK_INTERVAL_RECORDS = 64
INVALID_KIND = 'invalid'

_DIGEST_BYTES = 8


def update_digest(state, decision):
    """Include a decision and its effect in the state's digest.

    Hashing the whole state for each record would be too expensive. Decisions
    and the sizes of collections suffice to show where two states diverge. The
    text of reasons is left out, since it may change between versions.
    """
    # How foreign data fails to decode depends on the parser that read it.
    code = '' if decision.kind == INVALID_KIND else decision.code
    text = (
        f'{state.digest}|{state.next_offset}|{decision.record_id}|'
        f'{decision.is_accepted}|{code}|{state.log_time_s!r}|'
        f'{state.rule_level}|{state.epoch}|{state.revision}|'
        f'{state.fingerprint:x}|'
        f'{len(state.members)}|{len(state.disruptions)}|'
        f'{len(state.down_hosts)}|{len(state.claims)}'
    )
    state.digest = hashlib.blake2b(
        text.encode(), digest_size=_DIGEST_BYTES
    ).hexdigest()
    if state.next_offset % MARK_INTERVAL_RECORDS == 0:
        state.marks.append(state_module.Mark(state.next_offset, state.digest))


def state_point(state):
    """Return the digests by which peers compare their states."""
    mark = state.marks[-1] if state.marks else state_module.Mark(0, '')
    return peer_digests.StatePoint(
        epoch=state.epoch,
        next_offset=state.next_offset,
        digest=state.digest,
        mark_offset=mark.next_offset,
        mark_digest=mark.digest,
    )


def is_diverged(state, point):
    """Return whether a peer's digest differs at an offset known to both."""
    if point.epoch != state.epoch:
        return False
    pairs = (
        (point.next_offset, point.digest),
        (point.mark_offset, point.mark_digest),
    )
    return any(
        peer_digest and digest_at(state, offset) not in (None, peer_digest)
        for offset, peer_digest in pairs
    )


def digest_at(state, next_offset):
    """Return the digest before an offset, or None if it is not retained."""
    if next_offset == state.next_offset:
        return state.digest
    return next(
        (
            mark.digest
            for mark in state.marks
            if mark.next_offset == next_offset
        ),
        None,
    )
