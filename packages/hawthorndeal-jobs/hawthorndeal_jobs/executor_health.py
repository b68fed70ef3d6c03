"""Suspend unhealthy executors from new runs for a limited time.

An executor is suspended when its runs fail repeatedly, stall or make slow
progress. Each executor is judged by its own runs. The suspension after
failures doubles with each further failure in a row.
"""

import statistics

from . import run_state

# Consecutive failed runs before an executor is suspended.
FAILURES_BEFORE_SUSPENSION = 2
SUSPEND_S = 1.0
MAX_SUSPEND_S = 8.0
# Suspension of an executor that rejected a run for lack of room.
NO_ROOM_SUSPEND_S = 0.2
# Minimum number of measured runs before an executor can count as slow.
MIN_MEASURED_RUNS = 3
# Fraction of the expected progress below which a run counts as slow.
SLOW_PROGRESS_SHARE = 0.25
# Minimum age of a run before its progress is measured.
MIN_MEASURED_S = 1.0
# Time without progress after which a run counts as stalled.
STALL_TIMEOUT_S = 1.8
# Runs with a longer expected run time are not measured, since they may report
# no progress for a while.
MAX_MEASURED_RUN_S = 20.0


def record_success(executor):
    """Record a successful run."""
    executor.incarnation.consecutive_failures = 0


def record_failure(executor, now_s):
    """Record a failed run."""
    executor.incarnation.consecutive_failures += 1
    if executor.incarnation.consecutive_failures >= FAILURES_BEFORE_SUSPENSION:
        suspend(executor, now_s)


def record_no_room(executor, now_s):
    """Record that an executor had less room than expected."""
    _suspend_until(executor, now_s + NO_ROOM_SUSPEND_S)


def check_progress(executor, expected_s, now_s):
    """Suspend an executor whose runs are slow, and return the stalled runs.

    :param expected_s: callable that returns the expected run time of a run
    """
    measured = [
        (run, expected_s(run))
        for run in executor.runs.values()
        if _is_measurable(run, now_s)
    ]
    measured = [pair for pair in measured if pair[1] <= MAX_MEASURED_RUN_S]
    if len(measured) < MIN_MEASURED_RUNS:
        return []
    shares = [
        _progress_share(run, run_time_s, now_s) for run, run_time_s in measured
    ]
    if statistics.median(shares) >= SLOW_PROGRESS_SHARE:
        return []
    _suspend_until(executor, now_s + SUSPEND_S)
    stalled = [
        run
        for run, _ in measured
        if now_s - run.progressed_s > STALL_TIMEOUT_S
    ]
    # Stalled runs are given up only if all measured runs have stalled.
    return stalled if len(stalled) == len(measured) else []


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


def suspend(executor, now_s):
    """Place no new runs on an executor for a while."""
    extra_failures = max(
        0,
        executor.incarnation.consecutive_failures - FAILURES_BEFORE_SUSPENSION,
    )
    wait_s = min(MAX_SUSPEND_S, SUSPEND_S * 2**extra_failures)
    _suspend_until(executor, now_s + wait_s)


def _suspend_until(executor, until_s):
    executor.incarnation.suspended_until_s = max(
        executor.incarnation.suspended_until_s, until_s
    )
