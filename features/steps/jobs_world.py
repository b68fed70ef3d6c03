"""Steps for daemons in virtual time on fakes that check invariants."""

import asyncio
import collections
import itertools

from behave import given
from behave import step
from behave import then
from behave import when

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from stage import fault_search
from stage import job_world
from stage import virtual_time

MALFORMED_VALUES = (b'', b'{', b'\xff\xfe', b'[]', b'{"spec":7}', b'null')


@given('simulated daemons with seed {seed:d}')
def start_simulation(context, seed):
    start_large_simulation(context, seed, 4)


@given(
    'simulated daemons with seed {seed:d}, and {hosts:d} hosts in each pool'
)
def start_large_simulation(context, seed, hosts):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)

    async def start():
        context.world = job_world.World(seed, hosts_per_pool=hosts)
        await context.world.start()
        context.first_epoch = context.world.owner.candidate.owner.epoch

    context.add_cleanup(_stop_simulation, context.runner, context)
    context.runner.run(start())
    context.jobs = {}


@given(
    'simulated daemons with seed {seed:d}, which find a done job "{done}" and '
    'a new job "{new}"'
)
def start_with_jobs(context, seed, done, new):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs = {done: 'web', new: 'web'}

    async def start():
        context.world = world = job_world.World(seed)
        records = []
        for job_id in (done, new):
            world.specs[job_id] = spec = job_world.chain(2, 1)
            submission = journal.Submission('web', 'web', 0.0, spec)
            records.append(journal.submission_record(job_id, submission))
        job = jobs.Job(done, 'web', 'web', 0.0, world.specs[done])
        for task in itertools.chain(*job.occurrence(0).tasks):
            task.state, task.run = jobs.TaskState.DONE, 1
        records.append(journal.progress_record(job.occurrence(0)))
        world.store.append(job_world.JOBS, records)
        await world.start()

    context.add_cleanup(_stop_simulation, context.runner, context)
    context.runner.run(start())


def _stop_simulation(runner, context):
    runner.run(context.world.stop())
    runner.close()


def _submit(context, daemon, job_id, spec, pool='web'):
    world = context.world
    context.jobs[job_id] = pool
    context.refusal = context.runner.run(
        world.submit(world.daemons[daemon], pool, job_id, spec)
    )


