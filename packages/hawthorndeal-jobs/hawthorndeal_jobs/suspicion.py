"""Decide when an executor gets no more tasks for a while.

It answers executors that fail what others run: each is judged by its own
runs in a row, and let back after a while that grows with each relapse.
"""

# Failed runs in a row before an executor is left alone for a while.
SUSPICIOUS_FAILURES = 2
SUSPEND_S = 1.0
MAX_SUSPEND_S = 8.0
# An executor that said it had no room is asked again after this time.
NO_ROOM_WAIT_S = 0.2


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


def suspend(executor, now_s):
    """Give an executor no new runs for a while."""
    relapses = max(0, executor.failure_streak - SUSPICIOUS_FAILURES)
    wait_s = min(MAX_SUSPEND_S, SUSPEND_S * 2**relapses)
    _suspend_until(executor, now_s + wait_s)


def _suspend_until(executor, until_s):
    executor.suspended_until_s = max(executor.suspended_until_s, until_s)
