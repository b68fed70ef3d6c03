"""Track the steps whose tasks may start, and occurrences not yet due."""

import collections
import heapq
import itertools

import attrs

from . import demand
from . import estimates
from . import jobs
from . import ordering
from . import queues
from . import quota_waits

# Limit on a job's age after a change of owners: the age is derived from the
# wall clocks of two hosts, which may disagree.
MAX_RECOVERED_AGE_S = 120.0


@attrs.define
class _ScheduledJob:
    """A job with occurrences that are not due yet.

    :ivar number: increases with each such job
    :ivar is_full: whether the next occurrence is due, but waits until one of
        those under way has ended
    """

    number: int
    job: jobs.Job
    accepted_s: float
    is_full: bool = False
    _next: int = 0

    def next_occurrence(self):
        """Return the number of the first one that has not begun, or None.

        An occurrence has begun if the job knows it. A successor knows those
        whose progress is stored, which need not be the first ones.
        """
        while self._next in self.job.occurrences:
            self._next += 1
        return self._next if self._next < self.job.spec.occurrences else None


class ReadySteps:
    """The steps whose tasks may start.

    Times are in seconds of the daemon's monotonic clock, except ``wall_s``,
    which is in seconds since the epoch.

    :param configuration: current queues and pools
    """

    def __init__(self, configuration):
        # Pools in which tasks may have become placeable.
        self.pools_to_schedule = set()
        self.estimates = estimates.EstimateCorrector()
        self.step_times = estimates.StepTimes()
        self.demand_meters = collections.defaultdict(demand.DemandMeter)
        self._numbers = itertools.count()
        self._steps = {}
        # Steps by queue and number; some may not be pending any more.
        self._pending = collections.defaultdict(dict)
        self.quota_waits = quota_waits.QuotaWaits()
        self._not_due = {}
        # Due time, number and id of each job that is not due yet; jobs that
        # were removed may still be listed.
        self._due_times = []
        self._queues = dict(configuration.queues)

    def set_configuration(self, configuration):
        """Apply newer queues; jobs of removed queues continue."""
        self._queues.update(configuration.queues)
        self.pools_to_schedule.update(configuration.pools)

    def consider_all(self):
        """Consider the steps of all pools in the next cycle."""
        self.pools_to_schedule.update(
            self._queues[name].pool for name in self._pending
        )

    def queue_of(self, job):
        """Return the queue of a job, or its last known state if removed.

        An owner that has never seen the queue goes by what it promised to the
        first job that it knows of.
        """
        queue = self._queues.get(job.queue)
        if queue is None:
            queue = queues.Queue.removed(job.queue, job.pool, job.terms)
            self._queues[job.queue] = queue
        return queue

    def pool_of(self, job):
        """Return the pool in which the tasks of a job start."""
        return self.queue_of(job).pool

    def unfinished(self):
        """Return all steps whose tasks may start, or have started."""
        return list(self._steps.values())

    def is_scheduled(self, job_id):
        """Return whether an occurrence of a job has not begun."""
        return job_id in self._not_due

    def pending(self):
        """Return the steps with tasks that wait for placement."""
        return self._pending_where(lambda queue: True)

    def pending_in(self, pool):
        """Return the steps of a pool with tasks that wait for placement."""
        return self._pending_where(lambda queue: queue.pool == pool)

    def pending_advised(self):
        """Return the pending steps of queues that need advice."""
        return self._pending_where(lambda queue: queue.advice)

    def _pending_where(self, is_wanted):
        steps = itertools.chain.from_iterable(
            self._pending_of(name)
            for name in list(self._pending)
            if is_wanted(self._queues[name])
        )
        return sorted(steps, key=_number_of)

    def _pending_of(self, queue_name):
        steps = self._pending[queue_name]
        for number in [n for n, step in steps.items() if not step.pending]:
            del steps[number]
        if not steps:
            del self._pending[queue_name]
        return steps.values()

    def _note_pending(self, ready_step):
        queue = self.queue_of(ready_step.occurrence.job)
        self._pending[queue.name][ready_step.number] = ready_step

    def wait_for_quota(self, ready_step, request):
        """Set a step aside until its workspace may use more.

        :param request: what the workspace has to be able to use; None if that
            can't be awaited
        """
        queue = self.queue_of(ready_step.occurrence.job)
        self._pending.get(queue.name, {}).pop(ready_step.number, None)
        if request is None:
            self.quota_waits.add_oversized(ready_step)
        else:
            self.quota_waits.add(ready_step, request)

    def resume_workspace(self, workspace):
        """Make the steps of a workspace that wait for its quota pending."""
        for ready_step in self.quota_waits.pop(workspace):
            self._note_pending(ready_step)
            self.pools_to_schedule.add(self.pool_of(ready_step.occurrence.job))

    def _remove_step(self, key):
        ready_step = self._steps.pop(key, None)
        if ready_step is not None:
            job = ready_step.occurrence.job
            if self.quota_waits.discard(ready_step):
                self.resume_workspace(job.workspace)
            queue = self.queue_of(job)
            self._pending.get(queue.name, {}).pop(ready_step.number, None)
        return ready_step

    def add_job(self, job, now_s, wall_s, age_s, capacity):
        """Add an accepted job.

        :param age_s: time since the job was accepted; None if it has to be
            derived from the wall clock
        :param capacity: capacity of a host in the job's pool
        """
        if job.is_terminal or job.job_id in self._not_due:
            return
        if age_s is None:
            age_s = min(MAX_RECOVERED_AGE_S, max(0.0, wall_s - job.accepted_s))
        elif not job.occurrences and not job.is_beyond_share:
            self._record_demand(job, capacity, now_s)
        accepted_s = now_s - age_s
        for number in sorted(job.occurrences):
            occurrence = job.occurrences[number]
            self._add_ready_steps(occurrence, occurrence.steps, accepted_s)
        scheduled = _ScheduledJob(next(self._numbers), job, accepted_s)
        if scheduled.next_occurrence() is not None:
            self._not_due[job.job_id] = scheduled
            self._add_due_time(scheduled)

    def _add_due_time(self, scheduled):
        job = scheduled.job
        due_s = job.spec.due_s(scheduled.next_occurrence())
        heapq.heappush(self._due_times, (due_s, scheduled.number, job.job_id))

    def _record_demand(self, job, capacity, now_s):
        work = demand.declared_work(job.spec, capacity)
        factor = self.estimates.factor(job.queue)
        self.demand_meters[self.pool_of(job)].note(work * factor, now_s)

    def activate_due(self, now_s, wall_s):
        """Add the steps of occurrences that have become due."""
        due = []
        while self._due_times and self._due_times[0][0] <= wall_s:
            _, number, job_id = heapq.heappop(self._due_times)
            scheduled = self._not_due.get(job_id)
            if scheduled is not None and scheduled.number == number:
                due.append(scheduled)
        for scheduled in sorted(due, key=_number_of):
            self._activate(scheduled, now_s, wall_s)

    def _activate(self, scheduled, now_s, wall_s):
        job, spec = scheduled.job, scheduled.job.spec
        due_since_s = now_s if spec.repetitions else scheduled.accepted_s
        while (number := scheduled.next_occurrence()) is not None:
            if spec.due_s(number) > wall_s:
                self._add_due_time(scheduled)
                return
            scheduled.is_full = job.is_full
            if scheduled.is_full:
                return
            occurrence = job.occurrence(number)
            self._add_ready_steps(occurrence, occurrence.steps, due_since_s)
        del self._not_due[job.job_id]

    def _resume_scheduled(self, job):
        """Let the next occurrence of a job begin that waited for others."""
        scheduled = self._not_due.get(job.job_id)
        if scheduled is not None and scheduled.is_full:
            scheduled.is_full = False
            self._add_due_time(scheduled)

    def _add_ready_steps(self, occurrence, steps, accepted_s):
        for step in steps:
            if occurrence.is_step_ready(step):
                self._add_ready_step(occurrence, step, accepted_s)

    def _add_ready_step(self, occurrence, step, accepted_s):
        key = occurrence.job.job_id, occurrence.number, step
        if key in self._steps or occurrence.is_step_done(step):
            return
        job = occurrence.job
        queue = self.queue_of(job)
        objective_s = ordering.objective_s(queue, job.spec)
        pending = [
            index
            for index, task in enumerate(occurrence.tasks[step])
            if task.state is jobs.TaskState.PENDING
        ]
        ready_step = self._steps[key] = ordering.ReadyStep(
            occurrence,
            step,
            pending,
            accepted_s + objective_s,
            accepted_s + ordering.CUTOFF_FACTOR * objective_s,
            queue.priority,
            job.spec.remaining_paths_s[step],
            number=next(self._numbers),
        )
        for index in pending:
            ready_step.note_pending(index)
        self._note_pending(ready_step)
        self.pools_to_schedule.add(queue.pool)

    def complete_step(self, occurrence, step, now_s):
        """Remove a step that is done, and add its successors."""
        key = occurrence.job.job_id, occurrence.number, step
        done_step = self._remove_step(key)
        if done_step is None:
            return
        if done_step.placed_s is not None:
            self.step_times.note(
                occurrence.job.queue,
                done_step.spec.estimate_s,
                now_s - done_step.placed_s,
            )
        if occurrence.job.is_terminal:
            return
        job = occurrence.job
        if occurrence.is_done:
            self._resume_scheduled(job)
        objective_s = ordering.objective_s(self.queue_of(job), job.spec)
        self._add_ready_steps(
            occurrence,
            job.spec.successors[step],
            done_step.objective_s - objective_s,
        )

    def remove_job(self, job):
        """Remove all steps of a finished job."""
        self._not_due.pop(job.job_id, None)
        for occurrence in job.occurrences.values():
            for step in range(len(occurrence.tasks)):
                self._remove_step((job.job_id, occurrence.number, step))

    def rank(self, ready_step, now_s):
        """Return the sort key of a step; the lowest is placed first."""
        factor = self.step_times.factor(ready_step.occurrence.job.queue)
        return ordering.rank(ready_step, now_s, factor)

    def requeue(self, task_id, job):
        """Make a task that needs another run pending again."""
        key = task_id.step_key
        ready_step = self._steps.get(key)
        if ready_step is not None:
            ready_step.pending.append(task_id.index)
            ready_step.note_pending(task_id.index)
            if ready_step not in self.quota_waits:
                self._note_pending(ready_step)
            self.pools_to_schedule.add(self.pool_of(job))

    def note_start_answer(self, run, is_rejected, now_s):
        """Put off a step whose starts are rejected."""
        ready_step = self._steps.get(run.task_id.step_key)
        if ready_step is None:
            return
        if is_rejected:
            ready_step.note_rejected(run.planned_s, now_s)
        else:
            ready_step.note_accepted()

    def drop_done_tasks(self, occurrence, step):
        """Remove the done tasks of a step from its pending tasks."""
        ready_step = self._steps.get(
            (occurrence.job.job_id, occurrence.number, step)
        )
        if ready_step is not None:
            tasks = occurrence.tasks[step]
            ready_step.pending = [
                index
                for index in ready_step.pending
                if tasks[index].state is not jobs.TaskState.DONE
            ]
            ready_step.suspects &= set(ready_step.pending)

    def note_suspected(self, task_id):
        """Process a new suspicion of a task that may be pending."""
        key = task_id.step_key
        ready_step = self._steps.get(key)
        if ready_step is not None and task_id.index in ready_step.pending:
            ready_step.note_pending(task_id.index)

    def work_host_s(self, ready_step, capacity, limit_s):
        """Return the pending work of a step, in host-seconds.

        :param capacity: the capacity of a host
        :param limit_s: time within which the work counts; a task uses no more
            than its share of a host at any time
        """
        spec = ready_step.spec
        if spec.is_lasting:
            return 0.0
        factor = self.estimates.factor(ready_step.occurrence.job.queue)
        task_s = min(limit_s, spec.estimate_s * factor)
        share = spec.reserved.dominant_share(capacity)
        return len(ready_step.pending) * task_s * share


def _number_of(numbered):
    return numbered.number
