"""Steps for hosts that only long-running tasks keep in their pools."""

import asyncio

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import consolidation
from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import specs
from stage import job_world
from stage import scheduler_harness

NOW_S = 100.0
HOST = specs.Resources(16000, 65536)
BURST_S = 6.0
WATCH_PERIOD_S = 0.05


@when(
    'a burst leaves room for one long-running task on each of {hosts:d} hosts'
)
def submit_burst(context, hosts):
    world = context.world
    spec = job_world.one_step(hosts, estimate_s=BURST_S, cores=14.0)
    assert (
        context.runner.run(world.submit(world.owner, 'web', 'burst', spec))
        is None
    )
    context.runner.run(asyncio.sleep(0.5))


@when(
    'a job of {count:d} long-running tasks, {away:d} unavailable at most, '
    'starts beside it'
)
def submit_lasting(context, count, away):
    world = context.world
    spec = job_world.one_step(
        count, cores=2.0, is_lasting=True, max_unavailable=away
    )
    assert (
        context.runner.run(world.submit(world.owner, 'web', 'lasting', spec))
        is None
    )
    context.count = count
    context.runner.run(asyncio.sleep(1.5))


def _hosts_of_tasks(world):
    found = world.running('lasting')
    return {
        world.executors[executor].entry.host
        for executors_of_task in found.values()
        for executor in executors_of_task
    }


@then('its tasks are on {count:d} hosts')
def check_hosts(context, count):
    hosts = _hosts_of_tasks(context.world)
    assert len(hosts) == count, hosts


@when('the burst is over and {seconds:d} seconds have passed')
def wait_after_burst(context, seconds):
    world = context.world
    context.least_running = context.count

    async def watch():
        end_s = world.now_s() + BURST_S + seconds
        while world.now_s() < end_s:
            running = len(world.running('lasting'))
            context.least_running = min(context.least_running, running)
            await asyncio.sleep(WATCH_PERIOD_S)

    context.runner.run(watch())


@then('no more than {count:d} hosts are left in their pool')
def check_pool(context, count):
    left = [
        entry.host
        for entry in context.world.hosts.entries.values()
        if entry.pool == 'web'
    ]
    assert len(left) <= count, left


@then('never more than {count:d} of its tasks were away at once')
def check_away(context, count):
    assert context.least_running >= context.count - count


@then('the log tells which hosts were emptied')
def check_log(context):
    emptied = {
        fields['host']
        for _, _, kind, fields in context.world.log
        if kind == 'host_consolidating'
    }
    assert len(emptied) == context.count - 1, emptied


def _executor_with_tasks(number, row):
    entry = executors.ExecutorEntry(
        f'x{number}', '', 'web', 'z', HOST, host=f'h{number}'
    )
    executor = executors.Executor(entry, HOST, number=number)
    executor.finite_ended_s = NOW_S - float(row['last_finite_s'])
    count = int(row['tasks'])
    step = specs.StepSpec(
        6,
        specs.Resources(1000, 512),
        is_lasting=True,
        max_per_executor=int(row['per_host']),
        max_unavailable=int(row['max_away']),
    )
    job = jobs.Job('l', 'web', 'web', 0.0, specs.JobSpec('', (step,)))
    for index in range(count):
        task_id = jobs.TaskId('l', 0, 0, index)
        run = run_state.Run(
            task_id, number + 1, job.occurrence(0), entry.executor_id,
            step.reserved, run_state.RunPhase.RUNNING, NOW_S,
        )  # fmt: skip
        executor.add(run)
    executor.free = attrs.evolve(
        executor.free, cpu_millicores=int(row['free_cores']) * 1000
    )
    return executor


@given('a pool that needs {needed:g} hosts, and hosts with long-running tasks')
def make_pool(context, needed):
    context.executors = [
        _executor_with_tasks(number, row)
        for number, row in enumerate(context.table)
    ]
    context.load = capacity.PoolLoad(
        'web', hosts=len(context.executors), lasting_hosts=needed
    )


@then('the host that is emptied is number {number}')
def check_emptied(context, number):
    chosen = consolidation.choose_host(context.load, context.executors, NOW_S)
    found = 'none' if chosen is None else str(chosen.number)
    assert found == number, found


@given(
    'a pool of {hosts:d} hosts that needs {needed:g}, one of them idle for '
    '{idle_s:g} seconds'
)
def make_idle_host(context, hosts, needed, idle_s):
    loads = [
        capacity.PoolLoad('web', hosts=hosts, lasting_hosts=needed),
        capacity.PoolLoad('spare', is_standby=True),
    ]
    idle = [capacity.IdleHost('h0', 'web', idle_s)]
    context.moves = capacity.plan_moves(loads, idle)


@then('the idle host is {outcome}')
def check_released(context, outcome):
    expected = ['spare'] if outcome == 'released' else []
    assert [move.to_pool for move in context.moves] == expected


@given(
    'executors "{first}" and "{second}" that are being emptied of '
    'long-running tasks'
)
def close_executors(context, first, second):
    context.harness = scheduler_harness.Harness()
    for name in (first, second):
        context.harness.add_executor(name)
        context.harness.scheduler.executors[name].close_to_lasting()


@when('a job of {count:d} long-running tasks waits for {wait_s:g} seconds')
def wait_with_lasting(context, count, wait_s):
    harness = context.harness
    harness.add_job('l', scheduler_harness.steps(count, is_lasting=True))
    context.started, end_s = [], harness.now_s + wait_s
    context.wanted = count
    while harness.now_s < end_s:
        harness.now_s += WATCH_PERIOD_S
        context.started += harness.start_all()


@then('each of its tasks has started')
def check_lasting_started(context):
    assert len(context.started) == context.wanted, context.started
