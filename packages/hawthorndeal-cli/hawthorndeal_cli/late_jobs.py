"""Attributes the lateness of jobs to causes, from log lines.

The time of a job from its first call to its end is followed along its longest
chain: from the task that ended last in each step back to the end of the step
before. What was not work is divided by what held at each moment. The steps of
a job are taken to follow each other.
"""

import collections
import enum
import statistics

import attrs

from . import log_history

# A run that takes longer than others of its step by this factor is slow.
SLOW_FACTOR = 1.5
# Runs of a step from which a typical run time is known.
MIN_RUNS = 3
# A start that was planned longer before its answer waited for the store or
# for its executor.
MAX_START_S = 0.1
# A job that has not ended is followed for this many times its objective.
CUTOFF_FACTOR = 3.0
MIN_SPAN_S = 1e-6


class Cause(enum.StrEnum):
    """What a job waited for, or what took its time."""

    REFUSED = 'refused at first'
    NEVER_ACCEPTED = 'refused, and never accepted'
    NO_OWNER = 'no owner'
    STARTS_HALTED = 'starts halted'
    HOSTS_ARRIVING = 'hosts on their way'
    NO_ROOM = 'no room, and no host left on standby'
    NOT_ASKED = 'other work first, no further host asked for'
    SLOW_START = 'start waited for store or executor'
    SLOW_EXECUTOR = 'slow executor'
    LOST_RUN = 'run lost with its executor'
    FAILED_RUN = 'failed run'
    ENDED_RUN = 'run stopped, lapsed or broken'
    PUBLISHING = 'end not noticed or told yet'
    FAILED = 'shown as failed'
    UNKNOWN = 'not known'


_RUN_CAUSES = {
    'lost': Cause.LOST_RUN,
    'failed': Cause.FAILED_RUN,
}


@attrs.frozen
class LostWork:
    """What was lost by one cause.

    :ivar jobs: number of late jobs; a job counts in parts where it had
        several causes
    :ivar work_core_s: their declared work
    """

    jobs: float
    work_core_s: float


@attrs.frozen
class Lateness:
    """What the callers of a set of jobs got.

    :ivar jobs: number of jobs that were owed
    :ivar work_core_s: their declared work
    :ivar lost: what was late or never done, by cause
    """

    jobs: int
    work_core_s: float
    lost: dict[Cause, LostWork]


def measure(history):
    """Return how late the jobs were, and why.

    Long-running and cancelled jobs are left out.

    :rtype: Lateness
    """
    owed = [
        job
        for job in history.jobs.values()
        if not job.is_lasting and not job.is_cancelled
    ]
    known = [j.work_core_s for j in owed if j.accepted_s is not None]
    mean_work = statistics.fmean(known) if known else 0.0
    jobs, work = collections.Counter(), collections.Counter()
    total_work = 0.0
    for job in owed:
        is_known = job.accepted_s is not None
        job_work = job.work_core_s if is_known else mean_work
        total_work += job_work
        for cause, share in _shares(job, history).items():
            jobs[cause] += share
            work[cause] += share * job_work
    lost = {
        cause: LostWork(jobs[cause], work[cause])
        for cause in sorted(jobs, key=lambda cause: -jobs[cause])
    }
    return Lateness(len(owed), total_work, lost)


def _shares(job, history):
    """Return the shares of the causes of a job's lateness; empty in time."""
    if job.accepted_s is None:
        return {Cause.NEVER_ACCEPTED: 1.0}
    if job.state == 'failed':
        return {Cause.FAILED: 1.0}
    cutoff_s = job.sent_s + CUTOFF_FACTOR * job.objective_s
    if job.ended_s is None and cutoff_s > history.end_s:
        # It may still be in time.
        return {}
    end_s = cutoff_s if job.ended_s is None else job.ended_s
    if end_s <= job.sent_s + job.objective_s:
        return {}
    seconds = collections.Counter()
    for span in _spans_of_job(job, end_s, history):
        seconds[span.label] += span.length_s
    total_s = sum(seconds.values())
    if total_s < MIN_SPAN_S:
        return {Cause.UNKNOWN: 1.0}
    return {cause: s / total_s for cause, s in seconds.items() if s > 0.0}


