"""Replica of a partition: its jobs, owner, waves and host intents."""

import attrs

from hawthorndeal_fleet import errors

from . import host_intents
from . import jobs
from . import journal


@attrs.frozen
class AppliedRecord:
    """The result of applying a record.

    :ivar job: the job that the record refers to, if any
    """

    kind: str
    job: jobs.Job | None = None


class Replica:
    """Applies the records of one partition.

    Records are applied idempotently: one that is read again after a newer one
    of its key is ignored. While this daemon owns the partition, progress and
    wave records are not applied, since the owner's state is newer.
    """

    def __init__(self):
        self.jobs = {}
        self.wave_records = {}
        self.ownership = None
        self.offer = None
        self.host_intents = []
        self.own_epoch = None
        self._offsets = {}
        self._deferred = {}

    def apply(self, key, value, offset):
        """Apply one record.

        :raises errors.InvalidRecord: if it cannot be decoded; the replica is
            unchanged
        """
        if offset <= self._offsets.get(key, -1):
            return None
        kind, _, rest = key.partition('/')
        handler = self._HANDLERS.get(kind)
        if handler is None:
            raise errors.InvalidRecord(f'unknown record key {key!r:.80}')
        applied = handler(self, rest, value)
        self._offsets[key] = offset
        return applied

    def _apply_job(self, job_id, value):
        if not value:
            job = self.jobs.pop(job_id, None)
            self._drop_deferred(job_id)
            return AppliedRecord(journal.JOB, job)
        if job_id in self.jobs:
            return AppliedRecord(journal.JOB, self.jobs[job_id])
        accepted = journal.decode(value, journal.Submission)
        job = jobs.Job(
            job_id, accepted.queue, accepted.pool, accepted.accepted_s,
            accepted.spec,
        )  # fmt: skip
        self.jobs[job_id] = job
        # The initial load returns records in key order, so that others of a
        # job may precede its submission.
        for deferred_handler, arguments in self._deferred.pop(job_id, ()):
            deferred_handler(self, *arguments)
        return AppliedRecord(journal.JOB, job)

    def _apply_cancel(self, job_id, value):
        job = self.jobs.get(job_id)
        if not value:
            return AppliedRecord(journal.CANCEL)
        if job is None:
            self._defer(job_id, Replica._apply_cancel, (job_id, value))
            return AppliedRecord(journal.CANCEL)
        self.cancel(job)
        return AppliedRecord(journal.CANCEL, job)

    def _apply_progress(self, rest, value):
        job_id, _, number = rest.rpartition('/')
        job = self.jobs.get(job_id)
        if not value or self.own_epoch is not None:
            return AppliedRecord(journal.PROGRESS, job)
        if job is None:
            self._defer(job_id, Replica._apply_progress, (rest, value))
            return AppliedRecord(journal.PROGRESS)
        if not number.isdecimal() or int(number) >= job.spec.occurrences:
            raise errors.InvalidRecord(f'invalid occurrence {rest!r:.80}')
        journal.restore_progress(value, job.occurrence(int(number)))
        self.update_reported_state(job)
        return AppliedRecord(journal.PROGRESS, job)

    def _apply_owner(self, _, value):
        ownership = journal.decode(value, journal.Ownership)
        if self.ownership and ownership.epoch < self.ownership.epoch:
            raise errors.InvalidRecord(
                f'epoch {ownership.epoch} is lower than the current epoch'
            )
        self.ownership = ownership
        return AppliedRecord(journal.OWNER)

    def _apply_offer(self, _, value):
        self.offer = journal.decode(value, journal.Offer)
        return AppliedRecord(journal.OFFER)

    def _apply_wave(self, number, value):
        if not number.isdecimal():
            raise errors.InvalidRecord(f'invalid wave number {number!r:.80}')
        progress = journal.decode(value, journal.WaveRecord)
        if self.own_epoch is None:
            self.wave_records[int(number)] = progress
        return AppliedRecord(journal.WAVE)

    def _apply_hosts(self, _, value):
        intents = journal.decode(value, list[host_intents.HostIntent])
        self.host_intents = intents
        return AppliedRecord(journal.HOSTS)

    def cancel(self, job):
        """Apply a stored cancellation of a job."""
        job.is_cancelled = True
        if self.own_epoch is None:
            self.update_reported_state(job)
        elif not job.reported_state.is_final:
            job.reported_state = jobs.JobState.CANCELLED

    def update_reported_state(self, job):
        """Report the state of a job as stored."""
        job.reported_state = job.state()
        job.is_start_reported = job.has_started

    def waiting(self, queue):
        """Return how many accepted jobs of a queue have not started."""
        return sum(
            job.queue == queue
            and not job.is_start_reported
            and not job.reported_state.is_final
            for job in self.jobs.values()
        )

    def _defer(self, job_id, handler, arguments):
        self._deferred.setdefault(job_id, []).append((handler, arguments))

    def _drop_deferred(self, job_id):
        self._deferred.pop(job_id, None)

    _HANDLERS = {
        journal.JOB: _apply_job,
        journal.CANCEL: _apply_cancel,
        journal.PROGRESS: _apply_progress,
        journal.OWNER: _apply_owner,
        journal.OFFER: _apply_offer,
        journal.WAVE: _apply_wave,
        journal.HOSTS: _apply_hosts,
    }
