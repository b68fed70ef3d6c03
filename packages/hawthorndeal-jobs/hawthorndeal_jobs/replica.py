"""Keeps the jobs that the log holds in the memory of the owner."""

import collections

import attrs

from hawthorndeal_fleet import errors

from . import host_intents
from . import jobs
from . import journal
from . import keyed_records


@attrs.frozen
class AppliedRecord:
    """The result of applying a record.

    :ivar job_id: the job that the record refers to, if any
    :ivar job: that job, if it is known
    """

    kind: str
    job_id: str = ''
    job: jobs.Job | None = None


class Replica(keyed_records.KeyedRecords):
    """Applies the records of the partition of the jobs.

    :ivar jobs: the jobs that have not been dropped, by id
    :ivar sources: names of the partitions that hold records of callers, by
        job
    :ivar wave_records: progress of maintenance waves, by number
    :ivar host_intents: the newest intents of an owner
    :ivar strays: keys of progress, with their sources, of jobs that are not
        known any more
    :ivar is_owned: whether this daemon owns the partition; progress records
        are not applied then, since the owner's state is newer
    """

    def __init__(self):
        super().__init__()
        self.jobs = {}
        self.sources = collections.defaultdict(set)
        self.wave_records = {}
        self.host_intents = []
        self.strays = set()
        self.is_owned = False
        self._deferred = {}
        self._stamps = {}

    def apply(self, key, value, offset, source=''):
        """Apply one record; see :class:`keyed_records.KeyedRecords`."""
        effect = super().apply(key, value, offset, source)
        kind, _, job_id = key.partition('/')
        if value and kind in (journal.JOB, journal.CANCEL):
            self.sources[job_id].add(source)
        if kind == journal.PROGRESS and self.is_owned:
            self._note_stray(source, key, bool(value))
        return effect

    def _note_stray(self, source, key, exists):
        if exists and job_of(key) not in self.jobs:
            self.strays.add((source, key))
        else:
            self.strays.discard((source, key))

    def find_strays(self):
        """Find the progress of jobs whose submissions are deleted.

        Called once all partitions are loaded.
        """
        self.strays.update(
            (source, key)
            for source in list(self._offsets)
            for key in self.keys(source)
            if key.startswith(f'{journal.PROGRESS}/')
            and job_of(key) not in self.jobs
        )

    def _apply_job(self, job_id, value):
        if not value:
            job = self.jobs.pop(job_id, None)
            self._deferred.pop(job_id, None)
            return AppliedRecord(journal.JOB, job_id, job)
        if job_id in self.jobs:
            return None
        accepted = journal.decode(value, journal.Submission)
        job = jobs.Job(
            job_id, accepted.queue, accepted.pool, accepted.accepted_s,
            accepted.spec, accepted.workspace, accepted.terms,
        )  # fmt: skip
        self.jobs[job_id] = job
        # The initial load returns records in key order, so that others of a
        # job may precede its submission.
        for deferred_handler, arguments in self._deferred.pop(job_id, ()):
            deferred_handler(self, *arguments)
        return AppliedRecord(journal.JOB, job_id, job)

    def _apply_cancel(self, job_id, value):
        job = self.jobs.get(job_id)
        if not value:
            self._deferred.pop(job_id, None)
            return None
        if job is None:
            self._defer(job_id, Replica._apply_cancel, (job_id, value))
            return AppliedRecord(journal.CANCEL, job_id)
        job.is_cancelled = True
        return AppliedRecord(journal.CANCEL, job_id, job)

    def _apply_progress(self, rest, value):
        job_id, *numbers = rest.split('/')
        job = self.jobs.get(job_id)
        if not value or self.is_owned:
            return AppliedRecord(journal.PROGRESS, job_id, job)
        if job is None:
            self._defer(job_id, Replica._apply_progress, (rest, value))
            return AppliedRecord(journal.PROGRESS, job_id)
        if not 1 <= len(numbers) <= 2 or not all(map(_is_number, numbers)):
            raise errors.InvalidRecord(f'invalid occurrence {rest!r:.80}')
        number, *first = map(int, numbers)
        if number >= job.spec.occurrences:
            raise errors.InvalidRecord(f'invalid occurrence {rest!r:.80}')
        journal.restore_progress(value, job.occurrence(number), *first)
        return AppliedRecord(journal.PROGRESS, job_id, job)

    def _apply_owner(self, _, value):
        return AppliedRecord(journal.OWNER)

    def _apply_wave(self, number, value):
        if value and not self.is_owned:
            if not number.isdecimal():
                raise errors.InvalidRecord(f'invalid wave {number!r:.80}')
            stamp, wave = journal.decode_stamped(value, journal.WaveRecord)
            if self._is_newer(journal.WAVE + number, stamp):
                self.wave_records[int(number)] = wave
        return AppliedRecord(journal.WAVE)

    def _apply_hosts(self, _, value):
        if value and not self.is_owned:
            stamp, intents = journal.decode_stamped(
                value, list[host_intents.HostIntent]
            )
            if self._is_newer(journal.HOSTS, stamp):
                self.host_intents = intents
        return AppliedRecord(journal.HOSTS)

    def _is_newer(self, name, stamp):
        if stamp < self._stamps.get(name, journal.NO_STAMP):
            return False
        self._stamps[name] = stamp
        return True

    def drop(self, job):
        """Forget a job whose records have been deleted."""
        if self.jobs.get(job.job_id) is job:
            del self.jobs[job.job_id]
        self.sources.pop(job.job_id, None)

    @property
    def unknown_job_ids(self):
        """Ids of jobs of which there are records, but no submission."""
        return list(self._deferred)

    def _defer(self, job_id, handler, arguments):
        self._deferred.setdefault(job_id, []).append((handler, arguments))

    _HANDLERS = {
        journal.JOB: _apply_job,
        journal.CANCEL: _apply_cancel,
        journal.PROGRESS: _apply_progress,
        journal.OWNER: _apply_owner,
        journal.WAVE: _apply_wave,
        journal.HOSTS: _apply_hosts,
    }


def _is_number(text):
    return text.isascii() and text.isdecimal()


def job_of(progress_key):
    """Return the id of the job that a key of progress belongs to."""
    return progress_key.split('/')[1]
