"""Decide what a daemon does next about jobs and their tasks."""

import hashlib
import itertools
import typing

import attrs

from . import job_records
from . import job_rules
from . import jobs as jobs_module
from . import leases
from . import placement
from . import placing_acts as acts
from . import records
from . import tasks

MAX_ACTS = 200
MAX_DISPLACED = 50
# The next daemon in order places a job that has waited this long.
RANK_PATIENCE_S = 0.6
NEAR_END_S = 30.0
UNREACHABLE_S = 10.0
# Leases are renewed once this share of them has passed.
RENEW_SHARE = 0.3

_Step = job_records.JobStep
_Outcome = job_records.JobOutcome
_Status = jobs_module.JobStatus
_DISPLACING = tuple(records.Step)[1:]


@attrs.frozen
class Sight:
    """Hold what a daemon sees itself, beside the folded state.

    :ivar me: its incarnation
    :ivar now_s: its clock, in seconds since the epoch
    :ivar busy: jobs that it is acting on now, and hosts being probed
    :ivar avoided: hosts that refused a start lately
    :ivar reserved: capacity of placements under way, by job
    :ivar renewed_until_s: end of each lease as renewed last, by token
    :ivar unreachable_s: how long hosts have not answered
    :ivar blocked: count of changes of pools in which nothing could be
        placed a moment ago
    :ivar limit: acts that it can begin now
    :ivar turns: log time at which hosts are expected to be worked on
    """

    me: str
    now_s: float
    busy: typing.Any = frozenset()
    avoided: typing.Any = frozenset()
    reserved: dict[str, placement.Choice] = attrs.Factory(dict)
    renewed_until_s: dict[int, float] = attrs.Factory(dict)
    unreachable_s: dict[str, float] = attrs.Factory(dict)
    blocked: dict[str, int] = attrs.Factory(dict)
    limit: int = MAX_ACTS
    turns: dict[str, float] = attrs.Factory(dict)


def plan(state, sight):
    """Return what a daemon should do now, urgent things first.

    :rtype: list[placing_acts.Act]
    """
    found = itertools.chain(
        _renew_holder(state, sight),
        _start_and_stop(state, sight),
        _place(state, sight),
        _give_up_hosts(state, sight),
        _displace(state, sight),
        _resume(state, sight),
        _take(state, sight),
    )
    return list(itertools.islice(found, sight.limit))


def _renew_holder(state, sight):
    heard_s = state.holders.get(sight.me, 0.0)
    # Daemons without jobs renew as well: log time has to go on for a lost
    # holder to be noticed.
    is_due = sight.now_s >= heard_s + leases.HOLDER_RENEW_S
    if is_due and state.ledger.held and sight.me in state.members:
        yield acts.RenewHolder()


def _mine(state, sight, job_ids):
    jobs = (state.jobs[key] for key in job_ids if key not in sight.busy)
    return (job for job in jobs if job.holder == sight.me)


def _start_and_stop(state, sight):
    for job in _mine(state, sight, state.ledger.pending):
        if not job.abandoned_s and job.host not in sight.unreachable_s:
            # A host that is to be quiet gets no task started.
            is_unwanted = job.is_cancelled or job.host in state.disruptions
            kind = acts.Stop if is_unwanted else acts.Start
            yield kind(job.job_id)


def _place(state, sight):
    view = _view(state, sight)
    changes = state.ledger.changes
    ranks = {
        pool: rank(state, sight.me, pool)
        for pool in state.ledger.queues
        if sight.blocked.get(pool) != changes.get(pool, 0)
    }
    for pool, place in sorted(ranks.items(), key=lambda item: item[1]):
        if place is not None and _is_my_turn(state, sight, pool, place):
            yield from _place_pool(view, sight, pool)


def _place_pool(view, sight, pool):
    queue = view.state.ledger.queues[pool]
    for key in itertools.islice(queue.long, 1):
        job = view.state.jobs[key]
        refusal, _ = job_rules.refuse_for_ever(view.state, job, job.size)
        if refusal is not job_records.JobRefusal.NONE:
            yield acts.Refuse(key)
    choices = placement.place_queued(
        view, pool, sight.limit, sight.busy.__contains__
    )
    yield from (acts.Place(choice) for choice in choices)
    if not choices:
        yield acts.Blocked(pool, view.state.ledger.changes.get(pool, 0))


def _view(state, sight):
    view = placement.View(state, turns=sight.turns, avoided=set(sight.avoided))
    for job_id, choice in sight.reserved.items():
        job = state.jobs.get(job_id)
        if job is not None and job.is_queued:
            view.reserve(job, choice.host, choice.charge)
            view.yielding.update(one.job_id for one in choice.yields)
    return view


def rank(state, incarnation, name):
    """Return a member's place among all in caring for a name, or None."""
    if incarnation not in state.members:
        return None
    mine = _weight(incarnation, name)
    return sum(_weight(other, name) > mine for other in state.members)


def _weight(incarnation, name):
    key = f'{incarnation}/{name}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def _is_my_turn(state, sight, pool, place):
    if not place:
        return True
    queue = state.ledger.queues[pool]
    oldest = itertools.chain(
        itertools.islice(queue.urgent, 1), itertools.islice(queue.long, 1)
    )
    waited_s = max(sight.now_s - state.jobs[k].queued_s for k in oldest)
    return waited_s >= place * RANK_PATIENCE_S


