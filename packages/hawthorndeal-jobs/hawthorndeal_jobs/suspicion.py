"""Decide when an executor gets no more tasks for a while.

It answers executors that fail what others run, stand still or are slow. Each
is judged by its own runs, and let back after a while that grows with each
relapse.
"""

import statistics

from . import executors as executors_module

# Failed runs in a row before an executor is left alone for a while.
SUSPICIOUS_FAILURES = 2
SUSPEND_S = 1.0
MAX_SUSPEND_S = 8.0
# An executor that said it had no room is asked again after this time.
NO_ROOM_WAIT_S = 0.2
# Runs that must agree before an executor counts as slow.
MIN_SLOW_RUNS = 3
# Share of the expected progress below which a run counts as slow.
SLOW_SHARE = 0.25
# Time that a run must have had before its progress says anything.
PROGRESS_AFTER_S = 1.0
# Time without any progress after which a run counts as standing still.
STALLED_S = 1.8
# Runs expected to take longer may show no progress for a while.
LONGEST_JUDGED_S = 20.0


def note_done(executor):
    """Take in that a run here has ended well."""
    executor.failure_streak = 0


def note_failed(executor, now_s):
    """Take in that a run here has failed."""
    executor.failure_streak += 1
    if executor.failure_streak >= SUSPICIOUS_FAILURES:
        suspend(executor, now_s)


def note_no_room(executor, now_s):
    """Take in that it has less room than was thought."""
    _suspend_until(executor, now_s + NO_ROOM_WAIT_S)


def judge_progress(executor, expected_s, now_s):
    """Take in how far an executor's runs are, and return those that stall.

    :param expected_s: returns how long a run is expected to take
    """
    judged = [
        (run, expected_s(run))
        for run in executor.runs.values()
        if _is_judged(run, now_s)
    ]
    judged = [pair for pair in judged if pair[1] <= LONGEST_JUDGED_S]
    if len(judged) < MIN_SLOW_RUNS:
        return []
    shares = [_progress_share(run, takes_s, now_s) for run, takes_s in judged]
    if statistics.median(shares) >= SLOW_SHARE:
        return []
    _suspend_until(executor, now_s + SUSPEND_S)
    stalled = [run for run, _ in judged if now_s - run.advanced_s > STALLED_S]
    # Only an executor on which nothing moves is given up on.
    return stalled if len(stalled) == len(judged) else []


def _is_judged(run, now_s):
    return (
        run.phase is executors_module.RunPhase.RUNNING
        and not run.step.is_lasting
        and not run.step.is_filler
        and not run.is_stop_wanted
        and run.began_s is not None
        and now_s - run.began_s >= PROGRESS_AFTER_S
    )


def _progress_share(run, takes_s, now_s):
    due = (now_s - run.began_s) / max(takes_s, PROGRESS_AFTER_S)
    return run.percent / 100.0 / due


def suspend(executor, now_s):
    """Give an executor no new runs for a while."""
    relapses = max(0, executor.failure_streak - SUSPICIOUS_FAILURES)
    wait_s = min(MAX_SUSPEND_S, SUSPEND_S * 2**relapses)
    _suspend_until(executor, now_s + wait_s)


def _suspend_until(executor, until_s):
    executor.suspended_until_s = max(executor.suspended_until_s, until_s)
