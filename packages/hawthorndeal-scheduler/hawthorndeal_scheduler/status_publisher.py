"""Stores what callers are told, in the partition that all daemons follow."""

import asyncio
import math

from hawthorndeal_jobs import admission
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_platform import keyed_log

# Statuses that change within this time share an append.
BATCH_DELAY_S = 0.03
# Every daemon reads each report of the load.
MIN_LOAD_PERIOD_S = 0.5


class StatusPublisher:
    """Task that appends the owner's records to the statuses.

    It also renews the ownership, and tells up to which offset the statuses
    cover the partition of the jobs.

    :param parts: shared components of the daemon
    :param owner: its term is ended if the store fences it
    :param writer: a :class:`spread_writer.SpreadWriter`
    """

    def __init__(self, parts, owner, writer):
        self._parts = parts
        self._owner = owner
        self._writer = writer
        self._statuses = {}
        self._last_published = {}
        self._expiring = set()
        self._records = []
        self._waiting_futures = []
        self._wake = asyncio.Event()
        self._renewal_due_s = 0.0
        self._load = admission.LoadReport()
        self._load_published_s = -math.inf

    # What to publish

    def publish(self, job, state):
        """Publish the state of a job unless it was published last."""
        last = self._last_published.get(job.job_id)
        if last is None:
            last = self._parts.board.stored.get(job.job_id)
        if last is not None and (last.state is state or last.state.is_final):
            return
        digest = last.digest if last else journal.spec_digest(job.spec)
        status = journal.JobStatus(
            job.queue, digest, state, job.workspace, job.failure_reason()
        )
        self._last_published[job.job_id] = status
        self._statuses[job.job_id] = status
        self._wake.set()

    def publish_load(self, report):
        """Publish the load if it has changed, or before it is too old."""
        now_s = self._owner.now_s()
        age_s = now_s - self._load_published_s
        if report == self._load:
            is_due = report.pools and age_s >= admission.MAX_REPORT_AGE_S / 2
        else:
            is_due = age_s >= MIN_LOAD_PERIOD_S
        if not is_due:
            return
        self._load = report
        self._load_published_s = now_s
        self._records.append(journal.load_record(report))
        self._wake.set()

    def forget(self, job_id):
        """Forget a job whose final status was read back from the store."""
        self._last_published.pop(job_id, None)

    def expire(self, now_s, retention_s, kept):
        """Delete the statuses of jobs that ended long ago.

        :param kept: containers of the ids of jobs of which records are stored
            elsewhere; one that has a record but no status would run again
        :returns: the ids of the jobs
        """
        if not self._writer.is_at_first:
            # A deletion in another partition would have no effect.
            return []
        since_s = self._parts.status_reader.final_since_s
        self._expiring &= set(since_s)
        expired = [
            job_id
            for job_id, final_s in since_s.items()
            if now_s - final_s > retention_s
            and job_id not in self._expiring
            and not any(job_id in container for container in kept)
        ]
        self._expiring.update(expired)
        self._records += map(journal.status_deletion_record, expired)
        return expired

    async def store(self, records):
        """Store records together with the statuses to publish.

        :returns: those of an append that the store will never take
        :raises keyed_log.Fenced: if a newer owner has taken over
        """
        if not records:
            return []
        if self._owner.term.is_lost:
            raise keyed_log.Fenced('the ownership was lost')
        stored = asyncio.get_running_loop().create_future()
        self._records += records
        self._waiting_futures.append(stored)
        self._wake.set()
        return await stored

    # Task

    async def run(self):
        """Publish until the ownership term ends."""
        try:
            while not self._owner.term.is_lost:
                is_renewal_due = await self._wait_for_wake()
                await self._append_batch(is_renewal_due)
        except keyed_log.Fenced as error:
            self._owner.lose_ownership(f'fenced by the store: {error}')
        finally:
            for stored in self._waiting_futures:
                _fail(stored)

    async def _wait_for_wake(self):
        """Wait for something to publish; return if a renewal is due."""
        left_s = self._renewal_due_s - self._owner.now_s()
        try:
            await asyncio.wait_for(self._wake.wait(), max(0.0, left_s))
        except asyncio.TimeoutError:
            return True
        if not self._waiting_futures:
            await asyncio.sleep(BATCH_DELAY_S)
        # A renewal that is due soon needs no append of its own.
        left_s = self._renewal_due_s - self._owner.now_s()
        return left_s < ownership.RENEW_PERIOD_S / 2

    async def _append_batch(self, is_renewal_due):
        self._wake.clear()
        statuses, self._statuses = self._statuses, {}
        others, self._records = self._records, []
        futures, self._waiting_futures = self._waiting_futures, []
        records = [
            journal.status_record(job_id, status)
            for job_id, status in statuses.items()
        ]
        # The offset in a renewal covers the statuses before it. A release is
        # among the other records, and nothing may follow it.
        if is_renewal_due:
            now_s = self._owner.now_s()
            self._renewal_due_s = now_s + ownership.RENEW_PERIOD_S
            records.append(journal.ownership_record(self._owner.ownership()))
        records += others
        try:
            refused = await self._writer.append(records)
        except keyed_log.Fenced:
            for stored in futures:
                _fail(stored)
            raise
        for stored in futures:
            if not stored.done():
                stored.set_result(refused)


def _fail(stored):
    if not stored.done():
        stored.set_exception(keyed_log.Fenced('the ownership was lost'))
        # The waiter may have been cancelled.
        stored.exception()
