"""Decide which daemons are strong enough to own a partition.

The owner sends all orders to executors and follows all of their polls, which
takes processor time and a link. A daemon that is much stronger than the owner
offers to take over; the owner then releases the partition and names it.
"""

import attrs

from . import journal

# What an owner needs of its host.
OWNER_CORES = 1.0
OWNER_LINK_MBPS = 30.0
# A host that has more than an owner needs is not stronger for it.
FULL_STRENGTH = 1.0
# A daemon is much stronger than another from this ratio on.
MUCH_STRONGER_RATIO = 2.0
# Time from its claim for which an owner accepts no offer.
MIN_TERM_S = 2.0
# Offers of one daemon, or of several as strong, are this far apart, and up to
# OFFER_JITTER_S more.
OFFER_PERIOD_S = 1.0
OFFER_JITTER_S = 0.5


def host_strength(cores, link_mbps):
    """Return how well a host can carry the owner, from 0 to FULL_STRENGTH.

    :param cores: processor time of the host, in cores
    :param link_mbps: speed of its link
    """
    strength = min(cores / OWNER_CORES, link_mbps / OWNER_LINK_MBPS)
    return round(min(FULL_STRENGTH, strength), 3)


def is_much_stronger(strength, other):
    """Return whether a host is much stronger than another."""
    return strength > 0.0 and strength >= MUCH_STRONGER_RATIO * other


def accepted_offer(held, offer, current, owned_s):
    """Return the offer that an owner hands over to, or None.

    Of several offers the strongest is accepted, and the newest of equals.

    :param held: the offer accepted so far, or None
    :param offer: the offer that was read
    :param current: the owner's :class:`journal.Ownership`
    :param owned_s: time since the owner's claim
    """
    is_acceptable = (
        offer.epoch == current.epoch
        and offer.daemon != current.daemon
        and owned_s >= MIN_TERM_S
        and is_much_stronger(offer.strength, current.strength)
    )
    if not is_acceptable or held and held.strength > offer.strength:
        return held
    return offer


@attrs.define
class OfferPlan:
    """When a daemon offers to take over from the present owner.

    :ivar daemon: name of this daemon
    """

    daemon: str
    _epoch: int | None = None
    _due_s: float = 0.0
    _last_read: journal.Offer | None = None

    def next_offer(self, now_s, strength, current, newest, rng):
        """Return an offer to be written now, or None.

        :param strength: strength of this daemon's host
        :param current: the newest :class:`journal.Ownership`, or None
        :param newest: the newest offer that was read, or None
        :param rng: source of the jitter
        """
        if (
            current is None
            or current.is_released
            or current.daemon == self.daemon
            or not is_much_stronger(strength, current.strength)
        ):
            return None
        if current.epoch != self._epoch:
            self._epoch = current.epoch
            self._put_off(now_s, 0.0, rng)
        if self._is_answered_by(newest, strength):
            self._put_off(now_s, OFFER_PERIOD_S, rng)
        self._last_read = newest
        if now_s < self._due_s:
            return None
        self._put_off(now_s, OFFER_PERIOD_S, rng)
        return journal.Offer(current.epoch, self.daemon, strength)

    def _put_off(self, now_s, delay_s, rng):
        delay_s += rng.uniform(0.0, OFFER_JITTER_S)
        self._due_s = max(self._due_s, now_s + delay_s)

    def _is_answered_by(self, newest, strength):
        """Return whether another daemon, as strong, has just offered."""
        return (
            newest is not None
            and newest is not self._last_read
            and newest.epoch == self._epoch
            and newest.strength >= strength
        )
