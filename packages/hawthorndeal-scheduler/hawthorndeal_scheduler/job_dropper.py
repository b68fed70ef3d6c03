"""Drops finished jobs from the partitions that hold the jobs."""

import itertools

from hawthorndeal_jobs import finished_jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import replica as replica_module

from . import record_cleaner


class JobDropper:
    """Drops the jobs whose final state is stored and that have no runs.

    :param parts: shared components of the daemon
    :ivar finished: the finished jobs that are not dropped yet
    :ivar cleaner: deletes the records of dropped jobs, but for those that
        share an append with the owner's progress
    """

    def __init__(self, parts):
        self.finished = finished_jobs.FinishedJobs(parts.board)
        self._partitions = [f.partition for f in parts.jobs_followers]
        self._is_spread = parts.settings.spare_partitions > 0
        self.cleaner = record_cleaner.RecordCleaner(
            parts.log,
            [
                *self._partitions[0 if self._is_spread else 1 :],
                *parts.status_partitions[1:],
            ],
            parts.events,
        )
        self._board = parts.board
        self._status_partition = parts.status_follower.partition
        self._jobs_reader = parts.jobs_reader
        self._jobs_partition = parts.jobs_follower.partition
        self._stray_cancellations = []

    @property
    def kept(self):
        """Containers of the ids of jobs of which records are stored."""
        return self.finished, self.cleaner

    def drop_spare_statuses(self, job_id):
        """Delete the status of a job where the usual partition is not."""
        for source in self._board.sources_of(job_id):
            if source != self._status_partition.name:
                self.cleaner.add(
                    job_id, source, [journal.status_deletion_record(job_id)]
                )

    def drop_cancellation(self, job_id):
        """Drop a cancellation of a job that has ended."""
        self._stray_cancellations.append(job_id)
        sources = self._jobs_reader.replica.sources
        self._clean_submission(job_id, sources.pop(job_id, ()))

    def _clean_submission(self, job_id, sources):
        for source in sources:
            self.cleaner.add(
                job_id, source, journal.submission_deletion_records(job_id)
            )

    def drop_finished(self, has_runs, on_dropped):
        """Drop what can be dropped; return the records that delete it.

        :param has_runs: tells whether a run of a job may be executing
        :param on_dropped: called with the id of each dropped job
        """
        dropped = self.finished.pop_droppable(has_runs)
        self._clean_strays()
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
        records = []
        if self._is_spread:
            self._clean_progress(job)
        else:
            records += journal.progress_deletion_records(job)
            if self._jobs_partition.name in sources:
                records += journal.submission_deletion_records(job.job_id)
        self._clean_submission(job.job_id, sources)
        replica.drop(job)
        return records

    def _clean_progress(self, job):
        """Delete the progress of a job from the partitions that hold it."""
        replica = self._jobs_reader.replica
        for key in journal.progress_keys(job):
            for partition in self._partitions:
                if replica.holds(partition.name, key):
                    self._clean_key(partition.name, key)

    def _clean_key(self, source, key):
        job_id = replica_module.job_of(key)
        self.cleaner.add(job_id, source, [journal.Record(key)])

    def _clean_strays(self):
        """Delete progress that was read after its job was dropped."""
        strays = self._jobs_reader.replica.strays
        if self._is_spread:
            for source, key in sorted(strays):
                self._clean_key(source, key)
            strays.clear()
