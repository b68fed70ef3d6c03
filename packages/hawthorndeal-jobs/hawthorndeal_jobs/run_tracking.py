"""Track runs from start request to end, with unknown call outcomes.

=============================  =============================================
observation                    conclusion
=============================  =============================================
no response to a start         the run may execute now or later, until a stop
                               is acknowledged and a later poll omits it; it
                               is stopped only if a poll omits it, since it
                               may be executing and only its answer be lost
no response to a stop          the run continues; the stop is retried
a poll lists a run             it is running, whatever was reported before
a poll omits a run             nothing, unless its start or its stop was
                               acknowledged before the poll was sent
the executor is unreachable    its runs continue until the last lease granted
                               has certainly expired
a run that was written off is  its result counts, and other runs of its task
reported as done               are stopped
the host has a new executor    all runs of the previous incarnation have
incarnation                    ended
the partition changed owner    a run in the store may be executing, until its
                               executor has seen the new epoch and omits it
=============================  =============================================
"""

import enum

import attrs

from . import crash_blame
from . import jobs
from . import run_state

STOP_RETRY_S = 0.4

_Phase = run_state.RunPhase
_Cause = run_state.EndCause


class StartAnswer(enum.Enum):
    """Outcome of a start request, as reported by the executor."""

    ACCEPTED = 'accepted'
    # The executor has seen the epoch of a newer owner.
    FENCED = 'fenced'
    # A run of this task with the same or a higher number was already
    # stopped or has ended on this executor.
    OLD_RUN = 'old_run'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    INVALID = 'invalid'
    # The executor rejects all work for now; the request had no effect.
    UNHEALTHY = 'unhealthy'
    # This incarnation of the host's executor has ended.
    GONE = 'gone'
    UNKNOWN = 'unknown'


@attrs.frozen
class FinishedRun:
    """A run that is not executing and can no longer start.

    :ivar cause: None if the run never started
    """

    run: run_state.Run
    cause: run_state.EndCause | None
    checkpoint: str = ''


@attrs.frozen
class OrphanRun:
    """A run on an executor that belongs to no known task."""

    executor_id: str
    task_id: jobs.TaskId
    number: int


@attrs.frozen
class PollOutcome:
    """What one poll revealed.

    :ivar finished_runs: runs that have ended or can no longer start
    :ivar found: runs whose start was unacknowledged and that are running
    :ivar orphans: runs of no known task, which have to be stopped
    :ivar started_jobs: jobs of which no run was known to have begun before
    """

    finished_runs: list[FinishedRun]
    found: list[run_state.Run]
    orphans: list[OrphanRun]
    started_jobs: list[jobs.Job]


def process_poll(executor, poll, find_occurrence):
    """Update an executor from a poll, and return what it revealed.

    :param find_occurrence: callable that returns the occurrence of a task, or
        None
    """
    incarnation = executor.incarnation
    incarnation.mark_fenced(poll.received_s)
    incarnation.born_ms = incarnation.born_ms or poll.born_ms
    executor.last_contact_s = executor.polled_s = poll.received_s
    executor.note_answer(poll.received_s)
    incarnation.expired_runs.clear()
    incarnation.update_clock(poll.clock_s, poll.received_s)
    finished_runs = _read_ends(executor, poll, find_occurrence)
    started_jobs = _unstarted_jobs(ended.run for ended in finished_runs)
    found, orphans = [], []
    listed = set()
    for row in poll.running:
        key = run_state.run_key(row.task_id, row.number)
        listed.add(key)
        run = executor.runs.get(key)
        if run is None:
            run = _adopt_run(executor, row, poll, find_occurrence)
        if run is None:
            orphans.append(
                OrphanRun(executor.executor_id, row.task_id, row.number)
            )
        else:
            started_jobs += _unstarted_jobs([run])
            if _update_running(run, row, poll):
                found.append(run)
    _note_unlisted(executor, poll, listed)
    if poll.is_whole:
        finished_runs += _missing_runs(executor, poll, listed)
    return PollOutcome(finished_runs, found, orphans, started_jobs)


def _unstarted_jobs(runs):
    """Return the jobs of runs that aren't known to have begun so far."""
    return [
        run.occurrence.job
        for run in runs
        if not run.occurrence.job.has_started
    ]


def unlisted_runs(executor, poll):
    """Return the sent runs that a poll lists neither as running nor ended."""
    rows = [*poll.running, *poll.ended]
    listed = {run_state.run_key(row.task_id, row.number) for row in rows}
    return [
        run
        for key, run in executor.runs.items()
        if key not in listed and run.phase is not _Phase.PLANNED
    ]


def may_start_late(run, poll):
    """Return whether a run that a poll doesn't list may still begin there.

    The poll may have been answered before the start of the run was.
    """
    return run.phase in (_Phase.SENT, _Phase.UNKNOWN) or (
        run.phase is _Phase.RUNNING and run.phase_changed_s >= poll.sent_s
    )