@step('{seconds:g} seconds pass')
@step('{seconds:g} second passes')
def wait(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@when(
    'job "{job_id}" of {first:d} and {second:d} tasks is submitted to daemon '
    '{n:d}'
)
def submit_one(context, job_id, first, second, n):
    _submit(context, n, job_id, job_world.chain(first, second))


@when(
    'job "{job_id}" of {first:d} and {second:d} tasks is submitted to daemons '
    '{one:d} and {other:d} at once'
)
def submit_twice(context, job_id, first, second, one, other):
    world = context.world
    spec = job_world.chain(first, second)
    context.jobs[job_id] = 'web'

    async def submit_both():
        return await asyncio.gather(
            world.submit(world.daemons[one], 'web', job_id, spec),
            world.submit(world.daemons[other], 'web', job_id, spec),
        )

    assert context.runner.run(submit_both()) == [None, None]


@when(
    'job "{job_id}" of {count:d} tasks, one on each host, is submitted to '
    'daemon 0'
)
def submit_one_per_host(context, job_id, count):
    spec = job_world.one_step(count, max_per_executor=1)
    _submit(context, 0, job_id, spec)


@when(
    'job "{job_id}" of {count:d} long-running tasks, {unavailable:d} '
    'unavailable at most, starts'
)
def submit_long_running(context, job_id, count, unavailable):
    spec = job_world.one_step(
        count, is_lasting=True, max_per_executor=1, max_unavailable=unavailable
    )
    _submit(context, 0, job_id, spec)
    wait(context, 3.0)
    assert len(context.world.running(job_id)) == count


@when('{count:d} jobs of {first:d} and {second:d} tasks are submitted')
def submit_many(context, count, first, second):
    world = context.world

    async def submit_all():
        for number in range(count):
            job_id = f'j{len(context.jobs)}'
            pool = ('web', 'ci')[number % 2]
            spec = job_world.chain(first, second)
            context.jobs[job_id] = pool
            for attempt in range(30):
                daemon = world.daemons[(number + attempt) % 3]
                if await world.submit(daemon, pool, job_id, spec) is None:
                    break
                await asyncio.sleep(0.3)
            await asyncio.sleep(0.05)

    context.runner.run(submit_all())


@when('{count:d} jobs of {tasks:d} tasks are submitted to "{pool}" at once')
def submit_burst(context, count, tasks, pool):
    world = context.world
    spec = job_world.chain(tasks)

    async def submit_all():
        ids = [f'{pool}{n}-{len(context.jobs)}' for n in range(count)]
        context.jobs |= dict.fromkeys(ids, pool)
        await asyncio.gather(
            *(world.submit(world.daemons[0], pool, j, spec) for j in ids)
        )

    context.runner.run(submit_all())


@when('{case} is submitted')
def submit_invalid(context, case):
    world = context.world
    good = world.spec_body(job_world.chain(1))
    pool, job_id, body = {
        'an unreadable job': ('web', 'bad', b'{'),
        'a job without id': ('web', '', good),
        'a job to no queue': ('nowhere', 'bad', good),
    }[case]
    context.stored = world.store.find(job_world.JOBS, 'job/bad')
    context.refusal = context.runner.run(
        world.submit_body(world.daemons[0], pool, job_id, body)
    )


@then('nothing of it is stored')
def check_nothing_stored(context):
    assert context.world.store.find(job_world.JOBS, 'job/bad') is None


@then('it was refused as {reason}')
def check_refused(context, reason):
    assert context.refusal == reason, context.refusal


@then('it was accepted')
def check_accepted(context):
    assert context.refusal is None, context.refusal


@when('daemon {n:d} loses every response')
def lose_responses(context, n):
    context.world.daemons[n].link.lost_share = 1.0


@when('a third of all calls are executed late, without a response')
def delay_all_calls(context):
    for daemon in context.world.daemons:
        daemon.link.late_share = 0.33


@when('calls get responses again')
def restore_calls(context):
    for daemon in context.world.daemons:
        daemon.link.late_share = 0.0


@when('the store goes down')
def take_store_down(context):
    context.world.store.is_down = True


@when('the store comes back')
def restore_store(context):
    context.world.store.is_down = False


@when('the store compacts its history')
def compact_store(context):
    for partition in (
        job_world.JOBS,
        job_world.STATUSES,
        job_world.ENTRIES,
    ):
        context.world.store.compact(partition)


@when('half of the jobs are cancelled')
def cancel_half(context):
    world = context.world
    for job_id, pool in list(context.jobs.items())[::2]:
        done = world.cancel(world.daemons[1], pool, job_id)
        assert context.runner.run(done)


@when('job "{job_id}" is cancelled at daemon {n:d}')
def cancel_one(context, job_id, n):
    world = context.world
    done = world.cancel(world.daemons[n], context.jobs[job_id], job_id)
    assert context.runner.run(done)


@when('the executor of one host fails every run')
def fail_runs(context):
    executor = next(
        e for e in context.world.executors.values() if e.entry.pool == 'web'
    )
    executor.fails_all = True


@when('the executor of one host hangs')
def hang_executor(context):
    executor = next(
        e for e in context.world.executors.values() if e.entry.pool == 'web'
    )
    executor.is_hanging = True


@then('nothing of the jobs is stored')
def check_jobs_deleted(context):
    store = context.world.store
    for job_id in context.jobs:
        for key in (f'job/{job_id}', f'progress/{job_id}/0'):
            assert not store.find(job_world.JOBS, key).value, key


@when(
    'a wave over its pool is requested, {most:d} at once, '
    'within {limit:g} seconds'
)
def add_wave(context, most, limit):
    hosts = [h for h in context.world.hosts.entries if h.startswith('web')]
    context.wave_hosts = hosts
    context.world.add_wave(1, hosts, limit, most)


@when(
    'a wave over its pool and idle hosts is requested, {most:d} at once, '
    'within {limit:g} seconds'
)
def add_wave_with_idle_hosts(context, most, limit):
    world = context.world
    hosts = [h for h in world.hosts.entries if not h.startswith('ci')]
    context.wave_hosts = hosts
    world.add_wave(1, hosts, limit, most)


@when('{share:g} of the answers of the host service are lost')
def lose_host_answers(context, share):
    for daemon in context.world.daemons:
        daemon.hosts_link.lost_share = share


@then('the wave is reported as completed')
def check_wave(context):
    assert 1 in context.world.waves_completed, context.world.event_log_text()[
        -3000:
    ]


@then('every host of the wave was maintained')
def check_maintained(context):
    assert context.world.hosts.maintained == set(context.wave_hosts)


@when('the host of a task of "{job_id}" crashes for {seconds:g} seconds')
def crash_task_host(context, job_id, seconds):
    world = context.world
    executor_id = next(iter(world.running(job_id).values()))[0]
    world.crash_executor(world.executors[executor_id], seconds)


@then('{count:d} tasks of "{job_id}" run')
def check_running(context, count, job_id):
    running = context.world.running(job_id)
    assert len(running) == count, dict(running)


@when('the owner is {fault}')
def lose_owner(context, fault):
    world = context.world
    context.old_owner = owner = world.owner
    context.lost_s = world.now_s()
    if fault == 'killed':
        context.runner.run(owner.kill())
    elif fault == 'cut off from everything':
        owner.link.is_cut = owner.hosts_link.is_cut = True
    elif fault == 'cut off from the store':
        owner.parts.log.is_cut = True
    else:
        context.runner.run(owner.candidate.stop())


@then('another owner is active within {seconds:g} seconds')
def check_new_owner(context, seconds):
    world = context.world

    def is_new_owner():
        return world.owner not in (None, context.old_owner)

    async def wait_for_owner():
        left_s = context.lost_s + seconds - world.now_s()
        return await world.wait_for(is_new_owner, left_s)

    assert context.runner.run(wait_for_owner()), world.event_log_text()[-3000:]


@when(
    '{count:d} jobs of {first:d} and {second:d} tasks are submitted in the '
    'background'
)
def submit_in_background(context, count, first, second):
    world = context.world

    async def submit_all():
        for number in range(count):
            job_id = f'b{number}'
            spec = job_world.chain(first, second)
            context.jobs[job_id] = 'web'
            for attempt in range(30):
                daemon = world.daemons[(number + attempt) % 3]
                if await world.submit(daemon, 'web', job_id, spec) is None:
                    break
                await asyncio.sleep(0.3)
            await asyncio.sleep(0.2)

    async def begin():
        context.submitting = asyncio.create_task(submit_all())

    context.runner.run(begin())


@when('owners are restarted {times:d} times, every {period_s:g} seconds')
def restart_owners(context, times, period_s):
    world = context.world

    async def restart_owner():
        owner = world.owner
        if owner is not None:
            await owner.candidate.stop()
            await owner.restart()
        await asyncio.sleep(period_s)

    context.restarts_began_s = world.now_s()
    for _ in range(times):
        context.runner.run(restart_owner())


@then('some of the owners have moved hosts')
def check_moved_by_later_owners(context):
    epochs = {
        fields['epoch']
        for time_s, _, kind, fields in context.world.log
        if kind == 'host_moved' and time_s > context.restarts_began_s
    }
    assert epochs - {context.first_epoch}, context.world.event_log_text()[
        -3000:
    ]


@when(
    '{n:d} jobs of {first:d} and {second:d} tasks of {run_s:g} seconds are '
    'submitted'
)
def submit_long(context, n, first, second, run_s):
    for number in range(n):
        spec = job_world.chain(first, second, estimate_s=run_s)
        _submit(context, number % 3, f'long{number}', spec)


@when('an executor with tasks is partitioned but keeps running')
def partition_executor(context):
    world = context.world
    executor = max(world.executors.values(), key=lambda e: len(e.runs))
    assert executor.runs
    executor.is_cut = True


@when('only the owner can reach an executor with tasks')
def partition_from_others(context):
    world = context.world
    executor = max(world.executors.values(), key=lambda e: len(e.runs))
    assert executor.runs
    for daemon in world.daemons:
        if daemon is not world.owner:
            daemon.link.unreachable.add(executor.entry.executor_id)


@when('a host crashes for 1 second and comes back')
def crash_busy_host(context):
    world = context.world
    # Entries are read in the order of ids: the old incarnation's comes last.
    busy = [e for e in world.executors.values() if e.runs]
    executor = max(busy, key=lambda e: e.entry.executor_id)
    world.crash_executor(executor, 1.0)


@then('no live executor was treated as ended')
def check_live_executors(context):
    world = context.world
    ended = {
        fields['executor']
        for _, _, kind, fields in world.log
        if kind == 'executor_gone'
    }
    living = {i for i, e in world.executors.items() if not e.is_gone}
    assert not ended & living, ended & living


@when('partitions are healed')
def heal_partitions(context):
    for daemon in context.world.daemons:
        daemon.link.is_cut = daemon.hosts_link.is_cut = False


@when('every daemon is killed')
def kill_all(context):
    async def kill():
        for daemon in context.world.daemons:
            await daemon.kill()
        for daemon in context.world.daemons:
            await daemon.restart()

    context.runner.run(kill())


@when('hosts have moved between pools')
def cause_host_moves(context):
    world = context.world
    submit_many(context, 8, 16, 16)
    wait(context, 15.0)
    moved = [o for o in world.log if o[2] == 'host_moved']
    assert moved, 'no host was moved'


@when('malformed records are written to both partitions')
def write_malformed(context):
    keys = {
        job_world.JOBS: ('job/{}x', 'strange/{}'),
        job_world.STATUSES: ('status/{}x', 'strange/{}', 'owner'),
    }
    context.malformed_counts = collections.Counter()
    for number, value in enumerate(MALFORMED_VALUES[1:]):
        for partition in keys:
            for key in keys[partition]:
                record = journal.Record(key.format(number), value)
                context.world.store.append(partition, [record])
                context.malformed_counts[partition] += 1


@then('each malformed record was logged once by each daemon that reads it')
def check_skips_logged(context):
    world = context.world
    for daemon in world.daemons:
        _check_skips(context, daemon, job_world.STATUSES)
    _check_skips(context, world.owner, job_world.JOBS)


def _check_skips(context, daemon, partition):
    offsets = [
        fields['offset']
        for _, name, kind, fields in context.world.log
        if kind == 'record_skipped'
        and name == daemon.name
        and fields['partition'] == partition.name
    ]
    wanted = context.malformed_counts[partition]
    assert len(offsets) == len(set(offsets)) == wanted, offsets


@when('a newer configuration is written, then the older one, then a deletion')
def write_configurations(context):
    world = context.world
    older = world.configuration
    world.configure()
    context.newer = world.configuration
    wait(context, 0.5)
    world._write(job_world.OPERATORS, 'config', older)
    record = journal.Record('config')
    world.store.append(job_world.OPERATORS, [record])
    world.store.compact(job_world.OPERATORS)


@then('every daemon has the newer configuration')
def check_configuration(context):
    for daemon in context.world.daemons:
        current = daemon.parts.configuration_reader.configuration
        assert current == context.newer, current.version


def _reported_states(context, job_id):
    world = context.world

    async def ask_all():
        pool = context.jobs[job_id]
        return [
            await world.state(daemon, pool, job_id)
            for daemon in world.daemons
            if daemon is not getattr(context, 'old_owner', None)
        ]

    return context.runner.run(ask_all())


@then('job "{job_id}" is reported as {state} by every daemon')
def check_job_state(context, job_id, state):
    states = _reported_states(context, job_id)
    assert set(states) == {state}, (
        states,
        context.world.event_log_text()[-3000:],
    )


@then('every job is reported as {wanted}')
def check_all_job_states(context, wanted):
    allowed = set(wanted.split(' or '))
    for job_id in context.jobs:
        states = set(_reported_states(context, job_id))
        assert states <= allowed, (job_id, states)


@then('each task of "{job_id}" started once')
def check_started_once(context, job_id):
    counts = {
        str(task_id): count
        for task_id, count in context.world.starts.items()
        if task_id.job_id == job_id
    }
    assert counts and set(counts.values()) == {1}, counts


@then('no task of "{job_id}" has started')
def check_none_started(context, job_id):
    assert all(t.job_id != job_id for t in context.world.starts)


@then('no invariant was violated')
def check_no_violation(context):
    assert not context.world.violations, context.world.violations


@when('simulations with random faults of seeds {first:d} to {last:d} run')
def run_simulations(context, first, last):
    context.verdicts = [
        fault_search.run_with_faults(seed) for seed in range(first, last + 1)
    ]


@then('no simulation violated an invariant or left a job unfinished')
def check_simulations(context):
    bad = [
        (v.seed, v.violations[:3], v.unfinished[:3], v.faults)
        for v in context.verdicts
        if v.violations or v.unfinished
    ]
    assert not bad, bad


@then('no task was displaced more than once')
def check_displaced_once(context):
    counts = collections.Counter(
        fields['task']
        for _, _, kind, fields in context.world.log
        if kind == 'run_displaced'
    )
    assert counts
    assert max(counts.values()) == 1, counts
