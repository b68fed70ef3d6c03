"""Choose hosts for queued jobs, and who makes room for urgent ones."""

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
MAX_PASSED = 16
# A job that waits longer is not passed by later ones of its pool.
MAX_PASSED_S = 600.0
# Long work keeps this share of a pool from being displaced by urgent work.
LONG_FLOOR_SHARE = 0.1
# Declared run times are often too short.
RUN_MARGIN = 1.5


@attrs.frozen
class Yield:
    """Name a placed job that makes room for an urgent one.

    :ivar is_checkpoint: whether it leaves the host, or runs on slowly
    """

    job_id: str
    lease: int
    host: str
    is_checkpoint: bool


@attrs.frozen
class Choice:
    """Name the host for a job, and the jobs that make room for it."""

    job_id: str
    host: str
    charge: jobs_module.Size
    yields: tuple[Yield, ...] = ()


@attrs.frozen
class Candidate:
    """Describe a host that has room for a job.

    :ivar rack_jobs: jobs of the same group in the host's rack
    :ivar zone_jobs: jobs of the same group in its availability zone
    :ivar is_due: whether it is due for maintenance before the job's end
    :ivar room_left: capacity left once the job is placed
    """

    host: str
    rack_jobs: int
    zone_jobs: int
    is_due: bool
    room_left: jobs_module.Size


class Policy(typing.Protocol):
    """Order the candidates for a job."""

    def rank(self, candidate):
        """Return a sortable value; the least one is chosen."""


class SpreadThenFit:
    """Avoid hosts due soon, spread over racks and zones, then fill up."""

    def rank(self, candidate):
        """Return a sortable value; the least one is chosen."""
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
class View:
    """Hold what a round of placements works with.

    :ivar turns: log time at which a host is expected to be worked on
    :ivar avoided: hosts that this daemon keeps off for a while
    :ivar reserved: capacity of hosts that is chosen but not folded yet
    :ivar reserved_quota: the same, of workspaces
    :ivar yielding: jobs that are about to make room
    :ivar charges: what jobs are charged for on hosts of a size
    """

    state: typing.Any
    turns: dict[str, float] = attrs.Factory(dict)
    avoided: set[str] = attrs.Factory(set)
    reserved: dict[str, jobs_module.Size] = attrs.Factory(dict)
    reserved_quota: dict[str, jobs_module.Size] = attrs.Factory(dict)
    yielding: set[str] = attrs.Factory(set)
    charges: dict = attrs.Factory(dict)
    policy: Policy = attrs.Factory(SpreadThenFit)

    def room_on(self, host):
        """Return the capacity that is neither charged nor reserved."""
        room = pools.room_on(self.state, host)
        held = self.reserved.get(host)
        return room if held is None else room.minus(held)

    def has_quota(self, job):
        """Tell whether the job's workspace may have it placed now."""
        room = quotas.room_of(self.state, job.workspace)
        held = self.reserved_quota.get(job.workspace, jobs_module.Size())
        return job.size.fits(room.minus(held))

    def reserve(self, job, host, charge):
        """Keep room and quota for a choice."""
        none = jobs_module.Size()
        held = self.reserved.get(host, none)
        self.reserved[host] = held.plus(charge)
        quota = self.reserved_quota.get(job.workspace, none)
        self.reserved_quota[job.workspace] = quota.plus(job.size)


def choose(view, job):
    """Return the choice for a job, or None where it has to wait.

    An urgent job may have long ones make room; none of them is stopped.

    :rtype: Choice | None
    """
    if not view.has_quota(job):
        return None
    found = _candidates(view, job)
    if found:
        best = min(found, key=view.policy.rank)
        return Choice(job.job_id, best.host, _charge(view, job, best.host))
    return _make_room(view, job) if job.is_urgent else None


def _usable_hosts(view, job):
    names = pools.hosts_of(view.state, job.pool)
    # Starting elsewhere for each job spreads the sample of a large pool.
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
    # Few hosts of a pool differ in size.
    key = job.job_id, capacity.cpu_millicores, capacity.memory_bytes
    known = view.charges.get(key)
    if known is None:
        known = usage.corrected(view.state, job, capacity)
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
    room = view.room_on(name)
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
    turn_s = view.turns.get(name)
    if turn_s is None:
        return False
    return turn_s < view.state.log_time_s + RUN_MARGIN * job.run_s


