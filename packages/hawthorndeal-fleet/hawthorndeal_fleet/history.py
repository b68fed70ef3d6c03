"""Follow a digest of all decisions, to notice daemons that diverge."""

import hashlib

from . import membership
from . import state as state_module

MARK_RECORDS = 64
INVALID = 'invalid'

_DIGEST_BYTES = 8


def follow(state, decision):
    """Take a decision and what it left into the state's digest.

    Reading the whole state for each record would cost too much; its counts
    and the decisions show where two states part. The wording of reasons is
    left out, since it may change between versions.
    """
    # Where data is foreign, how it failed depends on who parsed it.
    code = '' if decision.kind == INVALID else decision.code
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
    if state.next_offset % MARK_RECORDS == 0:
        state.marks.append(state_module.Mark(state.next_offset, state.digest))


def point_of(state):
    """Return what a state is compared by."""
    mark = state.marks[-1] if state.marks else state_module.Mark(0, '')
    return membership.StatePoint(
        epoch=state.epoch,
        next_offset=state.next_offset,
        digest=state.digest,
        mark_offset=mark.next_offset,
        mark_digest=mark.digest,
    )


def is_diverged(state, point):
    """Tell whether a peer's digest differs at an offset both know."""
    if point.epoch != state.epoch:
        return False
    pairs = (
        (point.next_offset, point.digest),
        (point.mark_offset, point.mark_digest),
    )
    return any(
        theirs and digest_at(state, offset) not in (None, theirs)
        for offset, theirs in pairs
    )


def digest_at(state, next_offset):
    """Return the digest before an offset, or None where it is not kept."""
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
