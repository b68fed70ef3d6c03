"""The writers of an owner's records."""

from . import journal_writer
from . import refused_records
from . import spread_writer


class OwnerWriters:
    """Makes the writers of one ownership term.

    Claims are stored in the first partition of the statuses, so appends to it
    confirm that no other daemon has claimed. With spare partitions, so do
    appends to those of the jobs: a successor fences all of them before it
    orders hosts, and finds the intents there.

    :param parts: shared components of the daemon
    :param term: ownership term; marked lost if the store fences it
    :param spawn: runs a coroutine until the term ends
    :ivar is_spread: whether there are spare partitions
    :ivar statuses: writer of the statuses
    :ivar jobs: writer of the progress of jobs
    """

    def __init__(self, parts, term, spawn):
        self._parts = parts
        self._term = term
        self._spawn = spawn
        self._refused = refused_records.RefusedRecords(
            parts.events, parts.metrics
        )
        self.is_spread = parts.settings.spare_partitions > 0
        statuses, jobs = parts.status_followers, parts.jobs_followers
        self.statuses = self._make(statuses, statuses[:1])
        if self.is_spread:
            self.jobs = self._make(jobs, jobs)
        else:
            self.jobs = self._make(jobs[:1], ())

    def _make(self, followers, confirming):
        """Return a writer to the first of some partitions that answers.

        :param confirming: followers of those whose appends confirm the term
        """
        parts = self._parts
        choices = [
            spread_writer.Choice(
                journal_writer.JournalWriter(
                    parts.log,
                    follower.partition,
                    self._term,
                    parts.clock,
                    parts.rng,
                    self._refused,
                    parts.settings.max_record_bytes,
                    follower in confirming,
                ),
                follower,
            )
            for follower in followers
        ]
        return spread_writer.SpreadWriter(
            choices, parts.log, self._spawn, parts.events
        )
