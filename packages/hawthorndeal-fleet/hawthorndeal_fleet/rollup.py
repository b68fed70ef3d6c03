"""Sum up an availability zone's daemons, for the other zones.

With it the cost of a daemon grows with its zone's size plus the number of
zones, not with all daemons.
"""

import math

import attrs

from . import membership


_EMPTY = membership.StatePoint()


@attrs.frozen
class ZoneDigest:
    """Tell another zone how far the daemons of one zone are.

    :ivar teller: incarnation of the member that sums up
    :ivar age_s: how long ago the daemon heard last was heard
    :ivar next_offset: the least of those heard
    :ivar revision: the greatest of those heard
    :ivar behind: revision by daemon, of those at a lower one
    :ivar silent: incarnations of members that were not heard
    :ivar busy_hosts: sum of requests in flight to hosts being worked on
    :ivar point: where the teller's state stands
    """

    zone: str
    teller: str
    age_s: float
    next_offset: int
    revision: int
    point: membership.StatePoint
    behind: dict[str, int] = attrs.Factory(dict)
    silent: list[str] = attrs.Factory(list)
    busy_hosts: dict[str, int] = attrs.Factory(dict)
    is_log_behind: bool = False


@attrs.frozen
class Exchange:
    """Carry a digest, or tell that it is the one sent before.

    :ivar version: names the sender's digest as of now
    :ivar known: names the receiver's digest that the sender has
    :ivar digest: None where the receiver is known to have it
    :ivar zones: digests of other zones that the sender heard since
    """

    incarnation: str
    version: str
    known: str = ''
    digest: membership.PeerDigest | None = None
    zones: list[ZoneDigest] = attrs.Factory(list)


def sum_up(state, table, own, now_s, fresh_s):
    """Return the digest of a daemon's own zone.

    :param own: the daemon's digest as of now
    :param fresh_s: how old the digests of its neighbours may be
    """
    heard = {own.incarnation: membership.Heard(own, now_s)}
    silent = []
    for member in zone_members(state, own.zone):
        found = heard.get(member.incarnation) or table.heard(
            member.incarnation
        )
        if found is None or found.heard_s < now_s - fresh_s:
            silent.append(member.incarnation)
        else:
            heard[member.incarnation] = found
    return _sum(own, heard.values(), silent, now_s)


def _sum(own, heard, silent, now_s):
    digests = [found.digest for found in heard]
    revision = max(digest.revision for digest in digests)
    return ZoneDigest(
        zone=own.zone,
        teller=own.incarnation,
        age_s=round(now_s - min(found.heard_s for found in heard), 3),
        next_offset=min(digest.next_offset for digest in digests),
        revision=revision,
        behind={
            digest.daemon: digest.revision
            for digest in digests
            if digest.revision < revision
        },
        silent=silent,
        busy_hosts=_sum_busy(digests),
        is_log_behind=all(digest.is_log_behind for digest in digests),
        point=own.point,
    )


def _sum_busy(digests):
    busy = {}
    for digest in digests:
        for host, count in digest.busy_hosts.items():
            busy[host] = busy.get(host, 0) + count
    return busy


def zone_members(state, zone):
    """Return the members in an availability zone."""
    return [member for member in state.members.values() if member.zone == zone]


def unfold(state, told):
    """Return what a zone's digest says of each member that it covers.

    Members that joined after the least offset in it may not be known to the
    teller; nothing is said of them.
    """
    return [
        _digest_of(member, told)
        for member in zone_members(state, told.zone)
        if member.incarnation not in told.silent
        and member.joined_offset < told.next_offset
    ]


def _digest_of(member, told):
    is_teller = member.incarnation == told.teller
    return membership.PeerDigest(
        daemon=member.daemon,
        incarnation=member.incarnation,
        zone=member.zone,
        next_offset=told.next_offset,
        revision=told.behind.get(member.daemon, told.revision),
        # Whose requests they are is not told, so that each has them all.
        busy_hosts=told.busy_hosts,
        point=told.point if is_teller else _EMPTY,
        is_log_behind=told.is_log_behind,
    )


class ZoneTable:
    """Keep the newest digest of each other zone, and who was told of it."""

    def __init__(self):
        self._heard_s = {}
        self._direct = {}
        self._told = {}

    def heard_s(self, zone):
        """Return when a zone was heard last, by whatever way."""
        return self._heard_s.get(zone, -math.inf)

    def touch(self, zone, heard_s):
        """Note that a zone was heard."""
        self._heard_s[zone] = max(heard_s, self.heard_s(zone))

    def note(self, told, now_s):
        """Keep a digest that came from the zone itself."""
        self._direct[told.zone] = (now_s, told)

    def news_for(self, receiver, now_s):
        """Return what was heard since this was asked for a receiver."""
        since_s = self._told.get(receiver, -math.inf)
        self._told[receiver] = now_s
        return [
            attrs.evolve(told, age_s=round(told.age_s + now_s - heard_s, 3))
            for heard_s, told in self._direct.values()
            if heard_s > since_s
        ]