def _give_up_hosts(state, sight):
    abandoned = (state.jobs[key].host for key in state.ledger.abandoned)
    suspects = dict.fromkeys(
        itertools.chain(state.down_hosts, sight.unreachable_s, abandoned)
    )
    for host in suspects:
        keys = state.ledger.on_host.get(host, ())
        jobs = list(_mine(state, sight, keys))
        if jobs and host not in sight.busy:
            yield acts.Probe(host)
        for job in jobs:
            yield from _give_up(state, sight, job)


def _give_up(state, sight, job):
    silent_s = sight.unreachable_s.get(job.host)
    if job.abandoned_s:
        if leases.is_lapsed(state, job):
            yield acts.Lapse(job.job_id)
    elif silent_s is not None:
        if job.host in state.down_hosts or silent_s >= UNREACHABLE_S:
            yield acts.Abandon(job.job_id)


def _displace(state, sight):
    found = (
        acts.Checkpoint(job.job_id)
        for host, disruption in state.disruptions.items()
        if disruption.step in _DISPLACING
        for job in _mine(state, sight, state.ledger.on_host.get(host, ()))
        if _must_move(state, job)
    )
    return itertools.islice(found, MAX_DISPLACED)


def _must_move(state, job):
    # A job that can't be checkpointed is waited for, never stopped.
    is_movable = job.is_checkpointable and not job.abandoned_s
    is_started = job.status is not _Status.PLACED
    return is_movable and is_started and left_s(state, job) > NEAR_END_S


def left_s(state, job):
    """Return the declared run time that a placed job has left."""
    return job.placed_s + job.run_s - state.log_time_s


def _resume(state, sight):
    for job in _mine(state, sight, state.ledger.throttled):
        queue = state.ledger.queues.get(job.pool)
        is_wanted = queue is None or not queue.urgent
        is_free = not job.is_cancelled and not job.abandoned_s
        if is_wanted and is_free and job_rules.can_resume(state, job):
            yield acts.Resume(job.job_id)


def _take(state, sight):
    for lost in state.ledger.held:
        if lost == sight.me or not leases.is_lost(state, lost):
            continue
        held = (state.jobs[key] for key in state.ledger.held[lost])
        for pool in {job.pool: None for job in held}:
            if _first_heard(state, pool) == sight.me:
                yield acts.Take(pool, lost)


def _first_heard(state, name):
    heard = (m for m in state.members if not leases.is_lost(state, m))
    return max(heard, key=lambda m: _weight(m, name), default=None)


def renewals(state, sight):
    """Return the leases to renew now, host by host.

    It goes through all jobs of the daemon, so it is called less often.

    :rtype: list[placing_acts.Renew]
    """
    groups = {}
    for key in state.ledger.held.get(sight.me, ()):
        job = state.jobs[key]
        if _needs_renewal(state, sight, job):
            ends = groups.setdefault(job.host, {})
            ends[job.lease] = leases.ends_s(state, job)
    return [acts.Renew(host, ends) for host, ends in groups.items()]


def _needs_renewal(state, sight, job):
    if job.abandoned_s or job.status is _Status.PLACED:
        return False
    known_s = sight.renewed_until_s.get(job.lease, job.placed_s)
    lease_s = leases.LEASE_S[job.urgency]
    gained_s = leases.ends_s(state, job) - known_s
    return gained_s >= RENEW_SHARE * lease_s


def settle(job, status, me):
    """Return the body to append for what a worker tells, or None.

    :param job: the job whose lease token the status has
    :param status: what its worker tells
    :param me: incarnation of the daemon
    """
    state = status.state
    if state in _STEPS:
        step, known = _STEPS[state]
        is_news = job.status not in known or job.abandoned_s
        return _stepped(job, status, me, step) if is_news else None
    outcome = _OUTCOMES.get(state)
    if state is tasks.TaskState.STOPPED and not job.is_cancelled:
        return _stepped(job, status, me, _Step.RETURNED)
    if outcome is None:
        return _stepped(job, status, me, _GIVEN_BACK[state])
    return job_records.JobEnded(
        job_id=job.job_id,
        lease=job.lease,
        outcome=outcome,
        holder=me,
        detail=status.detail,
        usage=status.usage,
    )


# A throttled task of a job that is charged in full is resumed, not noted.
_STEPS = {
    tasks.TaskState.RUNNING: (
        _Step.RUNNING,
        (_Status.RUNNING, _Status.THROTTLED),
    ),
    tasks.TaskState.THROTTLED: (
        _Step.RUNNING,
        (_Status.RUNNING, _Status.THROTTLED),
    ),
}
_OUTCOMES = {
    tasks.TaskState.DONE: _Outcome.DONE,
    tasks.TaskState.FAILED: _Outcome.FAILED,
    tasks.TaskState.STOPPED: _Outcome.CANCELLED,
}
_GIVEN_BACK = {
    tasks.TaskState.CHECKPOINTED: _Step.CHECKPOINTED,
    tasks.TaskState.LAPSED: _Step.RETURNED,
    tasks.TaskState.REFUSED: _Step.RETURNED,
}


def _stepped(job, status, me, step):
    return job_records.JobStepped(
        job_id=job.job_id,
        lease=job.lease,
        step=step,
        holder=me,
        progress_s=status.progress_s,
        usage=status.usage,
    )
