"""Steps for the measured load of a pool."""

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import queues
from hawthorndeal_jobs import specs
from stage import scheduler_harness


POOL = scheduler_harness.POOL
CONFIGURATION = queues.Configuration(
    2,
    {POOL: queues.Queue(POOL, POOL, 'web.example', '/', stretch=2.0)},
    {POOL: queues.Pool(POOL)},
)


def _job(count, cores, limit=0):
    request = specs.Resources(int(cores * 1000), 64)
    step = specs.StepSpec(count, request, 1.0, max_per_executor=limit)
    return specs.JobSpec('payload', (step,))


@given(
    'a pool of {executors:d} executors, on each of which {running:d} tasks of '
    'one core run'
)
def start_pool(context, executors, running):
    harness = context.harness = scheduler_harness.Harness()
    harness.scheduler.set_configuration(CONFIGURATION)
    # Another pool tells the capacity of a host where this one is empty.
    harness.register_executor('other', pool='other')
    for number in range(executors):
        harness.add_executor(f'x{number}')
    if running:
        harness.add_job('running', _job(executors * running, 1, running))
        assert len(harness.start_all()) == executors * running


@given(
    '{jobs:d} jobs of {tasks:d} tasks of {cores:d} cores, {limit:d} on each '
    'executor, that wait for {wait_s:g} seconds'
)
def add_waiting(context, jobs, tasks, cores, limit, wait_s):
    harness = context.harness
    for number in range(jobs):
        harness.add_job(f'w{number}', _job(tasks, cores, limit))
    harness.start_all()
    harness.now_s += wait_s


@when('the load of the pool is measured')
def measure_load(context):
    harness = context.harness
    pool = CONFIGURATION.pools[POOL]
    context.load = harness.scheduler.load_of(pool, 0, 2.0, harness.now_s)
    # Only what waits counts here, not how fast it arrived.
    context.load = attrs.evolve(context.load, rate_hosts=0, growth_hosts=0)


@then('its starved tasks need {count:d} hosts')
def check_starved(context, count):
    load = context.load
    assert load.starved_hosts + load.late_starved_hosts == count, load


@then('it needs {least:d} to {most:d} hosts')
def check_needed(context, least, most):
    found = context.load.needed_hosts
    assert least <= found <= most, context.load
