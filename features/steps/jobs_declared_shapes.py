"""Steps for what a job makes a daemon compute."""

import copy
import itertools
import json

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import replica
from hawthorndeal_jobs import run_state
from hawthorndeal_site import submissions
from stage import edge_bodies
from stage import job_life
from stage import loaded_partition

JOB_ID = job_life.JOB_ID
LAYER = 4
YEAR_MS = 365 * 24 * 3600 * 1000
DECLARED_MS = {
    'a millisecond': 1,
    'a minute': 60000,
    'a day': 24 * 3600 * 1000,
    'a year': YEAR_MS,
    'the longest time': 2**53,
}
# Two tasks of this size fit on a host.
LARGE = {'cpu': 8000, 'mem-mb': 1, 'estimated-ms': 100}
SMALL = {'cpu': 10, 'mem-mb': 1, 'estimated-ms': 100}


def _graph(count, after):
    return job_life.Shape(
        [
            {'count': 1, **SMALL, 'after': list(after(index, count))}
            for index in range(count)
        ]
    )


def _layer_before(index, _):
    first = index // LAYER * LAYER - LAYER
    return range(max(0, first), first + LAYER)


def _last_waits(index, count):
    return range(index) if index == count - 1 else ()


def _one_step(count, **options):
    return job_life.Shape([{'count': count, **options}])


SHAPES = {
    'steps that each wait for all before': lambda count: _graph(
        count, lambda index, _: range(index)
    ),
    'steps in layers of four': lambda count: _graph(count, _layer_before),
    'steps that each wait for the one before': lambda count: _graph(
        count, lambda index, _: range(max(0, index - 1), index)
    ),
    'steps that wait for the first': lambda count: _graph(
        count, lambda index, _: range(min(1, index))
    ),
    'steps that the last waits for': lambda count: _graph(count, _last_waits),
    'tasks of one step': lambda count: _one_step(count, **LARGE),
    'occurrences that are all due': lambda count: job_life.Shape(
        [{'count': 1, **LARGE}], count
    ),
    'members of a gang': lambda count: _one_step(
        count, **SMALL, **{'gang-scheduled': True}
    ),
}


@given('jobs of {few:d} and {many:d} {shape}')
def make_shapes(context, few, many, shape):
    context.shapes = SHAPES[shape](few), SHAPES[shape](many)


@when('each of them lives from its submission to its end')
def count_lives(context):
    context.costs = [
        job_life.JobLife(shape).count_instructions() / shape.size
        for shape in context.shapes
    ]


@then('the large one costs less than {factor:d} times as much for its size')
def check_costs(context, factor):
    small, large = context.costs
    assert large < factor * small, context.costs


@when(
    'a job is submitted whose second step waits {count:d} times for the first'
)
def submit_repeated_step(context, count):
    first = {'count': 1, **SMALL}
    shape = job_life.Shape([first, {**first, 'after': [0] * count}])
    context.spec = submissions.decode_job(shape.body)


@then('its second step waits for {count:d} step')
def check_predecessors(context, count):
    assert len(context.spec.steps[1].after) == count


@when(
    'a job is submitted that asks for {repetitions:d} times {tasks:d} {kind} '
    'tasks'
)
def submit_large(context, repetitions, tasks, kind):
    step = {'count': tasks, **SMALL, 'long-running': kind == 'long-running'}
    try:
        submissions.decode_job(job_life.Shape([step], repetitions).body)
    except ValueError as error:
        context.error = str(error)
    else:
        context.error = ''


@then('it is refused with an error that names {limit}')
def check_error(context, limit):
    assert limit in context.error, context.error


@given('a job of {count:d} occurrences of {steps:d} steps that are all due')
def make_occurrences(context, count, steps):
    shape = job_life.Shape([{'count': 1, **LARGE}] * steps, count)
    context.life = job_life.JobLife(shape)


@when('its tasks end one after the other')
def play_life(context):
    context.life.play()


@then('{limit:d} occurrences are under way at once at most')
def check_under_way(context, limit):
    assert context.life.max_under_way == limit, context.life.max_under_way


@then('each occurrence runs once')
def check_occurrences(context):
    starts = context.life.starts
    assert len(starts) == context.life.shape.tasks
    assert len(set(starts)) == len(starts)


@given(
    'a job of {count:d} occurrences that are all due, of which {begun} have '
    'begun'
)
def begin_occurrences(context, count, begun):
    context.life = job_life.JobLife(
        job_life.Shape([{'count': 1, **LARGE}], count)
    )
    job = context.life.submit()
    for number in map(int, begun.split()):
        occurrence = job.occurrence(number)
        context.life.assign(occurrence)


@when('a successor reads what is stored of it')
def take_over(context):
    context.life = context.life.succeed()


