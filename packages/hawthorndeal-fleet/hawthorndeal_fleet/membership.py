"""What daemons tell each other, and what they make of it."""

import hashlib

import attrs

from . import codec


@attrs.frozen
class StatePoint:
    """Tell by what a state can be compared with another.

    :ivar epoch: how often the log was begun anew
    :ivar digest: of the state before ``next_offset``
    :ivar mark_offset: an earlier offset, for peers that are not as far
    :ivar mark_digest: of the state before ``mark_offset``
    """

    epoch: int = 0
    next_offset: int = 0
    digest: str = ''
    mark_offset: int = 0
    mark_digest: str = ''


@attrs.frozen
class PeerDigest:
    """Tell a peer how far a daemon is.

    :ivar next_offset: the first offset the daemon has not folded
    :ivar busy_hosts: requests in flight to hosts being worked on
    :ivar point: what its state is compared by
    :ivar is_log_behind: whether it finds the log's end lost
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
    """Return a short name that differs for different digests."""
    content = codec.canonical(codec.to_plain(digest))
    return hashlib.blake2b(content, digest_size=6).hexdigest()


@attrs.frozen
class Summary:
    """Tell a joiner how far the state is that a peer can give it."""

    incarnation: str
    epoch: int
    next_offset: int
    revision: int

    @property
    def rank(self):
        """Return what is greater for a newer state."""
        return self.epoch, self.next_offset


@attrs.frozen
class Heard:
    """Keep the last digest of a peer and when it came.

    :ivar heard_s: this daemon's monotonic clock, in seconds
    """

    digest: PeerDigest
    heard_s: float


class PeerTable:
    """Keep the newest digest of every incarnation heard."""

    def __init__(self):
        self._heard = {}

    def note(self, digest, now_s):
        """Keep a digest; return whether it tells something new."""
        known = self._heard.get(digest.incarnation)
        if known and known.digest.next_offset > digest.next_offset:
            return False
        self._heard[digest.incarnation] = Heard(digest, now_s)
        return True

    def touch(self, incarnation, version, now_s):
        """Keep the digest known of a peer; return whether it is that one."""
        known = self._heard.get(incarnation)
        if known is None or version_of(known.digest) != version:
            return False
        self._heard[incarnation] = attrs.evolve(known, heard_s=now_s)
        return True

    def note_aged(self, digest, heard_s):
        """Keep a digest that another daemon heard, unless ours is newer."""
        known = self._heard.get(digest.incarnation)
        if known is None or known.heard_s < heard_s:
            self.note(digest, heard_s)

    def heard(self, incarnation):
        """Return the newest digest of an incarnation, or None."""
        return self._heard.get(incarnation)

    def heard_since(self, since_s):
        """Return the digests that came after a moment."""
        return [
            heard.digest
            for heard in self._heard.values()
            if heard.heard_s > since_s
        ]

    def forget_all_but(self, incarnations):
        """Drop the digests of daemons that are no longer members."""
        self._heard = {
            incarnation: heard
            for incarnation, heard in self._heard.items()
            if incarnation in incarnations
        }
