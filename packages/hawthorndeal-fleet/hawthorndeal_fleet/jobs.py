"""The jobs that the state holds, and the capacity they are charged for."""

import enum
import math
import sys

import attrs

from . import job_records

MILLICORES_PER_CORE = 1000
# Share of its processor time that a throttled task keeps; its memory and
# accelerators are unchanged.
THROTTLED_SHARE = 0.25


class JobStatus(enum.Enum):
    """Status of a job that has not ended."""

    QUEUED = 'queued'
    PLACED = 'placed'
    RUNNING = 'running'
    THROTTLED = 'throttled'


@attrs.frozen
class Size:
    """Describe capacity, in integers so that sums are exact."""

    cpu_millicores: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def plus(self, other):
        """Return the sum of two sizes."""
        return Size(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def minus(self, other):
        """Return the difference of two sizes, which may be negative."""
        return Size(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def fits(self, room):
        """Return whether this size fits into free capacity."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_bytes <= room.memory_bytes
            and self.accelerators <= room.accelerators
        )

    def throttled(self):
        """Return the charge for a throttled task of this size."""
        share = math.ceil(self.cpu_millicores * THROTTLED_SHARE)
        return attrs.evolve(self, cpu_millicores=share)


@attrs.frozen
class Job:
    """Describe a job that has not ended.

    :ivar size: declared size
    :ivar charge: capacity that it is charged for on its host
    :ivar run_s: remaining declared run time
    :ivar queued_offset: offset of the record that last queued it
    :ivar lease: token of its placement; negative while queued
    :ivar abandoned_s: log time at which its lease was abandoned; zero while
        the lease is renewed
    :ivar full_charge: charge while it is not throttled
    :ivar ran_offset: offset of the record that last started or resumed it
    :ivar domains: rack and availability zone of its host
    :ivar failed_hosts: hosts that it failed on
    :ivar lapses: how often its lease has lapsed
    """

    job_id: str
    workspace: str
    pool: str
    size: Size
    run_s: float
    urgency: job_records.JobUrgency
    is_checkpointable: bool
    queued_offset: int
    queued_s: float
    status: JobStatus = JobStatus.QUEUED
    host: str = ''
    holder: str = ''
    lease: int = -1
    placed_s: float = 0.0
    abandoned_s: float = 0.0
    charge: Size = Size()
    full_charge: Size = Size()
    ran_offset: int = -1
    domains: tuple[str, ...] = ()
    is_cancelled: bool = False
    has_checkpoint: bool = False
    failed_hosts: tuple[str, ...] = ()
    lapses: int = 0

    @property
    def group(self):
        """Return the workspace and pool, whose jobs are assumed similar."""
        return f'{self.workspace}/{self.pool}'

    @property
    def is_urgent(self):
        """Return whether it has to start at once."""
        return self.urgency is job_records.JobUrgency.URGENT

    @property
    def is_queued(self):
        """Return whether it waits for a placement."""
        return self.status is JobStatus.QUEUED


@attrs.frozen
class EndedJob:
    """Describe a job that ended; kept for a limited time."""

    workspace: str
    outcome: job_records.JobOutcome
    ended_s: float
    refusal: job_records.JobRefusal = job_records.JobRefusal.NONE
    detail: str = ''


@attrs.define
class Queue:
    """Queued jobs of a pool, in order of arrival."""

    urgent: dict[str, None] = attrs.Factory(dict)
    long: dict[str, None] = attrs.Factory(dict)

    def for_urgency(self, urgency):
        """Return the jobs of an urgency, in order of arrival."""
        is_urgent = urgency is job_records.JobUrgency.URGENT
        return self.urgent if is_urgent else self.long


@attrs.define
class Ledger:
    """Indexes and totals over the jobs of the state.

    They are derived from the jobs alone.

    :ivar used: charged capacity, by host
    :ivar on_host: placed jobs, by host
    :ivar quota_used: declared capacity of placed jobs, by workspace
    :ivar long_used: capacity charged to long jobs, by pool
    :ivar spread: number of placed jobs by rack and by zone, by group
    :ivar queues: queued jobs, by pool
    :ivar pending: jobs to be started or stopped, in order
    :ivar throttled: throttled jobs, in order
    :ivar abandoned: jobs whose lease is not renewed, in order
    :ivar held: placed jobs, by holder
    :ivar changes: number of changes to the jobs of a pool, as counted by this
        process; not part of the replicated state
    """

    used: dict[str, Size] = attrs.Factory(dict)
    on_host: dict[str, dict[str, None]] = attrs.Factory(dict)
    quota_used: dict[str, Size] = attrs.Factory(dict)
    long_used: dict[str, Size] = attrs.Factory(dict)
    spread: dict[str, dict[str, int]] = attrs.Factory(dict)
    queues: dict[str, Queue] = attrs.Factory(dict)
    pending: dict[str, None] = attrs.Factory(dict)
    throttled: dict[str, None] = attrs.Factory(dict)
    abandoned: dict[str, None] = attrs.Factory(dict)
    held: dict[str, dict[str, None]] = attrs.Factory(dict)
    changes: dict[str, int] = attrs.field(
        factory=dict, eq=False, metadata={'is_derived': True}
    )

    def add(self, job):
        """Add a job to the indexes and totals."""
        self.changes[job.pool] = self.changes.get(job.pool, 0) + 1
        if job.is_queued:
            queue = self.queues.setdefault(job.pool, Queue())
            queue.for_urgency(job.urgency)[job.job_id] = None
            return
        self._charge(job, Size.plus)
        self._spread(job, 1)
        self.on_host.setdefault(job.host, {})[job.job_id] = None
        self.held.setdefault(job.holder, {})[job.job_id] = None
        if job.is_cancelled or job.status is JobStatus.PLACED:
            self.pending[job.job_id] = None
        if job.status is JobStatus.THROTTLED:
            self.throttled[job.job_id] = None
        if job.abandoned_s:
            self.abandoned[job.job_id] = None

    def remove(self, job):
        """Remove a job, which must be unchanged since it was added."""
        self.changes[job.pool] = self.changes.get(job.pool, 0) + 1
        if job.is_queued:
            queue = self.queues[job.pool]
            queue.for_urgency(job.urgency).pop(job.job_id)
            if not queue.urgent and not queue.long:
                del self.queues[job.pool]
            return
        self._charge(job, Size.minus)
        self._spread(job, -1)
        _remove_from_group(self.on_host, job.host, job.job_id)
        _remove_from_group(self.held, job.holder, job.job_id)
        self.pending.pop(job.job_id, None)
        self.throttled.pop(job.job_id, None)
        self.abandoned.pop(job.job_id, None)

    def _charge(self, job, change):
        _update_total(self.used, job.host, change, job.charge)
        _update_total(self.quota_used, job.workspace, change, job.size)
        if not job.is_urgent:
            _update_total(self.long_used, job.pool, change, job.charge)

    def _spread(self, job, change):
        counts = self.spread.setdefault(job.group, {})
        for domain in job.domains:
            counts[domain] = counts.get(domain, 0) + change
            if not counts[domain]:
                del counts[domain]
        if not counts:
            del self.spread[job.group]


def _update_total(totals, key, change, size):
    total = change(totals.get(key, Size()), size)
    if total == Size():
        totals.pop(key, None)
    else:
        totals[key] = total


def _remove_from_group(groups, key, job_id):
    group = groups[key]
    del group[job_id]
    if not group:
        del groups[key]


def declared_size(body):
    """Return the declared size of a submitted job.

    A processor count that is not finite is taken as zero.
    """
    is_number = math.isfinite(body.cpu_cores)
    cpu_cores = body.cpu_cores if is_number else 0.0
    return Size(
        math.ceil(cpu_cores * MILLICORES_PER_CORE),
        body.memory_bytes,
        body.accelerators,
    )


def capacity_of(host):
    """Return the total capacity of a declared host."""
    return Size(
        host.cpu_cores * MILLICORES_PER_CORE,
        host.memory_bytes,
        host.accelerators,
    )


def rack_key(host):
    """Return a key for a declared host's rack, distinct from all zones."""
    return f'{host.zone}/{host.rack}'


def failure_domains(host):
    """Return the failure domains of a declared host."""
    return sys.intern(rack_key(host)), sys.intern(host.zone)


def on_host(state, name):
    """Return the jobs that are placed on a host."""
    return [state.jobs[key] for key in state.ledger.on_host.get(name, ())]


def replace(state, old, new):
    """Replace a job by its changed version."""
    state.ledger.remove(old)
    state.jobs[new.job_id] = new
    state.ledger.add(new)
