"""Steps for jobs whose queue was removed from the configuration."""

import asyncio
import json

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import run_state
from stage import job_world
from stage import loaded_partition

JOB_ID = 'removed'
QUEUE = 'removed-queue'
POOL = loaded_partition.OWN_POOL
MAX_RUNS = 10


def _accept(context, **terms):
    context.queue = queues.Queue(QUEUE, POOL, **terms)
    submission = journal.Submission(
        QUEUE, POOL, 100.0, loaded_partition.job_spec(1), '',
        context.queue.terms,
    )  # fmt: skip
    context.record = journal.submission_record(JOB_ID, submission)


@given('a job accepted by a queue of {count:d} attempts')
def accept_with_attempts(context, count):
    _accept(context, max_attempts=count)


@given(
    'a job accepted by a queue of priority {priority:d}, stretch {stretch:g} '
    'and a target of {target_s:g} seconds'
)
def accept_with_priority(context, priority, stretch, target_s):
    _accept(
        context, priority=priority, stretch=stretch, latency_target_s=target_s
    )


@given('a record of a job of an earlier version')
def accept_without_terms(context):
    _accept(context)
    plain = json.loads(context.record.value)
    assert 'terms' not in plain, plain


def _take_over(context):
    context.partition = partition = loaded_partition.LoadedPartition(3)
    record = context.record
    applied = partition.replica.apply(record.key, record.value, 0)
    context.job = applied.job
    return partition


@when('the queue is removed, and a successor takes over')
def succeed(context):
    partition = _take_over(context)
    partition.accept(context.job)


@when('the queue gets {count:d} attempts, and a successor takes over')
def succeed_with_change(context, count):
    partition = _take_over(context)
    changed = attrs.evolve(context.queue, max_attempts=count)
    pools = {POOL: queues.Pool(POOL)}
    partition.scheduler.set_configuration(
        queues.Configuration(2, {QUEUE: changed}, pools)
    )
    partition.accept(context.job)


@when('its task fails each time that it runs')
def fail_runs(context):
    context.runs = 0
    partition = context.partition
    while runs := partition.start_all():
        context.runs += len(runs)
        assert context.runs <= MAX_RUNS
        for run in runs:
            poll = partition.end_of(run, run_state.EndCause.FAILED)
            partition.handle(run.executor_id, poll)
        # An executor is suspended for a while after a failure.
        partition.now_s += 30.0


@then('it has run {count:d} times, and its job has failed')
def check_runs(context, count):
    assert context.runs == count, context.runs
    assert context.job.state() is jobs.JobState.FAILED


@then(
    'its step has priority {priority:d}, and is due {seconds:g} seconds after '
    'it was accepted'
)
def check_step(context, priority, seconds):
    context.partition.plan()
    (step,) = context.partition.scheduler.steps._steps.values()
    assert step.priority == priority
    accepted_s = context.partition.now_s
    assert abs(step.objective_s - accepted_s - seconds) < 0.1, step


@when('{count:d} jobs of two steps are submitted to an advised queue')
def submit_advised(context, count):
    world = context.world
    context.tickets = {}

    async def submit():
        for number in range(count):
            refusal = await world.submit(
                world.daemons[0],
                'web',
                f'{JOB_ID}{number}',
                job_world.chain(2, 1, estimate_s=1.0),
            )
            assert refusal is None, refusal
        await asyncio.sleep(0.6)

    context.runner.run(submit())
    context.count = count
    for daemon in world.daemons:
        _note_tickets(context, daemon.parts.executors)


def _note_tickets(context, client):
    start = client.start

    async def start_noted(target, order):
        context.tickets[str(order.task_id)] = order.ticket
        return await start(target, order)

    client.start = start_noted


@when('their queue is removed, and the owner is killed')
def remove_queue(context):
    world = context.world
    owner = world.owner
    changed = dict(world.configuration.queues)
    del changed['web']
    configuration = attrs.evolve(
        world.configuration,
        version=world.configuration.version + 1,
        queues=changed,
    )
    world._write(job_world.OPERATORS, 'config', configuration)
    world.configuration = configuration

    async def kill():
        await asyncio.sleep(0.5)
        await owner.kill()

    context.runner.run(kill())


@then('all of them are completed')
def check_completed(context):
    world = context.world
    for number in range(context.count):
        status = world.stored_status(f'{JOB_ID}{number}')
        assert status.state is jobs.JobState.COMPLETED, (number, status)


@then('each of their tasks was started with a ticket')
def check_tickets(context):
    later = {
        task: ticket
        for task, ticket in context.tickets.items()
        if task.startswith(JOB_ID)
    }
    assert later and all(later.values()), later