def _read_ends(executor, poll, find_occurrence):
    finished_runs = []
    for end in poll.ended:
        if end.sequence <= executor.incarnation.last_processed_end:
            continue
        executor.incarnation.last_processed_end = end.sequence
        run = executor.runs.get(run_state.run_key(end.task_id, end.number))
        if run is None and end.cause in (_Cause.DONE, _Cause.FAILED):
            # The run ended before its lease expired and was written off; its
            # result is still valid, and a failure is an attempt.
            run = _make_run(executor, end, poll, find_occurrence)
        if run is not None:
            finished_runs.append(FinishedRun(run, end.cause, end.checkpoint))
    return finished_runs


def _adopt_run(executor, row, poll, find_occurrence):
    run = _make_run(executor, row, poll, find_occurrence)
    if run is None:
        return None
    # Only the run that the task currently refers to may continue.
    must_end = run.occurrence.job.must_end_runs_of(run.step)
    run.is_stop_requested = must_end or not is_current(run)
    executor.add(run)
    return run


def _make_run(executor, row, poll, find_occurrence):
    """Return the run that a row describes, or None if its task is unknown."""
    occurrence = find_occurrence(row.task_id)
    if occurrence is None or occurrence.task(row.task_id) is None:
        return None
    spec = occurrence.job.spec.steps[row.task_id.step]
    return run_state.Run(
        row.task_id,
        row.number,
        occurrence,
        executor.executor_id,
        spec.reserved,
        _Phase.RUNNING,
        poll.received_s,
        probation_s=crash_blame.probation_s(occurrence.task(row.task_id)),
        is_inherited=True,
    )


def is_current(run):
    """Return True if the task of a run currently refers to this run."""
    task = run.task
    return (
        task.state is jobs.TaskState.ASSIGNED
        and task.run == run.number
        and task.executor == run.executor_id
    )


def _update_running(run, row, poll):
    is_new = run.phase is not _Phase.RUNNING
    if row.percent > run.percent or is_new:
        run.progressed_s = poll.received_s
    run.percent = row.percent
    run.usage = row.usage
    run.checkpoint = row.checkpoint or run.checkpoint
    if run.started_s is None:
        run.started_s = poll.received_s
    if not is_new:
        return False
    run.phase = _Phase.RUNNING
    run.phase_changed_s = poll.received_s
    return True


def _note_unlisted(executor, poll, listed):
    for key, run in executor.runs.items():
        if (
            run.phase is _Phase.UNKNOWN
            and poll.sent_s > run.phase_changed_s
            and key not in listed
        ):
            run.is_unlisted = True


def _missing_runs(executor, poll, listed):
    ended = {run_state.run_key(end.task_id, end.number) for end in poll.ended}
    return [
        FinishedRun(run, _cause_of_missing_run(run), run.checkpoint)
        for key, run in executor.runs.items()
        if key not in listed
        and key not in ended
        and _must_be_listed(run, poll.sent_s)
    ]


def _must_be_listed(run, sent_s):
    if run.phase is _Phase.RUNNING and sent_s > run.phase_changed_s:
        return True
    blocked_s = run.start_blocked_since_s
    return blocked_s is not None and sent_s > blocked_s


def _cause_of_missing_run(run):
    # A run whose start was blocked by a stop either never started, or its
    # end was already processed.
    return _Cause.LAPSED if run.phase is _Phase.RUNNING else None


def apply_start_answer(run, answer, now_s):
    """Update a run with the outcome of its start request.

    :returns: a :class:`FinishedRun` if the run cannot start, otherwise None
    """
    if run.phase is not _Phase.SENT:
        return None
    if answer is StartAnswer.ACCEPTED:
        run.phase = _Phase.RUNNING
        run.phase_changed_s = run.progressed_s = now_s
        run.started_s = now_s
        return None
    if answer is StartAnswer.UNKNOWN:
        run.phase = _Phase.UNKNOWN
        run.phase_changed_s = now_s
        return None
    return FinishedRun(run, None)


def apply_stop_answer(run, is_answered, now_s):
    """Record whether the executor acknowledged a stop request."""
    run.is_stop_in_flight = False
    run.stop_retry_s = now_s + STOP_RETRY_S
    if is_answered and run.start_blocked_since_s is None:
        run.start_blocked_since_s = now_s


def needs_stop(run, now_s):
    """Return True if a stop request should be sent for a run now."""
    if run.is_stop_in_flight or now_s < run.stop_retry_s:
        return False
    if run.phase is _Phase.PLANNED:
        return False
    is_unlisted = run.phase is _Phase.UNKNOWN and run.is_unlisted
    return run.is_stop_requested or is_unlisted


def inherit(executor, run_key, occurrence, since_s):
    """Add a run requested by a previous owner to its executor."""
    task_id, number = run_key
    spec = occurrence.job.spec.steps[task_id.step]
    run = run_state.Run(
        task_id,
        number,
        occurrence,
        executor.executor_id,
        spec.reserved,
        _Phase.INHERITED,
        since_s,
        # Polls carry the new epoch, which fences the requests of previous
        # owners.
        start_blocked_since_s=since_s,
        probation_s=crash_blame.probation_s(occurrence.task(task_id)),
        is_inherited=True,
    )
    executor.add(run)
    return run
