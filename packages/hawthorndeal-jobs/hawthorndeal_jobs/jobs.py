"""The state of a job: its occurrences, their steps and their tasks."""

import enum

import attrs

from . import specs


class JobState(enum.StrEnum):
    """Name what a caller is told of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self):
        """Tell whether nothing of the job runs any more."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class TaskState(enum.IntEnum):
    """Name what is known of a task."""

    PENDING = 0
    # A run was ordered: it may be running, or may never have begun.
    ORDERED = 1
    DONE = 2
    FAILED = 3


@attrs.frozen
class TaskId:
    """Name a task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


@attrs.define
class Task:
    """Hold what must outlast the daemon that owns a task.

    :ivar run: number of the last run ordered; 0 before the first
    :ivar executor: incarnation that the last run was ordered on
    :ivar failures: runs that ended as failed
    :ivar checkpoint: where the next run goes on; empty for the beginning
    """

    state: TaskState = TaskState.PENDING
    run: int = 0
    executor: str = ''
    failures: int = 0
    checkpoint: str = ''


@attrs.define(eq=False)
class Occurrence:
    """Hold one run of a job's steps.

    :ivar tasks: the tasks of each step
    :ivar done_counts: tasks done, for each step
    """

    job: 'Job'
    number: int
    tasks: list[list[Task]]
    done_counts: list[int]

    @classmethod
    def new(cls, job, number):
        """Return an occurrence of which nothing has run."""
        tasks = [[Task() for _ in range(s.count)] for s in job.spec.steps]
        return cls(job, number, tasks, [0] * len(tasks))

    def is_step_done(self, step):
        """Tell whether every task of a step is done."""
        return self.done_counts[step] == len(self.tasks[step])

    def is_step_ready(self, step):
        """Tell whether all that a step waits for is done."""
        after = self.job.spec.steps[step].after
        return all(self.is_step_done(other) for other in after)

    @property
    def is_done(self):
        """Tell whether every task is done."""
        return all(map(self.is_step_done, range(len(self.tasks))))

    @property
    def has_begun(self):
        """Tell whether a run of any task was ordered."""
        return any(task.run for step in self.tasks for task in step)

    def task(self, task_id):
        """Return one task, or None where the job has no such task."""
        try:
            return self.tasks[task_id.step][task_id.index]
        except IndexError:
            return None


@attrs.define(eq=False)
class Job:
    """Hold an accepted job.

    :ivar accepted_s: when it was accepted, since the epoch
    :ivar pool: pool of its queue when it was accepted
    :ivar shown: state told to callers; only what the store holds
    :ivar is_shown_begun: whether the store holds the start of a task
    """

    job_id: str
    queue: str
    pool: str
    accepted_s: float
    spec: specs.JobSpec
    occurrences: dict[int, Occurrence] = attrs.Factory(dict)
    is_cancelled: bool = False
    is_failed: bool = False
    shown: JobState = JobState.QUEUED
    is_shown_begun: bool = False
    final_since_s: float | None = None

    def occurrence(self, number):
        """Return one occurrence, made where it was not there."""
        if number not in self.occurrences:
            self.occurrences[number] = Occurrence.new(self, number)
        return self.occurrences[number]

    @property
    def is_terminal(self):
        """Tell whether no more tasks of the job may start."""
        return self.is_cancelled or self.is_failed or self.is_done

    @property
    def is_done(self):
        """Tell whether every occurrence is done."""
        return len(self.occurrences) == self.spec.occurrences and all(
            occurrence.is_done for occurrence in self.occurrences.values()
        )

    @property
    def has_begun(self):
        """Tell whether a run of any task was ordered."""
        return any(o.has_begun for o in self.occurrences.values())

    def state(self):
        """Return the state that its parts add up to."""
        if self.is_done:
            return JobState.COMPLETED
        if self.is_failed:
            return JobState.FAILED
        if self.is_cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.has_begun else JobState.QUEUED
