"""The state of jobs, their occurrences, steps and tasks."""

import bisect
import enum

import attrs

from . import queues
from . import specs


class JobState(enum.StrEnum):
    """State of a job as reported to clients."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self):
        """Whether the job has ended."""
        return self not in (JobState.QUEUED, JobState.RUNNING)

    @property
    def progress(self):
        """Number that never decreases in the course of a job."""
        if self.is_final:
            return 2
        return int(self is JobState.RUNNING)

    @property
    def may_have_runs(self):
        """Whether a cancellation may have something to end.

        Long-running tasks of a failed job may still serve.
        """
        return not self.is_final or self is JobState.FAILED


class TaskState(enum.IntEnum):
    """State of a task."""

    PENDING = 0
    # A run was planned: it may be running, or may never have started.
    ASSIGNED = 1
    DONE = 2
    FAILED = 3


@attrs.frozen
class TaskId:
    """Identifier of a task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self):
        """What identifies the step of the task."""
        return self.job_id, self.occurrence, self.step

    def __str__(self):
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


@attrs.define
class Task:
    """The persistent state of a task, which survives a change of owners.

    :ivar run: number of the last planned run; 0 if there was none
    :ivar executor: executor incarnation of the last planned run
    :ivar failed_runs: numbers of the runs that have failed, in the order in
        which their ends were learned; the end of a run may be told again, by
        executors to a new owner
    :ivar checkpoint: where the next run resumes; empty to start over
    :ivar crashed_executors: executors that crashed under the task, since one
        of its runs showed that the cause was another
    :ivar unconfirmed_crashes: number of further executors that crashed when
        it was not known whether the task had started there
    :ivar crash_survival_s: how long its run had lasted at the last crash
    :ivar started_run: number of the last run that is known to have started,
        if executors may have crashed under the task before
    """

    state: TaskState = TaskState.PENDING
    run: int = 0
    executor: str = ''
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ''
    crashed_executors: tuple[str, ...] = ()
    unconfirmed_crashes: int = 0
    crash_survival_s: float = 0.0
    started_run: int = 0

    @property
    def is_open(self):
        """Whether the task is not done."""
        return self.state is not TaskState.DONE

    @property
    def has_run(self):
        """Whether the state shows that an executor has begun the task."""
        return bool(
            self.state in (TaskState.DONE, TaskState.FAILED)
            or self.failed_runs
            or self.checkpoint
            or self.started_run
            or self.crashed_executors
        )

    @property
    def failures(self):
        """Number of runs that have failed."""
        return len(self.failed_runs)

    def note_failed_run(self, number):
        """Record that a run has failed; a run fails once at most."""
        if number not in self.failed_runs:
            self.failed_runs += (number,)

    @property
    def crash_count(self):
        """Number of executors that may have crashed under the task."""
        return len(self.crashed_executors) + self.unconfirmed_crashes


