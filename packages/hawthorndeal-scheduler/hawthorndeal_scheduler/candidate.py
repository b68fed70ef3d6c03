"""Claim a partition when its owner falls silent, and hand it over."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import host_intents
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_platform import keyed_log

from . import owner as owner_module

CHECK_PERIOD_S = 0.05
REACH_CLAIM_S = 3.0
# A reading that waits longer has nothing new to wait for.
CLAIM_READ_S = 0.05
CLAIM_PAUSE_S = (0.02, 0.1)
# Epochs of one round of claims; each daemon takes one of them at random.
EPOCH_SPAN = 1 << 20
# The followers' pause between readings; an owner reads almost at once.
FOLLOW_PAUSE_S = 0.15
OWNER_PAUSE_S = 0.015


class Candidate:
    """Be a task that claims a partition when its owner falls silent.

    :param parts: what an owner works with
    """

    name = 'owner'

    def __init__(self, parts):
        self._parts = parts
        self._is_stopping = False
        self._owner = None
        parts.jobs_follower.pause_s = FOLLOW_PAUSE_S

    @property
    def owner(self):
        """Return the owner that is at work here, or None."""
        return self._owner

    async def run(self):
        """Claim and own, again and again, until cancelled."""
        parts = self._parts
        while not self._is_stopping:
            delay_s = parts.rng.uniform(0.0, ownership.CLAIM_SPREAD_S)
            await self._wait_for_silence(delay_s)
            owner = await self._try_claim(delay_s)
            if owner is not None:
                await self._own(owner)
        await asyncio.Event().wait()

    async def _wait_for_silence(self, delay_s):
        parts = self._parts
        while self._is_stopping or not (
            parts.jobs_follower.is_loaded
            and parts.configuration_reader.configuration is not None
            and parts.jobs_reader.owner_view.may_claim(
                parts.clock.monotonic_s(), delay_s
            )
        ):
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _try_claim(self, delay_s):
        """Claim, and return the owner to run; None where that failed.

        A claim on condition that nothing was appended meanwhile has one
        winner. Where callers append all the time it may fail for ever: then
        the highest epoch wins.
        """
        parts = self._parts
        follower = parts.jobs_follower
        follower.pause_s = 0.0
        owner = None
        for is_conditional in (True, False):
            await follower.catch_up(CLAIM_READ_S)
            now_s = parts.clock.monotonic_s()
            if not parts.jobs_reader.owner_view.may_claim(now_s, delay_s):
                break
            end = follower.next_offset if is_conditional else None
            try:
                owner = await self._claim(end)
                break
            except keyed_log.EndMoved:
                continue
        if owner is None:
            follower.pause_s = FOLLOW_PAUSE_S
            await asyncio.sleep(parts.rng.uniform(*CLAIM_PAUSE_S))
        return owner

    def _next_epoch(self):
        """Return an epoch above all others, which no other daemon takes."""
        last = self._parts.jobs_reader.replica.ownership
        number = last.epoch // EPOCH_SPAN + 1 if last else 1
        return number * EPOCH_SPAN + self._parts.rng.randrange(EPOCH_SPAN)

    async def _claim(self, end):
        """Append a claim, and return the owner to run, or None.

        :param end: where the partition must end; None for anywhere
        :raises keyed_log.EndMoved: it ends elsewhere
        """
        parts = self._parts
        epoch = self._next_epoch()
        claim = journal.Ownership(epoch, parts.settings.daemon)
        parts.jobs_reader.epochs.add(epoch)
        sent_s = parts.clock.boot_s()
        try:
            offset = await parts.log.append(
                parts.jobs_follower.partition,
                [journal.ownership_record(claim)],
                keyed_log.Fence(epoch, 0),
                end,
            )
        except errors.PlatformError as error:
            parts.events.write(
                'claim_failed', epoch=epoch, why=str(error)[:160]
            )
            if isinstance(error, keyed_log.EndMoved):
                raise
            return None
        if not await parts.jobs_follower.reach(offset, REACH_CLAIM_S):
            return None
        # All that earlier owners have stored was read by now.
        if parts.jobs_reader.replica.ownership != claim:
            return None
        intents = self._make_intents()
        parts.events.write('owner_claimed', epoch=epoch)
        tenure = ownership.Tenure(epoch, sent_s)
        return owner_module.Owner(parts, tenure, intents)

    def _make_intents(self):
        parts = self._parts
        view = parts.jobs_reader.owner_view
        intents = host_intents.HostIntents(
            parts.settings.daemon, parts.settings.host_order_lease_ms / 1000
        )
        # The clocks run alike, but for suspensions, which only prolong it.
        ahead_s = parts.clock.boot_s() - parts.clock.monotonic_s()
        intents.inherit(
            parts.jobs_reader.replica.host_intents,
            view.intents_read_s + ahead_s,
            view.last_sign_s + ahead_s,
        )
        return intents

    async def _own(self, owner):
        parts = self._parts
        epoch = owner.epoch
        parts.jobs_reader.replica.own_epoch = epoch
        parts.jobs_follower.pause_s = OWNER_PAUSE_S
        self._owner = owner
        try:
            await owner.run()
        except (owner_module.LostOwnership, keyed_log.Fenced) as error:
            parts.events.write('owner_lost', epoch=epoch, why=str(error)[:160])
        finally:
            self._owner = None
            parts.jobs_reader.replica.own_epoch = None
            parts.jobs_follower.pause_s = FOLLOW_PAUSE_S
            # What was decided and not stored is forgotten.
            parts.reload_jobs()

    async def stop(self):
        """Hand the partition over."""
        self._is_stopping = True
        if self._owner is not None:
            await self._owner.release()
