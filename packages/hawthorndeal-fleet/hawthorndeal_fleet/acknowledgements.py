"""Decide whether every daemon keeps new requests away from a host."""

import attrs

from . import permission

FRESH_S = 10.0
DEFAULT_DEADLINE_S = 60.0


@attrs.frozen
class View:
    """Hold what one daemon knows of the others.

    :ivar peers: the newest digests, its own among them
    :ivar now_s: its monotonic clock, in seconds
    :ivar started_s: when it began to listen to the others
    :ivar outage_ended_s: when it last got the log back
    :ivar listed: names in the host list; None when it can't be read
    """

    peers: object
    now_s: float
    started_s: float = 0.0
    outage_ended_s: float = 0.0
    listed: frozenset | None = None

    def heard_s(self, member):
        """Return when a member was last heard, or when listening began."""
        heard = self.peers.heard(member.incarnation)
        return heard.heard_s if heard else self.started_s

    def is_fresh(self, member):
        """Tell whether a member was heard just now."""
        heard = self.peers.heard(member.incarnation)
        return heard is not None and heard.heard_s >= self.now_s - FRESH_S


def refuse_quiet(state, disruption, view):
    """Return why requests may still reach a host, or None.

    Those who joined before the grant have to acknowledge it; those who
    joined later have read it already.
    """
    reasons = (
        _refuse_member(state, member, disruption, view)
        for member in state.members.values()
        if member.joined_offset < disruption.grant_offset
    )
    return next((reason for reason in reasons if reason), None)


def refuse_silence(state, view):
    """Return which availability zone or daemon can't acknowledge, or None.

    No new work is begun then, since no host could be stopped.
    """
    reasons = (
        _refuse_silent(state, member, view)
        for member in state.members.values()
        if not view.is_fresh(member)
    )
    return next((reason for reason in reasons if reason), None)


def _refuse_member(state, member, disruption, view):
    if not view.is_fresh(member):
        return _refuse_silent(state, member, view)
    heard = view.peers.heard(member.incarnation)
    if heard.heard_s <= view.outage_ended_s:
        return f'entry host {member.daemon!r} was last heard in an outage'
    if heard.digest.next_offset <= disruption.grant_offset:
        return f'entry host {member.daemon!r} has not read the grant'
    busy = heard.digest.busy_hosts.get(disruption.host, 0)
    if busy:
        return f'entry host {member.daemon!r} has {busy} requests there'
    return None


def _refuse_silent(state, member, view):
    """Return why a silent member can't be presumed dead, or None."""
    neighbours = (
        other
        for other in state.members.values()
        if other.zone == member.zone
        and other.incarnation != member.incarnation
    )
    if not any(view.is_fresh(other) for other in neighbours):
        return (
            f'availability zone {member.zone!r} is silent and may be cut '
            'off and serving'
        )
    if view.listed is None:
        return f'entry host {member.daemon!r} is silent, the host list too'
    if member.daemon in view.listed:
        return f'entry host {member.daemon!r} is silent but listed'
    left_s = view.heard_s(member) + longest_s(state) - view.now_s
    if left_s > 0:
        return (
            f'entry host {member.daemon!r} is gone, its requests may run '
            f'for {left_s:.0f} s more'
        )
    return None


def longest_s(state):
    """Return how long a request may run on after its daemon was heard."""
    deadlines_s = (
        service.max_deadline_s for service in state.fleet.services.values()
    )
    longest = max(deadlines_s, default=DEFAULT_DEADLINE_S)
    return longest + permission.MAX_CLOCK_SKEW_S
