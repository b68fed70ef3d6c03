"""Measure the load of a pool, as input for capacity decisions."""

from . import capacity as capacity_module
from . import demand
from . import placement
from . import specs

# A step counts as starved when none of its tasks could be placed for this
# long.
STARVATION_S = 1.0
# Work that can't be done within this time, or need not be begun, is left out
# of the forecast of how long new jobs wait.
HORIZON_S = demand.HORIZON_S
# The same for suspects of crashes. They wait for an executor on which nothing
# has only just started, such as that of a host that arrives.
SUSPECT_STARVATION_S = 0.3


def measure(
    pool, executors, capacity, ready_steps, may_run, arriving, ahead_s, now_s
):
    """Return the load of a pool.

    No new job waits for steps that no executor may run. They need hosts only
    if they are starved, since another host may be permitted to run them.

    :param executors: the known executors of the pool
    :param capacity: the capacity of a host of the pool
    :param ready_steps: the steps whose tasks may start
    :param may_run: tells whether any executor may ever run a step
    :param arriving: number of hosts that are being moved to the pool
    :param ahead_s: forecast horizon
    """
    waiting = ready_steps.pending_in(pool.name)
    in_time, late = _partition_by_urgency(waiting, now_s)
    meter = ready_steps.demand_meters[pool.name]
    usable = [e for e in executors if placement.is_usable(e, now_s)]

    def work_host_s(steps, limit_s):
        return sum(
            ready_steps.work_host_s(step, capacity, limit_s) for step in steps
        )

    def must_begin_soon(step):
        return step.latest_start_s - now_s < HORIZON_S

    needed = list(filter(may_run, in_time))
    late_needed = list(filter(may_run, late))
    return capacity_module.PoolLoad(
        pool=pool.name,
        is_standby=pool.is_standby,
        hosts=sum(executor.whole_share for executor in usable),
        arriving=arriving,
        lasting_hosts=_lasting_hosts(
            executors, needed + late_needed, capacity
        ),
        rate_hosts=meter.rate(now_s),
        growth_hosts=meter.growth(now_s, ahead_s),
        backlog_host_s=work_host_s(needed, capacity_module.BACKLOG_DRAIN_S),
        late_backlog_host_s=work_host_s(
            late_needed, capacity_module.LATE_BACKLOG_DRAIN_S
        ),
        starved_hosts=_starved_hosts(in_time, usable, now_s),
        late_starved_hosts=_starved_hosts(late, usable, now_s),
        waiting_host_s=work_host_s(filter(must_begin_soon, needed), HORIZON_S),
        late_waiting_host_s=work_host_s(late_needed, HORIZON_S),
    )


def _partition_by_urgency(waiting, now_s):
    """Return the steps that may be in time, and those that give way."""
    late = [step for step in waiting if step.gives_way(now_s)]
    keys = {step.key for step in late}
    return [step for step in waiting if step.key not in keys], late


def host_capacity(executors, all_executors):
    """Return the largest host capacity in a pool, or of all if it is empty.

    :param executors: the known executors of the pool
    :param all_executors: all known executors, by id
    """
    return (
        _largest(executors)
        or _largest(all_executors.values())
        or specs.Resources()
    )


def _largest(executors):
    """Return the largest capacity, or None without one that has room."""
    return max(
        (
            executor.entry.capacity
            for executor in executors
            if executor.entry.capacity.cpu_millicores
        ),
        key=lambda capacity: capacity.cpu_millicores,
        default=None,
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


def _starved_hosts(waiting, usable, now_s):
    """Return the number of hosts that starved steps need.

    A step that waits because the pool is full is part of the backlog.
    """
    free = sum((e.free for e in usable), start=specs.Resources())
    return sum(
        _hosts_to_place(step)
        for step in waiting
        if _is_starved(step, now_s) and _needed(step).is_within(free)
    )


def _is_starved(ready_step, now_s):
    since_s = ready_step.unplaced_since_s
    wait_s = SUSPECT_STARVATION_S if ready_step.waits_apart else STARVATION_S
    return since_s is not None and now_s - since_s >= wait_s


def _needed(ready_step):
    """Return what a step needs to go on: room for a task, or for a gang."""
    spec = ready_step.spec
    tasks = len(ready_step.pending) if spec.is_gang else 1
    return spec.reserved.times(tasks)


def _hosts_to_place(ready_step):
    limit = ready_step.spec.max_per_executor
    if not limit:
        return 1
    return -(-len(ready_step.pending) // limit)
