"""Measure the cost of placement against fleets, pools and jobs."""

import gc
import tracemalloc

from hawthorndeal_fleet import fold
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import model
from hawthorndeal_fleet import placement
from hawthorndeal_fleet import placement_planner
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

from . import placement_model
from . import slopes as slopes_module

POOL_HOSTS = (16, 32, 64, 128)
FLEET_HOSTS = (725, 1450, 2900, 5800)
HOSTS_PER_POOL = 17
JOBS = (1000, 2000, 4000, 8000)
DURATIONS_S = (60.0, 120.0, 240.0, 480.0)
JOBS_PER_HOST = 2
DESIGN_HOSTS = 5800
# Two jobs per worker.
DESIGN_JOBS = 11_600
GIB = 1024**3
NOW_S = 1_000_000.0


def slopes():
    """Yield the slopes of placement."""
    decide = 'decide one placement, us'
    look = 'look for leases to renew, us'
    yield _slope(decide, 'hosts of the pool', _by_pool(), HOSTS_PER_POOL)
    yield _slope(decide, 'hosts of the fleet', _by_fleet(), DESIGN_HOSTS)
    tick = 'one tick with nothing to do, us'
    yield _slope(tick, 'placed jobs', _by_jobs(_tick_us), DESIGN_JOBS)
    yield _slope(look, 'placed jobs', _by_jobs(_renew_us), DESIGN_JOBS)
    yield _slope('state, bytes', 'placed jobs', _memory(), DESIGN_JOBS)
    yield _slope('appends', 'ended jobs', _appends(), 1)


def _slope(name, per, points, design_size):
    return slopes_module.Slope(name, per, points, design_size)


def _state(hosts, hosts_per_pool):
    count = hosts // hosts_per_pool
    pools = {f'p{number}': model.Pool() for number in range(count)}
    declared = {
        f'h{number}': model.Host(
            pool=f'p{min(number // hosts_per_pool, count - 1)}',
            zone=f'z{number % 5}',
            rack=f'r{number // 4}',
            cpu_cores=16,
            memory_bytes=64 * GIB,
        )
        for number in range(hosts)
    }
    fleet = model.Fleet(
        pools=pools, hosts=declared, workspaces={'w': model.Workspace()}
    )
    state = state_module.State(revision=1, fleet=fleet)
    _fold(state, records.DaemonJoined('d1', 'd1', 'z0', '127.0.0.1:1'))
    return state


def _fold(state, body):
    offset = state.next_offset
    record = records.Record(f'r{offset}', 'd1', NOW_S, body)
    return fold.fold(state, offset, records.encode(record))


def _submit(state, number):
    pool = f'p{number % len(state.fleet.pools)}'
    job_id = f'job-{number}'
    body = job_records.JobSubmitted(job_id, 'w', pool, 2.0, 4 * GIB, NOW_S)
    _fold(state, body)
    return state.jobs[job_id]


def _place(state, job):
    choice = placement.choose(placement.PlacementView(state), job)
    placed = _fold(
        state,
        job_records.JobPlaced(
            job.job_id, choice.host, 'd1', job.queued_offset
        ),
    )
    step = job_records.JobStep.RUNNING
    _fold(state, job_records.JobStepped(job.job_id, placed.offset, step, 'd1'))


def _filled(hosts, hosts_per_pool, jobs):
    state = _state(hosts, hosts_per_pool)
    for number in range(jobs):
        _place(state, _submit(state, number))
    return state


def _decide_us(state, first):
    jobs = [_submit(state, first + number) for number in range(200)]
    view = placement.PlacementView(state)
    return _best_us(lambda: [placement.choose(view, j) for j in jobs], 200)


def _best_us(function, times=1):
    return slopes_module.processor_s(function) / times * 1e6


def _by_pool():
    return [
        (size, _decide_us(_filled(size, size, size * JOBS_PER_HOST), 10**6))
        for size in POOL_HOSTS
    ]


def _by_fleet():
    return [
        (
            size,
            _decide_us(
                _filled(size, HOSTS_PER_POOL, size * JOBS_PER_HOST), 10**6
            ),
        )
        for size in FLEET_HOSTS
    ]


def _by_jobs(measure):
    return [
        (size, measure(_filled(size // JOBS_PER_HOST, HOSTS_PER_POOL, size)))
        for size in JOBS
    ]


def _observation():
    return placement_planner.Observation(own_incarnation='d1', now_s=NOW_S)


def _tick_us(state):
    return _best_us(lambda: placement_planner.plan(state, _observation()))


def _renew_us(state):
    return _best_us(lambda: placement_planner.renewals(state, _observation()))


def _memory():
    points = []
    for size in JOBS:
        state = _state(JOBS[-1] // JOBS_PER_HOST, HOSTS_PER_POOL)
        gc.collect()
        tracemalloc.start()
        for number in range(size):
            _place(state, _submit(state, number))
        gc.collect()
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    return points


def _appends():
    policy = placement.SpreadThenFit()
    points = []
    for duration_s in DURATIONS_S:
        case = placement_model.Case(policy, load=0.7, duration_s=duration_s)
        result = placement_model.Model(case, 1).run()
        points.append((sum(result.outcomes.values()), result.appends))
    return points
