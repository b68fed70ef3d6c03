"""Decide when a daemon may claim a partition, and what its owner may do.

A partition has one owner. The owner's epoch fences its appends to the store
and its requests to executors. Host operations are fenced by
:mod:`host_intents`.
"""

import enum
import math

import attrs

from . import hand_over
from . import host_intents

# Longest interval between two appends of an owner.
RENEW_PERIOD_S = 0.25
# An owner without new records for this long, while the store is readable,
# is considered lost, and other daemons claim the partition.
MIN_OWNER_TIMEOUT_S = 0.8
# Reads sent further apart leave a gap in what is known of the owner.
MAX_READ_GAP_S = 1.2
# With a slow store, an owner's records arrive less often: its timeout is this
# multiple of the longest recent gap, up to MAX_OWNER_TIMEOUT_S.
GAP_FACTOR = 2.0
MAX_OWNER_TIMEOUT_S = 5.0
# Decay factor of the longest gap, applied at each later record.
GAP_DECAY = 0.9
# Claims are delayed randomly within this time, so that one daemon is first.
CLAIM_SPREAD_S = 0.2
# A daemon much weaker than an owner that it has seen claims this much later,
# after all of CLAIM_SPREAD_S.
WEAK_CLAIM_DELAY_S = 0.4
# Share of the timeout for which the last read, as sent, has to show that
# the owner was silent: a page that took long shows nothing since.
KNOWN_SILENCE_SHARE = 0.5
# The store counts as readable up to this time after a completed read.
MAX_READ_AGE_S = 0.7
# An owner renews executor leases until this long after its last confirmed
# append. Longer than usual store outages.
LEASE_RENEWAL_WINDOW_S = 8.0


class ClaimObstacle(enum.StrEnum):
    """Why a daemon doesn't claim a partition now."""

    NOT_READ = 'the statuses were never read'
    READ_TOO_LONG_AGO = 'the statuses were read too long ago'
    OWNER_HEARD = 'the owner has written within its timeout'
    SILENCE_NOT_KNOWN = 'the last read doesn\'t show the silence'
    IS_WEAK = 'stronger daemons go first'


