"""Steps for the search for work that waits beside room, and its log."""

import asyncio
import math
import time
import types

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_scheduler import metrics
from hawthorndeal_scheduler import standing_log
from stage import scheduler_harness

HOME = 'submissions-1'
LATE_S = 100.0
# More than half of what the executors have.
BUSY_TASKS = 9


@given('four executors with room for 16 tasks')
def add_executors(context):
    context.harness = scheduler_harness.Harness()
    for name in 'abcd':
        context.harness.add_executor(name)


def _add_job(context, tasks=4, job_id='j'):
    spec = scheduler_harness.steps(tasks)
    context.job = context.harness.add_job(job_id, spec)
    return context.job


@given('a job of 4 tasks whose starts are rejected')
def reject_starts(context):
    _add_job(context)
    harness = context.harness
    for run in harness.plan().starts:
        run.phase = run_state.RunPhase.SENT
        answer = run_tracking.StartAnswer.BAD_TICKET
        harness.scheduler.handle_start_answer(run, answer, harness.now_s)


@given('a job of 4 tasks beside executors that are suspended')
def suspend_executors(context):
    _add_job(context)
    for executor in context.harness.scheduler.executors.values():
        executor.incarnation.suspended_until_s = math.inf


@given('a job of 4 tasks beside late work that is held back')
def hold_late_work(context):
    _add_job(context)
    context.harness.now_s += LATE_S
    context.harness.scheduler.hold_late_work({scheduler_harness.POOL})


@given('a job of 4 tasks without a start that is left')
def leave_no_starts(context):
    _add_job(context)
    context.harness.plan(max_starts=0)


@given("a job of 4 tasks whose cancellations aren't read")
def hold_partition(context):
    _add_job(context).home = HOME
    context.harness.scheduler.hold_jobs({HOME})


@given("a job of 4 tasks whose starts aren't answered")
def send_starts(context):
    _add_job(context)
    for run in context.harness.plan().starts:
        run.phase = run_state.RunPhase.SENT


@given("a job of 4 tasks whose plan isn't stored")
def plan_starts(context):
    _add_job(context)
    context.harness.plan()


@given('a job of 4 tasks that a former owner may have started')
def inherit_runs(context):
    spec = scheduler_harness.steps(4)
    context.harness.inherit_job('j', spec, 'a')


@given('a job of 4 tasks of which no step is known')
def forget_steps(context):
    context.harness.scheduler.steps.remove_job(_add_job(context))


@given('a job of 4 tasks that runs')
def start_job(context):
    _add_job(context)
    context.harness.start_all()


@given('a job of 4 tasks that waits for a pool half in use')
def fill_pool(context):
    _add_job(context, BUSY_TASKS, 'busy')
    context.harness.start_all()
    _add_job(context)


@given('a job of 4 tasks that is cancelled')
def cancel_job(context):
    context.harness.scheduler.cancel_job(_add_job(context))


@when('the scheduler looks for work that stands')
def look(context):
    harness = context.harness
    context.found = harness.scheduler.standing.find(harness.now_s, 0.0)


@then('it finds 4 tasks that wait for {obstacle}')
def check_obstacle(context, obstacle):
    found = [
        (step.job_id, step.tasks, step.obstacle) for step in context.found
    ]
    assert found == [('j', 4, obstacle)], context.found


@then('it finds none')
def check_none(context):
    assert not context.found, context.found


@when(
    "its owner's log of standing work goes on, and its loop is blocked for "
    '{blocked_s:g} seconds'
)
def log_standing_work(context, blocked_s):
    context.lines = []
    context.blocked_s = blocked_s
    asyncio.run(_play_log(context, blocked_s))


async def _play_log(context, blocked_s):
    parts = types.SimpleNamespace(
        settings=types.SimpleNamespace(standing_notice_ms=100.0),
        events=types.SimpleNamespace(
            write=lambda kind, **fields: context.lines.append((kind, fields))
        ),
        metrics=metrics.Metrics(),
    )
    owner = types.SimpleNamespace(
        scheduler=context.harness.scheduler,
        term=types.SimpleNamespace(is_lost=False),
        now_s=time.monotonic,
        start_window=16.0,
        starts_in_flight=0,
        halted_why='',
        cycle_begun_s=time.monotonic(),
    )
    task = asyncio.create_task(standing_log.StandingLog(parts, owner).run())
    # The first look notes since when the step waits.
    await asyncio.sleep(standing_log.PERIOD_S + 0.1)
    time.sleep(blocked_s)
    await asyncio.sleep(0)
    owner.term.is_lost = True
    await task


@then('the log tells the job, its obstacle, all such steps and the delay')
def check_log(context):
    by_kind = dict(context.lines)
    assert by_kind['step_standing']['job'] == 'j', context.lines
    assert by_kind['step_standing']['obstacle'] == 'executors_closed'
    closed = by_kind['step_standing']['closed']
    assert closed == {'suspended': 4}, closed
    assert by_kind['steps_standing']['steps'] == 1
    late_s = by_kind['loop_late']['late_s']
    assert standing_log.LATE_S < late_s <= context.blocked_s, late_s
