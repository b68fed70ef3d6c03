"""Decides what an owner may start at present, and logs what it waits for."""

import asyncio
import contextlib

from hawthorndeal_jobs import journal

# Time for a start to reach its executor, after it was decided.
START_MARGIN_S = 0.5
# A partition that was last read longer ago is asked whether it takes appends.
PROBE_AGE_S = 1.0
# An owner that can store its records, but can read none of the partitions of
# the jobs for this long, gives up the ownership.
GIVE_UP_JOBS_AGE_S = 4.0
# An append that takes longer holds up the starts of its cycle.
SLOW_APPEND_S = 0.5


class StartGate:
    """Decides what may start at present.

    A job starts nothing while the partition that holds its cancellation is
    unread, and no job does while the executors' entries are: some may have
    shrunk, or be leaving. A partition that doesn't answer holds up no jobs of
    the others, nor its own once it is known to take no appends either: then it
    takes no cancellations, which go to other partitions.

    :param parts: shared components of the daemon
    :param owner: the owner; its scheduler holds the jobs that may start
        nothing
    :param writer: a :class:`spread_writer.SpreadWriter` of the jobs
    :ivar halted_why: why no task may start at present; empty while tasks may
    """

    def __init__(self, parts, owner, writer):
        self._parts = parts
        self._owner = owner
        self._writer = writer
        self.halted_why = ''
        self._held_homes = ()
        self._homes = parts.homes

    def may_start(self, now_s):
        """Return whether any tasks may start, and hold those that may not."""
        parts = self._parts
        self._give_up_if_blind(now_s)
        held = [
            home.name for home in self._homes if self._is_held(home, now_s)
        ]
        self._hold(held)
        if len(held) == len(self._homes):
            self._note('the jobs were not read', held)
            return False
        if not self._knows_executors():
            entries = parts.entries_follower.partition.name
            self._note('the executors were not read', [entries])
            return False
        self._note('', [])
        return True

    def holds(self, run):
        """Return whether the job of a run is held."""
        return run.occurrence.job.home in self._held_homes

    def _is_held(self, home, now_s):
        """Return whether jobs of a partition may have been cancelled."""
        reader = self._parts.jobs_reader
        read_s = reader.read_s([home.name])
        if now_s - read_s > PROBE_AGE_S:
            record = journal.ownership_record(self._owner.ownership())
            self._writer.probe(home, [record])
        notice_s = self._parts.settings.cancel_notice_ms / 1000
        if now_s - read_s <= notice_s - START_MARGIN_S:
            return False
        # If nothing was answered meanwhile, the store may have been away for
        # this daemon only.
        is_away = self._writer.is_overdue(home)
        return not is_away or reader.answering_since_s > read_s

    def _hold(self, homes):
        if homes == self._held_homes:
            return
        self._held_homes = homes
        self._owner.scheduler.hold_jobs(homes)
        self._parts.events.write(
            'jobs_held', epoch=self._owner.epoch, partitions=homes
        )

    def _note(self, why, partitions):
        if why == self.halted_why:
            return
        self.halted_why = why
        fields = {'why': why, 'partitions': partitions} if why else {}
        self._parts.events.write(
            'starts_halted' if why else 'starts_resumed',
            epoch=self._owner.epoch,
            **fields,
        )

    @contextlib.contextmanager
    def watch_append(self, partition):
        """Log that starts are halted while an append to a partition lasts."""
        timer = asyncio.get_running_loop().call_later(
            SLOW_APPEND_S,
            self._note,
            'a cycle is not stored',
            [partition.name],
        )
        try:
            yield
        finally:
            timer.cancel()

    def _give_up_if_blind(self, now_s):
        """End the term if others may be able to read what this owner can't.

        If some partitions can be read, those that can't answer nobody.
        """
        age_s = now_s - self._parts.jobs_reader.last_read_s
        term = self._owner.term
        confirmed_s = self._parts.clock.boot_s() - term.confirmed_s
        if age_s > GIVE_UP_JOBS_AGE_S > confirmed_s:
            self._owner.lose_ownership('the jobs could not be read')

    def _knows_executors(self):
        """Return whether the entries have been read recently enough."""
        parts = self._parts
        read_s = parts.entries_follower.confirmed_boot_s
        age_s = parts.clock.boot_s() - read_s
        return age_s <= parts.settings.max_entry_age_ms / 1000
