"""Set the pace of filler tasks that share an executor with serving tasks.

Filler tasks are slowed down as soon as the tail latency of a serving task
approaches its target, and sped up again step by step. A filler of which the
pace is not known, since an earlier owner started it or a change was not
answered, is told its pace again.
"""

import math

import attrs

from . import run_state

# Fraction of the latency target above which fillers are slowed down.
HIGH_SHARE = 0.85
# Fraction of the latency target below which fillers may speed up.
LOW_SHARE = 0.6
# Minimum time between two changes, so that the effect of one is visible before
# the next.
SLOW_PERIOD_S = 0.5
RAISE_PERIOD_S = 2.0
RAISE_PERCENT = 20
FULL_PERCENT = 100


@attrs.frozen
class PaceChange:
    """A request to run at a percentage of full speed."""

    run: object
    percent: int


def plan(runs, now_s):
    """Return the changes of pace for one executor.

    :param runs: all runs on the executor
    """
    fillers = [run for run in runs if run.step.is_filler]
    if not fillers:
        return []
    shares = [
        run.usage / run.step.tail_target_ms
        for run in runs
        if run.step.tail_target_ms and not run.step.is_filler
    ]
    worst = max(shares, default=0.0)
    changes = []
    for run in fillers:
        percent = _next_percent(run, worst, now_s)
        if percent is not None:
            changes.append(PaceChange(run, percent))
    return changes


def are_settled(runs):
    """Return True if time alone changes no pace of an executor."""
    return not plan(runs, math.inf)


def _next_percent(run, worst, now_s):
    """Return the pace to tell a run now, or None."""
    since_s = now_s - run.pace_changed_s
    if run.is_pace_known:
        percent = _adapted(run.pace_percent, worst, since_s)
        return None if percent == run.pace_percent else percent
    if run.phase is not run_state.RunPhase.RUNNING:
        return None
    if since_s < SLOW_PERIOD_S:
        return None
    # One that uses no processor time was stopped.
    return _adapted(FULL_PERCENT if run.usage else 0, worst, math.inf)


def _adapted(percent, worst, since_s):
    if worst > 1.0 and since_s >= SLOW_PERIOD_S:
        return 0
    if worst > HIGH_SHARE and since_s >= SLOW_PERIOD_S:
        return percent // 2
    if worst < LOW_SHARE and since_s >= RAISE_PERIOD_S:
        return min(FULL_PERCENT, percent + RAISE_PERCENT)
    return percent
