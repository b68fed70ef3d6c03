"""Steps for ordinary jobs beside jobs that can't be done."""

import asyncio

from behave import given
from behave import then
from behave import when

from stage import poisoned_jobs
from stage import virtual_time

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