@attrs.define(eq=False)
class Occurrence:
    """One execution of a job's steps.

    :ivar stamps: stamps of the records that the tasks were read from, by
        the number of the first task of a record
    """

    job: 'Job'
    number: int
    _tasks: list[list[Task]] = attrs.field(factory=list, init=False)
    stamps: dict[int, tuple] = attrs.field(factory=dict, init=False)
    _changed_tasks: set[int] = attrs.field(factory=set, init=False)
    # Counted, since each end of a task asks whether its step, its job and what
    # its successors wait for are done.
    _open_tasks: list[int] = attrs.field(factory=list, init=False)
    _open_predecessors: list[int] = attrs.field(factory=list, init=False)
    _open_steps: int = attrs.field(default=0, init=False)
    _failed_runs_by_gang: dict[int, set] = attrs.field(
        factory=dict, init=False
    )

    @classmethod
    def new(cls, job, number):
        """Return an occurrence in which no task has run."""
        steps = job.spec.steps
        occurrence = cls(job, number)
        occurrence._tasks = [[Task() for _ in range(s.count)] for s in steps]
        occurrence._open_tasks = [step.count for step in steps]
        occurrence._open_predecessors = [len(step.after) for step in steps]
        occurrence._open_steps = len(steps)
        return occurrence

    @property
    def tasks(self):
        """The tasks of each step."""
        return self._tasks

    @property
    def steps(self):
        """Indexes of the steps."""
        return range(len(self._tasks))

    def restore(self, first, tasks):
        """Set the state of some tasks.

        :param first: number of the first one, over all steps
        """
        was_done = self.is_done
        self._failed_runs_by_gang.clear()
        step, index = self.place(first)
        for task in tasks:
            if index == len(self._tasks[step]):
                step, index = step + 1, 0
            was_open = self._tasks[step][index].is_open
            self._tasks[step][index] = task
            self._count_open(step, task.is_open - was_open)
            index += 1
        self.job.done_occurrences += self.is_done - was_done
        self.job.has_started |= any(task.has_run for task in tasks)

    def _count_open(self, step, change):
        was_open = bool(self._open_tasks[step])
        self._open_tasks[step] += change
        step_change = bool(self._open_tasks[step]) - was_open
        if not step_change:
            return
        self._open_steps += step_change
        for other in self.job.spec.successors[step]:
            self._open_predecessors[other] += step_change

    def note_changed(self, step, index):
        """Record that the state of a task has changed."""
        self._changed_tasks.add(self.job.spec.first_tasks[step] + index)

    def pop_changed_tasks(self):
        """Return the numbers of the tasks that changed since the last call.

        Tasks are numbered over all steps.
        """
        changed, self._changed_tasks = self._changed_tasks, set()
        return changed

    def place(self, number):
        """Return the step and the index of a task numbered over all steps."""
        first_tasks = self.job.spec.first_tasks
        step = bisect.bisect_right(first_tasks, number) - 1
        return step, number - first_tasks[step]

    def tasks_from(self, first, count):
        """Return up to a number of tasks, from one on, over all steps."""
        spec = self.job.spec
        step = bisect.bisect_right(spec.first_tasks, first) - 1
        found = []
        while len(found) < count and step < len(self._tasks):
            begin = max(0, first - spec.first_tasks[step])
            found += self._tasks[step][begin : begin + count - len(found)]
            step += 1
        return found

    def note_done(self, step, count):
        """Record that a number of tasks of a step have become done."""
        was_done = self.is_done
        self._count_open(step, -count)
        self.job.done_occurrences += self.is_done - was_done

    def is_step_done(self, step):
        """Return True if every task of a step is done."""
        return not self._open_tasks[step]

    def has_done_task(self, step):
        """Return True if any task of a step is done."""
        return self._open_tasks[step] < len(self._tasks[step])

    def is_step_ready(self, step):
        """Return True if all steps that a step depends on are done."""
        return not self._open_predecessors[step]

    @property
    def is_done(self):
        """Whether every task is done."""
        return not self._open_steps

    def failed_attempts(self, task_id):
        """Return how many attempts of a task, or of its gang, have failed.

        The members of a gang share the number of each run, and however many
        of them fail in it, the gang has failed once.
        """
        if not self.job.spec.steps[task_id.step].is_gang:
            return self.task(task_id).failures
        return len(self._gang_failed_runs(task_id.step))

    def note_failed_run(self, task_id, number):
        """Record that a run of a task has failed."""
        self.task(task_id).note_failed_run(number)
        if self.job.spec.steps[task_id.step].is_gang:
            self._gang_failed_runs(task_id.step).add(number)

    def _gang_failed_runs(self, step):
        """Return the numbers of the runs in which a gang has failed."""
        # Each end of a member asks for them.
        if step not in self._failed_runs_by_gang:
            members = self._tasks[step]
            runs = set().union(*(task.failed_runs for task in members))
            self._failed_runs_by_gang[step] = runs
        return self._failed_runs_by_gang[step]

    def numbered_tasks(self):
        """Return each task with its id."""
        return [
            (TaskId(self.job.job_id, self.number, step, index), task)
            for step, tasks in enumerate(self.tasks)
            for index, task in enumerate(tasks)
        ]

    def task(self, task_id):
        """Return a task, or None if it does not exist."""
        try:
            return self.tasks[task_id.step][task_id.index]
        except IndexError:
            return None


