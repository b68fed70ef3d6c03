"""Takes over what earlier owners have stored."""

import asyncio
import math

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership

CHECK_PERIOD_S = 0.01
RETRY_S = 0.2
LEASE_MARGIN_S = 0.5


class Takeover:
    """Fences earlier owners, and reads all that they may have stored.

    :param parts: shared components of the daemon
    :param owner: the new owner; its scheduler inherits the runs
    :param intents: determines which hosts may be given orders
    :param jobs_writer: a :class:`spread_writer.SpreadWriter` of the jobs
    """

    def __init__(self, parts, owner, intents, jobs_writer):
        self._parts = parts
        self._owner = owner
        self._intents = intents
        self._jobs_writer = jobs_writer
        # When all partitions of the jobs fenced earlier owners.
        self._fenced_s = math.inf
        self._reading = []

    async def fence_predecessors(self, cycle_journal):
        """Keep earlier owners from storing the progress of jobs.

        The partitions are read meanwhile. What an earlier owner has stored in
        one of them stands before the record that fences it there.
        """
        record = journal.ownership_record(self._owner.ownership())
        await cycle_journal.fence(record)
        self._fenced_s = self._parts.clock.boot_s()

    def begin_reading(self):
        """Read the spare partitions of the statuses to their ends.

        What was stored in the first one was read with the claim.
        """
        self._reading = [
            self._owner.tasks.spawn(self._read_to_end(follower))
            for follower in self._parts.status_followers[1:]
        ]

    async def _read_to_end(self, follower):
        end = await self._find_end(follower)
        while not follower.has_read(end):
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _find_end(self, follower):
        log, is_logged = self._parts.log, False
        while True:
            try:
                return await log.end(follower.partition, follower.next_offset)
            except errors.PlatformError as error:
                if not is_logged:
                    self._owner.events.write(
                        'takeover_waits',
                        partition=follower.partition.name,
                        why=str(error)[:160],
                    )
                is_logged = True
            await log.reachability.pause(RETRY_S)

    @property
    def has_read_all(self):
        """Whether all that earlier owners have stored was read."""
        parts = self._parts
        return (
            parts.entries_follower.is_loaded
            and parts.jobs_reader.is_read
            and self._jobs_writer.has_read_back
            and all(task.done() for task in self._reading)
        )

    def inherit(self):
        """Go on with the runs, waves and host orders of earlier owners.

        :returns: the replica of the jobs
        """
        parts, owner = self._parts, self._owner
        now_s = owner.now_s()
        owner.tracker.register(parts.entries_reader.entries.values())
        longest_s = parts.settings.longest_lease_ms / 1000 + LEASE_MARGIN_S
        owner.scheduler.inherit(
            now_s, ownership.inherited_lease_expiry_s(now_s, longest_s)
        )
        replica = parts.jobs_reader.replica
        replica.is_owned = True
        replica.find_strays()
        self._intents.inherit(
            replica.host_intents, self._fenced_s, self._fenced_s
        )
        owner.hosts.inherit_waves(replica.wave_records)
        return replica
