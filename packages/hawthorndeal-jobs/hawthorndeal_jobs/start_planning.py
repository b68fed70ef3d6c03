"""Plan which tasks of a pool start where."""

import collections

from . import executors as executors_module
from . import jobs
from . import ordering
from . import pool_placement


class StartPlanner:
    """Plans the runs to start.

    :param steps: the steps whose tasks may start
    :param tickets: permissions for steps of queues that need advice
    """

    def __init__(self, steps, tickets):
        self._steps = steps
        self._tickets = tickets
        self._pools = collections.defaultdict(pool_placement.PoolPlacement)

    def plan_pool(self, pool, executors, now_s):
        """Return the runs to start in a pool; they are on their executors.

        :param executors: the executors of the pool
        """
        pool_executors = self._pools[pool]
        pool_executors.update(executors, now_s)
        if not pool_executors.has_usable:
            return []
        waiting = []
        for ready_step in self._steps.pending_in(pool):
            if ready_step.unplaced_since_s is None:
                ready_step.unplaced_since_s = now_s
            if pool_executors.has_room(ready_step.spec):
                waiting.append(ready_step)
        waiting.sort(key=lambda ready_step: ordering.rank(ready_step, now_s))
        starts = []
        for ready_step in waiting:
            # Steps that were placed before may have taken the room.
            if not pool_executors.has_room(ready_step.spec):
                continue
            starts += self._plan_step(ready_step, pool_executors, now_s)
        return starts

    def _plan_step(self, ready_step, pool_executors, now_s):
        if ready_step.spec.is_gang:
            return self._plan_gang(ready_step, pool_executors, now_s)
        starts = []
        step_tickets = self._valid_tickets(ready_step, now_s)
        while ready_step.pending:
            index = ready_step.pending[0]
            task_id = _task_id(ready_step, index)
            task = ready_step.occurrence.task(task_id)
            executor, second = pool_executors.choose(
                ready_step.spec, task_id, task, step_tickets
            )
            if executor is None:
                break
            ready_step.pending.pop(0)
            ready_step.unplaced_since_s = now_s if ready_step.pending else None
            run = _plan_run(ready_step, task_id, executor, task.run + 1, now_s)
            pool_executors.note_placed(executor)
            run.second_choice = second.executor_id if second else ''
            run.ticket = (step_tickets or {}).get(executor.executor_id, '')
            starts.append(run)
        return starts

    def _plan_gang(self, ready_step, pool_executors, now_s):
        tasks = ready_step.occurrence.tasks[ready_step.step]
        if len(ready_step.pending) < len(tasks):
            return []
        ids = [_task_id(ready_step, index) for index in range(len(tasks))]
        step_tickets = self._valid_tickets(ready_step, now_s)
        chosen = pool_executors.choose_gang(ready_step.spec, ids, step_tickets)
        if chosen is None:
            return []
        ready_step.pending.clear()
        ready_step.unplaced_since_s = None
        number = max(task.run for task in tasks) + 1
        checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), '')
        for task in tasks:
            task.checkpoint = checkpoint
        runs = [
            _plan_run(ready_step, task_id, executor, number, now_s)
            for task_id, executor in zip(ids, chosen)
        ]
        for run, executor in zip(runs, chosen):
            pool_executors.note_placed(executor)
            run.ticket = (step_tickets or {}).get(run.executor_id, '')
        return runs

    def _valid_tickets(self, ready_step, now_s):
        """Return tickets by executor, or None if the queue needs none."""
        job = ready_step.occurrence.job
        if self._steps.queue_of(job).advice is None:
            return None
        return self._tickets.valid(ready_step.key, now_s)


def _plan_run(ready_step, task_id, executor, number, now_s):
    occurrence = ready_step.occurrence
    task = occurrence.task(task_id)
    task.state = jobs.TaskState.ASSIGNED
    task.run = number
    task.executor = executor.executor_id
    run = executors_module.Run(
        task_id, number, occurrence, executor.executor_id,
        ready_step.spec.reserved, executors_module.RunPhase.PLANNED, now_s,
        planned_s=now_s,
    )  # fmt: skip
    executor.add(run)
    return run


def _task_id(ready_step, index):
    occurrence = ready_step.occurrence
    return jobs.TaskId(
        occurrence.job.job_id, occurrence.number, ready_step.step, index
    )
