"""Plan the actions of a daemon on jobs and their tasks."""

import hashlib
import itertools
import typing

import attrs

from . import job_records
from . import job_rules
from . import jobs as jobs_module
from . import leases
from . import placement
from . import placement_actions as actions
from . import records
from . import tasks

MAX_ACTIONS = 200
MAX_DISPLACED = 50
# Members are ranked for each pool; rank n places its jobs once the oldest has
# waited n times this long.
RANK_DELAY_S = 0.6
# Jobs that are expected to end within this time are not displaced.
NEAR_END_S = 30.0
UNREACHABLE_S = 10.0
# Leases are renewed once they can be extended by this share of their length.
RENEW_SHARE = 0.3

_Step = job_records.JobStep
_Outcome = job_records.JobOutcome
_Status = jobs_module.JobStatus
_DISPLACING_STEPS = tuple(records.Step)[1:]


@attrs.frozen
class Observation:
    """Describe what a daemon observes locally, beside the folded state.

    :ivar own_incarnation: the daemon's incarnation
    :ivar now_s: its clock, in seconds since the epoch
    :ivar busy: jobs with an action in progress, and hosts being probed
    :ivar avoided: hosts that recently refused to start a task
    :ivar reserved: choices for placements under way, by job
    :ivar renewed_until_s: end of each lease at its last renewal, by token
    :ivar unreachable_s: how long each unreachable host has not answered
    :ivar blocked: change counts of pools in which no job could be placed
    :ivar limit: maximum number of actions to start now
    :ivar maintenance_starts: log time at which maintenance of hosts is
        expected to start
    """

    own_incarnation: str
    now_s: float
    busy: typing.Any = frozenset()
    avoided: typing.Any = frozenset()
    reserved: dict[str, placement.Choice] = attrs.Factory(dict)
    renewed_until_s: dict[int, float] = attrs.Factory(dict)
    unreachable_s: dict[str, float] = attrs.Factory(dict)
    blocked: dict[str, int] = attrs.Factory(dict)
    limit: int = MAX_ACTIONS
    maintenance_starts: dict[str, float] = attrs.Factory(dict)


def plan(state, observation):
    """Return the actions that a daemon should take now, most urgent first.

    :rtype: list[placement_actions.Action]
    """
    found = itertools.chain(
        _renew_holder(state, observation),
        _start_and_stop(state, observation),
        _place(state, observation),
        _handle_unreachable_hosts(state, observation),
        _displace(state, observation),
        _resume(state, observation),
        _take(state, observation),
    )
    return list(itertools.islice(found, observation.limit))


def _renew_holder(state, observation):
    last_renewal_s = state.holders.get(observation.own_incarnation, 0.0)
    # Daemons without jobs renew as well, since a lost holder is only noticed
    # while log time advances.
    is_due = (
        observation.now_s >= last_renewal_s + leases.HOLDER_RENEWAL_INTERVAL_S
    )
    if (
        is_due
        and state.ledger.held
        and observation.own_incarnation in state.members
    ):
        yield actions.RenewHolder()


def _own_jobs(state, observation, job_ids):
    jobs = (state.jobs[key] for key in job_ids if key not in observation.busy)
    return (job for job in jobs if job.holder == observation.own_incarnation)


def _start_and_stop(state, observation):
    for job in _own_jobs(state, observation, state.ledger.pending):
        if not job.abandoned_s and job.host not in observation.unreachable_s:
            # No task is started on a host that is under disruption.
            must_stop = job.is_cancelled or job.host in state.disruptions
            kind = actions.Stop if must_stop else actions.Start
            yield kind(job.job_id)


def _place(state, observation):
    view = _view(state, observation)
    changes = state.ledger.changes
    ranks = {
        pool: rendezvous_rank(state, observation.own_incarnation, pool)
        for pool in state.ledger.queues
        if observation.blocked.get(pool) != changes.get(pool, 0)
    }
    for pool, own_rank in sorted(ranks.items(), key=lambda item: item[1]):
        if own_rank is not None and _may_place(
            state, observation, pool, own_rank
        ):
            yield from _place_pool(view, observation, pool)


def _place_pool(view, observation, pool):
    queue = view.state.ledger.queues[pool]
    for key in itertools.islice(queue.long, 1):
        job = view.state.jobs[key]
        refusal, _ = job_rules.refuse_permanently(view.state, job, job.size)
        if refusal is not job_records.JobRefusal.NONE:
            yield actions.Refuse(key)
    choices = placement.place_queued(
        view, pool, observation.limit, observation.busy.__contains__
    )
    yield from (actions.Place(choice) for choice in choices)
    if not choices:
        yield actions.Blocked(pool, view.state.ledger.changes.get(pool, 0))


def _view(state, observation):
    view = placement.PlacementView(
        state,
        maintenance_starts=observation.maintenance_starts,
        avoided=set(observation.avoided),
    )
    for job_id, choice in observation.reserved.items():
        job = state.jobs.get(job_id)
        if job is not None and job.is_queued:
            view.reserve(job, choice.host, choice.charge)
            view.preempted.update(
                preemption.job_id for preemption in choice.preemptions
            )
    return view


def rendezvous_rank(state, incarnation, name):
    """Return a member's rank for a name by rendezvous hashing, or None."""
    if incarnation not in state.members:
        return None
    own_weight = _rendezvous_weight(incarnation, name)
    return sum(
        _rendezvous_weight(other, name) > own_weight for other in state.members
    )


