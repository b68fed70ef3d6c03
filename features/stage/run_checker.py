"""Check invariants of task runs on fake executors while they happen."""

import collections
import json

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import quotas
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import specs

# Upper bound on the time until all daemons know of a cancellation.
CANCEL_SLACK_S = 3.0
# A task under which so many executors have crashed may be started only
# MAX_STARTS_AFTER times more.
CRASHES_BEFORE_LIMIT = 3
MAX_STARTS_AFTER = 2


class RunChecker:
    """Environment of fake executors that checks each run for violations.

    :param rng: source of randomness for run times
    :ivar executors: fake executors by id
    :ivar specs: submitted jobs by id
    :ivar queues: queue of each job, where it is known
    :ivar quotas: the most that all runs of a queue's jobs may use
    :ivar cancelled: time of the acknowledged cancellation, by job id
    :ivar violations: violations, as invariant, time and details
    :ivar done: tasks with a successful run, and whether a daemon has
        acknowledged its end
    :ivar starts: number of starts by task
    :ivar crash_delays_s: time from the start of a task to the crash of its
        executor, for tasks that crash each executor that starts them
    :ivar crashed_executors: the executors that each such task has crashed
    :ivar failing: ids of jobs whose tasks fail each time
    :ivar checkpoints: what the tasks of jobs have saved, by job
    :ivar durations_s: run times of the tasks of jobs that declare others
    """

    def __init__(self, rng):
        self.rng = rng
        self.executors = {}
        self.specs = {}
        self.queues = {}
        self.quotas = {}
        self.cancelled = {}
        self.violations = []
        self.done = {}
        self.starts = collections.Counter()
        self.crash_delays_s = {}
        self.crashed_executors = collections.defaultdict(list)
        self.failing = set()
        self.checkpoints = {}
        self.durations_s = {}
        self._starts_after_limit = collections.Counter()
        self._completed_ends = {}

    def now_s(self):
        """Return the current time of the scenario."""
        raise NotImplementedError

    def order_sent_s(self):
        """Return an upper bound of the send time of the order in execution."""
        return self.now_s()

    def find_record(self, key):
        """Return the newest stored job record with a key, or None."""
        raise NotImplementedError

    def stored_status(self, job_id):
        """Return the stored status of a job, or None."""
        raise NotImplementedError

    # Task properties

    def _spec(self, task_id):
        return self.specs[task_id.job_id].steps[task_id.step]

    def is_lasting(self, task_id):
        """Return whether a task runs until it is stopped."""
        return self._spec(task_id).is_lasting

    def duration_s(self, task_id):
        """Return the actual run time of a task."""
        spec = self._spec(task_id)
        if spec.is_lasting:
            return float('inf')
        if task_id.job_id in self.durations_s:
            return self.durations_s[task_id.job_id]
        return spec.estimate_s * self.rng.uniform(0.5, 1.8)

    def checkpoint(self, task_id):
        """Return what a run of a task has saved."""
        return self.checkpoints.get(task_id.job_id, '')

    def fails(self, task_id):
        """Return whether a task fails each time that it runs."""
        return task_id.job_id in self.failing

    # Checks

    def record_violation(self, invariant, **fields):
        self.violations.append((invariant, round(self.now_s(), 3), fields))

    def check_start(self, executor, run):
        """Check the invariants that apply to the start of a run."""
        self.starts[run.task_id] += 1
        self._check_crashes(run.task_id)
        task_id, name = run.task_id, str(run.task_id)
        for other in self.executors.values():
            other.advance()
            for key in other.runs:
                if key[0] == task_id and (
                    other is not executor or key[1] != run.number
                ):
                    self.record_violation(
                        'two concurrent runs of a task', task=name
                    )
        spec = self._spec(task_id)
        used = specs.Resources()
        same_step_run_count = 0
        for key in executor.runs:
            used = used + self._spec(key[0]).reserved
            same_step_run_count += (
                key[0].job_id == task_id.job_id and key[0].step == task_id.step
            )
        if not used.is_within(executor.binding_capacity()):
            self.record_violation('executor capacity exceeded', task=name)
        if (
            spec.max_per_executor
            and same_step_run_count > spec.max_per_executor
        ):
            self.record_violation('max_per_executor exceeded', task=name)
        if self.done.get(task_id) == 'acknowledged':
            self.record_violation('start after an acknowledged end', task=name)
        for step in spec.after:
            count = self.specs[task_id.job_id].steps[step].count
            if any(
                jobs.TaskId(task_id.job_id, task_id.occurrence, step, i)
                not in self.done
                for i in range(count)
            ):
                self.record_violation(
                    'start before a preceding step is done', task=name
                )
        self._check_quota(task_id)
        cancelled_s = self.cancelled.get(task_id.job_id)
        if (
            cancelled_s is not None
            and self.order_sent_s() > cancelled_s + CANCEL_SLACK_S
        ):
            self.record_violation('start after cancellation', task=name)

    def _check_quota(self, task_id):
        queue = self.queues.get(task_id.job_id)
        quota = self.quotas.get(queue)
        if quota is None:
            return
        used = sum(
            (
                self._spec(key[0]).request
                for executor in self.executors.values()
                for key in executor.runs
                if self.queues.get(key[0].job_id) == queue
            ),
            start=specs.Resources(),
        )
        if not quotas.is_within(used, quota):
            self.record_violation('quota exceeded', task=str(task_id))

    def begin_crash(self, executor, run):
        """Begin the crash of an executor if a task crashes it."""

    def _check_crashes(self, task_id):
        if len(self.crashed_executors[task_id]) < CRASHES_BEFORE_LIMIT:
            return
        self._starts_after_limit[task_id] += 1
        if self._starts_after_limit[task_id] > MAX_STARTS_AFTER:
            self.record_violation(
                'a task that crashes executors was started again',
                task=str(task_id),
            )

    def record_end(self, executor, run, cause):
        """Record the end of a run."""
        if cause is run_state.EndCause.DONE:
            self.done.setdefault(run.task_id, 'ended')
            executor_id = executor.entry.executor_id
            row = executor_id, executor.born_ms, executor._sequence
            self._completed_ends[row] = run.task_id

    def check_acknowledged_ends(self, executor, last_end):
        """Check that each end that a daemon acknowledges is stored.

        :param last_end: highest acknowledged sequence number
        """
        own = executor.entry.executor_id, executor.born_ms
        for (*incarnation, sequence), task_id in self._completed_ends.items():
            if tuple(incarnation) != own or sequence > last_end:
                continue
            if self.done[task_id] != 'acknowledged':
                self.done[task_id] = 'acknowledged'
                self._check_recorded(task_id)

    def _check_recorded(self, task_id):
        # The records of a job are dropped once its final state is stored.
        status = self.stored_status(task_id.job_id)
        if status is not None and status.state.is_final:
            return
        key = f'{journal.PROGRESS}/{task_id.job_id}/{task_id.occurrence}'
        record = self.find_record(key)
        is_stored = record is not None and record.value
        tasks = json.loads(record.value)['t'] if is_stored else []
        row = tasks[task_id.step][task_id.index] if tasks else []
        if not row or row[0] != jobs.TaskState.DONE:
            self.record_violation(
                'end acknowledged before it was stored', task=str(task_id)
            )

    def check_stop(self, run):
        """Check a stop order against the step's ``max_unavailable``."""
        spec = self._spec(run.task_id)
        if spec.max_unavailable is None or not spec.is_lasting:
            return
        if run.task_id.job_id in self.cancelled:
            return
        serving_peer_count = sum(
            self.now_s() - other.began_s > 0.5 and other.stops_s is None
            for executor in self.executors.values()
            for other in executor.runs.values()
            if other.task_id.job_id == run.task_id.job_id
            and other.task_id.step == run.task_id.step
            and other.task_id != run.task_id
        )
        if spec.count - 1 - serving_peer_count >= spec.max_unavailable:
            self.record_violation(
                'max_unavailable exceeded', task=str(run.task_id)
            )
