"""Offers to take over the partition from a much weaker owner."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import hand_over
from hawthorndeal_jobs import journal

CHECK_PERIOD_S = 0.05


def strength(settings):
    """Return the strength of this daemon's host."""
    cores = settings.processor_share * settings.processor_count
    return hand_over.host_strength(cores, settings.link_mbps)


class Offerer:
    """Task that offers to take over while this daemon is ready.

    :param parts: shared components of the daemon
    :param interface: tells whether this daemon is ready
    """

    name = 'offers'

    def __init__(self, parts, interface):
        self._parts = parts
        self._interface = interface
        self._plan = hand_over.OfferPlan(parts.settings.daemon)

    async def run(self):
        """Offer whenever an offer is due, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if not self._interface.is_ready:
                continue
            board = self._parts.board
            offer = self._plan.next_offer(
                self._parts.clock.monotonic_s(),
                strength(self._parts.settings),
                board.ownership,
                board.offer,
                self._parts.rng,
            )
            if offer is not None:
                await self._write(offer)

    async def _write(self, offer):
        outcome = 'done'
        try:
            await self._parts.log.append(
                self._parts.status_follower.partition,
                [journal.offer_record(offer)],
            )
        except errors.PlatformError as error:
            # A later offer replaces it.
            outcome = str(error)[:160]
        self._parts.events.write(
            'ownership_offered',
            epoch=offer.epoch,
            strength=offer.strength,
            outcome=outcome,
        )

    async def stop(self):
        """Do nothing; an offer may be cancelled at any point."""
