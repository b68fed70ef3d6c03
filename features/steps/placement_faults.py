"""Steps that inject faults into placers in one process."""

import asyncio

from behave import given
from behave import then
from behave import when

import attrs
from fakes import jobs as fake_jobs
from fakes import placers
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import model
from hawthorndeal_fleet import records

URGENT = job_records.JobUrgency.URGENT
START_LIMIT_S = 2.2


async def _no_fault(bench):
    bench.submit('a')
    await bench.run(90)


async def _last_capacity(bench):
    for job_id in ('a', 'b'):
        bench.submit(job_id, pool='q', cpu_cores=8.0)
    bench.clock.time_s += 5
    await bench.run(2)
    assert len(bench.workers.live_jobs()) == 1, bench.workers.live_jobs()
    await bench.run(150)
    assert bench.describe('b') == 'done', bench.describe('b')


async def _duplicate_records(bench):
    bench.log.duplicates_appends = True
    for job_id in 'abcdef':
        bench.submit(job_id)
    await bench.run(2)
    bench.cancel('b')
    await bench.run(90)
    assert bench.describe('b') == 'cancelled', bench.describe('b')


async def _lose_append_responses(bench):
    bench.submit('a')
    for _ in range(6):
        bench.log.lost_answers = 2
        await bench.run(15)


async def _start_long(bench, run_s=300.0, **options):
    bench.submit('a', run_s=run_s, **options)
    await bench.run(2)
    assert bench.is_live('a')
    return bench.job('a').holder


async def _holder_leaves(bench):
    holder = await _start_long(bench)
    bench.daemons[holder].is_paused = True
    bench.ask(records.DaemonLeft(holder))
    await bench.run(350)


async def _holder_paused(bench):
    holder = await _start_long(bench, urgency=URGENT)
    bench.daemons[holder].is_paused = True
    await bench.run(100)
    assert bench.job('a').holder != holder
    bench.daemons[holder].is_paused = False
    await bench.run(250)


async def _holder_without_log(bench):
    holder = await _start_long(bench, urgency=URGENT)
    host = bench.job('a').host
    bench.daemons[holder].is_log_unreachable = True
    for name, daemon in bench.daemons.items():
        if name != holder:
            daemon.workers.unreachable_hosts = {host}
    await bench.run(150)
    assert bench.job('a').host != host
    await bench.run(350)


async def _log_down(bench):
    await _start_long(bench, run_s=700.0)
    bench.log.is_down = True
    await bench.run(600, 1.0)
    assert bench.is_live('a')
    bench.log.is_down = False
    await bench.run(120, 1.0)


async def _log_down_at_end(bench):
    await _start_long(bench, run_s=20.0)
    bench.log.is_down = True
    await bench.run(40)
    bench.log.is_down = False
    await bench.run(3)


async def _lose_start_response(bench):
    bench.workers.lose_answer('start')
    await _no_fault(bench)


async def _delay_start(bench):
    release = bench.workers.delay_call('start')
    bench.submit('a')
    await bench.turn()
    bench.cancel('a')
    await bench.run(3)
    release.set()
    await bench.run(3)
    assert not bench.is_live('a')


async def _lose_stop_response(bench):
    await _start_long(bench)
    bench.workers.lose_answer('stop')
    bench.cancel('a')
    await bench.run(5)


async def _drain(bench, **options):
    await _start_long(bench, **options)
    bench.disrupt(bench.job('a').host)
    await bench.run(400)


async def _drain_job(bench):
    await _drain(bench)


async def _drain_checkpoint(bench):
    await _drain(bench, is_checkpointable=True)


async def _lose_checkpoint_response(bench):
    bench.workers.lose_answer('checkpoint')
    await _drain(bench, is_checkpointable=True)


async def _drain_unstarted(bench):
    bench.workers.unresponsive_hosts = set(bench.fleet.hosts)
    bench.submit('a')
    await bench.run(1)
    bench.disrupt(bench.job('a').host)
    bench.workers.unresponsive_hosts.clear()
    await bench.run(90)


