"""The rules of the fold for records about jobs.

They decide which job holds which capacity, and for how long.
"""

import math
import sys

import attrs

from . import job_records
from . import jobs as jobs_module
from . import leases
from . import pools
from . import quarantine
from . import quotas
from . import usage

ENDED_JOB_RETENTION_S = 900.0
MAX_JOBS = 40_000
MAX_HOSTS_TRIED = 3
MAX_LAPSES = 5
MAX_RUN_S = 30 * 24 * 3600.0
MIN_REMAINING_S = 1.0

_Refusal = job_records.JobRefusal
_Step = job_records.JobStep
_Outcome = job_records.JobOutcome
_Status = jobs_module.JobStatus


def submit(body, state, offset):
    """Queue a job that can run; a repeated submission changes nothing."""
    _expire_ended(state)
    if body.job_id in state.jobs:
        return _refuse_other_workspace(state.jobs[body.job_id], body)
    ended = state.ended_jobs.get(body.job_id)
    if ended is not None:
        return _refuse_other_workspace(ended, body) or _refusal_reason(ended)
    if body.submitted_s + ENDED_JOB_RETENTION_S <= state.log_time_s:
        return (
            f'{_Refusal.TOO_OLD.value}: submitted more than '
            f'{ENDED_JOB_RETENTION_S:g} s ago'
        )
    if len(state.jobs) + len(state.ended_jobs) >= MAX_JOBS:
        return f'{_Refusal.TOO_MANY.value}: the limit is {MAX_JOBS} jobs'
    refusal, detail = refuse_permanently(
        state, body, jobs_module.declared_size(body)
    )
    if refusal is not _Refusal.NONE:
        _retain_ended(state, body, _Outcome.REFUSED, refusal, detail)
        return f'{refusal.value}: {detail}'
    job = _make_job(body, state, offset)
    state.jobs[job.job_id] = job
    state.ledger.add(job)
    return None


def _refuse_other_workspace(known, body):
    if known.workspace != body.workspace:
        return f'job {body.job_id!r} belongs to another workspace'
    return None


def _refusal_reason(ended):
    if ended.outcome is not _Outcome.REFUSED:
        return None
    return f'{ended.refusal.value}: {ended.detail}'


def _make_job(body, state, offset):
    # Each decoded record has its own copies of the names, which thousands of
    # jobs share; interning saves their memory.
    return jobs_module.Job(
        job_id=body.job_id,
        workspace=sys.intern(body.workspace),
        pool=sys.intern(body.pool),
        size=jobs_module.declared_size(body),
        run_s=body.run_s,
        urgency=body.urgency,
        is_checkpointable=body.is_checkpointable,
        queued_offset=offset,
        queued_s=state.log_time_s,
    )


def refuse_permanently(state, job, size):
    """Return the refusal of a job that can never run, and its detail.

    The refusal is ``JobRefusal.NONE`` if the job can run on this fleet.

    :param job: a job, or the body that submits one
    :rtype: tuple[job_records.JobRefusal, str]
    """
    if not _has_valid_size(job, size):
        return _Refusal.BAD_SIZE, f'bad size {size} or run time {job.run_s} s'
    if job.pool not in state.fleet.pools:
        return _Refusal.UNKNOWN_POOL, f'pool {job.pool!r} is not declared'
    if job.workspace not in state.fleet.workspaces:
        detail = f'workspace {job.workspace!r} is not declared'
        return _Refusal.UNKNOWN_WORKSPACE, detail
    if quotas.exceeds_quota(state, job.workspace, size):
        detail = f'{size} exceeds the quota of workspace {job.workspace!r}'
        return _Refusal.OVER_QUOTA, detail
    hosts = pools.hosts_of(state, job.pool)
    sizes = (jobs_module.capacity_of(state.fleet.hosts[h]) for h in hosts)
    if not any(size.fits(capacity) for capacity in sizes):
        detail = f'{size} fits on no host of pool {job.pool!r}'
        return _Refusal.TOO_LARGE, detail
    return _Refusal.NONE, ''


def _has_valid_size(job, size):
    is_sized = size.cpu_millicores > 0 and size.memory_bytes > 0
    return is_sized and math.isfinite(job.run_s) and job.run_s <= MAX_RUN_S


def place(body, state, offset):
    """Place a queued job on a host that has enough free capacity."""
    job = state.jobs.get(body.job_id)
    refusal = _refuse_place(body, state, job)
    if refusal is not None:
        return refusal
    leases.renew_holder(state, body.holder)
    host = state.fleet.hosts[body.host]
    capacity = jobs_module.capacity_of(host)
    charge = usage.corrected_size(state, job, capacity)
    placed = attrs.evolve(
        job,
        status=_Status.PLACED,
        host=sys.intern(body.host),
        holder=sys.intern(body.holder),
        lease=offset,
        placed_s=state.log_time_s,
        charge=charge,
        full_charge=charge,
        domains=jobs_module.failure_domains(host),
    )
    jobs_module.replace(state, job, placed)
    return None


