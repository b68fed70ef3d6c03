"""Choose hosts for queued jobs, and the jobs to preempt for urgent ones."""

import itertools
import typing
import zlib

import attrs

from . import job_records
from . import job_rules
from . import jobs as jobs_module
from . import pools
from . import quarantine
from . import quotas
from . import usage

MAX_CANDIDATES = 24
MAX_BACKFILL_SKIPS = 16
# Later jobs of the pool are not placed ahead of a job that has waited longer.
MAX_BACKFILL_WAIT_S = 600.0
# Share of a pool's processors that urgent jobs can't take from long jobs.
LONG_GUARANTEED_SHARE = 0.1
# Safety factor on declared run times, which are often too short.
RUN_TIME_FACTOR = 1.5


@attrs.frozen
class Preemption:
    """Describe the preemption of a placed job for an urgent one.

    :ivar is_checkpoint: whether the job is checkpointed and leaves the host;
        otherwise it is throttled
    """

    job_id: str
    lease: int
    host: str
    is_checkpoint: bool


@attrs.frozen
class Choice:
    """Describe the host for a job, and the jobs preempted for it."""

    job_id: str
    host: str
    charge: jobs_module.Size
    preemptions: tuple[Preemption, ...] = ()


@attrs.frozen
class Candidate:
    """Describe a host with enough free capacity for a job.

    :ivar rack_jobs: jobs of the same group in the host's rack
    :ivar zone_jobs: jobs of the same group in its availability zone
    :ivar is_due: whether maintenance is expected to start before the job ends
    :ivar room_left: capacity left once the job is placed
    """

    host: str
    rack_jobs: int
    zone_jobs: int
    is_due: bool
    room_left: jobs_module.Size


class Policy(typing.Protocol):
    """Rank the candidate hosts for a job."""

    def rank(self, candidate):
        """Return a sort key; the candidate with the lowest one is chosen."""


class SpreadThenFit:
    """Avoid hosts due for maintenance, spread over racks and zones, best fit.

    Best fit chooses the host that is left with the least free capacity.
    """

    def rank(self, candidate):
        """Return a sort key; the candidate with the lowest one is chosen."""
        left = candidate.room_left
        return (
            candidate.is_due,
            candidate.rack_jobs,
            candidate.zone_jobs,
            left.cpu_millicores,
            left.memory_bytes,
            candidate.host,
        )


@attrs.define
class PlacementView:
    """Combine the folded state with placements that are not folded yet.

    :ivar maintenance_starts: log time at which maintenance of a host is
        expected to start
    :ivar avoided: hosts that this daemon temporarily excludes
    :ivar reserved: capacity reserved by placements under way, by host
    :ivar reserved_quota: quota reserved by them, by workspace
    :ivar preempted: jobs whose preemption is under way
    :ivar charges: cached charges, by job and host capacity
    """

    state: typing.Any
    maintenance_starts: dict[str, float] = attrs.Factory(dict)
    avoided: set[str] = attrs.Factory(set)
    reserved: dict[str, jobs_module.Size] = attrs.Factory(dict)
    reserved_quota: dict[str, jobs_module.Size] = attrs.Factory(dict)
    preempted: set[str] = attrs.Factory(set)
    charges: dict = attrs.Factory(dict)
    policy: Policy = attrs.Factory(SpreadThenFit)

    def free_capacity(self, host):
        """Return a host's capacity that is neither charged nor reserved."""
        room = pools.free_capacity(self.state, host)
        held = self.reserved.get(host)
        return room if held is None else room.minus(held)

    def has_quota(self, job):
        """Return whether the quota of the job's workspace allows it now."""
        room = quotas.available_quota(self.state, job.workspace)
        held = self.reserved_quota.get(job.workspace, jobs_module.Size())
        return job.size.fits(room.minus(held))

    def reserve(self, job, host, charge):
        """Reserve capacity of a host and quota for a job."""
        none = jobs_module.Size()
        held = self.reserved.get(host, none)
        self.reserved[host] = held.plus(charge)
        quota = self.reserved_quota.get(job.workspace, none)
        self.reserved_quota[job.workspace] = quota.plus(job.size)


