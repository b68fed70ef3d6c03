"""Components that the tasks of a scheduling daemon share."""

import asyncio
import functools
import math
import random
import uuid

import attrs

from hawthorndeal_jobs import journal
from hawthorndeal_platform import keyed_log

from . import clock as clock_module
from . import decision_log
from . import log_follower
from . import log_probe
from . import log_readers
from . import metrics as metrics_module
from . import shared_reader
from . import status_readers
from . import stored_jobs
from . import submitter as submitter_module

JOBS = keyed_log.Partition('hawthorndeal')
STATUSES = keyed_log.Partition('hawthorndeal', 1)
SUBMISSIONS_TOPIC = 'hawthorndeal-submissions'
# Partitions that take statuses while the usual one is away.
FIRST_SPARE = 2
SPARE_READ_WAIT_S = 5.0
# Shorter than the age at which an owner starts nothing any more, with a store
# that answers slowly.
SUBMISSIONS_READ_WAIT_S = 0.5
OPERATORS_READ_WAIT_S = 1.0
# Many submissions are refused at once, each after a look at what is stored.
TAIL_READ_INTERVAL_S = 0.1


@attrs.define(eq=False)
class Adapter:
    """Platform-specific clients and formats that a daemon uses.

    :ivar log: a :class:`keyed_log.KeyedLog`
    :ivar executors: an :class:`executor_orders.Executors`
    :ivar hosts: a :class:`host_orders.HostOrders`
    :ivar advice: an :class:`advice.AdviceService`, or None without the service
    :ivar formats: decodes the data of operators, executors and callers
    :ivar wave_reports: reports the progress of waves to operators
    :ivar operators_topic: topic that operators write to
    :ivar entries_topic: topic of the executors' entries
    :ivar peers: a :class:`peer_calls.Peers`, or None to pass on no calls
    :ivar close: closes the connections
    """

    log: object
    executors: object
    hosts: object
    advice: object
    formats: object
    wave_reports: object
    operators_topic: str
    entries_topic: str
    close: object
    peers: object = None


