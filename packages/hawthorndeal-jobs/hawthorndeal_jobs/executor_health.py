"""Keep new runs from unhealthy executors for a limited time.

An executor that rejects runs or isn't reached is suspended: nothing starts
there. One whose runs fail repeatedly, stall or make slow progress is
distrusted: runs start there if no other executor has room for them. The
distrust after failures doubles with each further failure in a row, of which a
step counts only as many as it takes to distrust an executor.
"""

import statistics

from . import run_state

# Consecutive failed runs before an executor is distrusted.
FAILURES_BEFORE_DISTRUST = 2
DISTRUST_S = 1.0
MAX_DOUBLINGS = 3
# Age of a success up to which an executor counts as able to run tasks.
MAX_SUCCESS_AGE_S = 5.0
# Suspension of an executor that isn't reached, or says that it is unhealthy.
SUSPEND_S = 1.0
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


def record_success(executor, run, now_s):
    """Record a successful run."""
    executor.failures.clear()
    executor.succeeded_s = now_s
    if run.planned_s >= executor.failing_since_s:
        executor.failing_until_s = 0.0


def has_succeeded_lately(executor, now_s):
    """Return whether an executor is known not to fail all that it starts."""
    return now_s - executor.succeeded_s < MAX_SUCCESS_AGE_S


def record_failure(executor, step_key, now_s):
    """Record a failed run of a step."""
    executor.failures[step_key] += 1
    count = sum(
        min(failures, FAILURES_BEFORE_DISTRUST)
        for failures in executor.failures.values()
    )
    if count < FAILURES_BEFORE_DISTRUST:
        return
    if executor.failing_until_s <= now_s:
        executor.distrusted_for.clear()
        executor.failing_since_s = now_s
    executor.distrusted_for.update(executor.failures)
    doublings = min(MAX_DOUBLINGS, count - FAILURES_BEFORE_DISTRUST)
    executor.failing_until_s = max(
        executor.failing_until_s, now_s + DISTRUST_S * 2**doublings
    )


def retract_failures(executor, step_key):
    """Forget the failures of a step that fails on any executor."""
    executor.failures.pop(step_key, None)
    if step_key not in executor.distrusted_for:
        return
    executor.distrusted_for.discard(step_key)
    if not executor.distrusted_for:
        executor.failing_until_s = 0.0


def record_no_room(executor, now_s):
    """Record that an executor had less room than expected."""
    _suspend_until(executor, now_s + NO_ROOM_SUSPEND_S)


def check_progress(executor, expected_s, now_s):
    """Distrust an executor whose runs are slow, and return the stalled runs.

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
    executor.slow_until_s = now_s + DISTRUST_S
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
    _suspend_until(executor, now_s + SUSPEND_S)


def _suspend_until(executor, until_s):
    executor.suspended_until_s = max(executor.suspended_until_s, until_s)