@attrs.define(eq=False)
class Job:
    """An accepted job.

    :ivar accepted_s: when it was accepted, since the epoch
    :ivar pool: pool of its queue when it was accepted
    :ivar workspace: workspace of its caller; empty where the queue is public
    :ivar terms: what its queue promised when it was accepted
    :ivar is_beyond_share: whether its workspace sent more jobs than are owed
        to it at that time
    :ivar home: name of the partition that its cancellation is stored in
    :ivar give_up_reason: why the job as a whole was given up; empty if it
        wasn't
    :ivar has_started: whether a run of any task is known to have begun
    :ivar done_occurrences: number of occurrences of which all tasks are done
    """

    job_id: str
    queue: str
    pool: str
    accepted_s: float
    spec: specs.JobSpec
    workspace: str = ''
    terms: queues.QueueTerms = queues.QueueTerms()
    is_beyond_share: bool = False
    home: str = ''
    occurrences: dict[int, Occurrence] = attrs.Factory(dict)
    is_cancelled: bool = False
    is_failed: bool = False
    give_up_reason: str = ''
    has_started: bool = False
    done_occurrences: int = 0

    def occurrence(self, number):
        """Return an occurrence; it is created if missing."""
        if number not in self.occurrences:
            self.occurrences[number] = Occurrence.new(self, number)
        return self.occurrences[number]

    @property
    def is_full(self):
        """Whether no further occurrence may begin now."""
        under_way = len(self.occurrences) - self.done_occurrences
        return under_way >= self.spec.concurrent_occurrences

    @property
    def has_assigned_tasks(self):
        """Whether a run of any task may still be executing."""
        return any(
            task.state is TaskState.ASSIGNED
            for occurrence in self.occurrences.values()
            for step in occurrence.tasks
            for task in step
        )

    @property
    def is_terminal(self):
        """Whether no more tasks of the job may start."""
        return self.is_cancelled or self.is_failed or self.is_done

    def must_end_runs_of(self, step):
        """Return whether the runs of a step have to end.

        Long-running tasks of a failed job serve their users until it is
        cancelled, as far as their availability budget asks for it.
        """
        if self.is_cancelled or self.is_done:
            return True
        is_protected = step.is_lasting and step.max_unavailable is not None
        return self.is_failed and not is_protected

    @property
    def is_done(self):
        """Whether every occurrence is done."""
        return self.done_occurrences == self.spec.occurrences

    def failure_reason(self):
        """Return why the job has failed, or an empty string."""
        if not self.is_failed or self.give_up_reason:
            return self.give_up_reason
        return next(
            (
                _failure_reason(occurrence, task_id, task)
                for occurrence in self.occurrences.values()
                for task_id, task in occurrence.numbered_tasks()
                if task.state is TaskState.FAILED
            ),
            '',
        )

    def state(self):
        """Return the state derived from the job's tasks and flags."""
        if self.is_done:
            return JobState.COMPLETED
        if self.is_failed:
            return JobState.FAILED
        if self.is_cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.has_started else JobState.QUEUED


def _failure_reason(occurrence, task_id, task):
    if task.crash_count:
        names = ', '.join(task.crashed_executors)
        return (
            f'{task.crash_count} executors crashed under task {task_id}: '
            f'{names}'
        )
    attempts = occurrence.failed_attempts(task_id)
    if occurrence.job.spec.steps[task_id.step].is_gang:
        return f'the gang of task {task_id} failed {attempts} times'
    return f'task {task_id} failed {attempts} times'
