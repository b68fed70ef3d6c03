"""Bodies of jobs at the edges of what the decoder accepts."""

import json

import attrs
import hypothesis
from hypothesis import strategies

from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ordering
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import run_state
from hawthorndeal_site import submissions
from stage import loaded_partition

JOB_ID = '0123456789abcdef'
QUEUE = queues.Queue(loaded_partition.OWN_POOL, loaded_partition.OWN_POOL)
LARGEST = 2**53
YEAR_MS = 365 * 24 * 3600 * 1000
CYCLES = 4
TASK_BYTES = 50
# The most that the whole of it may cost, in instructions.
BASE_COST = 200000
COST_PER_BYTE = 200
COST_PER_HOST = 20000


def _mostly(valid, invalid):
    """Return a strategy that seldom draws what is refused."""
    return strategies.sampled_from([*valid * 6, *invalid])


counts = _mostly([1, 1, 2, 7, 60, 600, 5000], [5001, 0, LARGEST])
amounts = _mostly([0, 1, 500, 16000, 16001, LARGEST], [-1])
times_ms = _mostly([0, 0.001, 1, 1000, 60000, YEAR_MS, LARGEST], [-1])
limits = _mostly([None, 0, 1, 5, LARGEST], [-1])
texts = strategies.sampled_from(['', '', 'absent', 'x' * 300, '\ud800', '\n'])
flags = strategies.booleans()
seldom = _mostly([False], [True])
step_counts = _mostly([1, 1, 2, 3, 20, 99, 100], [101, 0])
repetitions = _mostly([0, 1, 2, 20, 500], [5000, LARGEST, -1])

GRAPHS = {
    'none': lambda index, count: [],
    'chain': lambda index, count: [index - 1] if index else [],
    'complete': lambda index, count: list(range(index)),
    'layers': lambda index, count: list(
        range(max(0, index // 4 * 4 - 4), index // 4 * 4)
    ),
    'fan': lambda index, count: [0] if index else [],
    'join': lambda index, count: (
        list(range(index)) if index == count - 1 else []
    ),
    'again and again': lambda index, count: [0] * 1000 if index else [],
    'itself': lambda index, count: [index],
    'a later one': lambda index, count: [count],
}
INVALID_GRAPHS = ['itself', 'a later one']
ALLOWED_GRAPHS = GRAPHS.keys() - INVALID_GRAPHS


@strategies.composite
def bodies(draw):
    """Draw the body of a submission, as bytes."""
    count = draw(step_counts)
    graph = GRAPHS[draw(_mostly(sorted(ALLOWED_GRAPHS), INVALID_GRAPHS))]
    first = _draw_step(draw)
    steps = [{**first, 'after': graph(index, count)} for index in range(count)]
    if steps and draw(flags):
        steps[-1].update(_draw_step(draw))
    plain = {'task-spec': 'payload', 'steps': steps}
    if draw(flags):
        plain['repetitions'] = draw(repetitions)
        plain['first-run-ms'] = draw(strategies.sampled_from([1, LARGEST]))
        plain['interval-ms'] = draw(times_ms)
    return json.dumps(plain).encode()


def _draw_step(draw):
    step = {
        'count': draw(counts),
        'cpu': draw(amounts),
        'mem-mb': draw(amounts),
        'gpus': draw(strategies.sampled_from([0, 0, 0, 1])),
        'estimated-ms': draw(times_ms),
        'requirements': draw(texts),
        'data-rack': draw(texts),
        'image': draw(texts),
        'anti-affinity': draw(limits),
        'may-miss': draw(limits),
        'target-ms': draw(times_ms),
    }
    for name in (
        'gang-scheduled',
        'rack-sensitive',
        'checkpointing',
        'allow-duplicates',
        'long-running',
        'fills',
    ):
        step[name] = draw(flags)
    return step


@attrs.frozen
class BodyCost:
    """What one body has cost.

    :ivar error: why it was refused; empty if it was accepted
    :ivar cost: instructions from its decoding on
    :ivar bound: the most that it may cost
    """

    error: str
    cost: int
    bound: int


def measure(body, hosts):
    """Return what a body costs an owner, and a successor."""
    partition = loaded_partition.LoadedPartition(hosts)
    successor = loaded_partition.LoadedPartition(hosts)
    found = {}

    def live():
        try:
            found['spec'] = submissions.decode_job(body)
        except ValueError as error:
            found['error'] = str(error)
            return
        _live(found['spec'], partition, successor)

    cost = loaded_partition.count_instructions(live)
    spec = found.get('spec')
    tasks = 0
    if spec is not None:
        occurrences = min(spec.occurrences, spec.concurrent_occurrences)
        tasks = spec.tasks * occurrences
    size = len(body) + tasks * TASK_BYTES
    bound = BASE_COST + size * COST_PER_BYTE + hosts * COST_PER_HOST
    return BodyCost(found.get('error', ''), cost, bound)


def _live(spec, partition, successor):
    ordering.objective_s(QUEUE, spec)
    journal.spec_digest(spec)
    submission = journal.Submission(
        QUEUE.name, QUEUE.pool, partition.now_s, spec, '', QUEUE.terms
    )
    record = journal.submission_record(JOB_ID, submission)
    stored = {record.key: record}
    _run_cycles(partition, record, stored)
    _take_over(successor, stored)


def _run_cycles(partition, record, stored):
    applied = partition.replica.apply(record.key, record.value, 0)
    partition.accept(applied.job)
    for _ in range(CYCLES):
        partition.accept_starts(partition.plan().starts)
        for executor in list(partition.scheduler.executors.values()):
            _end_half(partition, executor)
        _store(partition, stored)
        _plan_hosts(partition)
        partition.now_s += 0.5


def _end_half(partition, executor):
    """Let half of the runs of an executor end."""
    runs = list(executor.runs.values())
    cause = run_state.EndCause.DONE
    ended = [
        run_state.ReportedEnd(number, run.task_id, run.number, cause, '')
        for number, run in enumerate(
            runs[::2], executor.incarnation.last_processed_end + 1
        )
    ]
    partition.poll(executor.executor_id, ended)


def _store(partition, stored):
    for occurrence in partition.scheduler.pop_changed():
        for record in journal.progress_records(occurrence, (1, 1), True):
            assert record.size_bytes <= 262144, record.size_bytes
            stored[record.key] = record


def _plan_hosts(partition):
    pools = [queues.Pool(loaded_partition.OWN_POOL)]
    pools.append(queues.Pool('off', is_standby=True))
    loads = [
        partition.scheduler.load_of(pool, 0, 2.0, partition.now_s)
        for pool in pools
    ]
    idle = [capacity.IdleHost(f'h{n}', 'off', 9.0) for n in range(4)]
    capacity.plan_moves(loads, idle)


def _take_over(successor, stored):
    partition = successor
    for offset, key in enumerate(sorted(stored)):
        partition.replica.apply(key, stored[key].value, offset)
    job = partition.replica.jobs[JOB_ID]
    partition.scheduler.inherit(partition.now_s, partition.now_s + 10.0)
    partition.accept(job)
    partition.plan()


def search(seed, examples):
    """Measure drawn bodies; return how many were accepted, and refused.

    :raises AssertionError: if one costs more than it may
    """
    counts = {True: 0, False: 0}

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=examples,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(bodies(), strategies.sampled_from([1, 12]))
    def check(body, hosts):
        found = measure(body, hosts)
        counts[not found.error] += 1
        assert found.cost <= found.bound, (found, body[:500])

    check()
    return counts[True], counts[False]
