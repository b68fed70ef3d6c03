"""Decide when a daemon may claim a partition, and when it may still act.

A partition has one owner. Its epoch fences its appends in the store and its
orders at executors. Orders to hosts are fenced by :mod:`host_intents`.
"""

import attrs

from . import host_intents

# Longest time between two appends of an owner.
RENEW_PERIOD_S = 0.25
# Silence, while the store can be read, after which others claim.
MIN_OWNER_TIMEOUT_S = 1.2
# Where the store is slow, an owner is heard of less often: silence counts
# from so many times the longest gap of late, up to a limit.
GAP_FACTOR = 2.0
MAX_OWNER_TIMEOUT_S = 5.0
# Part of the longest gap that is still believed after each shorter one.
GAP_DECAY = 0.9
# Claimants spread over this time, so that one of them is first.
CLAIM_SPREAD_S = 0.3
# Age of the last answer to a reading up to which the store is readable.
MAX_READ_AGE_S = 0.7
# An owner renews the leases of executors while the store confirmed it this
# recently: longer than the store is usually away.
LEASE_RENEWAL_WINDOW_S = 8.0


@attrs.define
class OwnerView:
    """Hold what one daemon has seen of a partition's owner.

    Times are seconds of its steady clock.

    :ivar is_claimable: whether there is no owner
    :ivar is_own_past: whether the owner is an earlier life of this daemon
    :ivar last_sign_s: when something of the owner's was last read
    :ivar epoch: of the owner that was last heard of
    :ivar longest_gap_s: longest time between two of its signs of late
    :ivar intents_read_s: when the owner's intents were last read
    :ivar last_read_s: when the last reading that reached the end was sent
    :ivar last_answer_s: when it was answered
    :ivar readable_since_s: since when the store was read without a break;
        None while it can't be read
    """

    is_claimable: bool = True
    is_previous_incarnation: bool = False
    last_sign_s: float = 0.0
    epoch: int | None = None
    longest_gap_s: float = 0.0
    intents_read_s: float = 0.0
    last_read_s: float | None = None
    last_answer_s: float | None = None
    readable_since_s: float | None = None

    def note_read(self, sent_s, now_s):
        """Note that everything up to the end was read by a call."""
        self.last_answer_s = now_s
        last_s = self.last_read_s
        if last_s is None or sent_s - last_s > MIN_OWNER_TIMEOUT_S:
            self.readable_since_s = sent_s
        self.last_read_s = sent_s

    def note_owner(self, now_s, epoch, is_released, is_previous_incarnation):
        """Note a record of the owner's."""
        gap_s = now_s - max(self.last_sign_s, self.readable_since_s or now_s)
        if epoch != self.epoch:
            # What came before was no gap of an owner at work.
            gap_s = self.longest_gap_s = 0.0
        self.epoch = epoch
        self.longest_gap_s = max(gap_s, self.longest_gap_s * GAP_DECAY)
        self.last_sign_s = now_s
        self.is_claimable = is_released
        self.is_previous_incarnation = is_previous_incarnation

    def may_claim(self, now_s, delay_s):
        """Tell whether to claim now.

        :param delay_s: this daemon's part of the spread
        """
        if self.last_answer_s is None:
            return False
        if now_s - self.last_answer_s > MAX_READ_AGE_S + RENEW_PERIOD_S:
            return False
        if self.is_claimable or self.is_previous_incarnation:
            return True
        silent_s = now_s - max(self.last_sign_s, self.readable_since_s)
        return silent_s > self.allowed_silence_s + delay_s

    @property
    def allowed_silence_s(self):
        """Return the silence that an owner at work may keep."""
        usual_s = GAP_FACTOR * self.longest_gap_s
        return min(MAX_OWNER_TIMEOUT_S, max(MIN_OWNER_TIMEOUT_S, usual_s))


@attrs.define
class Tenure:
    """Hold how long an owner may act.

    Times are seconds of a clock that also counts while the host is
    suspended.

    :ivar epoch: of this tenure
    :ivar confirmed_s: when the last append was sent that the store took
    """

    epoch: int
    confirmed_s: float
    is_lost: bool = False

    def may_renew_leases(self, now_s):
        """Tell whether leases of executors may be renewed."""
        return (
            not self.is_lost
            and now_s - self.confirmed_s < LEASE_RENEWAL_WINDOW_S
        )

    def may_order_hosts(self, now_s):
        """Tell whether a host may be ordered about."""
        return (
            not self.is_lost
            and now_s - self.confirmed_s < host_intents.HOST_ORDER_WINDOW_S
        )


def last_inherited_lease_s(claimed_s, longest_lease_s):
    """Return when leases given by earlier owners have run out."""
    return claimed_s + LEASE_RENEWAL_WINDOW_S + longest_lease_s
