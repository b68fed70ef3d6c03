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
    """

    def __init__(self, shape, hosts=4):
        self._shape = shape
        self._partition = loaded_partition.LoadedPartition(hosts)
        self.progress = {}

    def count_instructions(self):
        """Return the number of instructions of the whole life."""
        return loaded_partition.count_instructions(self.play)

    def play(self):
        """Submit the job, and end what runs after each cycle."""
        job = self._submit()
        partition = self._partition
        for _ in range(MAX_CYCLES):
            starts = partition.plan().starts
            partition.accept_starts(starts)
            self._store()
            for executor in list(partition.scheduler.executors.values()):
                self._end_all(executor)
            self._store()
            if job.state() is jobs.JobState.COMPLETED:
                return
        raise AssertionError(f'not done: {self._shape}')

    def _end_all(self, executor):
        ended = [
            run_state.ReportedEnd(
                number, run.task_id, run.number, run_state.EndCause.DONE, ''
            )
            for number, run in enumerate(
                executor.runs.values(), executor.last_processed_end + 1
            )
        ]
        self._partition.poll(executor.executor_id, ended)

    def _submit(self):
        spec = submissions.decode_job(self._shape.body)
        ordering.objective_s(QUEUE, spec)
        journal.spec_digest(spec)
        partition = self._partition
        submission = journal.Submission(
            QUEUE.name, QUEUE.pool, partition.now_s, spec
        )
        record = journal.submission_record(JOB_ID, submission)
        applied = partition.replica.apply(record.key, record.value, 0)
        partition.accept(applied.job)
        return applied.job

    def _store(self):
        """Encode the progress of the job, as the owner does."""
        partition = self._partition
        for occurrence in partition.scheduler.pop_changed():
            for record in journal.progress_records(occurrence, (1, 1), True):
                self.progress[record.key] = record.value