class Parts:
    """Components that the tasks of a daemon share.

    :param settings: validated settings
    :param adapter: an :class:`Adapter`
    """

    def __init__(self, settings, adapter):
        self.settings = settings
        self.clock = clock_module.SteadyClock()
        self.rng = random.Random(uuid.uuid4().hex)
        self.events = decision_log.DecisionLog(settings.daemon)
        self.metrics = metrics_module.Metrics()
        self.log = adapter.log
        self.executors = adapter.executors
        self.hosts = adapter.hosts
        self.advice = adapter.advice
        self.peers = adapter.peers if settings.relay_address else None
        self.wave_reports = adapter.wave_reports
        self.status_reader = status_readers.StatusReader(
            settings.daemon, self.clock, self.events
        )
        self.submission_partitions = [
            keyed_log.Partition(SUBMISSIONS_TOPIC, number)
            for number in range(settings.submission_partitions)
        ]
        self.jobs_reader = log_readers.JobsReader(
            self.clock,
            self.events,
            [p.name for p in (JOBS, *self.submission_partitions)],
        )
        self.configuration_reader = log_readers.ConfigurationReader(
            adapter.formats, self.events
        )
        self.entries_reader = log_readers.EntriesReader(
            adapter.formats, self.clock, self.events
        )
        self.status_followers = self._make_status_followers()
        self.status_follower = self.status_followers[0]
        self.jobs_follower = self._make_jobs_follower(JOBS)
        self.submission_followers = [
            self._make_jobs_follower(partition, SUBMISSIONS_READ_WAIT_S)
            for partition in self.submission_partitions
        ]
        self.operators_follower = self._make_follower(
            keyed_log.Partition(adapter.operators_topic),
            self.configuration_reader,
            OPERATORS_READ_WAIT_S,
        )
        self.entries_follower = self._make_follower(
            keyed_log.Partition(adapter.entries_topic), self.entries_reader
        )
        self.log_probe = log_probe.LogProbe(
            self.log, [*self.status_partitions, JOBS]
        )
        self._end_readers = {}
        self._tail_readers = {}
        self.submitter = submitter_module.Submitter(self.log)
        self._owner = None

    def _make_status_followers(self):
        reader = self.status_reader
        first = status_readers.FirstStatusPartitionReader(
            reader, STATUSES.name
        )
        followers = [self._make_follower(STATUSES, first)]
        for number in range(self.settings.spare_partitions):
            spare = attrs.evolve(STATUSES, number=FIRST_SPARE + number)
            followers.append(
                self._make_follower(
                    spare,
                    status_readers.SpareStatusPartitionReader(
                        reader, spare.name
                    ),
                    SPARE_READ_WAIT_S,
                )
            )
        reader.followers = {f.partition.name: f for f in followers}
        return followers

    async def wait_for_statuses(self, timeout_s):
        """Wait until any partition of the statuses was read, or a timeout."""
        reads = [
            asyncio.create_task(follower.wait_for_read(timeout_s))
            for follower in self.status_followers
        ]
        try:
            await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for read in reads:
                read.cancel()

    @property
    def may_be_turned_away(self):
        """Whether the store may serve other daemons, but not this one.

        If it has answered a later read of another partition, the one of the
        statuses is away for all.
        """
        first, *others = [*self.status_followers, self.operators_follower]
        return not first.is_available and all(
            other.confirmed_boot_s < first.lost_boot_s for other in others
        )

    @property
    def status_partitions(self):
        """The partitions that may hold statuses, the usual one first."""
        return [follower.partition for follower in self.status_followers]

    def _make_jobs_follower(self, partition, *arguments):
        reader = log_readers.JobsPartitionReader(
            self.jobs_reader, partition.name
        )
        return self._make_follower(partition, reader, *arguments)

    def _make_follower(
        self, log_partition, reader, wait_s=log_follower.READ_WAIT_S
    ):
        return log_follower.Follower(
            self.log,
            log_partition,
            reader,
            self.clock,
            self.events,
            self.metrics,
            wait_s,
        )

    @property
    def jobs_followers(self):
        """The followers of all partitions that hold the jobs."""
        return [self.jobs_follower, *self.submission_followers]

    @property
    def configuration_version(self):
        """Version of the configuration in force; 0 for none."""
        configuration = self.configuration_reader.configuration
        return configuration.version if configuration is not None else 0

    @property
    def homes(self):
        """The partitions that callers' records are stored in."""
        return self.submission_partitions or [JOBS]

    def submission_partition(self, job_id):
        """Return the partition that callers' records of a job belong to.

        The owner tells how many it reads: one of an earlier version reads
        the partition of the jobs only.
        """
        count = self.owner_view.submission_partitions
        if count is None:
            count = len(self.submission_partitions)
        if not count:
            return JOBS
        number = journal.submission_partition(job_id, count)
        return keyed_log.Partition(SUBMISSIONS_TOPIC, number)

    def submission_choices(self, job_id):
        """Return the partitions that callers' records of a job may be in.

        The preferred one is first. Those that the owner can't read are last.
        """
        own = self.submission_partition(job_id)
        if own == JOBS:
            return [JOBS]
        count = self.owner_view.submission_partitions
        spares = journal.spare_submission_partitions(
            job_id,
            len(self.submission_partitions) if count is None else count,
            self.settings.spare_partitions,
        )
        choices = [own, *(attrs.evolve(own, number=n) for n in spares)]
        return sorted(choices, key=self.is_unread)

    def is_unread(self, partition):
        """Return whether the owner couldn't read a partition of late."""
        return (
            partition.topic == SUBMISSIONS_TOPIC
            and partition.number in self.owner_view.unread_partitions
        )

    def covered_offset(self, partition):
        """Return up to which offset of a partition the statuses cover it."""
        view = self.owner_view
        if partition == JOBS:
            return view.covered_offset
        known = view.covered_offsets
        return known[partition.number] if partition.number < len(known) else 0

    def end_reader(self, partition):
        """Return the reader of a partition's end."""
        if partition not in self._end_readers:
            self._end_readers[partition] = shared_reader.SharedReader(
                functools.partial(self.log.end, partition)
            )
        return self._end_readers[partition]

    def tail_reader(self, partition):
        """Return the reader of a partition's submissions up to its end."""
        if partition not in self._tail_readers:
            self._tail_readers[partition] = shared_reader.SharedReader(
                functools.partial(
                    stored_jobs.read_submissions, self.log, partition
                ),
                TAIL_READ_INTERVAL_S,
            )
        return self._tail_readers[partition]

    @property
    def board(self):
        """The statuses of jobs, and the owner."""
        return self.status_reader.board

    @property
    def owner_view(self):
        """This daemon's view of the owner."""
        return self.status_reader.owner_view

    def attach(self, owner):
        """Connect an owner that has taken over to the readers."""
        self._owner = owner
        self.jobs_reader.on_applied = owner.handle_applied
        self.configuration_reader.on_changed = owner.handle_configuration
        self.entries_reader.on_entry = owner.tracker.update
        self.entries_reader.on_missing = owner.tracker.mark_missing

    def detach(self):
        """Disconnect the owner, and discard what only an owner reads."""
        self._owner = None
        self.status_reader.on_changed = None
        self.jobs_reader.on_applied = None
        self.configuration_reader.on_changed = None
        self.entries_reader.on_entry = None
        self.entries_reader.on_missing = None
        self.entries_reader.entries.clear()
        self.entries_reader.offsets.clear()
        self.entries_follower.reload()
        # Also discards decisions that were not stored.
        self.jobs_reader.reset()
        for follower in self.jobs_followers:
            follower.reload()

    def note_cancelled(self, job_id):
        """Record that this daemon has stored the cancellation of a job."""
        self.board.note_cancelled(job_id)
        if self._owner is not None:
            self._owner.cancel_job(job_id)

    def set_gauges(self):
        """Update all gauges."""
        last_s = self.owner_view.last_read_s
        gauges = {
            'jobs': len(self.board.stored),
            'jobs_waiting': self.board.total_waiting,
            'store_read_age_seconds': self.clock.monotonic_s()
            - (-math.inf if last_s is None else last_s),
            'owner_epoch': self._owner.epoch if self._owner else 0,
            'log_lines_dropped': self.events.dropped_lines,
        }
        if self._owner is not None:
            known = self._owner.scheduler.executors.values()
            gauges['executors'] = len(known)
            gauges['runs_active'] = sum(len(e.runs) for e in known)
            gauges['starts_in_flight'] = self._owner.starts_in_flight
            gauges['start_window'] = self._owner.start_window
        for name, value in gauges.items():
            self.metrics.set_gauge(name, value)
