"""Decide which hosts to empty of long-running tasks, so that they can go.

Long-running tasks are scattered over many hosts when hosts fail or are
maintained while the others are busy. Each such host then stays in its pool for
a few tasks that others have room for. The load: a pool after its burst.
"""

from . import capacity
from . import placement

# Time without any other run after which a host counts as kept by long-running
# tasks only.
MIN_QUIET_S = 1.5


def choose_host(load, executors, now_s, failed=()):
    """Return the executor of the host to empty in a pool, or None.

    :param load: :class:`capacity.PoolLoad` of the pool
    :param executors: the executors of the pool on which runs may be placed
    :param failed: ids of executors that could not be emptied, which are tried
        after others
    """
    if not capacity.may_spare_host(load):
        return None
    keepers = [e for e in executors if _is_kept(e, now_s)]
    keepers.sort(key=lambda e: (e.executor_id in failed, *_by_size(e)))
    for executor in keepers:
        others = [e for e in executors if e is not executor]
        if _have_room(others, executor.lasting_runs()):
            return executor
    return None


def is_only_lasting(executor):
    """Return whether an executor runs long-running tasks and nothing else."""
    return bool(executor.runs) and all(
        run.step.is_lasting for run in executor.runs.values()
    )


def _is_kept(executor, now_s):
    return (
        is_only_lasting(executor)
        and now_s - executor.finite_ended_s >= MIN_QUIET_S
        and not any(_is_fixed(run) for run in executor.runs.values())
    )


def _is_fixed(run):
    return run.step.max_unavailable == 0


def _by_size(executor):
    return len(executor.runs), executor.number


def _have_room(executors, runs):
    """Return whether executors that stay anyway have room for all runs."""
    staying = [e for e in executors if e.lasting_runs()]
    free = {e.number: e.free for e in staying}
    counts = {}
    for run in runs:
        chosen = next(
            (e for e in staying if _fits(e, run, free, counts)), None
        )
        if chosen is None:
            return False
        free[chosen.number] = free[chosen.number] - run.reserved
        key = chosen.number, run.task_id.step, run.task_id.job_id
        counts[key] = counts.get(key, 0) + 1
    return True


def _fits(executor, run, free, counts):
    step = run.step
    if not placement.can_place(executor, step, run.task_id):
        return False
    if not run.reserved.is_within(free[executor.number]):
        return False
    key = executor.number, run.task_id.step, run.task_id.job_id
    planned = executor.step_run_count(run.task_id) + counts.get(key, 0)
    return not step.max_per_executor or planned < step.max_per_executor