async def _worker_reboots(bench):
    await _start_long(bench, urgency=URGENT)
    bench.workers.crash(bench.job('a').host)
    await bench.run(400)


async def _host_down(bench):
    await _start_long(bench, urgency=URGENT)
    host = bench.job('a').host
    bench.workers.unresponsive_hosts.add(host)
    bench.ask(records.HostReported(host, False, 'd1'))
    await bench.run(500)


async def _host_unresponsive(bench):
    await _start_long(bench, urgency=URGENT)
    bench.workers.unresponsive_hosts.add(bench.job('a').host)
    await bench.run(40)
    bench.workers.unresponsive_hosts.clear()
    await bench.run(300)


async def _host_removed(bench):
    bench.workers.removed_hosts = {'h1', 'h2'}
    bench.submit('a', urgency=URGENT)
    await bench.run(START_LIMIT_S)
    assert bench.is_live('a')
    await bench.run(90)


async def _fill(bench, **options):
    bench.submit('long', pool='q', cpu_cores=8.0, run_s=200.0, **options)
    await bench.run(2)
    assert bench.is_live('long')


async def _throttle(bench):
    await _fill(bench)
    bench.submit('a', pool='q', cpu_cores=6.0, run_s=20.0, urgency=URGENT)
    await bench.run(START_LIMIT_S)
    assert bench.is_live('a')
    assert bench.is_live('long')
    # The throttle precedes the placement that needs the freed capacity in
    # the log, so the fold rejects no placement and none is repeated.
    assert bench.log.count('JobPlaced') == 2, bench.log.entries
    await bench.run(250)
    assert bench.describe('long') == 'done', bench.describe('long')
    assert bench.workers.starts['long'] == 1


async def _checkpoint(bench):
    memory = {'memory_bytes': 10 * fake_jobs.GIB}
    await _fill(bench, is_checkpointable=True, **memory)
    bench.submit('a', pool='q', run_s=20.0, urgency=URGENT, **memory)
    await bench.run(START_LIMIT_S)
    assert bench.is_live('a')
    await bench.run(300)
    assert bench.describe('long') == 'done', bench.describe('long')


async def _lose_throttling_daemon(bench):
    await _start_long(bench, run_s=3000.0)
    job = bench.job('a')
    offset = bench.observer_state.next_offset
    await bench.workers.throttle(job.host, job.lease, offset)
    await bench.run(300)
    assert _task(bench, job).state.value == 'running', _task(bench, job)


async def _late_resume(bench):
    await _start_long(bench, run_s=3000.0)
    job = bench.job('a')
    await bench.workers.throttle(job.host, job.lease, 900)
    await bench.workers.resume(job.host, job.lease, 899)
    assert _task(bench, job).state.value == 'throttled', _task(bench, job)


def _task(bench, job):
    return bench.workers.tasks[job.lease]


_FAULTS = {
    'nothing': _no_fault,
    'both daemons place into the last free capacity': _last_capacity,
    'every record is stored twice in the log': _duplicate_records,
    'responses of the log are lost': _lose_append_responses,
    'the holder leaves and another takes its jobs': _holder_leaves,
    'the holder is paused and resumed': _holder_paused,
    'the holder can not reach the log and keeps renewing': _holder_without_log,
    'the log is down for ten minutes': _log_down,
    'the log is down when the job ends': _log_down_at_end,
    'the response to a start is lost': _lose_start_response,
    'a start is delayed until the job is cancelled': _delay_start,
    'the response to a stop is lost': _lose_stop_response,
    'the response to a checkpoint is lost': _lose_checkpoint_response,
    'a worker reboots and loses its state': _worker_reboots,
    'a host is permanently down': _host_down,
    'a host is briefly unresponsive': _host_unresponsive,
    'a host is removed but still listed': _host_removed,
    'a draining host runs a job without checkpoints': _drain_job,
    'a draining host runs a job with checkpoints': _drain_checkpoint,
    'a draining host was about to start a job': _drain_unstarted,
    'long work is throttled and resumed': _throttle,
    'memory is short so long work is checkpointed': _checkpoint,
    'the daemon is lost after it throttled': _lose_throttling_daemon,
    'a late resume meets a newer throttle': _late_resume,
}


