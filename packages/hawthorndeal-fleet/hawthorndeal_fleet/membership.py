"""What daemons tell each other, and what they make of it."""

import attrs


@attrs.frozen
class PeerDigest:
    """Tell a peer how far a daemon is.

    :ivar next_offset: the first offset the daemon has not folded
    :ivar fingerprint: number of its document, in hexadecimal
    :ivar busy_hosts: requests in flight to hosts being worked on
    """

    daemon: str
    incarnation: str
    zone: str
    next_offset: int
    revision: int
    fingerprint: str
    busy_hosts: dict[str, int]


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

    def heard(self, incarnation):
        """Return the newest digest of an incarnation, or None."""
        return self._heard.get(incarnation)

    def forget_all_but(self, incarnations):
        """Drop the digests of daemons that are no longer members."""
        self._heard = {
            incarnation: heard
            for incarnation, heard in self._heard.items()
            if incarnation in incarnations
        }
