"""Steps for tasks that crash the executors that start them."""

import asyncio

from behave import step
from behave import then
from behave import when

from hawthorndeal_jobs import jobs
from stage import job_world


def _mark_deadly(context, job_id, delay_s, step_number=0, occurrence=0):
    task_id = jobs.TaskId(job_id, occurrence, step_number, 0)
    context.world.crash_delays_s[task_id] = delay_s
    context.deadly_task = task_id


def _submit(context, job_id, spec):
    context.jobs[job_id] = 'web'
    world = context.world
    refusal = context.runner.run(
        world.submit(world.daemons[0], 'web', job_id, spec)
    )
    assert refusal is None, refusal


@when(
    'job "{job_id}" of {count:d} tasks, one of which crashes its executor '
    'after {delay:g} s, is submitted'
)
def submit_deadly(context, job_id, count, delay):
    _mark_deadly(context, job_id, delay)
    _submit(context, job_id, job_world.one_step(count))


@when('the owner is killed after each crash, for {seconds:g} seconds')
def kill_after_crashes(context, seconds):
    world = context.world

    async def play():
        crashes = world.crashed_executors[context.deadly_task]
        end_s, seen = world.now_s() + seconds, 0
        while world.now_s() < end_s:
            await asyncio.sleep(0.05)
            if len(crashes) > seen and world.owner is not None:
                seen = len(crashes)
                await world.owner.restart()

    context.runner.run(play())


def _crash_count(context):
    return len(context.world.crashed_executors[context.deadly_task])


@then('{count:d} executors have crashed under it')
def check_crash_count(context, count):
    assert _crash_count(context) == count, (
        _crash_count(context),
        context.world.event_log_text(),
    )


@then('at most {count:d} executors have crashed under it')
def check_most_crashes(context, count):
    assert 1 < _crash_count(context) <= count, (
        _crash_count(context),
        context.world.event_log_text(),
    )


@step('every other job is reported as completed')
def check_innocent(context):
    world = context.world
    deadly = context.deadly_task.job_id
    states = {
        job_id: context.runner.run(world.state(world.daemons[0], pool, job_id))
        for job_id, pool in context.jobs.items()
        if job_id != deadly
    }
    wrong = {j: s for j, s in states.items() if s != 'completed'}
    assert not wrong, (wrong, world.event_log_text())
