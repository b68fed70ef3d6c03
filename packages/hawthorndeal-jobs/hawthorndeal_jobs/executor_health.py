"""Suspend unhealthy executors from new runs for a limited time.

An executor is suspended when its runs fail repeatedly or make slow progress,
and when it rejects runs or can't be reached. The former may be the fault of
the work: what the same job does elsewhere decides, and whether the other
executors of the pool do as badly. No more than a share of a pool is suspended
for it at once.
"""

import enum
import statistics

import attrs

from . import failure_evidence
from . import run_state

# Failed runs since the last successful one before an executor is suspended.
FAILURES_BEFORE_SUSPENSION = 2
SUSPEND_S = 1.0
MAX_SUSPEND_S = 8.0
# Suspension of an executor that rejected a run for lack of room.
NO_ROOM_SUSPEND_S = 0.2
# Share of a pool's executors that may be at fault at once; if more seem to be,
# the cause is another one.
MAX_FAULTY_SHARE = 0.25
# Minimum number of measured runs before an executor can count as slow.
MIN_MEASURED_RUNS = 3
# Fraction of the expected progress below which a run counts as slow.
SLOW_PROGRESS_SHARE = 0.25
# Age up to which the progress of other executors is compared with.
MAX_PROGRESS_AGE_S = 3.0
# Minimum age of a run before its progress is measured.
MIN_MEASURED_S = 1.0
# Time without progress after which a run counts as stalled.
STALL_TIMEOUT_S = 1.8
# Runs with a longer expected run time are not measured, since they may report
# no progress for a while.
MAX_MEASURED_RUN_S = 20.0


class Cause(enum.Enum):
    """Why an executor is suspended."""

    FAILURES = 'failures'
    SLOW = 'slow'
    NO_ROOM = 'no_room'
    UNAVAILABLE = 'unavailable'


# What the executor has not told itself.
_JUDGED = (Cause.FAILURES, Cause.SLOW)


@attrs.frozen
class SuspensionChange:
    """The begin or the early end of a suspension.

    :ivar for_s: how long it lasts; 0 if it has ended
    :ivar failed_runs: runs of each job that have failed on the executor since
        its last success
    """

    executor_id: str
    cause: Cause
    for_s: float
    failed_runs: dict[str, int]


