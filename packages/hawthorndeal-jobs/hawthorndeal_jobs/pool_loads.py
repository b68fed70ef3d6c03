"""Measure the load of a pool, as input for capacity decisions."""

from . import capacity as capacity_module
from . import placement
from . import specs

# A step counts as starved when none of its tasks could be placed for this
# long.
STARVATION_S = 1.0


def measure(pool, executors, capacity, ready_steps, arriving, ahead_s, now_s):
    """Return the load of a pool.

    :param executors: the known executors of the pool
    :param capacity: the capacity of a host of the pool
    :param ready_steps: the steps whose tasks may start
    :param arriving: number of hosts that are being moved to the pool
    :param ahead_s: forecast horizon
    """
    waiting = ready_steps.pending_in(pool.name)
    meter = ready_steps.demand_meters[pool.name]
    return capacity_module.PoolLoad(
        pool.name,
        pool.is_standby,
        sum(placement.is_usable(e, now_s) for e in executors),
        arriving,
        _lasting_hosts(executors, waiting, capacity),
        meter.rate(now_s),
        meter.growth(now_s, ahead_s),
        sum(ready_steps.backlog_host_s(step, capacity) for step in waiting),
        sum(_starved_hosts(step, now_s) for step in waiting),
    )


def host_capacity(executors, all_executors):
    """Return the largest host capacity in a pool, or of all if it is empty.

    :param executors: the known executors of the pool
    :param all_executors: all known executors, by id
    """
    known = executors or all_executors.values()
    return max(
        (executor.entry.capacity for executor in known),
        key=lambda capacity: capacity.cpu_millicores,
        default=specs.Resources(),
    )


def _lasting_hosts(executors, waiting, capacity):
    running = sum(
        run.reserved.dominant_share(capacity)
        for executor in executors
        for run in executor.runs.values()
        if run.step.is_lasting
    )
    return running + sum(
        len(step.pending) * step.spec.reserved.dominant_share(capacity)
        for step in waiting
        if step.spec.is_lasting
    )


def _starved_hosts(ready_step, now_s):
    """Return the number of hosts that a starved step needs."""
    since_s = ready_step.unplaced_since_s
    if since_s is None or now_s - since_s < STARVATION_S:
        return 0
    limit = ready_step.spec.max_per_executor
    if not limit:
        return 1
    return -(-len(ready_step.pending) // limit)
