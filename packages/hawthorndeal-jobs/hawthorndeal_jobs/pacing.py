"""Decide at what pace filling tasks work beside serving ones.

It answers serving tasks whose tail latency nears its target: what fills
beside them is slowed down at once, and let back step by step.
"""

import attrs

# Part of a target above which what fills is slowed down.
HIGH_SHARE = 0.85
# Part of a target below which what fills may work faster again.
LOW_SHARE = 0.6
# Time between two changes, so that a change shows before the next.
SLOW_PERIOD_S = 0.5
RAISE_PERIOD_S = 2.0
RAISE_PERCENT = 20
FULL_PERCENT = 100


@attrs.frozen
class PaceOrder:
    """Have a run work at a share of its speed."""

    run: object
    percent: int


def plan(runs, now_s):
    """Return the changes of pace on one executor.

    :param runs: all runs there
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
    orders = []
    for run in fillers:
        percent = _next_percent(run, worst, now_s)
        if percent != run.pace_percent:
            orders.append(PaceOrder(run, percent))
    return orders


def _next_percent(run, worst, now_s):
    since_s = now_s - run.paced_s
    if worst > 1.0 and since_s >= SLOW_PERIOD_S:
        return 0
    if worst > HIGH_SHARE and since_s >= SLOW_PERIOD_S:
        return run.pace_percent // 2
    if worst < LOW_SHARE and since_s >= RAISE_PERIOD_S:
        return min(FULL_PERCENT, run.pace_percent + RAISE_PERCENT)
    return run.pace_percent