def _rendezvous_weight(incarnation, name):
    key = f'{incarnation}/{name}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def _may_place(state, observation, pool, own_rank):
    if not own_rank:
        return True
    queue = state.ledger.queues[pool]
    oldest = itertools.chain(
        itertools.islice(queue.urgent, 1), itertools.islice(queue.long, 1)
    )
    waited_s = max(observation.now_s - state.jobs[k].queued_s for k in oldest)
    return waited_s >= own_rank * RANK_DELAY_S


def _handle_unreachable_hosts(state, observation):
    abandoned = (state.jobs[key].host for key in state.ledger.abandoned)
    suspects = dict.fromkeys(
        itertools.chain(state.down_hosts, observation.unreachable_s, abandoned)
    )
    for host in suspects:
        keys = state.ledger.on_host.get(host, ())
        jobs = list(_own_jobs(state, observation, keys))
        if jobs and host not in observation.busy:
            yield actions.Probe(host)
        for job in jobs:
            yield from _abandon_or_lapse(state, observation, job)


def _abandon_or_lapse(state, observation, job):
    silent_s = observation.unreachable_s.get(job.host)
    if job.abandoned_s:
        if leases.is_lapsed(state, job):
            yield actions.Lapse(job.job_id)
    elif silent_s is not None:
        if job.host in state.down_hosts or silent_s >= UNREACHABLE_S:
            yield actions.Abandon(job.job_id)


def _displace(state, observation):
    found = (
        actions.Checkpoint(job.job_id)
        for host, disruption in state.disruptions.items()
        if disruption.step in _DISPLACING_STEPS
        for job in _own_jobs(
            state, observation, state.ledger.on_host.get(host, ())
        )
        if _must_move(state, job)
    )
    return itertools.islice(found, MAX_DISPLACED)


def _must_move(state, job):
    # Jobs that can't be checkpointed run to their end and are never stopped.
    is_movable = job.is_checkpointable and not job.abandoned_s
    is_started = job.status is not _Status.PLACED
    return is_movable and is_started and remaining_s(state, job) > NEAR_END_S


def remaining_s(state, job):
    """Return the remaining declared run time of a placed job."""
    return job.placed_s + job.run_s - state.log_time_s


def _resume(state, observation):
    for job in _own_jobs(state, observation, state.ledger.throttled):
        queue = state.ledger.queues.get(job.pool)
        is_wanted = queue is None or not queue.urgent
        is_free = not job.is_cancelled and not job.abandoned_s
        if is_wanted and is_free and job_rules.can_resume(state, job):
            yield actions.Resume(job.job_id)


def _take(state, observation):
    for lost in state.ledger.held:
        if lost == observation.own_incarnation or not leases.is_lost(
            state, lost
        ):
            continue
        held = (state.jobs[key] for key in state.ledger.held[lost])
        for pool in {job.pool: None for job in held}:
            if (
                _preferred_live_member(state, pool)
                == observation.own_incarnation
            ):
                yield actions.TakeOver(pool, lost)


def _preferred_live_member(state, name):
    live_members = (m for m in state.members if not leases.is_lost(state, m))
    return max(
        live_members, key=lambda m: _rendezvous_weight(m, name), default=None
    )


def renewals(state, observation):
    """Return the lease renewals that are due, one action for each host.

    This iterates over all jobs of the daemon, so it is called less often than
    :func:`plan`.

    :rtype: list[placement_actions.Renew]
    """
    groups = {}
    for key in state.ledger.held.get(observation.own_incarnation, ()):
        job = state.jobs[key]
        if _needs_renewal(state, observation, job):
            ends = groups.setdefault(job.host, {})
            ends[job.lease] = leases.ends_s(state, job)
    return [actions.Renew(host, ends) for host, ends in groups.items()]


def _needs_renewal(state, observation, job):
    if job.abandoned_s or job.status is _Status.PLACED:
        return False
    known_s = observation.renewed_until_s.get(job.lease, job.placed_s)
    lease_s = leases.LEASE_S[job.urgency]
    extension_s = leases.ends_s(state, job) - known_s
    return extension_s >= RENEW_SHARE * lease_s


def body_for_status(job, status, own_incarnation):
    """Return the record body to append for a task status, or None.

    :param job: the job that holds the status's lease token
    :param status: task status as reported by its worker
    :param own_incarnation: incarnation of the daemon
    """
    state = status.state
    if state in _STEPS:
        step, known = _STEPS[state]
        is_new = job.status not in known or job.abandoned_s
        return _stepped(job, status, own_incarnation, step) if is_new else None
    outcome = _OUTCOMES.get(state)
    if state is tasks.TaskState.STOPPED and not job.is_cancelled:
        return _stepped(job, status, own_incarnation, _Step.RETURNED)
    if outcome is None:
        return _stepped(job, status, own_incarnation, _REQUEUE_STEPS[state])
    return job_records.JobEnded(
        job_id=job.job_id,
        lease=job.lease,
        outcome=outcome,
        holder=own_incarnation,
        detail=status.detail,
        usage=status.usage,
    )


# A throttled task of a job with a full charge is resumed instead of recorded
# as throttled.
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
_REQUEUE_STEPS = {
    tasks.TaskState.CHECKPOINTED: _Step.CHECKPOINTED,
    tasks.TaskState.LAPSED: _Step.RETURNED,
    tasks.TaskState.REFUSED: _Step.RETURNED,
}


def _stepped(job, status, own_incarnation, step):
    return job_records.JobStepped(
        job_id=job.job_id,
        lease=job.lease,
        step=step,
        holder=own_incarnation,
        progress_s=status.progress_s,
        usage=status.usage,
    )