def _refuse_place(body, state, job):
    if job is None:
        return f'job {body.job_id!r} has ended or is not known'
    if not job.is_queued or job.queued_offset != body.queued_offset:
        return (
            f'job {body.job_id!r} was placed or queued again since, '
            f'its lease is {job.lease}'
        )
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    return refuse_host(state, job, body.host)


def refuse_host(state, job, host):
    """Return why a queued job can't be placed on a host now, or None."""
    declared = state.fleet.hosts.get(host)
    if declared is None or declared.pool != job.pool:
        return f'host {host!r} is not in pool {job.pool!r}'
    if host in state.disruptions:
        return f'host {host!r} is under maintenance'
    if host in state.down_hosts:
        return f'host {host!r} is down'
    if host in job.failed_hosts:
        return f'the job already failed on host {host!r}'
    charge = usage.corrected_size(
        state, job, jobs_module.capacity_of(declared)
    )
    if not charge.fits(pools.free_capacity(state, host)):
        return f'host {host!r} has no room'
    return quotas.refuse(state, job.workspace, job.size) or quarantine.refuse(
        state, host, job.is_urgent
    )


def _find_placed(body, state):
    job = state.jobs.get(body.job_id)
    if job is None or job.is_queued or job.lease != body.lease:
        return None
    return job


def step(body, state, offset):
    """Apply a change to a placed job."""
    job = _find_placed(body, state)
    if job is None:
        return f'job {body.job_id!r} is not placed by lease {body.lease}'
    return _STEPS[body.step](body, state, offset, job)


def _run(body, state, offset, job):
    if not can_resume(state, job):
        return f'host {job.host!r} has no room to resume {job.job_id!r}'
    running = attrs.evolve(
        job,
        status=_Status.RUNNING,
        charge=job.full_charge,
        ran_offset=offset,
        abandoned_s=0.0,
    )
    jobs_module.replace(state, job, running)
    return None


def can_resume(state, job):
    """Return whether a placed job's host can run it without throttling."""
    if job.charge == job.full_charge:
        return True
    if job.host not in state.fleet.hosts:
        return False
    room = pools.free_capacity(state, job.host).plus(job.charge)
    return job.full_charge.fits(room)


def _throttle(body, state, offset, job):
    if job.status is not _Status.RUNNING:
        return f'job {job.job_id!r} is {job.status.value}'
    if body.seen_offset <= job.ran_offset:
        return f'job {job.job_id!r} was resumed at offset {job.ran_offset}'
    throttled = attrs.evolve(
        job, status=_Status.THROTTLED, charge=job.charge.throttled()
    )
    jobs_module.replace(state, job, throttled)
    return None


def _return_to_queue(body, state, offset, job):
    _requeue(state, offset, job)
    return None


def _checkpoint(body, state, offset, job):
    usage.note(state, job, body.usage)
    done_s = body.progress_s if math.isfinite(body.progress_s) else 0.0
    remaining_s = max(MIN_REMAINING_S, job.run_s - max(0.0, done_s))
    _requeue(state, offset, job, run_s=remaining_s, has_checkpoint=True)
    return None


def _abandon(body, state, offset, job):
    if job.holder != body.holder:
        return f'{body.holder!r} does not hold job {job.job_id!r}'
    if not job.abandoned_s:
        abandoned = attrs.evolve(job, abandoned_s=state.log_time_s)
        jobs_module.replace(state, job, abandoned)
    return None


def _lapse(body, state, offset, job):
    if not leases.is_lapsed(state, job):
        return f'lease {job.lease} may not have lapsed at the worker yet'
    if job.lapses + 1 >= MAX_LAPSES:
        detail = f'its lease lapsed {MAX_LAPSES} times'
        _finish(state, job, _Outcome.FAILED, detail)
        return None
    _requeue(state, offset, job, lapses=job.lapses + 1)
    return None


_STEPS = {
    _Step.RUNNING: _run,
    _Step.THROTTLED: _throttle,
    _Step.RETURNED: _return_to_queue,
    _Step.CHECKPOINTED: _checkpoint,
    _Step.ABANDONED: _abandon,
    _Step.LAPSED: _lapse,
}


