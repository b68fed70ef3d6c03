"""Find work that waits though the executors of its pool have room for it.

There is room if a task fits twice over, and under half of the pool is in use;
each long-running task has to run however full the pool is.

A job that could run and doesn't shows neither in an error nor in a counter:
all that callers see is that it takes long. What keeps it waiting is only known
to the scheduler, at that moment.
"""

import collections
import enum

import attrs

from . import placement
from . import run_state

# Room for a task twice over means that packing is not what it waits for.
MIN_ROOM = 2
# A pool that is used beyond this share gives its room to other jobs as soon as
# it is left.
MAX_USED_SHARE = 0.5
# Steps of a pool that are looked at, the oldest first; an overloaded pool has
# many more, and looking at each would take the owner's time.
MAX_STEPS_PER_POOL = 10

_Phase = run_state.RunPhase


class Obstacle(enum.StrEnum):
    """What keeps tasks from running."""

    # The scheduler knows the job, but none of its steps.
    NO_STEP = 'no_step'
    UNREAD_CANCELLATIONS = 'unread_cancellations'
    QUOTA = 'quota'
    REJECTED_STARTS = 'rejected_starts'
    HELD_LATE_WORK = 'held_late_work'
    START_LIMIT = 'start_limit'
    NO_TICKET = 'no_ticket'
    EXECUTORS_CLOSED = 'executors_closed'
    SUSPECTED_CRASH = 'suspected_crash'
    # An executor takes runs and has room.
    UNEXPLAINED = 'unexplained'
    # A run was planned, and isn't known to execute.
    NOT_STORED = 'not_stored'
    START_UNANSWERED = 'start_unanswered'
    INHERITED = 'inherited'
    BEING_STOPPED = 'being_stopped'


_OF_PHASE = {
    _Phase.PLANNED: Obstacle.NOT_STORED,
    _Phase.SENT: Obstacle.START_UNANSWERED,
    _Phase.UNKNOWN: Obstacle.START_UNANSWERED,
    _Phase.INHERITED: Obstacle.INHERITED,
}


@attrs.frozen
class StandingStep:
    """A step that waits though there is room.

    :ivar tasks: number of tasks that wait
    :ivar since_s: since when, on the local monotonic clock
    :ivar closed: why executors with room take no runs, and how many of each
    """

    job_id: str
    step: int
    queue: str
    pool: str
    workspace: str
    obstacle: Obstacle
    tasks: int
    since_s: float
    is_lasting: bool = False
    closed: dict[str, int] = attrs.Factory(dict)


