"""The life of one job in a scheduler, whose instructions are counted."""

import json

import attrs

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ordering
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import run_state
from hawthorndeal_site import submissions
from stage import loaded_partition

QUEUE = queues.Queue(loaded_partition.OWN_POOL, loaded_partition.OWN_POOL)
JOB_ID = '0123456789abcdef'
# Work that each task causes anyway, in bytes of a declaration.
TASK_BYTES = 50
MAX_CYCLES = 20000


@attrs.frozen
class Shape:
    """A declared job, as plain data.

    :ivar steps: its steps, as callers declare them
    """

    steps: list
    repetitions: int = 0

    @property
    def body(self):
        """The body of its submission."""
        plain = {'task-spec': 'payload', 'steps': self.steps}
        if self.repetitions:
            plain.update({'repetitions': self.repetitions, 'first-run-ms': 1})
        return json.dumps(plain).encode()

    @property
    def tasks(self):
        """Number of tasks of all occurrences."""
        count = sum(step['count'] for step in self.steps)
        return count * max(1, self.repetitions)

    @property
    def size(self):
        """Size of the job, with a share for each task."""
        return len(self.body) + self.tasks * TASK_BYTES


class JobLife:
    """A job from its submission to its end, as an owner sees it.

    :param shape: a :class:`Shape`
    :param hosts: number of hosts in its pool
    :ivar starts: the tasks that were started
    :ivar max_under_way: the most occurrences that were under way at once
    """

    def __init__(self, shape, hosts=4):
        self.shape = shape
        self.starts = []
        self.max_under_way = 0
        self._hosts = hosts
        self._partition = loaded_partition.LoadedPartition(hosts)
        self._records = {}
        self._job = None
        self._is_added = False

    def count_instructions(self):
        """Return the number of instructions of the whole life."""
        return loaded_partition.count_instructions(self.play)

    def play(self):
        """Submit the job, and end it."""
        self.submit()
        self.end_job()

    def submit(self):
        """Submit the job, and return it."""
        spec = submissions.decode_job(self.shape.body)
        ordering.objective_s(QUEUE, spec)
        journal.spec_digest(spec)
        submission = journal.Submission(
            QUEUE.name, QUEUE.pool, self._partition.now_s, spec
        )
        record = journal.submission_record(JOB_ID, submission)
        self._read(record)
        return self._job

    def _read(self, record):
        self._records[record.key] = record
        replica = self._partition.replica
        replica.apply(record.key, record.value, len(self._records))
        self._job = replica.jobs[JOB_ID]

    def assign(self, occurrence):
        """Let an owner have started the tasks of an occurrence."""
        for task_id, task in occurrence.numbered_tasks():
            task.state, task.run = jobs.TaskState.ASSIGNED, 1
            task.executor = next(iter(self._partition.scheduler.executors))
            occurrence.note_changed(task_id.step, task_id.index)
        self._note(occurrence)

    def succeed(self):
        """Return the job as a successor has read it."""
        successor = JobLife(self.shape, self._hosts)
        for key in sorted(self._records):
            successor._read(self._records[key])
        scheduler = successor._partition.scheduler
        scheduler.inherit(100.0, 200.0)
        return successor

    def end_job(self):
        """End what runs after each cycle, until the job has ended."""
        scheduler = self._partition.scheduler
        for _ in range(MAX_CYCLES):
            self.start_pending()
            self._store()
            for executor in list(scheduler.executors.values()):
                self._end_all(executor)
            self._store()
            if self._job.state() is jobs.JobState.COMPLETED:
                return
        raise AssertionError(f'not done: {self.shape}')

    def start_pending(self):
        """Start what waits; return the tasks that were started."""
        partition = self._partition
        if not self._is_added:
            self._is_added = True
            partition.accept(self._job)
        starts = partition.plan().starts
        partition.accept_starts(starts)
        job = self._job
        under_way = len(job.occurrences) - job.done_occurrences
        self.max_under_way = max(self.max_under_way, under_way)
        started = [run.task_id for run in starts]
        self.starts += started
        return started

    def _end_all(self, executor):
        ended = [
            run_state.ReportedEnd(
                number, run.task_id, run.number, run_state.EndCause.DONE, ''
            )
            for number, run in enumerate(
                executor.runs.values(),
                executor.incarnation.last_processed_end + 1,
            )
        ]
        self._partition.poll(executor.executor_id, ended)

    def _store(self):
        """Encode the progress of the job, as the owner does."""
        for occurrence in self._partition.scheduler.pop_changed():
            self._note(occurrence)

    def _note(self, occurrence):
        for record in journal.progress_records(occurrence, (1, 1), True):
            self._records[record.key] = record
