"""Stores what a scheduling cycle has changed, then publishes it."""

import itertools

import attrs

from hawthorndeal_jobs import journal

from . import job_dropper

EXPIRY_PERIOD_S = 1.0
# Other daemons see the end of a job slightly later than the owner.
RETENTION_MARGIN_S = 10.0


@attrs.frozen
class CycleOutcome:
    """What the store has taken of a cycle.

    :ivar ends: the last stored end of a run, by executor
    :ivar refused_keys: keys of records that the store will never take
    :ivar unstored_jobs: jobs whose progress is one of those
    """

    ends: dict
    refused_keys: frozenset = frozenset()
    unstored_jobs: tuple = ()


class CycleJournal:
    """Keeps what has changed since the last cycle.

    The state of a job is published after the facts that it follows from have
    been stored. Ends of runs may be forgotten by executors only then.

    :param parts: shared components of the daemon
    :param scheduler: its changes are stored
    :param writer: a :class:`spread_writer.SpreadWriter` of the jobs
    :param publisher: a :class:`status_publisher.StatusPublisher`
    :param epoch: the owner's epoch
    :ivar dropper: drops finished jobs
    """

    def __init__(self, parts, scheduler, writer, publisher, epoch):
        self.dropper = job_dropper.JobDropper(parts)
        self._parts = parts
        self._scheduler = scheduler
        self._writer = writer
        self._publisher = publisher
        self._ended = {}
        self._states_to_publish = {}
        # Jobs whose progress the store will never take.
        self._unstorable = set()
        self._ends_being_stored = {}
        self._expiry_due_s = 0.0
        self._epoch = epoch
        self._cycles = 0
        self._is_spread = parts.settings.spare_partitions > 0
        self._splits_progress = parts.settings.splits_progress
        self._max_record_bytes = parts.settings.max_record_bytes

    async def fence(self, record):
        """Append a record to each partition that may hold the owner's records.

        :raises keyed_log.Fenced: if a newer owner has taken over
        """
        await self._writer.fence([record])

    def note_ended(self, job):
        """Publish the state of a job that was ended with the next cycle."""
        self._ended[job.job_id] = job

    def collect_records(self, now_s, others):
        """Return the records of what has changed, and of what is dropped.

        :param others: further records of the owner; those of other daemons
            don't share their keys
        """
        self._cycles += 1
        stamp = None
        if self._is_spread or self._splits_progress:
            stamp = self._epoch, self._cycles
        known = self._parts.jobs_reader.replica.jobs
        changed = [
            occurrence
            for occurrence in self._scheduler.pop_changed()
            if known.get(occurrence.job.job_id) is occurrence.job
        ]
        ended, self._ended = self._ended, {}
        changed_jobs = {o.job.job_id: o.job for o in changed}
        started = {
            job.job_id: job
            for job in self._scheduler.pop_started_jobs()
            if known.get(job.job_id) is job
        }
        self._states_to_publish = {
            job_id: (job, job.state())
            for job_id, job in {
                **ended,
                **changed_jobs,
                **started,
            }.items()
        }
        self._ends_being_stored = self._scheduler.unrecorded_ends()
        self._unstorable &= known.keys()
        self._expire_statuses(now_s)
        return [
            *itertools.chain.from_iterable(
                journal.progress_records(
                    o, stamp, self._splits_progress, self._max_record_bytes
                )
                for o in changed
                if o.job.job_id not in self._unstorable
            ),
            *(journal.stamped_record(record, stamp) for record in others),
            *self.dropper.drop_finished(
                self._scheduler.has_runs, self._publisher.forget
            ),
        ]

    def _expire_statuses(self, now_s):
        if now_s < self._expiry_due_s:
            return
        self._expiry_due_s = now_s + EXPIRY_PERIOD_S
        retention_s = self._parts.settings.job_retention_s
        expired = self._publisher.expire(
            now_s, retention_s + RETENTION_MARGIN_S, self.dropper.kept
        )
        for job_id in expired:
            self.dropper.drop_spare_statuses(job_id)

    async def store_others(self, records):
        """Store further records of the owner without a cycle's.

        :raises keyed_log.Fenced: if a newer owner has taken over
        """
        self._cycles += 1
        stamp = self._epoch, self._cycles
        await self._writer.append(
            [journal.stamped_record(record, stamp) for record in records]
        )

    async def store(self, records):
        """Store records, and publish the states that follow from them.

        :rtype: CycleOutcome
        :raises keyed_log.Fenced: if a newer owner has taken over
        """
        refused = []
        if records:
            clock = self._parts.clock
            begun_s = clock.monotonic_s()
            refused = await self._writer.append(records)
            took_s = clock.monotonic_s() - begun_s
            self._parts.metrics.note_cycle_part('store', took_s)
        unstored_jobs = self._unstored_jobs(refused)
        self._unstorable.update(job.job_id for job in unstored_jobs)
        states, self._states_to_publish = self._states_to_publish, {}
        for job, state in states.values():
            self.publish_state(job, state)
        refused_keys = frozenset(record.key for record in refused)
        return CycleOutcome(
            self._mark_ends_recorded(),
            refused_keys,
            tuple(unstored_jobs),
        )

    def _unstored_jobs(self, refused):
        """Return the jobs whose progress is among refused records."""
        known = self._parts.jobs_reader.replica.jobs
        job_ids = filter(None, map(journal.job_of_progress, refused))
        return [known[i] for i in dict.fromkeys(job_ids) if i in known]

    def _mark_ends_recorded(self):
        """Return the ends that executors may forget from now on.

        Ends of a job whose progress can't be stored are safe once its own end
        is, since a successor starts nothing of it then.
        """
        is_stored_final = self._parts.board.is_stored_final
        if not all(map(is_stored_final, self._unstorable)):
            return {}
        ends, self._ends_being_stored = self._ends_being_stored, {}
        self._scheduler.mark_ends_recorded(ends)
        return ends

    def publish_state(self, job, state):
        """Publish the state of a job."""
        if state.is_final and self.dropper.finished.add(job):
            reason = job.failure_reason()
            self._parts.events.write(
                'job_ended',
                job=job.job_id,
                state=state,
                **({'why': reason} if reason else {}),
            )
        self._publisher.publish(job, state)
