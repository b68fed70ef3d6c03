"""Decide when an executor gets no more tasks for a while.

It answers executors that fail what others run, stand still or are slow. Each
is judged by its own runs, and let back after a while that grows with each
relapse.
"""

import statistics

from . import executors as executors_module

# Failed runs in a row before an executor is left alone for a while.
FAILURES_BEFORE_SUSPENSION = 2
SUSPEND_S = 1.0
MAX_SUSPEND_S = 8.0
# An executor that said it had no room is asked again after this time.
NO_ROOM_SUSPEND_S = 0.2
# Runs that must agree before an executor counts as slow.
MIN_MEASURED_RUNS = 3
# Share of the expected progress below which a run counts as slow.
SLOW_PROGRESS_SHARE = 0.25
# Time that a run must have had before its progress says anything.
MIN_MEASURED_S = 1.0
# Time without any progress after which a run counts as standing still.
STALL_TIMEOUT_S = 1.8
# Runs expected to take longer may show no progress for a while.
MAX_MEASURED_RUN_S = 20.0


def record_success(executor):
    """Take in that a run here has ended well."""
    executor.consecutive_failures = 0


def record_failure(executor, now_s):
    """Take in that a run here has failed."""
    executor.consecutive_failures += 1
    if executor.consecutive_failures >= FAILURES_BEFORE_SUSPENSION:
        suspend(executor, now_s)


def record_no_room(executor, now_s):
    """Take in that it has less room than was thought."""
    _suspend_until(executor, now_s + NO_ROOM_SUSPEND_S)


def check_progress(executor, expected_s, now_s):
    """Take in how far an executor's runs are, and return those that stall.

    :param expected_s: returns how long a run is expected to take
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
    # Only an executor on which nothing moves is given up on.
    return stalled if len(stalled) == len(measured) else []


def _is_measurable(run, now_s):
    return (
        run.phase is executors_module.RunPhase.RUNNING
        and not run.step.is_lasting
        and not run.step.is_filler
        and not run.is_stop_wanted
        and run.started_s is not None
        and now_s - run.started_s >= MIN_MEASURED_S
    )


def _progress_share(run, run_time_s, now_s):
    due_share = (now_s - run.started_s) / max(run_time_s, MIN_MEASURED_S)
    return run.percent / 100.0 / due_share


def suspend(executor, now_s):
    """Give an executor no new runs for a while."""
    extra_failures = max(
        0, executor.consecutive_failures - FAILURES_BEFORE_SUSPENSION
    )
    wait_s = min(MAX_SUSPEND_S, SUSPEND_S * 2**extra_failures)
    _suspend_until(executor, now_s + wait_s)


def _suspend_until(executor, until_s):
    executor.suspended_until_s = max(executor.suspended_until_s, until_s)
