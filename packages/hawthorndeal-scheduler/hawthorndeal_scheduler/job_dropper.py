"""Drops finished jobs from the partitions that hold the jobs."""

import itertools

from hawthorndeal_jobs import finished_jobs
from hawthorndeal_jobs import journal

from . import submission_cleaner


class JobDropper:
    """Drops the jobs whose final state is stored and that have no runs.

    :param parts: shared components of the daemon
    :ivar finished: the finished jobs that are not dropped yet
    :ivar cleaner: deletes the submissions of dropped jobs
    """

    def __init__(self, parts):
        self.finished = finished_jobs.FinishedJobs(parts.board)
        self.cleaner = submission_cleaner.SubmissionCleaner(
            parts.log, parts.submission_partitions, parts.events
        )
        self._jobs_reader = parts.jobs_reader
        self._jobs_partition = parts.jobs_follower.partition
        self._stray_cancellations = []

    @property
    def kept(self):
        """Containers of the ids of jobs of which records are stored."""
        return self.finished, self.cleaner

    def drop_cancellation(self, job_id):
        """Drop a cancellation of a job that has ended."""
        self._stray_cancellations.append(job_id)
        sources = self._jobs_reader.replica.sources
        self.cleaner.add(job_id, sources.pop(job_id, ()))

    def drop_finished(self, has_runs, on_dropped):
        """Drop what can be dropped; return the records that delete it.

        :param has_runs: tells whether a run of a job may be executing
        :param on_dropped: called with the id of each dropped job
        """
        dropped = self.finished.pop_droppable(has_runs)
        strays, self._stray_cancellations = self._stray_cancellations, []
        records = list(
            itertools.chain.from_iterable(map(self._drop_job, dropped))
        )
        for job in dropped:
            on_dropped(job.job_id)
        return [*records, *map(journal.cancel_deletion_record, strays)]

    def _drop_job(self, job):
        """Return the records that drop a job from the partition of the jobs.

        Its submission is deleted after its progress: a successor that finds
        it without progress knows from its status that it has ended.
        """
        replica = self._jobs_reader.replica
        sources = replica.sources[job.job_id]
        records = journal.progress_deletion_records(job)
        if self._jobs_partition.name in sources:
            records += journal.submission_deletion_records(job.job_id)
        self.cleaner.add(job.job_id, sources)
        replica.drop(job)
        return records