def _make_room(view, job):
    ways = (_room_on(view, job, name) for name in _usable_hosts(view, job))
    found = itertools.islice(filter(None, ways), MAX_CANDIDATES)
    return min(found, key=_yield_cost, default=None)


def _yield_cost(choice):
    checkpoints = sum(one.is_checkpoint for one in choice.yields)
    return checkpoints, len(choice.yields), choice.host


def _room_on(view, job, name):
    charge = _charge(view, job, name)
    long_jobs = [
        other
        for other in jobs_module.on_host(view.state, name)
        if _can_yield(view, other)
    ]
    # The largest first, so that few have to make room.
    long_jobs.sort(key=lambda other: -other.charge.cpu_millicores)
    for ways in _WAYS:
        yields = ways(view, name, charge, long_jobs)
        if yields is not None:
            return Choice(job.job_id, name, charge, tuple(yields))
    return None


def _can_yield(view, job):
    return (
        not job.is_urgent
        and not job.is_cancelled
        and not job.abandoned_s
        and job.status is not jobs_module.JobStatus.PLACED
        and job.job_id not in view.yielding
    )


def _throttle(view, name, charge, long_jobs):
    room = view.room_on(name)
    yields = []
    for job in long_jobs:
        if charge.fits(room):
            break
        if job.status is jobs_module.JobStatus.RUNNING:
            freed = job.charge.minus(job.charge.throttled())
            room = room.plus(freed)
            yields.append(Yield(job.job_id, job.lease, name, False))
    return yields if charge.fits(room) else None


def _checkpoint(view, name, charge, long_jobs):
    room = view.room_on(name)
    spare = _above_floor(view.state, long_jobs)
    yields = []
    for job in long_jobs:
        if charge.fits(room):
            break
        if job.is_checkpointable and spare > 0:
            spare -= job.charge.cpu_millicores
            room = room.plus(job.charge)
            yields.append(Yield(job.job_id, job.lease, name, True))
    return yields if charge.fits(room) else None


_WAYS = (_throttle, _checkpoint)


def _above_floor(state, long_jobs):
    if not long_jobs:
        return 0
    pool = long_jobs[0].pool
    used = state.ledger.long_used.get(pool, jobs_module.Size())
    return used.cpu_millicores - _floor(state, pool)


def _floor(state, pool):
    return LONG_FLOOR_SHARE * pools.capacity_of(state, pool).cpu_millicores


def place_queued(view, pool, limit, is_busy=lambda job_id: False):
    """Return choices for the queued jobs of a pool, urgent ones first.

    :param limit: choices to return at most
    :param is_busy: tells jobs that are being placed already
    """
    return list(itertools.islice(_choices(view, pool, is_busy), limit))


def _choices(view, pool, is_busy):
    passed = 0
    for job in _in_order(view.state, pool):
        if is_busy(job.job_id):
            continue
        choice = choose(view, job)
        if choice is not None:
            _note(view, job, choice)
            yield choice
            continue
        passed += 1
        if passed >= MAX_PASSED or _blocks(view, job):
            return


def _note(view, job, choice):
    view.reserve(job, choice.host, choice.charge)
    view.yielding.update(one.job_id for one in choice.yields)
    for one in choice.yields:
        freed = view.state.jobs[one.job_id].charge
        if not one.is_checkpoint:
            freed = freed.minus(freed.throttled())
        held = view.reserved[choice.host]
        view.reserved[choice.host] = held.minus(freed)


def _in_order(state, pool):
    queue = state.ledger.queues.get(pool, jobs_module.Queue())
    urgent = (state.jobs[key] for key in queue.urgent)
    long = (state.jobs[key] for key in queue.long)
    used = state.ledger.long_used.get(pool, jobs_module.Size())
    if used.cpu_millicores < _floor(state, pool):
        return _alternate(long, urgent)
    return itertools.chain(urgent, long)


def _alternate(first, second):
    pairs = itertools.zip_longest(first, second)
    return filter(None, itertools.chain.from_iterable(pairs))


def _blocks(view, job):
    waited_s = view.state.log_time_s - job.queued_s
    return waited_s > MAX_PASSED_S and view.has_quota(job)


def explain(state, job):
    """Return why a queued job is not placed, one reason a line."""
    refusal, detail = job_rules.refuse_for_ever(state, job, job.size)
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
    return known or ['a host has room; the placement is being written']