@attrs.define
class OwnerView:
    """One daemon's view of the owner of a partition.

    Times are in seconds of the daemon's monotonic clock.

    :ivar is_claimable: whether the partition has no owner
    :ivar is_previous_incarnation: whether the owner is an earlier incarnation
        of this daemon
    :ivar is_named: whether the owner released the partition to this daemon
    :ivar strongest_seen: greatest strength of an owner that was seen
    :ivar last_record_s: when a record of the owner was last read
    :ivar epoch: epoch of the last known owner
    :ivar longest_gap_s: longest recent gap between two of its records
    :ivar intents_read_s: when the owner's host intents were last read
    :ivar last_read_s: when the last read that reached the end was sent
    :ivar last_read_done_s: when that read completed
    :ivar covered_offset: offset in the partition of the jobs up to which the
        statuses read so far cover it
    :ivar submission_partitions: number of partitions of the submissions that
        the owner reads; None while no owner is known
    :ivar covered_offsets: the same as covered_offset for each of them
    :ivar unread_partitions: numbers of those that the owner couldn't read of
        late
    :ivar covered_s: time up to which the statuses read so far cover the jobs;
        None before the first record that tells
    :ivar owner_seen_s: when a record of an owner was first read
    :ivar load_read_s: when the owner's load was last read
    :ivar readable_since_s: since when reads have succeeded without a gap; None
        before the first one
    """

    is_claimable: bool = True
    is_previous_incarnation: bool = False
    is_named: bool = False
    strongest_seen: float = 0.0
    last_record_s: float = 0.0
    epoch: int | None = None
    longest_gap_s: float = 0.0
    intents_read_s: float = 0.0
    last_read_s: float | None = None
    last_read_done_s: float | None = None
    covered_offset: int = 0
    submission_partitions: int | None = None
    covered_offsets: tuple[int, ...] = ()
    unread_partitions: frozenset[int] = frozenset()
    covered_s: float | None = None
    owner_seen_s: float | None = None
    load_read_s: float = -math.inf
    readable_since_s: float | None = None

    def note_page(self, sent_s):
        """Record that a read was answered, before its records are processed.

        The time in which this daemon could not read is no gap between the
        owner's records.
        """
        last_s = self.last_read_s
        if last_s is None or sent_s - last_s > MAX_READ_GAP_S:
            self.readable_since_s = sent_s

    def note_read(self, sent_s, now_s):
        """Record a read that reached the end of the partition."""
        self.note_page(sent_s)
        self.last_read_done_s = now_s
        self.last_read_s = sent_s

    def note_ownership(self, now_s, current, daemon, claimed_epochs):
        """Process a record written by the owner.

        :param current: the newest :class:`journal.Ownership`
        :param daemon: name of this daemon
        :param claimed_epochs: epochs that this process has claimed
        """
        self.strongest_seen = max(self.strongest_seen, current.strength)
        self.submission_partitions = current.submission_partitions
        self.unread_partitions = frozenset(current.unread_partitions)
        self.is_named = current.is_released and current.successor == daemon
        self.note_owner(
            now_s,
            current.epoch,
            current.is_released and not current.successor,
            current.daemon == daemon
            and current.epoch not in claimed_epochs
            and not current.successor,
        )

    def note_owner(self, now_s, epoch, is_released, is_previous_incarnation):
        """Process a record written by the owner."""
        gap_s = now_s - max(self.last_record_s, self.readable_since_s or now_s)
        if epoch != self.epoch:
            # The time before a change of owners says nothing about how often
            # the new owner appends.
            gap_s = self.longest_gap_s = 0.0
        self.epoch = epoch
        self.longest_gap_s = max(gap_s, self.longest_gap_s * GAP_DECAY)
        self.last_record_s = now_s
        self.is_claimable = is_released
        self.is_previous_incarnation = is_previous_incarnation

    def delay_s(self, now_s):
        """Return how long ago all submissions were known to be read.

        :returns: None while no owner is known
        """
        since_s = self.covered_s
        if since_s is None:
            since_s = self.owner_seen_s
        return None if since_s is None else now_s - since_s

    def behind_s(self, now_s):
        """Return how long the owner may have left submissions unread.

        While this daemon couldn't read the store, the owner couldn't either.

        :returns: None while no owner is known
        """
        delay_s = self.delay_s(now_s)
        if delay_s is None or self.readable_since_s is None:
            return delay_s
        return min(delay_s, now_s - self.readable_since_s)

    def may_claim(self, now_s, delay_s, strength=hand_over.FULL_STRENGTH):
        """Return True if this daemon should claim the partition now."""
        return self.claim_obstacle(now_s, delay_s, strength) is None

    def claim_obstacle(self, now_s, delay_s, strength):
        """Return what keeps this daemon from claiming now, or None.

        :param delay_s: this daemon's random share of CLAIM_SPREAD_S
        :param strength: strength of this daemon's host
        :rtype: ClaimObstacle or None
        """
        if self.last_read_done_s is None:
            return ClaimObstacle.NOT_READ
        if now_s - self.last_read_done_s > MAX_READ_AGE_S + RENEW_PERIOD_S:
            return ClaimObstacle.READ_TOO_LONG_AGO
        if self.is_named or self.is_previous_incarnation:
            return None
        is_weak = hand_over.is_much_stronger(self.strongest_seen, strength)
        if self.is_claimable and not is_weak:
            return None
        silent_since_s = max(self.last_record_s, self.readable_since_s)
        silence_s = now_s - silent_since_s
        if is_weak:
            silence_s -= WEAK_CLAIM_DELAY_S
        if self.is_claimable:
            return None if silence_s > 0.0 else ClaimObstacle.IS_WEAK
        if silence_s <= self.owner_timeout_s + delay_s:
            return ClaimObstacle.OWNER_HEARD
        # A page that took long holds nothing newer than its request.
        known_silence_s = self.last_read_s - silent_since_s
        if known_silence_s <= self.owner_timeout_s * KNOWN_SILENCE_SHARE:
            return ClaimObstacle.SILENCE_NOT_KNOWN
        return None

    @property
    def owner_timeout_s(self):
        """How long the owner may go without new records."""
        gap_timeout_s = GAP_FACTOR * self.longest_gap_s
        return min(
            MAX_OWNER_TIMEOUT_S, max(MIN_OWNER_TIMEOUT_S, gap_timeout_s)
        )


@attrs.define
class OwnershipTerm:
    """The time limits on what an owner may do.

    Times are in seconds of a clock that also advances while the host is
    suspended.

    :ivar epoch: the owner's epoch
    :ivar confirmed_s: when the last append confirmed by the store was sent
    """

    epoch: int
    confirmed_s: float
    is_lost: bool = False

    def may_renew_leases(self, now_s):
        """Return True if the owner may renew executor leases."""
        return (
            not self.is_lost
            and now_s - self.confirmed_s < LEASE_RENEWAL_WINDOW_S
        )

    def may_order_hosts(self, now_s):
        """Return True if the owner may start an operation on a host."""
        return (
            not self.is_lost
            and now_s - self.confirmed_s < host_intents.HOST_ORDER_WINDOW_S
        )


def inherited_lease_expiry_s(claimed_s, longest_lease_s):
    """Return when all leases granted by previous owners have expired."""
    return claimed_s + LEASE_RENEWAL_WINDOW_S + longest_lease_s
