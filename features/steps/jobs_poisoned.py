"""Steps for ordinary jobs beside jobs that can't be done."""

import asyncio

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import specs
from stage import job_world
from stage import poisoned_jobs
from stage import virtual_time

STANDBY_POOL = 'spare'
KINDS = {
    'no executor is permitted to run': 'forbidden',
    'the advice service ignores': 'ignored',
    'fit on no host': 'oversized',
    'need a label that is absent': 'unlabelled',
    'are gangs larger than the pool': 'ganged',
    'fail each time': 'failing',
    'declare a year': 'long',
    'declare nothing': 'undeclared',
    'have 100 steps': 'graph',
    'have many occurrences due': 'repeated',
    'lack an executor for each task': 'apart',
    'belong to a removed queue': 'removed',
}


@given('simulated daemons with seed {seed:d}, and jobs that {kind}')
def start_poisoned(context, seed, kind):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)

    async def start():
        context.poisoned = poisoned_jobs.PoisonedWorld(seed)
        context.world = context.poisoned.world
        await context.poisoned.start()
        await context.poisoned.submit_hopeless(KINDS[kind])

    def stop():
        context.runner.run(context.world.stop())
        context.runner.close()

    context.add_cleanup(stop)
    context.runner.run(start())


@when(
    '{count:d} ordinary jobs of the same and of another queue arrive beside '
    'them'
)
def submit_ordinary(context, count):
    context.runner.run(context.poisoned.submit_ordinary(count))


@then('each ordinary job has begun within {limit_s:d} seconds')
def check_begun(context, limit_s):
    context.runner.run(asyncio.sleep(limit_s))
    context.waited_s = limit_s
    assert not context.poisoned.not_begun(), context.poisoned.not_begun()


@then('each ordinary job is completed within {limit_s:d} seconds')
def check_completed(context, limit_s):
    context.runner.run(asyncio.sleep(limit_s - context.waited_s))
    late = context.poisoned.not_completed()
    assert not late, late


@when('{count:d} hosts with the label "{label}" are added on standby')
def add_hosts(context, count, label):
    for number in range(count):
        context.world.add_host(STANDBY_POOL, number, (label,))


@when('{count:d} jobs arrive that need the label "{label}"')
def submit_labelled(context, count, label):
    spec = job_world.one_step(20, cores=16.0, required_label=label)
    _submit(context, count, spec)


@when('{count:d} hosts of {cores:d} cores are added on standby')
def add_large_hosts(context, count, cores):
    capacity = specs.Resources(cores * 1000, 65536)
    for number in range(count):
        context.world.add_host(STANDBY_POOL, number, capacity=capacity)


@when('{count:d} jobs arrive that need {cores:d} cores for a task')
def submit_large(context, count, cores):
    _submit(context, count, job_world.one_step(5, cores=float(cores)))


@when('{count:d} jobs arrive that need advice')
def submit_advised(context, count):
    _submit(context, count, job_world.one_step(20, cores=16.0))


def _submit(context, count, spec):
    world = context.world

    async def submit():
        for number in range(count):
            job_id = f'p{number}'
            context.jobs[job_id] = poisoned_jobs.ADVISED_POOL
            refusal = await world.submit(
                world.daemons[number % len(world.daemons)],
                poisoned_jobs.ADVISED_POOL,
                job_id,
                spec,
            )
            assert refusal is None, refusal

    context.runner.run(submit())


@when('simulations with hopeless jobs of seeds {first:d} to {last:d} run')
def run_simulations(context, first, last):
    context.results = {
        seed: poisoned_jobs.run(seed) for seed in range(first, last + 1)
    }


@then('each ordinary job of each of them was completed in time')
def check_simulations(context):
    late = {
        seed: result
        for seed, result in context.results.items()
        if result[1] or result[2]
    }
    assert not late, late