@then('it starts the occurrences {missing}')
def check_started(context, missing):
    started = sorted(
        task_id.occurrence for task_id in context.life.start_pending()
    )
    assert started == sorted(map(int, missing.split())), started


@then('it completes the job')
def check_completed(context):
    context.life.end_job()


@given(
    '{hosts:d} idle hosts, and a job of {count:d} tasks of {cores:d} cores '
    'that each take {declared}'
)
def add_long_job(context, hosts, count, cores, declared):
    partition = loaded_partition.LoadedPartition(1)
    estimate_ms = DECLARED_MS[declared]
    step = {'count': count, 'cpu': cores * 1000, 'estimated-ms': estimate_ms}
    body = job_life.Shape([step]).body
    partition.add_job(submissions.decode_job(body))
    partition.plan()
    # A burst of such jobs would ask for hosts by their rate, too.
    partition.now_s += 1.0
    context.partition = partition
    context.idle = [
        capacity.IdleHost(f'h{number}', 'off', 10.0) for number in range(hosts)
    ]


@when('the moves of hosts are planned')
def plan_moves(context):
    partition = context.partition
    pools = [
        queues.Pool(loaded_partition.OWN_POOL),
        queues.Pool('off', is_standby=True),
    ]

    def plan():
        loads = [
            partition.scheduler.load_of(pool, 0, 2.0, partition.now_s)
            for pool in pools
        ]
        context.moves = capacity.plan_moves(loads, context.idle)

    context.cost = loaded_partition.count_instructions(plan)


@then('that takes {limit:d} instructions or fewer')
def check_cost(context, limit):
    assert context.cost <= limit, context.cost


@then('{count:d} hosts are moved to the pool of the job')
def check_moves(context, count):
    moved = [move.to_pool for move in context.moves]
    assert moved == [loaded_partition.OWN_POOL] * count, moved


@when(
    'a job of {steps:d} steps of {tasks:d} small long-running tasks lives on '
    '{hosts:d} hosts, with {limit} of a step on a host'
)
def measure_small_tasks(context, steps, tasks, hosts, limit):
    step = {
        'count': tasks,
        'cpu': 1,
        'mem-mb': 0,
        'estimated-ms': 1000,
        'long-running': True,
        'fills': True,
        'after': [],
    }
    if limit != 'any':
        step['anti-affinity'] = int(limit.removeprefix('at most '))
    plain = {'task-spec': 'payload', 'steps': [step] * steps}
    context.cost = edge_bodies.measure(json.dumps(plain).encode(), hosts)


@then('it costs no more than its size and the hosts allow')
def check_small_tasks(context):
    assert not context.cost.error, context.cost
    assert context.cost.cost <= context.cost.bound, context.cost


@when(
    '{count:d} bodies at the edges of what is accepted live, by seed {seed:d}'
)
def search_bodies(context, count, seed):
    try:
        context.counts = edge_bodies.search(seed, count)
    except AssertionError as error:
        context.exceeded = error
    else:
        context.exceeded = None


@then('each of them costs no more than its size and the hosts allow')
def check_bodies(context):
    assert context.exceeded is None, context.exceeded


@then('{count:d} of them or more were accepted')
def check_accepted(context, count):
    assert context.counts[0] >= count, context.counts


class _StoredJob:
    """A job, and the records that an owner has stored of its progress."""

    def __init__(self, tasks, checkpoint=''):
        # Two steps, so that a record may hold tasks of both.
        counts = tasks // 3, tasks - tasks // 3
        spec = submissions.decode_job(
            job_life.Shape([{'count': n, **SMALL} for n in counts]).body
        )
        submission = journal.Submission('q', 'p', 1.0, spec)
        self.submission = journal.submission_record(JOB_ID, submission)
        self.records = {}
        self.history = []
        self.job = _load([self.submission]).jobs[JOB_ID]
        self.occurrence = self.job.occurrence(0)
        self._stamps = itertools.count(1)
        for number in range(spec.tasks):
            task = self._change(number)
            task.state = jobs.TaskState.ASSIGNED
            task.run, task.executor = 1, f'executor-{number % 300}'
            task.checkpoint = checkpoint

    def _change(self, number):
        step, index = self.occurrence.place(number)
        self.occurrence.note_changed(step, index)
        return self.occurrence.tasks[step][index]

    def end(self, numbers):
        """Let some tasks end."""
        for number in numbers:
            self._change(number).state = jobs.TaskState.DONE
            self.occurrence.note_done(self.occurrence.place(number)[0], 1)

    def store(self, is_split=True):
        """Store what has changed, and return the records."""
        stored = journal.progress_records(
            self.occurrence, (1, next(self._stamps)), is_split
        )
        self.records.update((record.key, record) for record in stored)
        self.history += stored
        return stored