def _requeue(state, offset, job, **changes):
    if job.is_cancelled:
        _finish(state, job, _Outcome.CANCELLED)
        return
    queued = attrs.evolve(
        job,
        status=_Status.QUEUED,
        queued_offset=offset,
        host='',
        holder='',
        lease=-1,
        charge=jobs_module.Size(),
        full_charge=jobs_module.Size(),
        ran_offset=-1,
        domains=(),
        abandoned_s=0.0,
        **changes,
    )
    jobs_module.replace(state, job, queued)


def end(body, state, offset):
    """End a placed or queued job; a failed one is retried on other hosts."""
    if body.lease < 0:
        return _end_queued(body, state)
    job = _find_placed(body, state)
    if job is None:
        return f'job {body.job_id!r} is not placed by lease {body.lease}'
    if body.outcome is _Outcome.REFUSED:
        return f'job {body.job_id!r} is placed and can no longer be refused'
    if body.outcome is _Outcome.CANCELLED and not job.is_cancelled:
        return f'job {body.job_id!r} is not cancelled'
    usage.note(state, job, body.usage)
    _note_evidence(state, job, body.outcome)
    if body.outcome is _Outcome.FAILED:
        _fail(body, state, offset, job)
    else:
        _finish(state, job, body.outcome, body.detail)
    return None


def _end_queued(body, state):
    job = state.jobs.get(body.job_id)
    if job is None or not job.is_queued:
        return f'job {body.job_id!r} is not queued'
    if body.outcome is not _Outcome.REFUSED:
        return f'a queued job cannot end as {body.outcome.value}'
    refusal, detail = refuse_permanently(state, job, job.size)
    if refusal is _Refusal.NONE:
        return f'job {body.job_id!r} can run'
    _finish(state, job, _Outcome.REFUSED, detail, refusal)
    return None


def _note_evidence(state, job, outcome):
    if outcome is not _Outcome.CANCELLED:
        is_failure = outcome is _Outcome.FAILED
        quarantine.note(state, job.host, job.pool, is_failure)


def _fail(body, state, offset, job):
    tried = (*job.failed_hosts, job.host)
    others = set(pools.hosts_of(state, job.pool)) - set(tried)
    if len(tried) >= MAX_HOSTS_TRIED or not others:
        _finish(state, job, _Outcome.FAILED, body.detail)
        return
    _requeue(state, offset, job, failed_hosts=tried)


def cancel(body, state, offset):
    """End a queued job at once; mark a placed one to be stopped."""
    known = state.jobs.get(body.job_id) or state.ended_jobs.get(body.job_id)
    if known is None:
        return f'job {body.job_id!r} is not known'
    refusal = _refuse_other_workspace(known, body)
    if refusal is not None or isinstance(known, jobs_module.EndedJob):
        return refusal
    if known.is_queued:
        _finish(state, known, _Outcome.CANCELLED)
    elif not known.is_cancelled:
        cancelled = attrs.evolve(known, is_cancelled=True)
        jobs_module.replace(state, known, cancelled)
    return None


def renew(body, state, offset):
    """Renew a holder of jobs."""
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    leases.remove_departed_holders(state)
    leases.renew_holder(state, body.holder)
    return None


def take(body, state, offset):
    """Transfer a lost holder's jobs in a pool to another daemon."""
    if body.holder not in state.members:
        return f'{body.holder!r} is not a member'
    if body.lost == body.holder:
        return None
    if not leases.is_lost(state, body.lost):
        return f'{body.lost!r} is not lost and keeps its jobs'
    leases.renew_holder(state, body.holder)
    held = [state.jobs[key] for key in state.ledger.held.get(body.lost, ())]
    for job in held:
        if job.pool == body.pool:
            transferred = attrs.evolve(job, holder=body.holder)
            jobs_module.replace(state, job, transferred)
    return None


def _finish(state, job, outcome, detail='', refusal=_Refusal.NONE):
    state.ledger.remove(job)
    del state.jobs[job.job_id]
    _retain_ended(state, job, outcome, refusal, detail)


def _retain_ended(state, job, outcome, refusal, detail):
    state.ended_jobs[job.job_id] = jobs_module.EndedJob(
        workspace=job.workspace,
        outcome=outcome,
        ended_s=state.log_time_s,
        refusal=refusal,
        detail=detail,
    )


def _expire_ended(state):
    # Jobs end in the order of log time and each submission leads to at most
    # one of them, so checking the two oldest is enough.
    oldest = [key for key, _ in zip(state.ended_jobs, range(2))]
    for key in oldest:
        if (
            state.ended_jobs[key].ended_s + ENDED_JOB_RETENTION_S
            <= state.log_time_s
        ):
            del state.ended_jobs[key]
