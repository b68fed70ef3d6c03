"""Deletes what is stored of jobs that have ended.

The deletions are facts that stay true, so they need no fence. They are stored
some time after the end of a job, many at once, since a partition processes one
append at a time and a slow store should process submissions first.
"""

import asyncio
import collections
import itertools

from hawthorndeal_fleet import errors

PERIOD_S = 2.0
# A batch crosses a link of 5 Mbit/s in a fraction of the append's timeout.
MAX_BATCH_RECORDS = 1000
# Appends to one partition in a period.
MAX_BATCHES = 5


class RecordCleaner:
    """Task of an owner that deletes the records of dropped jobs.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partitions: the partitions that it deletes records from
    :param events: the decision log
    """

    def __init__(self, log, partitions, events):
        self._log = log
        self._events = events
        self._partitions = {p.name: p for p in partitions}
        # Deletions by job, for each partition.
        self._pending = collections.defaultdict(
            lambda: collections.defaultdict(dict)
        )

    def __contains__(self, job_id):
        return any(job_id in pending for pending in self._pending.values())

    def add(self, job_id, source, records):
        """Delete records of a job.

        :param source: name of the partition that holds them
        :param records: the records that delete them
        """
        if source in self._partitions:
            pending = self._pending[source][job_id]
            pending.update((record.key, record) for record in records)

    async def run(self):
        """Delete until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            names = [name for name, jobs in self._pending.items() if jobs]
            await asyncio.gather(*map(self._clean, names))

    async def _clean(self, name):
        """Delete records of one partition, some of which may be refused."""
        pending = self._pending[name]
        for _ in range(MAX_BATCHES):
            deletions = (
                (job_id, record)
                for job_id, records in pending.items()
                for record in records.values()
            )
            batch = list(itertools.islice(deletions, MAX_BATCH_RECORDS))
            if not batch or not await self._delete(name, batch):
                return

    async def _delete(self, name, batch):
        """Delete the records of a batch; return whether they were deleted."""
        pending = self._pending[name]
        records = [record for _, record in batch]
        try:
            await self._log.append(self._partitions[name], records)
        except errors.PlatformError as error:
            self._events.write(
                'submissions_not_deleted',
                partition=name,
                records=len(records),
                why=str(error)[:160],
            )
            await self._put_off(name, batch, error)
            return False
        for job_id, record in batch:
            # More records of the job may have been added meanwhile.
            pending[job_id].pop(record.key, None)
            if not pending[job_id]:
                del pending[job_id]
        return True

    async def _put_off(self, name, batch, error):
        """Let the deletions of other jobs go before those that failed.

        What the store refuses together is tried once more by job, so that the
        others are deleted.
        """
        by_job = collections.defaultdict(list)
        for job_id, record in batch:
            by_job[job_id].append((job_id, record))
        pending = self._pending[name]
        for job_id in by_job:
            pending[job_id] = pending.pop(job_id)
        if isinstance(error, errors.PlatformRefused) and len(by_job) > 1:
            for deletions in by_job.values():
                await self._delete(name, deletions)
