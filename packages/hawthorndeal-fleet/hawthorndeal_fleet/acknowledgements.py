"""Decide whether all daemons have stopped sending requests to a host."""

import attrs

from . import permission

MAX_DIGEST_AGE_S = 10.0
DEFAULT_MAX_DEADLINE_S = 60.0


@attrs.frozen
class PeerView:
    """A daemon's view of its peers.

    :ivar peers: newest digest of each member, including the daemon itself
    :ivar now_s: current time on the daemon's monotonic clock, in seconds
    :ivar started_s: time at which it began to receive digests
    :ivar outage_ended_s: time at which the last outage of the log ended
    :ivar listed: names in the host list, or None if it can't be read
    """

    peers: object
    now_s: float
    started_s: float = 0.0
    outage_ended_s: float = 0.0
    listed: frozenset | None = None

    def heard_s(self, member):
        """Return when a member was last heard from, or ``started_s``."""
        heard = self.peers.heard(member.incarnation)
        return heard.heard_s if heard else self.started_s

    def is_fresh(self, member):
        """Return whether a recent digest of a member is known."""
        heard = self.peers.heard(member.incarnation)
        return (
            heard is not None
            and heard.heard_s >= self.now_s - MAX_DIGEST_AGE_S
        )


def quiesce_refusal(state, disruption, view):
    """Return why requests may still reach a host, or None.

    Only members that joined before the grant have to acknowledge it. Later
    ones have folded it before they joined.
    """
    reasons = (
        _member_refusal(state, member, disruption, view)
        for member in state.members.values()
        if member.joined_offset < disruption.grant_offset
    )
    return next((reason for reason in reasons if reason), None)


def unreachable_member_refusal(state, view):
    """Return which availability zone or daemon can't acknowledge, or None.

    New work is not begun in that case, since no host could be stopped.
    """
    reasons = (
        _silent_member_refusal(state, member, view)
        for member in state.members.values()
        if not view.is_fresh(member)
    )
    return next((reason for reason in reasons if reason), None)


def _member_refusal(state, member, disruption, view):
    if not view.is_fresh(member):
        return _silent_member_refusal(state, member, view)
    heard = view.peers.heard(member.incarnation)
    if heard.heard_s <= view.outage_ended_s:
        return (
            f'entry host {member.daemon!r} was last heard from in an outage '
            'of the log'
        )
    if heard.digest.next_offset <= disruption.grant_offset:
        return f'entry host {member.daemon!r} has not read the grant'
    busy = heard.digest.busy_hosts.get(disruption.host, 0)
    if busy:
        return (
            f'entry host {member.daemon!r} has {busy} requests in flight '
            'to the host'
        )
    return None


def _silent_member_refusal(state, member, view):
    """Return why a silent member can't be presumed dead, or None."""
    zone_peers = (
        other
        for other in state.members.values()
        if other.zone == member.zone
        and other.incarnation != member.incarnation
    )
    if not any(view.is_fresh(other) for other in zone_peers):
        return (
            f'availability zone {member.zone!r} is silent; it may be '
            'partitioned and still serving requests'
        )
    if view.listed is None:
        return (
            f'entry host {member.daemon!r} is silent and the host list '
            'cannot be read'
        )
    if member.daemon in view.listed:
        return f'entry host {member.daemon!r} is silent but listed'
    remaining_s = (
        view.heard_s(member) + max_remaining_run_s(state) - view.now_s
    )
    if remaining_s > 0:
        return (
            f'entry host {member.daemon!r} is gone; its requests may run '
            f'for another {remaining_s:.0f} s'
        )
    return None


def max_remaining_run_s(state):
    """Return how long a request may run after its daemon was last heard."""
    deadlines_s = (
        service.max_deadline_s for service in state.fleet.services.values()
    )
    longest = max(deadlines_s, default=DEFAULT_MAX_DEADLINE_S)
    return longest + permission.MAX_CLOCK_SKEW_S