def choose(view, job):
    """Return the choice for a job, or None if it has to wait.

    An urgent job may preempt long ones, which are throttled or checkpointed
    but never stopped.

    :rtype: Choice | None
    """
    if not view.has_quota(job):
        return None
    found = _candidates(view, job)
    if found:
        best = min(found, key=view.policy.rank)
        return Choice(job.job_id, best.host, _charge(view, job, best.host))
    return _choose_with_preemption(view, job) if job.is_urgent else None


def _usable_hosts(view, job):
    names = pools.hosts_of(view.state, job.pool)
    # A start index that depends on the job spreads the candidates of
    # different jobs over a large pool.
    start = zlib.crc32(job.job_id.encode()) % (len(names) or 1)
    return (
        name
        for name in itertools.chain(
            itertools.islice(names, start, None),
            itertools.islice(names, start),
        )
        if _is_usable(view, job, name)
    )


def _is_usable(view, job, name):
    state = view.state
    return not (
        name in state.disruptions
        or name in state.down_hosts
        or name in view.avoided
        or name in job.failed_hosts
        or (
            name in state.quarantines
            and quarantine.refuse(state, name, job.is_urgent)
        )
    )


def _charge(view, job, name):
    capacity = pools.host_capacity(view.state, name)
    # Most hosts of a pool have the same capacity, so charges are cached by it.
    key = job.job_id, capacity.cpu_millicores, capacity.memory_bytes
    known = view.charges.get(key)
    if known is None:
        known = usage.corrected_size(view.state, job, capacity)
        view.charges[key] = known
    return known


def _candidates(view, job):
    spread = view.state.ledger.spread.get(job.group, {})
    found = (
        _candidate(view, job, name, spread)
        for name in _usable_hosts(view, job)
    )
    return list(itertools.islice(filter(None, found), MAX_CANDIDATES))


def _candidate(view, job, name, spread):
    charge = _charge(view, job, name)
    room = view.free_capacity(name)
    if not charge.fits(room):
        return None
    declared = view.state.fleet.hosts[name]
    return Candidate(
        host=name,
        rack_jobs=spread.get(jobs_module.rack_key(declared), 0),
        zone_jobs=spread.get(declared.zone, 0),
        is_due=_is_due(view, job, name),
        room_left=room.minus(charge),
    )


def _is_due(view, job, name):
    maintenance_s = view.maintenance_starts.get(name)
    if maintenance_s is None:
        return False
    return maintenance_s < view.state.log_time_s + RUN_TIME_FACTOR * job.run_s


def _choose_with_preemption(view, job):
    options = (
        _preempt_on(view, job, name) for name in _usable_hosts(view, job)
    )
    found = itertools.islice(filter(None, options), MAX_CANDIDATES)
    return min(found, key=_preemption_cost, default=None)


def _preemption_cost(choice):
    checkpoints = sum(
        preemption.is_checkpoint for preemption in choice.preemptions
    )
    return checkpoints, len(choice.preemptions), choice.host


def _preempt_on(view, job, name):
    charge = _charge(view, job, name)
    long_jobs = [
        other
        for other in jobs_module.on_host(view.state, name)
        if _is_preemptible(view, other)
    ]
    # Largest first, so that few jobs are preempted.
    long_jobs.sort(key=lambda other: -other.charge.cpu_millicores)
    for preempt in _PREEMPTION_METHODS:
        preemptions = preempt(view, name, charge, long_jobs)
        if preemptions is not None:
            return Choice(job.job_id, name, charge, tuple(preemptions))
    return None


def _is_preemptible(view, job):
    return (
        not job.is_urgent
        and not job.is_cancelled
        and not job.abandoned_s
        and job.status is not jobs_module.JobStatus.PLACED
        and job.job_id not in view.preempted
    )