def _load(records):
    """Return a replica that has read some records."""
    read = replica.Replica()
    for offset, record in enumerate(records):
        read.apply(record.key, record.value, offset)
    return read


def _check_loaded(stored, records):
    read = _load([stored.submission, *records]).jobs[JOB_ID]
    occurrence, own = read.occurrences[0], stored.occurrence
    assert occurrence.tasks == own.tasks
    for step in own.steps:
        assert occurrence.is_step_done(step) == own.is_step_done(step)
    assert read.has_started
    assert read.is_done == own.is_done


@given(
    'a job of {tasks:d} tasks with checkpoints of {size:d} bytes, all of them '
    'running'
)
def store_running_job(context, tasks, size):
    context.stored = _StoredJob(tasks, 'c' * size)
    context.stored.store()


@then('its progress takes records of {limit_bytes:d} bytes or less')
def check_record_sizes(context, limit_bytes):
    sizes = [len(r.value) for r in context.stored.records.values()]
    assert max(sizes) <= limit_bytes, sizes


@then('a successor that reads them has the same tasks')
def check_successor(context):
    stored = context.stored
    _check_loaded(stored, sorted(stored.records.values(), key=_key))
    _check_loaded(stored, stored.history)


def _key(record):
    return record.key


@when('{count:d} of its tasks end')
def end_tasks(context, count):
    context.stored.end(range(0, count * 700, 700))
    context.last_stored = context.stored.store()


@then('{count:d} records or fewer are stored')
def check_stored_count(context, count):
    assert 1 <= len(context.last_stored) <= count


@given('a job of {tasks:d} tasks of which {count:d} end after each record')
def store_history(context, tasks, count):
    context.stored = stored = _StoredJob(tasks)
    stored.store()
    for first in range(0, tasks, count):
        stored.end(range(first, min(tasks, first + count)))
        stored.store()


@when('a successor reads the records {order}')
def read_in_order(context, order):
    history = context.stored.history
    context.read = {
        'as they were stored': history,
        'in reverse': history[::-1],
        'each of them twice': [*history, *history],
    }[order]


@then('it has the tasks of the newest record of each')
def check_newest(context):
    # Offsets tell the newest record of a key within one partition. Records of
    # several partitions are told apart by their stamps.
    read = replica.Replica()
    stored = context.stored
    read.apply(stored.submission.key, stored.submission.value, 0)
    for number, record in enumerate(context.read):
        read.apply(record.key, record.value, 0, f'partition {number}')
    job = read.jobs[JOB_ID]
    assert job.occurrences[0].tasks == stored.occurrence.tasks
    assert job.is_done


@given('a job of {tasks:d} tasks whose progress is stored in one record')
def store_whole(context, tasks):
    context.stored = _StoredJob(tasks)
    assert len(context.stored.store(is_split=False)) == 1


@when('{count:d} of its tasks end, and their progress is stored in parts')
def end_and_split(context, count):
    context.stored.end(range(count))
    context.stored.store()


@then('each record of the job is deleted with it')
def check_deleted(context):
    deleted = set(journal.progress_keys(context.stored.job))
    assert set(context.stored.records) <= deleted, deleted


@when('a record "{part}" of {rows:d} tasks of it is read')
def read_part(context, part, rows):
    stored = context.stored
    context.replica = _load([stored.submission, *stored.history])
    job = context.replica.jobs[JOB_ID]
    context.before = copy.deepcopy(job.occurrences[0].tasks)
    value = b'{"f":0,"t":[%b]}' % b','.join([b'[2,9,"x",0,""]'] * rows)
    try:
        context.replica.apply(f'progress/{JOB_ID}/{part}', value, 99)
    except errors.InvalidRecord:
        context.is_rejected = True
    else:
        context.is_rejected = False


@then('it is rejected, and the tasks are as before')
def check_rejected(context):
    job = context.replica.jobs[JOB_ID]
    assert context.is_rejected
    assert list(job.occurrences) == [0]
    assert job.occurrences[0].tasks == context.before


@given('a job of {tasks:d} tasks that all run for the last time')
def start_last_runs(context, tasks):
    partition = loaded_partition.LoadedPartition(tasks // 16 + 1)
    context.partition = partition
    context.runs = partition.start_job(loaded_partition.job_spec(tasks))
    assert len(context.runs) == tasks
    for run in context.runs:
        run.task.failed_runs = tuple(range(2, 102))


@when('all of them fail')
def fail_all(context):
    partition, context.costs = context.partition, []
    for run in context.runs:
        poll = partition.end_of(run, run_state.EndCause.FAILED)
        context.costs.append(
            loaded_partition.count_instructions(
                lambda poll=poll, run=run: partition.handle(
                    run.executor_id, poll
                )
            )
        )


@then('each failure but the first costs less than half of it')
def check_failures(context):
    first, *later = context.costs
    assert max(later) < first / 2, context.costs
