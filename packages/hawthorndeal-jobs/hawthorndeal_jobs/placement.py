"""Choose the executors for tasks."""

import heapq
import itertools
import math

from . import crash_blame

# Weights of the placement cost; the executor with the lowest cost is chosen.
REMOTE_RACK_COST = 4.0
COLOCATION_COST = 1.0
PACKING_WEIGHT = 1.0
# Exceeds the difference in packing of any two executors.
LASTING_APART_COST = 2.0
# Exceeds all other costs.
DUE_COST = 10000.0


def choose(executors, step, task_id, task):
    """Return the best and the second-best executor for a task.

    :param executors: usable executors that the step may use
    :param step: the declared step of the task
    :returns: a pair, with None for each executor that was not found
    """
    candidates = [
        executor
        for executor in executors
        if can_place(executor, step, task_id)
    ]
    if task.failures:
        others = [e for e in candidates if not is_doubtful(e, task)]
        candidates = others or candidates
    ranked = heapq.nsmallest(
        2, candidates, key=lambda executor: cost(executor, step)
    )
    return (*ranked, None, None)[:2]


def is_usable(executor, now_s):
    """Return True if new runs may be placed on an executor."""
    return (
        executor.incarnation.is_fenced
        and executor.incarnation.clock_s is not None
        and not executor.entry.is_leaving
        and not executor.is_reserved
        and executor.missing_since_s is None
        and executor.incarnation.suspended_until_s <= now_s
    )


def is_doubtful(executor, task):
    """Return True if a retry of a failed task prefers another executor.

    The failure may be due to its previous one, or the next one due to one on
    which other runs have failed lately.
    """
    return executor.executor_id == task.executor or bool(
        executor.incarnation.failed_runs
    )


def is_apart(executor, now_s):
    """Return True if only suspects of crashes may start on an executor."""
    return executor.held_until_s > now_s or has_probation(executor)


def reopens_s(executor, now_s):
    """Return when the next exclusion of an executor ends that ends by time.

    :returns: infinity if there is none
    """
    ends_s = (executor.incarnation.suspended_until_s, executor.held_until_s)
    return min((end_s for end_s in ends_s if end_s > now_s), default=math.inf)


def has_probation(executor):
    """Return True if a run on an executor is on probation."""
    return any(
        run.probation_s and not crash_blame.is_proven(executor, run)
        for run in executor.suspect_runs.values()
    )


def may_share_probation(executor, job_id):
    """Return True if no other job has a run on probation on an executor."""
    return all(
        run.task_id.job_id == job_id
        or not run.probation_s
        or crash_blame.is_proven(executor, run)
        for run in executor.suspect_runs.values()
    )


def is_quiet(executor, job_id):
    """Return True if no run of another job has only just started there."""
    return all(
        run.task_id.job_id == job_id or crash_blame.is_proven(executor, run)
        for run in executor.runs.values()
    )


def can_place(executor, step, task_id):
    """Return True if an executor may run a task and has room for it."""
    return has_room(executor, step) and is_below_limit(executor, step, task_id)


def has_room(executor, step):
    """Return True if an executor has the label and the room for a step."""
    if step.is_lasting and executor.is_closed_to_lasting:
        return False
    if step.required_label and step.required_label not in (
        executor.entry.labels
    ):
        return False
    return step.reserved.is_within(executor.free)


def is_below_limit(executor, step, task_id):
    """Return True if an executor may run one more task of a step."""
    limit = step.max_per_executor
    return not limit or executor.step_run_count(task_id) < limit


def cost(executor, step):
    """Return the cost of a task on an executor; the lowest is the best."""
    total = 0.0
    if step.data_rack and step.data_rack != executor.entry.rack:
        total += REMOTE_RACK_COST
    if step.is_filler or step.tail_target_ms:
        fillers = executor.filler_count
        others = len(executor.runs) - fillers if step.is_filler else fillers
        total += COLOCATION_COST * others
    if step.is_lasting and not executor.lasting_count:
        # A host that runs nothing else can't be released while it lasts.
        total += LASTING_APART_COST
    if step.is_lasting and executor.is_due:
        total += DUE_COST
    # Packing tasks leaves other executors idle, so that their hosts can be
    # moved to other pools.
    capacity = executor.entry.capacity
    used = 1.0 - executor.free.cpu_millicores / max(1, capacity.cpu_millicores)
    return total - PACKING_WEIGHT * used


def choose_gang(executors, step, task_ids):
    """Return an executor for each task of a gang, or None.

    For rack-sensitive steps, single racks are tried before the whole pool.

    :param executors: usable executors that the step may use
    """
    groups = [list(executors)]
    if step.is_rack_sensitive:
        groups = [*_by_rack(executors), *groups]
    for group in groups:
        chosen = _place_all(group, step, task_ids)
        if chosen is not None:
            return chosen
    return None


def _place_all(executors, step, task_ids):
    slot_lists = [
        itertools.repeat(executor, _slots(executor, step, task_ids[0]))
        for executor in sorted(executors, key=lambda e: cost(e, step))
    ]
    chosen = list(
        itertools.islice(itertools.chain(*slot_lists), len(task_ids))
    )
    return chosen if len(chosen) == len(task_ids) else None


def _slots(executor, step, task_id):
    slots = room_slots(executor, step)
    if step.max_per_executor:
        runs = executor.step_run_count(task_id)
        slots = min(slots, max(0, step.max_per_executor - runs))
    return slots


def room_slots(executor, step):
    """Return for how many tasks of a step an executor has room."""
    if not has_room(executor, step):
        return 0
    return fitting_tasks(executor, step)


def fitting_tasks(executor, step):
    """Return how many tasks of a step fit into what an executor has left."""
    need, free = step.reserved, executor.free
    if not need.is_within(free):
        return 0
    fits = [
        available // needed
        for needed, available in (
            (need.cpu_millicores, free.cpu_millicores),
            (need.memory_mb, free.memory_mb),
            (need.gpus, free.gpus),
        )
        if needed
    ]
    return min(fits, default=step.count)


def _by_rack(executors):
    sorted_executors = sorted(executors, key=rack_of)
    return [
        list(group)
        for _, group in itertools.groupby(sorted_executors, rack_of)
    ]


def rack_of(executor):
    """Return the rack of an executor, or an empty string."""
    return executor.entry.rack
