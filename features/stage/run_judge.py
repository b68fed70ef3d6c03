"""Judge runs of tasks on fake executors, as they begin, end and are told."""

import collections
import json

from hawthorndeal_jobs import executors as executors_module
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import specs

# A daemon may not have heard of a cancel for as long.
CANCEL_SLACK_S = 3.0


class RunJudge:
    """Be what fake executors run in: know the tasks, and judge each run.

    :param rng: draws how long tasks really run
    :ivar executors: fake executors by id
    :ivar specs: jobs handed in, by id
    :ivar cancelled: when a job's cancel was acknowledged
    :ivar broken: promises that were broken
    :ivar done: tasks of which a run ended well
    :ivar starts: how often each task began
    """

    def __init__(self, rng):
        self.rng = rng
        self.executors = {}
        self.specs = {}
        self.cancelled = {}
        self.broken = []
        self.done = {}
        self.starts = collections.Counter()
        self._ended_rows = {}

    def now_s(self):
        """Return the time of the scenario."""
        raise NotImplementedError

    def ordered_s(self):
        """Return when the order now carried out was sent, at the latest."""
        return self.now_s()

    def find_record(self, key):
        """Return the newest stored record of the jobs with a key, if any."""
        raise NotImplementedError

    # What jobs need

    def _spec(self, task_id):
        return self.specs[task_id.job_id].steps[task_id.step]

    def is_lasting(self, task_id):
        """Tell whether a task runs until it is stopped."""
        return self._spec(task_id).is_lasting

    def duration_s(self, task_id):
        """Return how long a task really runs."""
        spec = self._spec(task_id)
        if spec.is_lasting:
            return float('inf')
        return spec.estimate_s * self.rng.uniform(0.5, 1.8)

    # Judging

    def note_broken(self, promise, **fields):
        self.broken.append((promise, round(self.now_s(), 3), fields))

    def judge_start(self, executor, run):
        """Judge a run that begins."""
        self.starts[run.task_id] += 1
        task_id, name = run.task_id, str(run.task_id)
        for other in self.executors.values():
            other.advance()
            for key in other.runs:
                if key[0] == task_id and (
                    other is not executor or key[1] != run.number
                ):
                    self.note_broken('runs twice', task=name)
        spec = self._spec(task_id)
        used = specs.Resources()
        beside = 0
        for key in executor.runs:
            used = used + self._spec(key[0]).reserved
            beside += (
                key[0].job_id == task_id.job_id and key[0].step == task_id.step
            )
        if not used.is_within(executor.entry.capacity):
            self.note_broken('over capacity', task=name)
        if spec.max_per_executor and beside > spec.max_per_executor:
            self.note_broken('too many of a step', task=name)
        if self.done.get(task_id) == 'acknowledged':
            self.note_broken('starts after its end', task=name)
        for step in spec.after:
            count = self.specs[task_id.job_id].steps[step].count
            if any(
                jobs.TaskId(task_id.job_id, task_id.occurrence, step, i)
                not in self.done
                for i in range(count)
            ):
                self.note_broken('starts before its turn', task=name)
        cancelled_s = self.cancelled.get(task_id.job_id)
        if (
            cancelled_s is not None
            and self.ordered_s() > cancelled_s + CANCEL_SLACK_S
        ):
            self.note_broken('starts after its cancel', task=name)

    def judge_end(self, executor, run, cause):
        """Judge a run that ends."""
        if cause is executors_module.EndCause.DONE:
            self.done.setdefault(run.task_id, 'ended')
            row = executor.entry.executor_id, executor._sequence
            self._ended_rows[row] = run.task_id

    def note_acknowledged(self, executor, last_end):
        """Note which ends a daemon has taken note of."""
        for (executor_id, sequence), task_id in self._ended_rows.items():
            mine = executor_id == executor.entry.executor_id
            if not mine or sequence > last_end:
                continue
            if self.done[task_id] != 'acknowledged':
                self.done[task_id] = 'acknowledged'
                self._judge_recorded(task_id)

    def _judge_recorded(self, task_id):
        key = f'{journal.PROGRESS}/{task_id.job_id}/{task_id.occurrence}'
        record = self.find_record(key)
        tasks = json.loads(record.value)['t'] if record else []
        row = tasks[task_id.step][task_id.index] if tasks else []
        if not row or row[0] != jobs.TaskState.DONE:
            self.note_broken('forgotten before stored', task=str(task_id))

    def judge_stop(self, run):
        """Judge an order that ends a run."""
        spec = self._spec(run.task_id)
        if spec.max_unavailable is None or not spec.is_lasting:
            return
        if run.task_id.job_id in self.cancelled:
            return
        at_work = sum(
            self.now_s() - other.began_s > 0.5 and other.stops_s is None
            for executor in self.executors.values()
            for other in executor.runs.values()
            if other.task_id.job_id == run.task_id.job_id
            and other.task_id.step == run.task_id.step
            and other.task_id != run.task_id
        )
        if spec.count - 1 - at_work >= spec.max_unavailable:
            self.note_broken('too many away', task=str(run.task_id))