@given('placers d1 and d2')
def make_bench(context):
    context.bench = placers.Bench()


@when('the fault occurs: {fault}')
def inject_fault(context, fault):
    asyncio.run(_FAULTS[fault](context.bench))


@then('job {job_id} is {status} after {starts:d} starts')
def check_job(context, job_id, status, starts):
    bench = context.bench
    assert bench.describe(job_id) == status, bench.describe(job_id)
    assert bench.workers.starts[job_id] == starts, bench.workers.starts


@when('{count:d} jobs run while host h1 fails every task')
def run_with_failing_host(context, count):
    context.bench.workers.failing_hosts = {'h1'}
    context.job_ids = [f'j{number}' for number in range(count)]
    asyncio.run(_run_all(context.bench, context.job_ids))


async def _run_all(bench, job_ids):
    for job_id in job_ids:
        bench.submit(job_id, cpu_cores=2.0, run_s=30.0)
    await bench.run(150)


@then('all of them are done')
def check_done(context):
    found = {key: context.bench.describe(key) for key in context.job_ids}
    assert set(found.values()) == {'done'}, found


@then('host h1 was tried at most {tries:d} times')
def check_tries(context, tries):
    tasks = context.bench.workers.tasks.values()
    tried = sum(task.host == 'h1' for task in tasks)
    assert tried <= tries, tried


@then('host h1 is in quarantine, and released after it recovers')
def check_quarantine(context):
    bench = context.bench
    assert list(bench.observer_state.quarantines) == ['h1'], (
        bench.observer_state.quarantines
    )
    bench.workers.failing_hosts = set()
    bench.clock.time_s += 400
    jobs = [f'k{number}' for number in range(40)]
    asyncio.run(_run_all(bench, jobs))
    assert not bench.observer_state.quarantines, (
        bench.observer_state.quarantines
    )


@when('job a and {count:d} others fail on every host')
def fail_everywhere(context, count):
    context.bench.workers.failing_hosts = set(context.bench.fleet.hosts)
    asyncio.run(_run_all(context.bench, ['a', *map(str, range(count))]))


@then('no host is in quarantine')
def check_no_quarantine(context):
    assert not context.bench.observer_state.quarantines


@when('{count:d} jobs run and are cancelled in one burst')
def cancel_burst(context, count):
    hosts = {f'h{n}': fake_jobs.make_host() for n in range(count // 8)}
    fleet = attrs.evolve(
        context.bench.fleet,
        hosts=hosts,
        workspaces={'w': model.Workspace()},
    )
    context.bench = placers.Bench(fleet)
    asyncio.run(_cancel_burst(context.bench, count))


async def _cancel_burst(bench, count):
    for number in range(count):
        bench.submit(f'j{number}', cpu_cores=1.0, run_s=1000.0)
    await bench.run(8)
    assert len(bench.workers.live_jobs()) == count
    for number in range(count):
        bench.cancel(f'j{number}')


@then('every job is cancelled within {turns:d} turns of {calls:d} calls')
def check_burst(context, turns, calls):
    most = 0

    async def run():
        nonlocal most
        for _ in range(turns):
            before = context.bench.workers.calls
            await context.bench.turn()
            most = max(most, context.bench.workers.calls - before)

    asyncio.run(run())
    assert not context.bench.observer_state.jobs, len(
        context.bench.observer_state.jobs
    )
    assert not context.bench.workers.live_jobs()
    assert most <= calls, most


@when('the only large host leaves the pool while job a waits for it')
def remove_large_host(context):
    bench = context.bench
    bench.submit('b', pool='q', cpu_cores=8.0)
    bench.submit('a', pool='q', cpu_cores=8.0)
    asyncio.run(bench.run(1))
    for state in (
        bench.observer_state,
        *(d.state for d in bench.daemons.values()),
    ):
        hosts = {**bench.fleet.hosts, 'g1': fake_jobs.make_host('p')}
        state.fleet = attrs.evolve(state.fleet, hosts=hosts)
        state.revision += 1
    asyncio.run(bench.run(2))
