"""Digests that daemons exchange, and the table of those received."""

import hashlib

import attrs

from . import codec


@attrs.frozen
class StatePoint:
    """State digests at two offsets, by which peers compare their states.

    :ivar epoch: number of times the log was restarted
    :ivar digest: digest of the state before ``next_offset``
    :ivar mark_offset: an earlier offset, for peers that lag behind
    :ivar mark_digest: digest of the state before ``mark_offset``
    """

    epoch: int = 0
    next_offset: int = 0
    digest: str = ''
    mark_offset: int = 0
    mark_digest: str = ''


@attrs.frozen
class PeerDigest:
    """Progress of a daemon, as reported to its peers.

    :ivar next_offset: first offset that the daemon has not folded
    :ivar busy_hosts: requests in flight to hosts under maintenance
    :ivar point: state digests for comparison
    :ivar is_log_behind: whether the daemon finds the log's tail lost
    """

    daemon: str
    incarnation: str
    zone: str
    next_offset: int
    revision: int
    busy_hosts: dict[str, int] = attrs.Factory(dict)
    point: StatePoint = attrs.Factory(StatePoint)
    is_log_behind: bool = False


def version_of(digest):
    """Return a short content hash of a digest."""
    content = codec.canonical(codec.to_plain(digest))
    return hashlib.blake2b(content, digest_size=6).hexdigest()


@attrs.frozen
class Summary:
    """Extent of the state that a peer offers to a joining daemon."""

    incarnation: str
    epoch: int
    next_offset: int
    revision: int

    @property
    def rank(self):
        """Return a key that is greater for a newer state."""
        return self.epoch, self.next_offset


@attrs.frozen
class HeardDigest:
    """The newest digest of a peer and the time of its last message.

    :ivar heard_s: time on this daemon's monotonic clock, in seconds
    """

    digest: PeerDigest
    heard_s: float


class PeerTable:
    """The newest digest of every incarnation that was heard from."""

    def __init__(self):
        self._heard = {}

    def note(self, digest, now_s):
        """Store a digest unless outdated; return whether it was stored."""
        known = self._heard.get(digest.incarnation)
        if known and known.digest.next_offset > digest.next_offset:
            return False
        self._heard[digest.incarnation] = HeardDigest(digest, now_s)
        return True

    def refresh(self, incarnation, version, now_s):
        """Refresh the known digest of a peer if its version matches.

        :returns: whether it matches
        """
        known = self._heard.get(incarnation)
        if known is None or version_of(known.digest) != version:
            return False
        self._heard[incarnation] = attrs.evolve(known, heard_s=now_s)
        return True

    def note_relayed(self, digest, heard_s):
        """Store a relayed digest, unless a more recent one is known."""
        known = self._heard.get(digest.incarnation)
        if known is None or known.heard_s < heard_s:
            self.note(digest, heard_s)

    def heard(self, incarnation):
        """Return the :class:`HeardDigest` of an incarnation, or None."""
        return self._heard.get(incarnation)

    def heard_since(self, since_s):
        """Return the digests heard after a point in time."""
        return [
            heard.digest
            for heard in self._heard.values()
            if heard.heard_s > since_s
        ]

    def retain_only(self, incarnations):
        """Drop the digests of all other incarnations."""
        self._heard = {
            incarnation: heard
            for incarnation, heard in self._heard.items()
            if incarnation in incarnations
        }