class ExecutorHealth:
    """Judges the executors of a partition by their runs.

    :param peers: returns the executors of a pool
    """

    def __init__(self, peers):
        self._peers = peers
        self._evidence = failure_evidence.FailureEvidence()
        self._changes = []

    def pop_changes(self):
        """Return the changes of suspensions since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # Ends of runs

    def record_success(self, executor, run):
        """Record a successful run."""
        executor.incarnation.failed_runs.clear()
        self._evidence.note_success(executor, run)

    def record_failure(self, executor, run, now_s):
        """Record a failed run."""
        job = run.occurrence.job
        if job.is_terminal or self._evidence.is_at_fault(job.job_id):
            return
        executor.incarnation.failed_runs[job.job_id] += 1
        failed_on = self._evidence.note_failure(executor, run)
        peers = self._peers(executor.entry.pool)
        if failed_on > _max_faulty(peers):
            self._evidence.mark_at_fault(job.job_id)
            self._clear_failures(job.job_id, peers, now_s)
            return
        self._suspend_failing(executor, peers, now_s)

    def _suspend_failing(self, executor, peers, now_s):
        failures = executor.incarnation.failed_runs.total()
        if failures < FAILURES_BEFORE_SUSPENSION:
            return
        further = failures - FAILURES_BEFORE_SUSPENSION
        for_s = min(MAX_SUSPEND_S, SUSPEND_S * 2**further)
        self._suspend_judged(executor, Cause.FAILURES, for_s, peers, now_s)

    def record_given_up(self, run, now_s):
        """Record that the job of a failed run has no attempt left.

        Where nothing of the step has ever succeeded, its failures tell nothing
        of executors on which no other job has failed.
        """
        job_id, occurrence = run.occurrence.job.job_id, run.occurrence
        if occurrence.has_done_task(run.task_id.step):
            return
        executors = [
            executor
            for executor in self._peers(occurrence.job.pool)
            if executor.incarnation.failed_runs.keys() == {job_id}
        ]
        self._clear_failures(job_id, executors, now_s)

    def _clear_failures(self, job_id, executors, now_s):
        """Discard the failures of a job, and end what rests on them."""
        for executor in executors:
            failed_runs = executor.incarnation.failed_runs
            if not failed_runs.pop(job_id, 0):
                continue
            if failed_runs.total() < FAILURES_BEFORE_SUSPENSION:
                self._end_suspension(executor, Cause.FAILURES, now_s)

    def forget_job(self, job_id):
        """Forget what is known of a job that has ended."""
        self._evidence.forget_job(job_id)

    # Answers of executors

    def record_no_room(self, executor, now_s):
        """Record that an executor had less room than expected."""
        executor.incarnation.suspend(Cause.NO_ROOM, now_s + NO_ROOM_SUSPEND_S)

    def record_unavailable(self, executor, now_s):
        """Record that an executor rejects runs, or can't be reached."""
        executor.incarnation.suspend(Cause.UNAVAILABLE, now_s + SUSPEND_S)

    # Progress

    def check_progress(self, executor, expected_s, now_s):
        """Suspend an executor whose runs are slow, and return stalled runs.

        :param expected_s: callable that returns the expected run time of a run
        """
        measured = [
            (run, run_time_s)
            for run in executor.runs.values()
            if _is_measurable(run, now_s)
            and not self._evidence.is_at_fault(run.task_id.job_id)
            for run_time_s in [expected_s(run)]
            if run_time_s <= MAX_MEASURED_RUN_S
        ]
        if len(measured) < MIN_MEASURED_RUNS:
            executor.incarnation.progress = None
            return []
        share = statistics.median(
            _progress_share(run, run_time_s, now_s)
            for run, run_time_s in measured
        )
        executor.incarnation.progress = share, now_s
        if share >= SLOW_PROGRESS_SHARE:
            return []
        peers = self._peers(executor.entry.pool)
        if _are_slow(peers, executor, now_s):
            # The work is slow, or what it declares is odd.
            return []
        self._suspend_judged(executor, Cause.SLOW, SUSPEND_S, peers, now_s)
        stalled = [
            run
            for run, _ in measured
            if now_s - run.progressed_s > STALL_TIMEOUT_S
        ]
        # Stalled runs are given up only if all measured runs have stalled.
        if len(stalled) < len(measured):
            return []
        self._note_stalled(executor, stalled, peers)
        return stalled

    def _note_stalled(self, executor, runs, peers):
        """Record runs that are given up for want of progress.

        A job that stalls on many executors isn't measured any more.
        """
        for run in runs:
            failed_on = self._evidence.note_failure(executor, run)
            if failed_on > _max_faulty(peers):
                self._evidence.mark_at_fault(run.task_id.job_id)

    # Suspensions

    def _suspend_judged(self, executor, cause, for_s, peers, now_s):
        """Suspend an executor, unless many of its pool are suspended."""
        others = sum(
            any(peer.incarnation.is_suspended(c, now_s) for c in _JUDGED)
            for peer in peers
            if peer is not executor
        )
        if others >= _max_faulty(peers):
            return
        if not executor.incarnation.is_suspended(cause, now_s):
            self._note_change(executor, cause, for_s)
        executor.incarnation.suspend(cause, now_s + for_s)

    def _end_suspension(self, executor, cause, now_s):
        if executor.incarnation.is_suspended(cause, now_s):
            executor.incarnation.end_suspension(cause)
            self._note_change(executor, cause, 0.0)

    def _note_change(self, executor, cause, for_s):
        self._changes.append(
            SuspensionChange(
                executor.executor_id,
                cause,
                for_s,
                dict(executor.incarnation.failed_runs),
            )
        )


def _max_faulty(peers):
    """Return how many of some executors may be at fault at once."""
    known = sum(not executor.entry.is_leaving for executor in peers)
    return min(known - 1, max(1, int(known * MAX_FAULTY_SHARE)))


def _are_slow(peers, executor, now_s):
    """Return whether most other executors with measured runs are slow."""
    shares = [
        share
        for peer in peers
        if peer is not executor and peer.incarnation.progress is not None
        for share, measured_s in [peer.incarnation.progress]
        if now_s - measured_s <= MAX_PROGRESS_AGE_S
    ]
    slow = sum(share < SLOW_PROGRESS_SHARE for share in shares)
    return 2 * slow > len(shares)


def _is_measurable(run, now_s):
    return (
        run.phase is run_state.RunPhase.RUNNING
        and not run.step.is_lasting
        and not run.step.is_filler
        and not run.is_stop_requested
        and run.started_s is not None
        and now_s - run.started_s >= MIN_MEASURED_S
    )


def _progress_share(run, run_time_s, now_s):
    due_share = (now_s - run.started_s) / max(run_time_s, MIN_MEASURED_S)
    return run.percent / 100.0 / due_share
