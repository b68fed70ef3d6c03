"""Measure a scheduling turn against the number of executors and jobs.

Run as ``python -m measure.job_turns``. Shows how large a partition one owner
can schedule: the time of a turn in which every pool has changed, and of
computing the loads that decide which hosts move between pools.
"""

import itertools
import time

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import replica
from hawthorndeal_jobs import scheduler
from hawthorndeal_jobs import specs

POOLS = 4
REPEATS = 5
EXECUTORS = (32, 64, 128, 256)
WAITING_JOBS = (50, 100, 200, 400)
TASKS_PER_JOB = 8
ROOM = specs.Resources(16000, 65536)
TASK = specs.Resources(2000, 4096)


def _make(count, waiting):
    pools = [f'pool-{n}' for n in range(POOLS)]
    configuration = queues.Configuration(
        1,
        {pool: queues.Queue(pool, pool) for pool in pools},
        {pool: queues.Pool(pool) for pool in pools},
    )
    turn_scheduler = scheduler.Scheduler(replica.Replica(), configuration)
    for number, pool in zip(range(count), itertools.cycle(pools)):
        entry = executors.ExecutorEntry(
            f'x{number}', 'a', pool, 'z', ROOM, host=f'h{number}', clock_s=0.0
        )
        turn_scheduler.update_executor(entry, 0.0).incarnation.is_fenced = True
    spec = specs.JobSpec('', (specs.StepSpec(TASKS_PER_JOB, TASK, 1.0),))
    for number, pool in zip(range(waiting), itertools.cycle(pools)):
        job = jobs.Job(f'j{number}', pool, pool, 0.0, spec)
        turn_scheduler.add_job(job, 0.0, 0.0, 0.0)
    return turn_scheduler, configuration


def _measure(count, waiting):
    """Return the times of the first turn, a full turn and all loads, in ms."""
    turn_scheduler, configuration = _make(count, waiting)
    first_ms = _time_ms(lambda: turn_scheduler.plan(1.0, 1.0))

    def turn_again():
        turn_scheduler.steps.pools_to_schedule.update(configuration.pools)
        turn_scheduler.plan(1.0, 1.0)

    def load_all():
        for pool in configuration.pools.values():
            turn_scheduler.load_of(pool, 0, 2.0, 1.0)

    full_ms = min(_time_ms(turn_again) for _ in range(REPEATS))
    loads_ms = min(_time_ms(load_all) for _ in range(REPEATS))
    return first_ms, full_ms, loads_ms


def _time_ms(function):
    started_s = time.perf_counter()
    function()
    return (time.perf_counter() - started_s) * 1000.0


def main():
    """Print a row for each size."""
    print('executors  jobs  first turn ms  full turn ms  loads ms')
    for count, waiting in itertools.product(EXECUTORS, WAITING_JOBS):
        first_ms, full_ms, loads_ms = _measure(count, waiting)
        print(
            f'{count:9} {waiting:5} {first_ms:14.1f} {full_ms:13.1f} '
            f'{loads_ms:9.1f}'
        )


if __name__ == '__main__':
    main()