def _preempt_by_throttling(view, name, charge, long_jobs):
    room = view.free_capacity(name)
    preemptions = []
    for job in long_jobs:
        if charge.fits(room):
            break
        if job.status is jobs_module.JobStatus.RUNNING:
            freed = job.charge.minus(job.charge.throttled())
            room = room.plus(freed)
            preemptions.append(Preemption(job.job_id, job.lease, name, False))
    return preemptions if charge.fits(room) else None


def _preempt_by_checkpoint(view, name, charge, long_jobs):
    room = view.free_capacity(name)
    reclaimable = _millicores_above_guarantee(view.state, long_jobs)
    preemptions = []
    for job in long_jobs:
        if charge.fits(room):
            break
        if job.is_checkpointable and reclaimable > 0:
            reclaimable -= job.charge.cpu_millicores
            room = room.plus(job.charge)
            preemptions.append(Preemption(job.job_id, job.lease, name, True))
    return preemptions if charge.fits(room) else None


_PREEMPTION_METHODS = (_preempt_by_throttling, _preempt_by_checkpoint)


def _millicores_above_guarantee(state, long_jobs):
    if not long_jobs:
        return 0
    pool = long_jobs[0].pool
    used = state.ledger.long_used.get(pool, jobs_module.Size())
    return used.cpu_millicores - _guaranteed_millicores(state, pool)


def _guaranteed_millicores(state, pool):
    return (
        LONG_GUARANTEED_SHARE * pools.capacity_of(state, pool).cpu_millicores
    )


def place_queued(view, pool, limit, is_busy=lambda job_id: False):
    """Return choices for the queued jobs of a pool, urgent ones first.

    :param limit: maximum number of choices to return
    :param is_busy: returns whether a job is being placed already
    """
    return list(itertools.islice(_choices(view, pool, is_busy), limit))


def _choices(view, pool, is_busy):
    skipped = 0
    for job in _in_queue_order(view.state, pool):
        if is_busy(job.job_id):
            continue
        choice = choose(view, job)
        if choice is not None:
            _reserve_choice(view, job, choice)
            yield choice
            continue
        skipped += 1
        if skipped >= MAX_BACKFILL_SKIPS or _blocks_backfill(view, job):
            return


def _reserve_choice(view, job, choice):
    view.reserve(job, choice.host, choice.charge)
    view.preempted.update(
        preemption.job_id for preemption in choice.preemptions
    )
    for preemption in choice.preemptions:
        freed = view.state.jobs[preemption.job_id].charge
        if not preemption.is_checkpoint:
            freed = freed.minus(freed.throttled())
        held = view.reserved[choice.host]
        view.reserved[choice.host] = held.minus(freed)


def _in_queue_order(state, pool):
    queue = state.ledger.queues.get(pool, jobs_module.Queue())
    urgent = (state.jobs[key] for key in queue.urgent)
    long = (state.jobs[key] for key in queue.long)
    used = state.ledger.long_used.get(pool, jobs_module.Size())
    if used.cpu_millicores < _guaranteed_millicores(state, pool):
        return _interleave(long, urgent)
    return itertools.chain(urgent, long)


def _interleave(first, second):
    pairs = itertools.zip_longest(first, second)
    return filter(None, itertools.chain.from_iterable(pairs))


def _blocks_backfill(view, job):
    waited_s = view.state.log_time_s - job.queued_s
    return waited_s > MAX_BACKFILL_WAIT_S and view.has_quota(job)


def explain(state, job):
    """Return the reasons why a queued job is not placed."""
    refusal, detail = job_rules.refuse_permanently(state, job, job.size)
    if refusal is not job_records.JobRefusal.NONE:
        return [f'{refusal.value}: {detail}']
    refused = quotas.refuse(state, job.workspace, job.size)
    if refused is not None:
        return [refused]
    reasons = (
        job_rules.refuse_host(state, job, host)
        for host in pools.hosts_of(state, job.pool)
    )
    known = [reason for reason in reasons if reason]
    return known or ['a host has room; the placement is not recorded yet']
