"""Claim a partition when its owner falls silent, and hand it over."""

import asyncio

import attrs

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
        """Claim from the very end: what callers append moves it."""
        parts = self._parts
        follower = parts.jobs_follower
        follower.pause_s = OWNER_PAUSE_S
        await follower.catch_up(CLAIM_READ_S)
        now_s = parts.clock.monotonic_s()
        owner = None
        if parts.jobs_reader.owner_view.may_claim(now_s, delay_s):
            owner = await self._claim()
        if owner is None:
            follower.pause_s = FOLLOW_PAUSE_S
        return owner

    async def _claim(self):
        parts = self._parts
        last = parts.jobs_reader.replica.ownership
        epoch = last.epoch + 1 if last else 1
        claim = journal.Ownership(epoch, parts.settings.daemon)
        end = parts.jobs_follower.next_offset
        view = attrs.evolve(parts.jobs_reader.owner_view)
        inherited = parts.jobs_reader.replica.host_intents
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
            await asyncio.sleep(parts.rng.uniform(0.02, 0.1))
            return None
        if not await parts.jobs_follower.reach(offset, REACH_CLAIM_S):
            return None
        if parts.jobs_reader.replica.ownership != claim:
            return None
        parts.events.write(
            'owner_claimed', epoch=epoch, intents=len(inherited)
        )
        return owner_module.Owner(
            parts,
            ownership.Tenure(epoch, sent_s),
            self._make_intents(inherited, view),
        )

    def _make_intents(self, inherited, view):
        parts = self._parts
        intents = host_intents.HostIntents(
            parts.settings.daemon, parts.settings.host_order_lease_ms / 1000
        )
        # The clocks run alike, but for suspensions, which only prolong it.
        ahead_s = parts.clock.boot_s() - parts.clock.monotonic_s()
        intents.inherit(
            inherited,
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
