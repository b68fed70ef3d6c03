"""Follow runs from their order to their end; answers unknown outcomes.

==========================  ================================================
what is known               what is assumed
==========================  ================================================
a start was not answered    it may run now or later, until a stop of it was
                            answered and a later look doesn't list it
a stop was not answered     the run goes on; the stop is repeated
a look lists a run          it runs, whatever was answered before
a look doesn't list a run   nothing, unless its start or its stop was
                            answered before the look was sent
an executor is not reached  its runs go on until the last lease given has
                            surely run out
a run that was given up     its work counts, and what else runs of its
is told to be done          task is stopped
another life of its host    all runs of the earlier life have ended
the owner changed           a run in the store may run, until its executor
                            has seen the new epoch and doesn't list it
==========================  ================================================
"""

import enum

import attrs

from . import executors
from . import jobs

# Time for a look to show a run whose start was not answered.
UNKNOWN_START_WAIT_S = 0.2
STOP_RETRY_S = 0.4

_Phase = executors.RunPhase
_Cause = executors.EndCause


class StartAnswer(enum.Enum):
    """Name what an executor said to an order to start."""

    ACCEPTED = 'accepted'
    # A newer owner has been there.
    FENCED = 'fenced'
    # The number is not above one that was stopped or has ended there.
    OLD_RUN = 'old_run'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    INVALID = 'invalid'
    # It refuses all work for now, and has done nothing.
    UNHEALTHY = 'unhealthy'
    # This life of the host has ended.
    GONE = 'gone'
    UNKNOWN = 'unknown'


@attrs.frozen
class FinishedRun:
    """Tell that a run neither goes on nor can begin.

    :ivar cause: None where it never began
    """

    run: executors.Run
    cause: executors.EndCause | None
    checkpoint: str = ''


@attrs.frozen
class OrphanRun:
    """Name a run that no known task has ordered."""

    executor_id: str
    task_id: jobs.TaskId
    number: int


@attrs.frozen
class PollOutcome:
    """Hold what a look came to.

    :ivar over: runs that are over
    :ivar found: runs whose start was unknown and that do run
    :ivar strays: runs to stop that belong to no known task
    """

    finished_runs: list[FinishedRun]
    found: list[executors.Run]
    strays: list[OrphanRun]


def process_poll(executor, poll, find_occurrence):
    """Take in what an executor answered, and return what it means.

    :param find_occurrence: returns the occurrence of a task, or None
    """
    executor.mark_fenced(poll.received_s)
    executor.reached_s = poll.received_s
    executor.read_clock(poll.clock_s, poll.received_s)
    finished_runs = _read_ends(executor, poll, find_occurrence)
    found, strays = [], []
    listed = set()
    for row in poll.running:
        key = row.task_id, row.number
        listed.add(key)
        run = executor.runs.get(key)
        if run is None:
            run = _adopt_run(executor, row, poll, find_occurrence)
        if run is None:
            strays.append(
                OrphanRun(executor.executor_id, row.task_id, row.number)
            )
        elif _update_running(run, row, poll):
            found.append(run)
    if poll.is_whole:
        finished_runs += _missing_runs(executor, poll, listed)
    return PollOutcome(finished_runs, found, strays)


def _read_ends(executor, poll, find_occurrence):
    finished_runs = []
    for end in poll.ended:
        if end.sequence <= executor.last_processed_end:
            continue
        executor.last_processed_end = end.sequence
        run = executor.runs.get((end.task_id, end.number))
        if run is None and end.cause is _Cause.DONE:
            # It was given up with its lease, and had been done before.
            run = _make_run(executor, end, poll, find_occurrence)
        if run is not None:
            finished_runs.append(FinishedRun(run, end.cause, end.checkpoint))
    return finished_runs


def _adopt_run(executor, row, poll, find_occurrence):
    run = _make_run(executor, row, poll, find_occurrence)
    if run is None:
        return None
    # Only the run that the task has ordered may go on.
    run.is_stop_wanted = run.occurrence.job.is_terminal or not is_current(run)
    executor.add(run)
    return run


def _make_run(executor, row, poll, find_occurrence):
    """Return the run that a row tells of; None where no task is known."""
    occurrence = find_occurrence(row.task_id)
    if occurrence is None or occurrence.task(row.task_id) is None:
        return None
    spec = occurrence.job.spec.steps[row.task_id.step]
    return executors.Run(
        row.task_id,
        row.number,
        occurrence,
        executor.executor_id,
        spec.reserved,
        _Phase.RUNNING,
        poll.received_s,
    )


def is_current(run):
    """Tell whether a run is the one that its task has ordered."""
    task = run.task
    return (
        task.state is jobs.TaskState.ORDERED
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
    run.changed_s = poll.received_s
    return True


def _missing_runs(executor, poll, listed):
    ended = {(end.task_id, end.number) for end in poll.ended}
    return [
        FinishedRun(run, _cause_of_missing_run(run), run.checkpoint)
        for key, run in executor.runs.items()
        if key not in listed
        and key not in ended
        and _must_be_listed(run, poll.sent_s)
    ]


def _must_be_listed(run, sent_s):
    if run.phase is _Phase.RUNNING and sent_s > run.changed_s:
        return True
    blocked_s = run.start_blocked_since_s
    return blocked_s is not None and sent_s > blocked_s


def _cause_of_missing_run(run):
    # One that was stopped never began, or its end was taken in before.
    return _Cause.LAPSED if run.phase is _Phase.RUNNING else None


def apply_start_answer(run, answer, now_s):
    """Take in the answer to an order to start.

    :returns: a :class:`RunOver` where the run can't begin, else None
    """
    if run.phase is not _Phase.SENT:
        return None
    if answer is StartAnswer.ACCEPTED:
        run.phase = _Phase.RUNNING
        run.changed_s = run.progressed_s = now_s
        run.started_s = now_s
        return None
    if answer is StartAnswer.UNKNOWN:
        run.phase = _Phase.UNKNOWN
        run.changed_s = now_s
        run.stop_retry_s = now_s + UNKNOWN_START_WAIT_S
        return None
    return FinishedRun(run, None)


def apply_stop_answer(run, is_answered, now_s):
    """Take in whether an order to stop was answered."""
    run.is_stop_sent = False
    run.stop_retry_s = now_s + STOP_RETRY_S
    if is_answered and run.start_blocked_since_s is None:
        run.start_blocked_since_s = now_s


def needs_stop(run, now_s):
    """Tell whether a stop of a run is due now."""
    if run.is_stop_sent or now_s < run.stop_retry_s:
        return False
    if run.phase is _Phase.PLANNED:
        return False
    return run.is_stop_wanted or run.phase is _Phase.UNKNOWN


def inherit(executor, run_key, occurrence, since_s):
    """Put a run that an earlier owner has ordered on its executor."""
    task_id, number = run_key
    spec = occurrence.job.spec.steps[task_id.step]
    run = executors.Run(
        task_id,
        number,
        occurrence,
        executor.executor_id,
        spec.reserved,
        _Phase.INHERITED,
        since_s,
        # Looks carry the new epoch, which bars earlier owners' orders.
        start_blocked_since_s=since_s,
    )
    executor.add(run)
    return run
