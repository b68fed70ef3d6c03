"""Steps for the attempts that are counted of a gang."""

import json

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import replica as replica_module
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import scheduler as scheduler_module
from stage import scheduler_harness

JOB_ID = 'gang'
MEMBERS = 4
EXECUTORS = 6
MAX_RUNS = 10
# Longer than any suspension of an executor.
PAUSE_S = 30.0

_Cause = run_state.EndCause


class GangRuns:
    """Runs a step on an owner's scheduler and on those of its successors.

    :ivar number: runs of the step so far
    :ivar ends: ends that each executor has told
    """

    def __init__(self, spec, max_attempts):
        queue = queues.Queue(
            scheduler_harness.POOL,
            scheduler_harness.POOL,
            max_attempts=max_attempts,
        )
        self._configuration = attrs.evolve(
            scheduler_harness.CONFIGURATION,
            queues={scheduler_harness.POOL: queue},
        )
        self._spec = spec
        self.number = 0
        self.ends = {f'x{number}': [] for number in range(EXECUTORS)}
        self._harness = None
        self._begin({})

    @property
    def job(self):
        """The job, as the present owner knows it."""
        return self._harness.replica.jobs[JOB_ID]

    def _begin(self, records):
        now_s = self._harness.now_s if self._harness else 100.0
        self._harness = harness = scheduler_harness.Harness()
        harness.now_s = now_s + PAUSE_S
        harness.replica = replica_module.Replica()
        harness.scheduler = scheduler_module.Scheduler(
            harness.replica, self._configuration
        )
        job = harness._new_job(JOB_ID, self._spec)
        for key, value in records.items():
            assert key == f'{journal.PROGRESS}/{JOB_ID}/0', key
            journal.restore_progress(value, job.occurrences[0])
        harness.scheduler.inherit(harness.now_s, harness.now_s)
        harness.scheduler.add_job(job, harness.now_s, harness.now_s)
        for name in self.ends:
            harness.register_executor(name)

    def succeed(self):
        """Let a successor go on with what is stored."""
        record = journal.progress_record(self.job.occurrences[0])
        self.restore(record.value)

    def restore(self, value):
        """Let a successor go on with a stored record."""
        self._begin({f'{journal.PROGRESS}/{JOB_ID}/0': value})

    def poll(self, name, is_told_again=False):
        """Poll an executor, which lists its runs and its latest ends."""
        harness = self._harness
        ended = self.ends[name] if is_told_again else self.ends[name][-8:]
        over = {(end.task_id, end.number) for end in self.ends[name]}
        running = [
            run_state.ReportedRun(run.task_id, run.number, '', 0)
            for run in harness.scheduler.executors[name].runs.values()
            if (run.task_id, run.number) not in over
        ]
        harness.poll(name, running, ended)

    def poll_all(self):
        """Poll each executor."""
        for name in self.ends:
            self.poll(name)

    def start(self):
        """Start all members; return their runs, or none if it can't go on."""
        self._harness.now_s += PAUSE_S
        self.poll_all()
        runs = self._harness.start_all()
        if runs:
            self.number += 1
            assert self.number <= MAX_RUNS, self.number
        return sorted(runs, key=lambda run: run.task_id.index)

    def tell_end(self, run, cause):
        """Let an executor tell how a run has ended."""
        ends = self.ends[run.executor_id]
        ends.append(
            run_state.ReportedEnd(
                len(ends) + 1, run.task_id, run.number, cause, ''
            )
        )
        self.poll(run.executor_id)

    def write_off(self, runs):
        """Have executors list runs neither as running nor as ended."""
        for name in {run.executor_id for run in runs}:
            self._harness.now_s += 1.0
            self._harness.poll(name)

    def fail(self, failing, learns_last, successor):
        """Let one run fail.

        :param failing: number of members that fail; the others are broken
        """
        runs = self.start()
        assert runs, self.job.state()
        causes = [
            _Cause.FAILED if number < failing else _Cause.GANG_BROKEN
            for number in range(len(runs))
        ]
        ends = list(zip(runs, causes))
        if learns_last:
            ends.reverse()
        for number, (run, cause) in enumerate(ends):
            self.tell_end(run, cause)
            if successor == 'midway' and number == len(ends) // 2 - 1:
                self.succeed()
                self.poll_all()
        if successor == 'a run':
            self.succeed()
            self.poll_all()


