"""What callers submit, and how the tasks of it behave; all from a seed."""

import json
import math
import random

import attrs

# Bursts of the pools follow each other.
BURST_S = 4.5
PEAK_FACTOR = 4.0
LOW_FACTOR = 0.05
# Between two looks at the rate of arrivals.
SLICE_S = 0.05
MAX_WIDTH = 32
MAX_STEPS = 4
APART_SHARE = 0.15
# Spread of the run times of one step's tasks, and of the estimates.
TASK_SPREAD = 0.15
ESTIMATE_SPREAD = 0.2
LASTING_WIDTH = 24
LASTING_MAY_MISS_SHARE = 0.15
LASTING_STAY_S = 90.0
# Long-running jobs of each pool: two before the traffic, one amid it.
LASTING_TIMES_S = (-4.0, -3.9, 12.0)


@attrs.frozen
class JobKind:
    """A kind of short jobs; sizes are means.

    :ivar spread: standard deviation of the logarithms of the sizes
    """

    steps: float
    width: float
    work_s: float
    cpu_millicores: float
    mem_mb: float
    max_cpu_millicores: int
    max_mem_mb: int
    has_apart: bool = False
    width_spread: float = 0.6
    size_spread: float = 0.45


SMALL = JobKind(1.6, 8.0, 0.64, 1500.0, 5700.0, 4600, 17000, has_apart=True)
LARGE = JobKind(2.0, 8.0, 1.3, 3300.0, 12000.0, 10000, 37000)


@attrs.frozen
class PoolLoad:
    """A pool and what is submitted to it.

    :ivar share: share of all executors that are in the pool at first
    :ivar jobs_per_s: mean rate of short jobs; the pool is on standby at 0
    """

    name: str
    share: float
    jobs_per_s: float
    kind: JobKind
    priority: int = 0
    max_attempts: int = 3

    @property
    def is_standby(self):
        """Whether the executors of the pool are off."""
        return not self.jobs_per_s


POOLS = (
    PoolLoad('pool-a', 62 / 350, 36.3, SMALL),
    PoolLoad('pool-b', 70 / 350, 7.29, LARGE, 1, 4),
    PoolLoad('pool-c', 77 / 350, 45.2, SMALL),
    PoolLoad('pool-d', 85 / 350, 8.9, LARGE, 1, 4),
    PoolLoad('pool-standby', 56 / 350, 0.0, SMALL),
)


@attrs.frozen
class Step:
    """A step of a job; one of a long-running job lasts."""

    count: int
    cpu_millicores: int
    mem_mb: int
    work_s: float
    estimate_s: float
    after: tuple[int, ...] = ()
    max_per_executor: int = 0
    is_lasting: bool = False
    max_unavailable: int = 0

    def plain(self):
        """Return the step as callers write it."""
        fields = {
            'count': self.count,
            'cpu': self.cpu_millicores,
            'mem-mb': self.mem_mb,
            'estimated-ms': int(self.estimate_s * 1000),
            'after': list(self.after),
            'anti-affinity': self.max_per_executor,
            'long-running': self.is_lasting,
        }
        plain = {name: value for name, value in fields.items() if value}
        if self.is_lasting:
            plain['may-miss'] = self.max_unavailable
        return plain


@attrs.frozen
class Job:
    """A job to submit.

    :ivar due_s: when, from the begin of the traffic
    """

    job_id: str
    due_s: float
    pool: str
    steps: tuple[Step, ...]

    def body(self, failing_share):
        """Return the body of the call that submits it."""
        payload = {
            'work_s': [round(step.work_s, 3) for step in self.steps],
            'lasts': self.steps[0].is_lasting,
            'failing_share': failing_share,
        }
        return {
            'task-spec': json.dumps(payload),
            'steps': [step.plain() for step in self.steps],
        }


@attrs.frozen
class Behaviour:
    """What a run does: how long it works, and how it ends."""

    work_s: float
    how: str
    is_lasting: bool


def decide_behaviour(payload, task, number):
    """Return what a run does, from the payload of its job."""
    plain = json.loads(payload)
    draw = random.Random(f'{task}/{number}')
    if plain['lasts']:
        stay_s = draw.expovariate(1.0 / LASTING_STAY_S)
        return Behaviour(stay_s, 'failed', True)
    step = int(task.split('.')[2])
    work_s = plain['work_s'][step] * math.exp(draw.gauss(0.0, TASK_SPREAD))
    is_failing = draw.random() < plain['failing_share']
    return Behaviour(work_s, 'failed' if is_failing else 'done', False)


