"""The jobs that the state holds, and the capacity they are charged for."""

import enum
import math
import sys

import attrs

from . import job_records

MILLICORES_PER_CORE = 1000
# A throttled task keeps its memory and accelerators, and this share of its
# processor time.
THROTTLED_SHARE = 0.25


class JobStatus(enum.Enum):
    """Name where a job that has not ended stands."""

    QUEUED = 'queued'
    PLACED = 'placed'
    RUNNING = 'running'
    THROTTLED = 'throttled'


@attrs.frozen
class Size:
    """Describe capacity, in whole numbers so that sums are exact."""

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
        """Return what is left without another size; it may be negative."""
        return Size(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def fits(self, room):
        """Tell whether this size fits into a room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_bytes <= room.memory_bytes
            and self.accelerators <= room.accelerators
        )

    def throttled(self):
        """Return what a throttled task of this size is charged for."""
        share = math.ceil(self.cpu_millicores * THROTTLED_SHARE)
        return attrs.evolve(self, cpu_millicores=share)


@attrs.frozen
class Job:
    """Describe a job that has not ended.

    :ivar size: declared size
    :ivar charge: capacity it is charged for on its host
    :ivar run_s: declared run time that is left
    :ivar queued_offset: offset of the record that queued it last
    :ivar lease: token of its placement; negative while queued
    :ivar abandoned_s: log time of the last renewal; zero while renewed
    :ivar full_charge: charge while it is not throttled
    :ivar ran_offset: offset of the record that had it run in full last
    :ivar domains: rack and availability zone of its host
    :ivar failed_hosts: hosts that it failed on
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
        """Return the group whose jobs behave alike: workspace and pool."""
        return f'{self.workspace}/{self.pool}'

    @property
    def is_urgent(self):
        """Tell whether it has to start at once."""
        return self.urgency is job_records.JobUrgency.URGENT

    @property
    def is_queued(self):
        """Tell whether it waits for a placement."""
        return self.status is JobStatus.QUEUED


@attrs.frozen
class EndedJob:
    """Describe a job that ended, for a time."""

    workspace: str
    outcome: job_records.JobOutcome
    ended_s: float
    refusal: job_records.JobRefusal = job_records.JobRefusal.NONE
    detail: str = ''


@attrs.define
class Queue:
    """Hold the queued jobs of a pool, in order of their arrival."""

    urgent: dict[str, None] = attrs.Factory(dict)
    long: dict[str, None] = attrs.Factory(dict)

    def of(self, urgency):
        """Return the part for an urgency."""
        is_urgent = urgency is job_records.JobUrgency.URGENT
        return self.urgent if is_urgent else self.long


@attrs.define
class Ledger:
    """Hold what is charged, and who has to act on which job.

    Everything in it follows from the jobs alone.

    :ivar used: charged capacity, by host
    :ivar on_host: placed jobs, by host
    :ivar quota_used: declared capacity of placed jobs, by workspace
    :ivar long_used: charged to long jobs, by pool
    :ivar spread: placed jobs by rack and by zone, by group
    :ivar queues: queued jobs, by pool
    :ivar pending: jobs to be started or stopped, in order
    :ivar throttled: throttled jobs, in order
    :ivar abandoned: jobs whose lease is not renewed, in order
    :ivar held: placed jobs, by holder
    :ivar changes: how often the jobs of a pool changed, as counted here
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
        """Count a job as it stands now."""
        self.changes[job.pool] = self.changes.get(job.pool, 0) + 1
        if job.is_queued:
            queue = self.queues.setdefault(job.pool, Queue())
            queue.of(job.urgency)[job.job_id] = None
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
        """Forget a job that was counted as it stands."""
        self.changes[job.pool] = self.changes.get(job.pool, 0) + 1
        if job.is_queued:
            queue = self.queues[job.pool]
            queue.of(job.urgency).pop(job.job_id)
            if not queue.urgent and not queue.long:
                del self.queues[job.pool]
            return
        self._charge(job, Size.minus)
        self._spread(job, -1)
        _discard(self.on_host, job.host, job.job_id)
        _discard(self.held, job.holder, job.job_id)
        self.pending.pop(job.job_id, None)
        self.throttled.pop(job.job_id, None)
        self.abandoned.pop(job.job_id, None)

    def _charge(self, job, change):
        _change(self.used, job.host, change, job.charge)
        _change(self.quota_used, job.workspace, change, job.size)
        if not job.is_urgent:
            _change(self.long_used, job.pool, change, job.charge)

    def _spread(self, job, change):
        counts = self.spread.setdefault(job.group, {})
        for domain in job.domains:
            counts[domain] = counts.get(domain, 0) + change
            if not counts[domain]:
                del counts[domain]
        if not counts:
            del self.spread[job.group]


def _change(totals, key, change, size):
    total = change(totals.get(key, Size()), size)
    if total == Size():
        totals.pop(key, None)
    else:
        totals[key] = total


def _discard(groups, key, job_id):
    group = groups[key]
    del group[job_id]
    if not group:
        del groups[key]


def size_of(body):
    """Return the declared size of a submitted job; zero for no number."""
    is_number = math.isfinite(body.cpu_cores)
    cpu_cores = body.cpu_cores if is_number else 0.0
    return Size(
        math.ceil(cpu_cores * MILLICORES_PER_CORE),
        body.memory_bytes,
        body.accelerators,
    )


def capacity_of(host):
    """Return the whole capacity of a declared host."""
    return Size(
        host.cpu_cores * MILLICORES_PER_CORE,
        host.memory_bytes,
        host.accelerators,
    )


def rack_key(host):
    """Return a name for a declared host's rack that no zone has."""
    return f'{host.zone}/{host.rack}'


def domains_of(host):
    """Return the failure domains of a declared host."""
    return sys.intern(rack_key(host)), sys.intern(host.zone)


def on_host(state, name):
    """Return the jobs that are placed on a host."""
    return [state.jobs[key] for key in state.ledger.on_host.get(name, ())]


def replace(state, old, new):
    """Put a changed job in the place of the old one."""
    state.ledger.remove(old)
    state.jobs[new.job_id] = new
    state.ledger.add(new)
