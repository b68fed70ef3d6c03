"""Aggregate the digests of an availability zone for the other zones.

Aggregation makes the cost of a daemon grow with the size of its zone plus
the number of zones, instead of with the number of all daemons.
"""

import math

import attrs

from . import peer_digests


_UNKNOWN_POINT = peer_digests.StatePoint()


@attrs.frozen
class ZoneDigest:
    """Aggregated progress of the daemons of one zone, for other zones.

    :ivar teller: incarnation of the member that aggregates
    :ivar age_s: age of the oldest digest included, in seconds
    :ivar next_offset: least offset of the digests included
    :ivar revision: greatest revision of the digests included
    :ivar behind: revision by daemon, for daemons at a lower revision
    :ivar silent: incarnations of members without a recent digest
    :ivar busy_hosts: total requests in flight to hosts under maintenance
    :ivar point: state digests of the aggregating member
    """

    zone: str
    teller: str
    age_s: float
    next_offset: int
    revision: int
    point: peer_digests.StatePoint
    behind: dict[str, int] = attrs.Factory(dict)
    silent: list[str] = attrs.Factory(list)
    busy_hosts: dict[str, int] = attrs.Factory(dict)
    is_log_behind: bool = False


@attrs.frozen
class DigestMessage:
    """Message that carries a digest, or only its version if unchanged.

    :ivar version: version of the sender's current digest
    :ivar known: version of the receiver's digest that the sender has
    :ivar digest: None if the receiver is known to have this version
    :ivar zones: digests of other zones received since the last message
    """

    incarnation: str
    version: str
    known: str = ''
    digest: peer_digests.PeerDigest | None = None
    zones: list[ZoneDigest] = attrs.Factory(list)


def aggregate_zone(state, table, own, now_s, fresh_s):
    """Return the aggregated digest of a daemon's own zone.

    :param own: current digest of the daemon
    :param fresh_s: maximum age of the other members' digests, in seconds
    """
    heard = {own.incarnation: peer_digests.HeardDigest(own, now_s)}
    silent = []
    for member in zone_members(state, own.zone):
        received = heard.get(member.incarnation) or table.heard(
            member.incarnation
        )
        if received is None or received.heard_s < now_s - fresh_s:
            silent.append(member.incarnation)
        else:
            heard[member.incarnation] = received
    return _summarize_digests(own, heard.values(), silent, now_s)


def _summarize_digests(own, heard, silent, now_s):
    digests = [received.digest for received in heard]
    revision = max(digest.revision for digest in digests)
    return ZoneDigest(
        zone=own.zone,
        teller=own.incarnation,
        age_s=round(now_s - min(received.heard_s for received in heard), 3),
        next_offset=min(digest.next_offset for digest in digests),
        revision=revision,
        behind={
            digest.daemon: digest.revision
            for digest in digests
            if digest.revision < revision
        },
        silent=silent,
        busy_hosts=_sum_busy_hosts(digests),
        is_log_behind=all(digest.is_log_behind for digest in digests),
        point=own.point,
    )


def _sum_busy_hosts(digests):
    busy = {}
    for digest in digests:
        for host, count in digest.busy_hosts.items():
            busy[host] = busy.get(host, 0) + count
    return busy


def zone_members(state, zone):
    """Return the members in an availability zone."""
    return [member for member in state.members.values() if member.zone == zone]


def expand_zone(state, zone_digest):
    """Return a digest for each member that a zone's digest covers.

    Members that joined after its least offset may be unknown to the daemon
    that aggregated it, so they are left out.
    """
    return [
        _digest_of(member, zone_digest)
        for member in zone_members(state, zone_digest.zone)
        if member.incarnation not in zone_digest.silent
        and member.joined_offset < zone_digest.next_offset
    ]


def _digest_of(member, zone_digest):
    is_aggregator = member.incarnation == zone_digest.teller
    return peer_digests.PeerDigest(
        daemon=member.daemon,
        incarnation=member.incarnation,
        zone=member.zone,
        next_offset=zone_digest.next_offset,
        revision=zone_digest.behind.get(member.daemon, zone_digest.revision),
        # The total is not broken down by member, so all of it is attributed
        # to each.
        busy_hosts=zone_digest.busy_hosts,
        point=zone_digest.point if is_aggregator else _UNKNOWN_POINT,
        is_log_behind=zone_digest.is_log_behind,
    )


class ZoneTable:
    """The newest digests of other zones, and who they were sent to."""

    def __init__(self):
        self._heard_s = {}
        self._received = {}
        self._last_sent_s = {}

    def heard_s(self, zone):
        """Return when a zone was last heard from, directly or relayed."""
        return self._heard_s.get(zone, -math.inf)

    def refresh(self, zone, heard_s):
        """Record that a zone was heard from."""
        self._heard_s[zone] = max(heard_s, self.heard_s(zone))

    def note(self, zone_digest, now_s):
        """Store a digest that was received from the zone itself."""
        self._received[zone_digest.zone] = (now_s, zone_digest)

    def updates_for(self, receiver, now_s):
        """Return the digests received since the last call for a receiver."""
        since_s = self._last_sent_s.get(receiver, -math.inf)
        self._last_sent_s[receiver] = now_s
        return [
            attrs.evolve(
                zone_digest,
                age_s=round(zone_digest.age_s + now_s - heard_s, 3),
            )
            for heard_s, zone_digest in self._received.values()
            if heard_s > since_s
        ]
