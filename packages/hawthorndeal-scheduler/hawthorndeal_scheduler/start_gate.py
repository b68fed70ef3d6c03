"""Decides whether an owner may start tasks, and logs what it waits for."""

import asyncio
import contextlib

# No task is started if the jobs were last read to their end longer ago: some
# may have been cancelled.
MAX_JOBS_AGE_S = 1.5
# No task is started if the executors' entries were last read to their end
# longer ago: some may have shrunk, or be leaving.
MAX_ENTRIES_AGE_S = 3.0
# An owner that can store its records, but can't read the jobs for this long,
# gives up the ownership.
GIVE_UP_JOBS_AGE_S = 4.0
# An append that takes longer holds up the starts of its cycle.
SLOW_APPEND_S = 0.5


class StartGate:
    """Decides whether tasks may start at present.

    :param parts: shared components of the daemon
    :param term: ownership term of the owner
    :param lose_ownership: called with the reason to end the term
    """

    def __init__(self, parts, term, lose_ownership):
        self._parts = parts
        self._term = term
        self._lose_ownership = lose_ownership
        # Why no task may start at present; empty while tasks may.
        self._halted_why = ''

    def may_start(self, now_s):
        """Return whether tasks may start; log when that changes."""
        parts = self._parts
        if not self._knows_cancellations(now_s):
            unread = parts.jobs_reader.unread_sources(now_s - MAX_JOBS_AGE_S)
            self._note('the jobs were not read', unread)
            return False
        if not self._knows_executors():
            entries = parts.entries_follower.partition.name
            self._note('the executors were not read', [entries])
            return False
        self._note('', [])
        return True

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

    def _knows_cancellations(self, now_s):
        """Return whether the jobs have been read recently enough to start."""
        age_s = now_s - self._parts.jobs_reader.last_read_s
        confirmed_s = self._parts.clock.boot_s() - self._term.confirmed_s
        if age_s > GIVE_UP_JOBS_AGE_S > confirmed_s:
            self._lose_ownership('the jobs could not be read')
        return age_s <= MAX_JOBS_AGE_S

    def _knows_executors(self):
        """Return whether the entries have been read recently enough."""
        follower = self._parts.entries_follower
        age_s = self._parts.clock.boot_s() - follower.confirmed_boot_s
        return age_s <= MAX_ENTRIES_AGE_S