@given('a gang of {count:d} tasks, and a queue of {attempts:d} attempts')
def make_gang(context, count, attempts):
    spec = scheduler_harness.steps(count, is_gang=True)
    context.gang = GangRuns(spec, attempts)


@given('a task, and a queue of {attempts:d} attempts')
def make_task(context, attempts):
    context.gang = GangRuns(scheduler_harness.steps(1), attempts)


@given(
    'a record of an earlier version in which its members failed {failures} '
    'times'
)
def restore_earlier(context, failures):
    state = jobs.TaskState.PENDING.value
    rows = [[state, 3, 'x0', int(count), ''] for count in failures.split()]
    value = json.dumps({'f': 0, 't': [rows]}).encode()
    context.gang.restore(value)


@when('{failing} members fail in {count:d} run, {order}, {successor}')
@when('{failing} members fail in {count:d} runs, {order}, {successor}')
def fail_runs(context, failing, count, order, successor):
    gang = context.gang
    members = MEMBERS if failing == 'all' else int(failing)
    is_last = order == 'their ends learned last'
    assert is_last or order == 'their ends learned first', order
    known = {
        'without a successor': '',
        'with a successor a run': 'a run',
        'with a successor midway': 'midway',
    }
    for _ in range(count):
        gang.fail(members, is_last, known[successor])


@when('each of its runs fails, which is told after it was written off')
def fail_late(context):
    gang = context.gang
    while runs := gang.start():
        gang.write_off(runs)
        for run in runs:
            gang.tell_end(run, _Cause.FAILED)


@when('it fails in {count:d} runs, and each successor is told all ends again')
def fail_told_again(context, count):
    gang = context.gang
    for _ in range(count):
        gang.fail(MEMBERS, False, '')
        gang.succeed()
        for name in gang.ends:
            gang.poll(name, is_told_again=True)


@then('its job goes on')
def check_goes_on(context):
    state = context.gang.job.state()
    assert not state.is_final, (state, context.gang.job.failure_reason())


@then('its job has failed after {count:d} runs')
def check_failed(context, count):
    gang = context.gang
    assert gang.job.state() is jobs.JobState.FAILED, gang.job.state()
    assert gang.number == count, gang.number
    assert not gang.start()


@given(
    '{kind} of {count:d} tasks, each of which has failed in runs of its own'
)
def make_failed_tasks(context, kind, count):
    spec = scheduler_harness.steps(3, count, is_gang=kind == 'a gang')
    job = jobs.Job(JOB_ID, 'web', 'web', 0.0, spec)
    context.occurrence = occurrence = job.occurrence(0)
    for task_id, task in occurrence.numbered_tasks():
        task.run = task_id.index + 3
        occurrence.note_failed_run(task_id, task_id.index % 5 + 1)
        occurrence.note_failed_run(task_id, task_id.index % 7 + 2)
        occurrence.note_changed(task_id.step, task_id.index)


@when('a successor reads its progress, stored {how}')
def read_progress(context, how):
    occurrence = context.occurrence
    records = journal.progress_records(
        occurrence, (1, 1), how == 'in several records'
    )
    assert (len(records) > 1) == (how == 'in several records')
    job = jobs.Job(JOB_ID, 'web', 'web', 0.0, occurrence.job.spec)
    context.restored = job.occurrence(0)
    for record in records:
        first = record.key.split('/')[3:]
        journal.restore_progress(
            record.value, context.restored, *map(int, first)
        )


@then('it knows the same failed runs, and as many attempts')
def check_failed_runs(context):
    known = context.restored
    for task_id, task in context.occurrence.numbered_tasks():
        assert known.task(task_id).failed_runs == task.failed_runs, task_id
        attempts = context.occurrence.failed_attempts(task_id)
        assert known.failed_attempts(task_id) == attempts, task_id