def draw_jobs(seed, traffic_s, rate_factor, executors):
    """Return the jobs of a run in the order of their times.

    A longer run begins with the jobs of a shorter one.

    :param executors: number of executors in all
    """
    active = [pool for pool in POOLS if not pool.is_standby]
    jobs = [
        job
        for turn, pool in enumerate(active)
        for job in _draw_pool_jobs(
            random.Random(f'{seed} {pool.name}'),
            pool,
            executors,
            _arrival_rates(
                traffic_s, pool.jobs_per_s * rate_factor, turn, len(active)
            ),
        )
    ]
    due = [job for job in jobs if job.due_s < traffic_s]
    return sorted(due, key=lambda job: job.due_s)


def _draw_pool_jobs(draw, pool, executors, arrival_rates):
    for due_s in LASTING_TIMES_S:
        yield _draw_lasting_job(draw, due_s, pool, int(pool.share * executors))
    for begin_s, per_s in arrival_rates:
        for _ in range(_draw_poisson(draw, per_s * SLICE_S)):
            due_s = begin_s + draw.random() * SLICE_S
            yield _draw_short_job(draw, due_s, pool)


def _arrival_rates(traffic_s, mean_per_s, turn, turns):
    """Return the begin of each slice of time and the rate in it."""
    begins_s = (index * SLICE_S for index in range(round(traffic_s / SLICE_S)))
    return [
        (begin_s, mean_per_s * _burst_factor(begin_s, turn, turns))
        for begin_s in begins_s
    ]


def _burst_factor(since_s, turn, turns):
    """Return the rate at a time, relative to the mean."""
    progress = since_s / BURST_S % turns - turn
    if not 0.0 <= progress < 1.0:
        return LOW_FACTOR
    return max(LOW_FACTOR, PEAK_FACTOR * 4.0 * progress * (1.0 - progress))


def _draw_poisson(draw, mean):
    limit, product = math.exp(-mean), draw.random()
    count = 0
    while product > limit:
        product *= draw.random()
        count += 1
    return count


def _draw_id(draw):
    return f'{draw.getrandbits(64):016x}'


def _around(draw, mean, spread):
    """Draw from a log-normal distribution with a mean."""
    return mean * math.exp(draw.gauss(-spread * spread / 2, spread))


def _draw_short_job(draw, due_s, pool):
    kind = pool.kind
    count = min(MAX_STEPS, max(1, round(_around(draw, kind.steps, 0.4))))
    steps = tuple(_draw_step(draw, kind, number) for number in range(count))
    return Job(_draw_id(draw), due_s, pool.name, steps)


def _draw_step(draw, kind, number):
    width = round(_around(draw, kind.width, kind.width_spread))
    cpu = _around(draw, kind.cpu_millicores, kind.size_spread)
    mem_mb = _around(draw, kind.mem_mb, 0.6)
    work_s = _around(draw, kind.work_s, 0.5)
    is_apart = kind.has_apart and draw.random() < APART_SHARE
    return Step(
        count=min(MAX_WIDTH, max(1, width)),
        cpu_millicores=min(kind.max_cpu_millicores, max(100, int(cpu))),
        mem_mb=min(kind.max_mem_mb, max(64, int(mem_mb))),
        work_s=min(work_s, 2.5 * kind.work_s),
        estimate_s=_around(draw, work_s, ESTIMATE_SPREAD),
        after=(number - 1,) if number else (),
        max_per_executor=1 if is_apart else 0,
    )


def _draw_lasting_job(draw, due_s, pool, executors):
    width = min(LASTING_WIDTH, max(2, executors // 3))
    step = Step(
        count=width,
        cpu_millicores=min(3000, int(_around(draw, 2000.0, 0.2))),
        mem_mb=min(35000, int(_around(draw, 12000.0, 0.6))),
        work_s=0.0,
        estimate_s=0.7,
        max_per_executor=1,
        is_lasting=True,
        max_unavailable=max(1, int(LASTING_MAY_MISS_SHARE * width)),
    )
    return Job(_draw_id(draw), due_s, pool.name, (step,))
