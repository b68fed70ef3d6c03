"""Plan which tasks start where."""

import collections

import attrs

from . import crash_blame
from . import jobs
from . import ordering
from . import pool_placement
from . import run_state

# No job is held back for longer while it has nothing running, and executors
# have room for it.
MAX_BESIDE_ROOM_S = 1.5


@attrs.frozen(eq=False)
class _Candidate:
    """A step that may start, and the executors of its pool.

    :ivar takes_one: whether no more than one of its tasks may start now
    """

    ready_step: ordering.ReadyStep
    pool: str
    executors: pool_placement.PoolPlacement
    takes_one: bool = False


class StartPlanner:
    """Plans the runs to start.

    :param steps: the steps whose tasks may start
    :param tickets: permissions for steps of queues that need advice
    :param ledger: what the runs of each workspace use
    :param has_runs: tells whether a run of a job, by id, may be executing
    :ivar holding_pools: pools that hold back work that is late
    :ivar held_homes: partitions whose jobs start nothing, since some of them
        may have been cancelled
    :ivar waiting_pools: pools in which steps wait for a time, or suspects of
        crashes for an executor on which nothing has only just started
    """

    def __init__(self, steps, tickets, ledger, has_runs):
        self._steps = steps
        self._has_runs = has_runs
        self._tickets = tickets
        self._ledger = ledger
        self._pools = collections.defaultdict(pool_placement.PoolPlacement)
        self.holding_pools = frozenset()
        self.held_homes = frozenset()
        self.waiting_pools = set()
        self._held_gang = None

    def reopening_pools(self, now_s):
        """Return the pools in which the exclusion of an executor has ended.

        A pool counts until it is planned again.
        """
        return {
            name
            for name, pool in self._pools.items()
            if pool.reopens_s <= now_s
        }

    def plan(self, pools, now_s, shares):
        """Return the runs to start; they are on their executors.

        :param pools: the executors of each pool to look at, sorted by pool
        :param shares: the starts that may be planned
        """
        self.waiting_pools.clear()
        waiting, full = self._find_candidates(pools, now_s)
        waiting.sort(key=lambda candidate: self._order(candidate, now_s))
        starts, reached = self._plan_steps(waiting, now_s, shares)
        if not shares.left:
            full = self._ranked_before(reached[-1], full, now_s)
        for candidate in full:
            candidate.ready_step.unplaced_since_s = now_s
        # Wide steps also get what the others have left.
        shares.is_sharing = False
        wide = [
            c
            for c in reached
            if not c.takes_one and _is_cut_short(c.ready_step)
        ]
        starts += self._plan_steps(wide, now_s, shares)[0]
        self._held_gang = shares.held_gang
        return starts

    def _find_candidates(self, pools, now_s):
        """Return the steps with room, and those newly without room."""
        waiting, full = [], []
        for pool, executors in pools.items():
            pool_executors = self._pools[pool]
            pool_executors.update(executors, now_s)
            if not pool_executors.has_usable:
                continue
            for ready_step in self._steps_to_start(
                pool, pool_executors, now_s
            ):
                if _may_have_room(pool_executors, ready_step):
                    group = waiting
                elif ready_step.unplaced_since_s is None:
                    group = full
                else:
                    continue
                is_late = ready_step.gives_way(now_s)
                takes_one = is_late and pool in self.holding_pools
                group.append(
                    _Candidate(ready_step, pool, pool_executors, takes_one)
                )
        return waiting, full

    def _steps_to_start(self, pool, pool_executors, now_s):
        pending = self._steps.pending_in(pool)
        due = [step for step in pending if step.put_off_until_s <= now_s]
        if len(due) < len(pending):
            self.waiting_pools.add(pool)
        if self.held_homes:
            due = [s for s in due if s.job.home not in self.held_homes]
        if pool not in self.holding_pools:
            return due
        free = [
            step
            for step in due
            if not self._is_held_back(step, pool_executors, now_s)
        ]
        if len(free) < len(due):
            # What was held back for long enough goes on without an event.
            self.waiting_pools.add(pool)
        return free

    def _is_held_back(self, ready_step, pool_executors, now_s):
        """Return whether a step of a pool that holds late work has to wait.

        A job that has nothing running, and has waited beside room for long
        enough, goes on with one task.
        """
        if not ready_step.gives_way(now_s):
            return False
        has_room = _may_have_room(pool_executors, ready_step)
        if not has_room or self._has_runs(ready_step.job.job_id):
            ready_step.beside_room_since_s = None
            return True
        if ready_step.beside_room_since_s is None:
            ready_step.beside_room_since_s = now_s
        return now_s - ready_step.beside_room_since_s < MAX_BESIDE_ROOM_S

    def _order(self, candidate, now_s):
        ready_step, held = candidate.ready_step, self._held_gang
        return (
            held is None or ready_step.key != held,
            self._steps.rank(ready_step, now_s),
            candidate.pool,
            ready_step.number,
        )

    def _ranked_before(self, last, candidates, now_s):
        """Return the candidates that are planned before another one."""
        last_order = self._order(last, now_s)
        return [c for c in candidates if self._order(c, now_s) < last_order]

    def _plan_steps(self, waiting, now_s, shares):
        """Return planned runs, and the candidates that had their turn."""
        starts, reached = [], []
        for candidate in waiting:
            if not shares.left:
                break
            found = self._plan_step(candidate, now_s, shares)
            starts += found
            shares.take(len(found))
            reached.append(candidate)
        return starts, reached

    def _plan_step(self, candidate, now_s, shares):
        ready_step = candidate.ready_step
        limit = shares.limit(ready_step)
        if candidate.takes_one:
            limit = 1
        if not self._may_use_quota(ready_step):
            return []
        if ready_step.unplaced_since_s is None:
            ready_step.unplaced_since_s = now_s
        # Steps that were placed before may have taken the room.
        if not _may_have_room(candidate.executors, ready_step):
            return []
        if ready_step.spec.is_gang:
            starts = self._plan_gang(
                ready_step, candidate.executors, now_s, shares
            )
        else:
            starts = self._plan_tasks(
                ready_step, candidate.executors, now_s, limit
            )
        if ready_step.suspects:
            self.waiting_pools.add(candidate.pool)
        return starts

    def _may_use_quota(self, ready_step):
        """Return whether a step may start a task; set it aside if not.

        Once a step waits, those of its workspace that are placed after it
        wait, too. Otherwise small tasks would take all that becomes free, and
        a large one would never start.
        """
        workspace = ready_step.occurrence.job.workspace
        needed = self._steps.quota_waits.needed(workspace)
        if needed is None and self._admits(ready_step):
            return True
        self._wait_for_quota(ready_step)
        return False

    def _admits(self, ready_step):
        return self._ledger.admits(
            ready_step.occurrence.job.workspace,
            ready_step.spec.request,
            _started_together(ready_step),
        )

    def _wait_for_quota(self, ready_step):
        # The step lacks quota, not room on a host.
        ready_step.unplaced_since_s = None
        workspace = ready_step.occurrence.job.workspace
        request, count = ready_step.spec.request, _started_together(ready_step)
        needed = None
        if self._ledger.may_admit_later(workspace, request, count):
            needed = request.times(count)
        self._steps.wait_for_quota(ready_step, needed)

    def _plan_tasks(self, ready_step, pool_executors, now_s, limit):
        starts = []
        step_tickets = self._valid_tickets(ready_step, now_s)
        for index in _starting_order(ready_step):
            if len(starts) == limit:
                break
            if not self._admits(ready_step):
                self._wait_for_quota(ready_step)
                return starts
            is_suspect = index in ready_step.suspects
            run = self._plan_task(
                ready_step, index, pool_executors, step_tickets, now_s
            )
            if run is not None:
                starts.append(run)
            elif not is_suspect:
                break
        if len(starts) == limit:
            # The rest waits for other starts, not for room.
            ready_step.unplaced_since_s = None
        return starts

    def _plan_task(
        self, ready_step, index, pool_executors, step_tickets, now_s
    ):
        """Return the planned run of a task, or None without an executor."""
        spec, task_id = ready_step.spec, _task_id(ready_step, index)
        task = ready_step.occurrence.task(task_id)
        if index in ready_step.suspects:
            second = None
            executor = pool_executors.choose_apart(
                spec, task_id, now_s, step_tickets
            )
        else:
            executor, second = pool_executors.choose(
                spec, task_id, task, step_tickets
            )
        if executor is None:
            return None
        ready_step.take(index)
        ready_step.beside_room_since_s = None
        ready_step.unplaced_since_s = now_s if ready_step.pending else None
        ready_step.placed_s = now_s
        run = _plan_run(
            ready_step,
            task_id,
            executor,
            task.run + 1,
            now_s,
            crash_blame.probation_s(task),
        )
        pool_executors.note_placed(executor)
        run.second_choice = second.executor_id if second else ''
        run.ticket = (step_tickets or {}).get(executor.executor_id, '')
        return run

    def _plan_gang(self, ready_step, pool_executors, now_s, shares):
        tasks = ready_step.occurrence.tasks[ready_step.step]
        if len(ready_step.pending) < len(tasks):
            return []
        ids = [_task_id(ready_step, index) for index in range(len(tasks))]
        step_tickets = self._valid_tickets(ready_step, now_s)
        if ready_step.suspects:
            chosen = pool_executors.choose_gang_apart(
                ready_step.spec, ids, now_s, step_tickets
            )
        else:
            has_failed = ready_step.occurrence.failed_attempts(ids[0]) > 0
            chosen = pool_executors.choose_gang(
                ready_step.spec, ids, step_tickets, has_failed
            )
        if chosen is None or not shares.admits_gang(ready_step):
            return []
        ready_step.pending.clear()
        ready_step.suspects.clear()
        ready_step.unplaced_since_s = None
        ready_step.placed_s = now_s
        number = max(task.run for task in tasks) + 1
        checkpoint = next((t.checkpoint for t in tasks if t.checkpoint), '')
        for task in tasks:
            task.checkpoint = checkpoint
        probation_s = max(map(crash_blame.probation_s, tasks))
        runs = [
            _plan_run(
                ready_step, task_id, executor, number, now_s, probation_s
            )
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


def _started_together(ready_step):
    """Return how many tasks of a step have to start at the same time."""
    return len(ready_step.pending) if ready_step.spec.is_gang else 1


def _is_cut_short(ready_step):
    """Return True if more tasks of a step might start in this cycle."""
    return bool(ready_step.pending) and ready_step.unplaced_since_s is None


def _may_have_room(pool_executors, ready_step):
    if ready_step.suspects:
        return pool_executors.has_room_apart(ready_step.spec)
    return pool_executors.has_room(ready_step.spec)


def _starting_order(ready_step):
    """Return the indexes of pending tasks, suspects of crashes first.

    Other tasks that had only just started would keep them waiting.
    """
    if not ready_step.suspects:
        return list(ready_step.pending)
    return sorted(
        ready_step.pending, key=lambda index: index not in ready_step.suspects
    )


def _plan_run(ready_step, task_id, executor, number, now_s, probation_s):
    occurrence = ready_step.occurrence
    task = occurrence.task(task_id)
    task.state = jobs.TaskState.ASSIGNED
    task.run = number
    task.executor = executor.executor_id
    run = run_state.Run(
        task_id, number, occurrence, executor.executor_id,
        ready_step.spec.reserved, run_state.RunPhase.PLANNED, now_s,
        planned_s=now_s, probation_s=probation_s,
    )  # fmt: skip
    executor.add(run)
    return run


def _task_id(ready_step, index):
    occurrence = ready_step.occurrence
    return jobs.TaskId(
        occurrence.job.job_id, occurrence.number, ready_step.step, index
    )
