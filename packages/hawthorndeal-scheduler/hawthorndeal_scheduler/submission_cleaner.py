"""Deletes what callers have stored of jobs that have ended.

The deletions are facts that stay true, so they need no fence. They are stored
some time after the end of a job, many at once, since a partition processes one
append at a time and a slow store should process submissions first.
"""

import asyncio
import collections

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal

PERIOD_S = 2.0
MAX_BATCH_JOBS = 200


class SubmissionCleaner:
    """Task of an owner that deletes the submissions of dropped jobs.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partitions: the partitions of the submissions
    :param events: the decision log
    """

    def __init__(self, log, partitions, events):
        self._log = log
        self._events = events
        self._partitions = {p.name: p for p in partitions}
        # Ids of the jobs to delete from each partition.
        self._pending = collections.defaultdict(dict)

    def __contains__(self, job_id):
        return any(job_id in pending for pending in self._pending.values())

    def add(self, job_id, sources):
        """Delete a job.

        :param sources: names of the partitions that hold records of it
        """
        for name in self._partitions.keys() & sources:
            self._pending[name][job_id] = None

    async def run(self):
        """Delete until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            names = [name for name, ids in self._pending.items() if ids]
            await asyncio.gather(*map(self._clean, names))

    async def _clean(self, name):
        pending = self._pending[name]
        job_ids = list(pending)[:MAX_BATCH_JOBS]
        records = [
            record
            for job_id in job_ids
            for record in journal.submission_deletion_records(job_id)
        ]
        try:
            await self._log.append(self._partitions[name], records)
        except errors.PlatformError as error:
            # The next period tries again.
            self._events.write(
                'submissions_not_deleted',
                partition=name,
                jobs=len(job_ids),
                why=str(error)[:160],
            )
            return
        for job_id in job_ids:
            del pending[job_id]