class StandingWork:
    """Remembers since when work has been waiting beside room.

    Times are in seconds of the daemon's monotonic clock.

    :param scheduler: the :class:`scheduler.Scheduler`
    :param jobs: all known jobs by id
    :param planner: plans the runs to start
    """

    def __init__(self, scheduler, jobs, planner):
        self._scheduler = scheduler
        self._jobs = jobs
        self._planner = planner
        self._since_s = {}

    def find(self, now_s, min_s):
        """Return the steps that have been waiting beside room for some time.

        :param min_s: for how long
        :rtype: list[StandingStep]
        """
        waiting = [
            *self._steps_not_started(now_s),
            *self._jobs_without_steps(now_s),
        ]
        self._since_s = {
            (step.job_id, step.step): self._since_s.get(
                (step.job_id, step.step), now_s
            )
            for step in waiting
        }
        found = [
            attrs.evolve(step, since_s=self._since_s[step.job_id, step.step])
            for step in waiting
        ]
        found += self._runs_not_begun()
        return [step for step in found if now_s - step.since_s >= min_s]

    def _steps_not_started(self, now_s):
        looked_at = collections.Counter()
        used_shares = {}
        for ready_step in self._scheduler.steps.unfinished():
            if not self._has_nothing_running(ready_step):
                continue
            pool = self._scheduler.steps.pool_of(ready_step.job)
            known = self._scheduler.executors_in(pool)
            if pool not in used_shares:
                used_shares[pool] = _used_share(known)
            is_busy = used_shares[pool] >= MAX_USED_SHARE
            if is_busy and not ready_step.spec.is_lasting:
                continue
            looked_at[pool] += 1
            if looked_at[pool] > MAX_STEPS_PER_POOL:
                continue
            executors = _executors_with_room(known, ready_step)
            if executors:
                yield self._standing(ready_step, pool, executors, now_s)

    def _has_nothing_running(self, ready_step):
        """Return whether a step waits, and a caller sees nothing of its job.

        Each long-running task counts by itself.
        """
        if not ready_step.pending:
            return False
        if ready_step.spec.is_lasting:
            return True
        return not self._scheduler.has_runs(ready_step.job.job_id)

    def _standing(self, ready_step, pool, executors, now_s):
        job = ready_step.job
        closed = collections.Counter(
            _why_closed(executor, ready_step.spec, now_s)
            for executor in executors
        )
        del closed['']
        return StandingStep(
            job.job_id, ready_step.step, job.queue, pool, job.workspace,
            self._obstacle(ready_step, pool, executors, now_s),
            len(ready_step.pending), now_s, ready_step.spec.is_lasting,
            dict(closed),
        )  # fmt: skip

    def _obstacle(self, ready_step, pool, executors, now_s):
        planner, steps = self._planner, self._scheduler.steps
        if ready_step.job.home in planner.held_homes:
            return Obstacle.UNREAD_CANCELLATIONS
        if ready_step in steps.quota_waits:
            return Obstacle.QUOTA
        if ready_step.put_off_until_s > now_s:
            return Obstacle.REJECTED_STARTS
        if pool in planner.holding_pools and ready_step.gives_way(now_s):
            return Obstacle.HELD_LATE_WORK
        if self._scheduler.is_limited:
            return Obstacle.START_LIMIT
        return self._obstacle_on(executors, ready_step, now_s)

    def _obstacle_on(self, executors, ready_step, now_s):
        """Return what keeps a step from executors that have room."""
        open_ids = {
            executor.executor_id
            for executor in executors
            if not _why_closed(executor, ready_step.spec, now_s)
        }
        if not open_ids:
            return Obstacle.EXECUTORS_CLOSED
        if self._scheduler.steps.queue_of(ready_step.job).advice:
            valid = self._scheduler.tickets.valid(ready_step.key, now_s)
            if not open_ids & valid.keys():
                return Obstacle.NO_TICKET
        if ready_step.suspects:
            return Obstacle.SUSPECTED_CRASH
        return Obstacle.UNEXPLAINED

    def _runs_not_begun(self):
        """Return the steps with runs that aren't known to execute."""
        by_step = collections.defaultdict(list)
        for executor in self._scheduler.executors.values():
            for run in executor.runs.values():
                is_over = run.occurrence.job.is_terminal
                if run.phase in _OF_PHASE and not is_over:
                    by_step[run.task_id.step_key].append(run)
        return [
            self._not_begun(min(runs, key=_changed_s), len(runs))
            for runs in by_step.values()
        ]

    def _not_begun(self, run, tasks):
        job, obstacle = run.occurrence.job, _OF_PHASE[run.phase]
        if run.is_stop_requested:
            obstacle = Obstacle.BEING_STOPPED
        return StandingStep(
            job.job_id, run.task_id.step, job.queue,
            self._scheduler.steps.pool_of(job), job.workspace, obstacle,
            tasks, run.phase_changed_s, run.step.is_lasting,
        )  # fmt: skip

    def _jobs_without_steps(self, now_s):
        steps = self._scheduler.steps
        known = {step.job.job_id for step in steps.unfinished()}
        return [
            StandingStep(
                job.job_id, 0, job.queue, steps.pool_of(job), job.workspace,
                Obstacle.NO_STEP, job.spec.tasks, now_s,
            )
            for job in self._jobs.values()
            if not job.is_terminal
            and job.job_id not in known
            and not steps.is_scheduled(job.job_id)
        ]  # fmt: skip


def _changed_s(run):
    return run.phase_changed_s


def _used_share(executors):
    """Return which share of the processors of some executors is in use."""
    known = [e for e in executors if not e.entry.is_leaving]
    whole = sum(e.entry.capacity.cpu_millicores for e in known)
    free = sum(e.free.cpu_millicores for e in known)
    return 1.0 - free / whole if whole else 1.0


def _executors_with_room(executors, ready_step):
    """Return the executors with room, or none without room twice over."""
    slots = [
        (executor, _slots(executor, ready_step)) for executor in executors
    ]
    together = len(ready_step.pending) if ready_step.spec.is_gang else 1
    if sum(count for _, count in slots) < MIN_ROOM * together:
        return []
    return [executor for executor, count in slots if count]


def _slots(executor, ready_step):
    """Return for how many tasks an executor has room, taking runs or not."""
    spec = ready_step.spec
    label = spec.required_label
    if executor.entry.is_leaving:
        return 0
    if label and label not in executor.entry.labels:
        return 0
    slots = placement.fitting_tasks(executor, spec)
    if spec.max_per_executor:
        runs = executor.step_counts[ready_step.key]
        slots = min(slots, max(0, spec.max_per_executor - runs))
    return slots


def _why_closed(executor, spec, now_s):
    """Return why an executor takes no runs of a step; empty if it does."""
    if (
        not executor.incarnation.is_fenced
        or executor.incarnation.clock_s is None
    ):
        return 'not_polled'
    if executor.is_reserved:
        return 'reserved'
    if executor.missing_since_s is not None:
        return 'missing'
    if executor.incarnation.suspended_until_s > now_s:
        return 'suspended'
    if spec.is_lasting and executor.is_closed_to_lasting:
        return 'closed_to_lasting'
    if placement.is_apart(executor, now_s):
        return 'apart'
    return ''
