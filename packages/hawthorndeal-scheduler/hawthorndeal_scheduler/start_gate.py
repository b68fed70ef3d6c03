"""Decides what an owner may start at present, and logs what it waits for."""

import asyncio
import contextlib

# Time for a start to reach its executor, after it was decided.
START_MARGIN_S = 0.5
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
    the others.

    :param parts: shared components of the daemon
    :param term: ownership term of the owner
    :param scheduler: holds the jobs that may start nothing
    :param lose_ownership: called with the reason to end the term
    """

    def __init__(self, parts, term, scheduler, lose_ownership):
        self._parts = parts
        self._term = term
        self._scheduler = scheduler
        self._lose_ownership = lose_ownership
        # Why no task may start at present; empty while tasks may.
        self._halted_why = ''
        self._held_homes = ()
        self._homes = parts.home_names

    def may_start(self, now_s):
        """Return whether any tasks may start, and hold those that may not."""
        parts = self._parts
        self._give_up_if_blind(now_s)
        held = self._unread_homes(now_s)
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

    def _unread_homes(self, now_s):
        """Return the partitions that were last read too long ago."""
        notice_s = self._parts.settings.cancel_notice_ms / 1000
        since_s = now_s - notice_s + START_MARGIN_S
        unread = set(self._parts.jobs_reader.unread_sources(since_s))
        return [home for home in self._homes if home in unread]

    def _hold(self, homes):
        if homes == self._held_homes:
            return
        self._held_homes = homes
        self._scheduler.hold_jobs(homes)
        self._parts.events.write(
            'jobs_held', epoch=self._term.epoch, partitions=homes
        )

    def _note(self, why, partitions):
        if why == self._halted_why:
            return
        self._halted_why = why
        fields = {'why': why, 'partitions': partitions} if why else {}
        self._parts.events.write(
            'starts_halted' if why else 'starts_resumed',
            epoch=self._term.epoch,
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
        confirmed_s = self._parts.clock.boot_s() - self._term.confirmed_s
        if age_s > GIVE_UP_JOBS_AGE_S > confirmed_s:
            self._lose_ownership('the jobs could not be read')

    def _knows_executors(self):
        """Return whether the entries have been read recently enough."""
        parts = self._parts
        read_s = parts.entries_follower.confirmed_boot_s
        age_s = parts.clock.boot_s() - read_s
        return age_s <= parts.settings.max_entry_age_ms / 1000
