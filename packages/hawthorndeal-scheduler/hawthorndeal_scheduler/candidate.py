"""Candidate for the ownership of a partition: claims and releases it."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import host_intents
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_platform import keyed_log

from . import offerer
from . import owner as owner_module

CHECK_PERIOD_S = 0.05
# What keeps a daemon from claiming is logged while its owner has written
# nothing for this long.
NOTICED_SILENCE_S = 1.5
READ_CLAIM_TIMEOUT_S = 3.0
# A read that takes longer is waiting because there are no new records.
CATCH_UP_TIMEOUT_S = 0.05
CLAIM_RETRY_PAUSE_S = (0.02, 0.1)
# Size of the epoch range of one round of claims, from which each daemon picks
# at random.
EPOCHS_PER_ROUND = 1 << 20
# Pauses between reads; an owner reads the jobs almost continuously.
STATUS_READ_PAUSE_S = 0.15
JOBS_READ_PAUSE_S = 0.015


class Candidate:
    """Task that claims a partition when its owner falls silent.

    :param parts: shared components of the daemon
    """

    name = 'owner'

    def __init__(self, parts):
        self._parts = parts
        self._is_stopping = False
        self._owner = None
        self._logged_obstacle = None
        for follower in parts.status_followers:
            follower.read_pause_s = STATUS_READ_PAUSE_S
        for follower in parts.jobs_followers:
            follower.read_pause_s = JOBS_READ_PAUSE_S

    @property
    def owner(self):
        """Return the owner running in this daemon, or None."""
        return self._owner

    async def run(self):
        """Claim the partition and run its owner in a loop until cancelled."""
        parts = self._parts
        while not self._is_stopping:
            delay_s = parts.rng.uniform(0.0, ownership.CLAIM_SPREAD_S)
            await self._wait_for_silence(delay_s)
            owner = await self._try_claim(delay_s)
            if owner is not None:
                await self._run_owner(owner)
        await asyncio.Event().wait()

    async def _wait_for_silence(self, delay_s):
        parts = self._parts
        while self._is_stopping or not (
            parts.status_follower.is_loaded
            and parts.configuration_reader.configuration is not None
            and self._find_obstacle(delay_s) is None
        ):
            await asyncio.sleep(CHECK_PERIOD_S)

    def _find_obstacle(self, delay_s):
        """Return what keeps this daemon from claiming, and log a change."""
        parts = self._parts
        view, now_s = parts.owner_view, parts.clock.monotonic_s()
        obstacle = view.claim_obstacle(
            now_s, delay_s, offerer.strength(parts.settings)
        )
        silence_s = now_s - view.last_record_s
        noticed = obstacle if silence_s > NOTICED_SILENCE_S else None
        if noticed is not self._logged_obstacle:
            self._logged_obstacle = noticed
            if noticed is not None:
                parts.events.write(
                    'claim_withheld',
                    why=noticed.value,
                    owner_silence_s=round(silence_s, 3),
                    owner_timeout_s=round(view.owner_timeout_s, 3),
                )
        return obstacle

    async def _try_claim(self, delay_s):
        """Claim the partition; return the owner to run, or None on failure.

        A claim conditional on the end of the partition has one winner, but
        may fail repeatedly while a slow owner keeps appending. The second
        attempt is therefore unconditional, and the highest epoch wins.
        """
        parts = self._parts
        follower = parts.status_follower
        follower.read_pause_s = 0.0
        owner = None
        for is_conditional in (True, False):
            await follower.wait_for_read(CATCH_UP_TIMEOUT_S)
            now_s = parts.clock.monotonic_s()
            strength = offerer.strength(parts.settings)
            view = parts.owner_view
            if not view.may_claim(now_s, delay_s, strength):
                break
            end = follower.next_offset if is_conditional else None
            try:
                owner = await self._claim(end)
                break
            except keyed_log.EndMoved as moved:
                # Another daemon may just have claimed.
                await follower.wait_for_offset(
                    moved.end - 1, READ_CLAIM_TIMEOUT_S
                )
        follower.read_pause_s = STATUS_READ_PAUSE_S
        if owner is None:
            await asyncio.sleep(parts.rng.uniform(*CLAIM_RETRY_PAUSE_S))
        return owner

    def _next_epoch(self):
        """Return an epoch above all known ones.

        Its random part keeps it distinct from the epochs of concurrent claims.
        """
        last = self._parts.board.ownership
        number = last.epoch // EPOCHS_PER_ROUND + 1 if last else 1
        return number * EPOCHS_PER_ROUND + self._parts.rng.randrange(
            EPOCHS_PER_ROUND
        )

    async def _claim(self, end):
        """Append a claim, and return the owner to run, or None.

        :param end: offset at which the partition must end; None for any
        :raises keyed_log.EndMoved: if it ends elsewhere
        """
        parts = self._parts
        epoch = self._next_epoch()
        claim = journal.Ownership(
            epoch,
            parts.settings.daemon,
            strength=offerer.strength(parts.settings),
            submission_partitions=len(parts.submission_partitions),
        )
        parts.status_reader.claimed_epochs.add(epoch)
        sent_s = parts.clock.boot_s()
        try:
            offset = await parts.log.append(
                parts.status_follower.partition,
                [journal.ownership_record(claim)],
                keyed_log.AppendFence(epoch, 0),
                end,
            )
        except errors.PlatformError as error:
            parts.events.write(
                'claim_failed', epoch=epoch, why=str(error)[:160]
            )
            if isinstance(error, keyed_log.EndMoved):
                raise
            return None
        if not await parts.status_follower.wait_for_offset(
            offset, READ_CLAIM_TIMEOUT_S
        ):
            return None
        # All statuses stored by previous owners have been read at this point.
        if parts.board.ownership != claim:
            return None
        intents = self._inherit_intents()
        parts.events.write('owner_claimed', epoch=epoch)
        term = ownership.OwnershipTerm(epoch, sent_s)
        return owner_module.Owner(parts, term, intents)

    def _inherit_intents(self):
        parts = self._parts
        view = parts.owner_view
        intents = host_intents.HostIntents(
            parts.settings.daemon, parts.settings.host_order_lease_ms / 1000
        )
        # The two clocks differ only by time spent suspended, which can only
        # lengthen the waits.
        clock_offset_s = parts.clock.boot_s() - parts.clock.monotonic_s()
        intents.inherit(
            parts.board.host_intents,
            view.intents_read_s + clock_offset_s,
            view.last_record_s + clock_offset_s,
        )
        return intents

    async def _run_owner(self, owner):
        parts = self._parts
        epoch = owner.epoch
        self._owner = owner
        try:
            await owner.run()
        except (owner_module.LostOwnership, keyed_log.Fenced) as error:
            why = owner.lost_reason or str(error)
            parts.events.write('owner_lost', epoch=epoch, why=why[:160])
        finally:
            self._owner = None

    async def stop(self):
        """Release the partition to another daemon."""
        self._is_stopping = True
        if self._owner is not None:
            await self._owner.release()
