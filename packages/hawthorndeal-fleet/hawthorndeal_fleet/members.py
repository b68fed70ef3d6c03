"""Maintain the membership of daemons and the rule level in force."""

from . import state as state_module


def join(body, state, offset):
    """Add a member, which replaces a member with the same daemon name."""
    if body.incarnation in state.members:
        return None
    if body.incarnation in state.fleet.dead_daemons:
        return f'{body.incarnation!r} is declared dead'
    if body.rule_level < state.rule_level:
        return (
            f'rule level {body.rule_level} is below the rules '
            f'{state.rule_level}'
        )
    _remove_predecessors(state, body.daemon)
    state.members[body.incarnation] = state_module.Member(
        incarnation=body.incarnation,
        daemon=body.daemon,
        zone=body.zone,
        address=body.address,
        joined_offset=offset,
        rule_level=body.rule_level,
    )
    state.renewed_s[body.incarnation] = state.log_time_s
    return None


def _remove_predecessors(state, daemon):
    replaced = [
        member.incarnation
        for member in state.members.values()
        if member.daemon == daemon
    ]
    for incarnation in replaced:
        del state.members[incarnation]
    holders = {disruption.holder for disruption in state.disruptions.values()}
    state.renewed_s = {
        incarnation: renewed_s
        for incarnation, renewed_s in state.renewed_s.items()
        if incarnation in state.members or incarnation in holders
    }


def leave(body, state, offset):
    """Remove a member; leaving twice has no further effect."""
    state.members.pop(body.incarnation, None)
    # After a graceful leave, its disruptions can be taken over at once.
    state.renewed_s.pop(body.incarnation, None)


def raise_level(body, state, offset):
    """Raise the rule level once every member supports the new one."""
    if body.level <= state.rule_level:
        return f'the rules are at level {state.rule_level} already'
    behind = [
        member.daemon
        for member in state.members.values()
        if member.rule_level < body.level
    ]
    if behind:
        return f'daemon {behind[0]!r} does not know level {body.level}'
    state.rule_level = body.level
    return None


def note_checkpoint(body, state, offset):
    """Record the newest checkpoint, which other daemons needn't write then."""
    if body.next_offset > offset:
        return f'offset {body.next_offset} is not reached yet'
    known = state.checkpoint
    if known is None or body.next_offset >= known.next_offset:
        state.checkpoint = state_module.CheckpointNote(
            body.next_offset, state.log_time_s
        )
    return None