def _spans_of_job(job, end_s, history):
    """Yield what kept a job from being done, without its work."""
    Span = log_history.Span
    yield Span(job.sent_s, job.accepted_s, Cause.REFUSED)
    by_step = collections.defaultdict(list)
    for run in job.runs:
        if run.started_s <= end_s:
            by_step[run.step].append(run)
    ready_s = job.accepted_s
    for step in sorted(by_step):
        runs = by_step[step]
        last = _last_task(runs, end_s)
        yield from _spans_of_task(last, runs, ready_s, end_s, job, history)
        ready_s = min(end_s, max(_end_of(run, end_s) for run in last))
    if not by_step:
        yield from _waiting(Span(ready_s, end_s), job.pool, history)
    else:
        yield Span(ready_s, end_s, Cause.PUBLISHING)


def _last_task(runs, end_s):
    """Return the runs of the task that ended last, in order."""
    by_task = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    last = max(by_task.values(), key=lambda rs: _end_of(rs[-1], end_s))
    return sorted(last, key=lambda run: run.started_s)


def _end_of(run, end_s):
    return end_s if run.ended_s is None else min(end_s, run.ended_s)


def _spans_of_task(runs, step_runs, ready_s, end_s, job, history):
    Span = log_history.Span
    at_s = ready_s
    for run in runs:
        planned_s = max(at_s, run.planned_s)
        yield from _waiting(Span(at_s, planned_s), job.pool, history)
        yield from _start_spans(run, planned_s, history)
        run_end_s = _end_of(run, end_s)
        yield from _run_spans(run, run_end_s, step_runs)
        at_s = max(at_s, run_end_s)


def _start_spans(run, planned_s, history):
    if run.started_s - planned_s > MAX_START_S:
        start = log_history.Span(planned_s, run.started_s, Cause.SLOW_START)
        yield from _overlaid(start, history.absences, Cause.NO_OWNER)


def _run_spans(run, end_s, step_runs):
    Span = log_history.Span
    if run.cause in ('done', ''):
        slow_s = run.started_s + SLOW_FACTOR * _typical_s(step_runs, end_s)
        yield Span(slow_s, end_s, Cause.SLOW_EXECUTOR)
        return
    cause = _RUN_CAUSES.get(run.cause, Cause.ENDED_RUN)
    yield Span(run.started_s, end_s, cause)


def _typical_s(runs, end_s):
    """Return how long the runs of a step take that end well."""
    lengths_s = [
        run.ended_s - run.started_s for run in runs if run.cause == 'done'
    ]
    if len(lengths_s) < MIN_RUNS:
        return end_s
    return statistics.median(lengths_s)


def _waiting(span, pool, history):
    """Yield the parts of a wait, by what held at the time."""
    for part in _overlaid(span, history.halts, Cause.STARTS_HALTED):
        if part.label is Cause.STARTS_HALTED:
            yield part
            continue
        for rest in _overlaid(part, history.absences, Cause.NO_OWNER):
            if rest.label is Cause.NO_OWNER:
                yield rest
            else:
                cause = _cause_of_wait(pool, rest.begin_s, history)
                yield attrs.evolve(rest, label=cause)


def _overlaid(span, others, label):
    """Yield the parts of a span; those within others get another label."""
    at_s = span.begin_s
    for other in sorted(others, key=lambda other: other.begin_s):
        part = other.clip(at_s, span.end_s)
        if not part.length_s:
            continue
        yield attrs.evolve(span, begin_s=at_s, end_s=part.begin_s)
        yield attrs.evolve(part, label=label)
        at_s = part.end_s
    yield attrs.evolve(span, begin_s=at_s)


def _cause_of_wait(pool, time_s, history):
    # Hosts that the next sample shows were asked for in between.
    samples = history.samples_around(pool, time_s)
    if not samples:
        return Cause.UNKNOWN
    if any(sample.arriving for sample in samples):
        return Cause.HOSTS_ARRIVING
    is_any_left = any(
        sample.hosts
        for name in history.standby_pools
        for sample in history.samples_around(name, time_s)[:1]
    )
    return Cause.NOT_ASKED if is_any_left else Cause.NO_ROOM
