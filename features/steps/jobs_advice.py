"""Steps for the order in which advice is requested."""

import asyncio
import collections

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import run_state
from stage import job_world
from stage import loaded_partition

ADVICE = queues.Advice(0.03, 0.0, 60.0)
POOL = 'web'
OTHER_POOL = 'other'
MAX_CALLS = 1000


class Adviser:
    """Advice service that treats jobs by the beginning of their names.

    :param took_s: time that an answer takes
    """

    def __init__(self, took_s):
        self._took_s = took_s
        self.hopeless = ()
        self.silent = ()
        # Ids of the executors that are permitted; None permits all.
        self.find_permitted = None
        self.asked = collections.Counter()
        self._lock = asyncio.Lock()

    async def advise(self, step_key, executor_ids, timeout_s=5.0):
        """Return tickets for all executors, or for none."""
        # The service handles the calls of a daemon one after the other.
        async with self._lock:
            await asyncio.sleep(self._took_s)
        if step_key[0].startswith(self.silent):
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('no answer')
        if step_key[0].startswith(self.hopeless):
            self.asked.update((step_key, name) for name in executor_ids)
            return {}
        if self.find_permitted is not None:
            executor_ids = self.find_permitted() & set(executor_ids)
        return {name: f'ticket-{name}' for name in executor_ids}


@given(
    'simulated daemons with seed {seed:d}, and a service that answers in '
    '{took_s:g} seconds'
)
def start_with_service(context, seed, took_s):
    context.execute_steps(f'Given simulated daemons with seed {seed}')
    world = context.world
    world.adviser = Adviser(took_s)
    for daemon in world.daemons:
        daemon.parts.advice = world.adviser
    world.configure(
        **{
            pool: attrs.evolve(queue, advice=ADVICE)
            for pool, queue in world.configuration.queues.items()
        }
    )
    context.runner.run(world.owner.restart())
    context.runner.run(asyncio.sleep(3.0))


@given('tickets of that service are valid for {validity_s:g} second')
def limit_validity(context, validity_s):
    world = context.world
    world.configure(
        **{
            pool: attrs.evolve(
                queue, advice=attrs.evolve(ADVICE, validity_s=validity_s)
            )
            for pool, queue in world.configuration.queues.items()
        }
    )
    context.expires_s, context.expired = {}, []
    advise = world.adviser.advise

    async def advise_numbered(*arguments):
        sent_s = world.now_s()
        return {
            name: _issue(context, sent_s + validity_s)
            for name in await advise(*arguments)
        }

    world.adviser.advise = advise_numbered
    for daemon in world.daemons:
        _check_tickets_sent(context, daemon.parts.executors)


def _issue(context, expires_s):
    ticket = f'ticket-{len(context.expires_s)}'
    context.expires_s[ticket] = expires_s
    return ticket


def _check_tickets_sent(context, client):
    start = client.start

    async def start_checked(target, order):
        if context.world.now_s() >= context.expires_s[order.ticket]:
            context.expired.append(order)
        return await start(target, order)

    client.start = start_checked


@then('no start was sent with an expired ticket')
def check_none_expired(context):
    assert context.expires_s
    assert not context.expired, context.expired


@given('that service permits executors with the label "{label}" only')
def permit_labelled(context, label):
    def find_permitted():
        executors = context.world.executors.values()
        return {
            e.executor_id
            for e in (executor.entry for executor in executors)
            if label in e.labels
        }

    context.world.adviser.find_permitted = find_permitted


@given('that service permits no executor for jobs named "{name}"')
def refuse_jobs(context, name):
    context.world.adviser.hopeless = (name,)


@given('that service answers no call on jobs named "{name}"')
def silence_jobs(context, name):
    context.world.adviser.silent = (name,)


@when('the service answers all calls')
def answer_all(context):
    context.world.adviser.silent = ()


@when('{count:d} jobs named "{name}" are submitted')
def submit_named(context, count, name):
    world = context.world

    async def submit():
        spec = job_world.one_step(1)
        for number in range(count):
            daemon = world.daemons[number % len(world.daemons)]
            refusal = await world.submit(daemon, POOL, f'{name}{number}', spec)
            assert refusal is None, refusal

    context.runner.run(submit())
    context.names = {**getattr(context, 'names', {}), name: count}


def _begun(context, name):
    return {
        task_id.job_id
        for task_id in context.world.starts
        if task_id.job_id.startswith(name)
    }


@then('each job named "{name}" has begun within {limit_s:d} seconds')
def check_begun(context, name, limit_s):
    context.runner.run(asyncio.sleep(limit_s))
    assert len(_begun(context, name)) == context.names[name]


@then('{seconds:d} seconds after that each of them is completed')
def check_completed_later(context, seconds):
    context.runner.run(asyncio.sleep(seconds))
    check_completed(context, 'sound')


@then('each job named "{name}" is completed')
def check_completed(context, name):
    world = context.world
    for number in range(context.names[name]):
        state = context.runner.run(
            world.state(world.daemons[0], POOL, f'{name}{number}')
        )
        assert state == 'completed', (name, number, state)


@then('no job named "{name}" has begun')
def check_not_begun(context, name):
    assert not _begun(context, name)


@then('no executor was asked about twice that may not run a step')
def check_asked_once(context):
    asked = context.world.adviser.asked
    assert asked and max(asked.values()) == 1, asked.most_common(3)


@given(
    'a pool of {size:d} executors, the last {permitted:d} of which may run '
    'each step'
)
def make_pool(context, size, permitted):
    context.partition = loaded_partition.LoadedPartition(size)
    known = list(context.partition.scheduler.executors)
    context.permitted = set(known[size - permitted :])
    context.asked = collections.Counter()
    context.calls = 0


@given('the executors that are asked about first are full of other work')
def fill_executors(context):
    partition = context.partition
    context.waiting = [
        partition.add_job(
            loaded_partition.job_spec(1), loaded_partition.ADVISED_QUEUE
        )
    ]
    asked = _call(context)
    for executor_id in asked:
        executor = partition.scheduler.executors[executor_id]
        executor.free = executor.free - executor.free
        executor.version += 1


@when('{count:d} jobs wait for advice')
def add_waiting_jobs(context, count):
    partition = context.partition
    if not hasattr(context, 'waiting'):
        context.waiting = [
            partition.add_job(
                loaded_partition.job_spec(1), loaded_partition.ADVISED_QUEUE
            )
            for _ in range(count)
        ]


def _call(context):
    """Make the next call; return the executors that were asked about."""
    partition = context.partition
    scheduler = partition.scheduler
    request = scheduler.next_advice_request(partition.now_s)
    if request is None:
        return []
    context.calls += 1
    key = request.ready_step.key
    context.asked.update((key, name) for name in request.executor_ids)
    good = {
        name: f'ticket-{name}'
        for name in request.executor_ids
        if name in context.permitted
    }
    scheduler.note_advice(request, good, partition.now_s)
    scheduler.advice.close(request)
    partition.now_s += 0.03
    return request.executor_ids


def _lacking(context):
    partition = context.partition
    return [
        job
        for job in context.waiting
        if not partition.scheduler.tickets.valid(
            (job.job_id, 0, 0), partition.now_s
        )
    ]


@then('each of them has a ticket after {limit:d} calls or fewer')
def check_tickets(context, limit):
    context.partition.plan()
    while _lacking(context) and _call(context):
        assert context.calls <= limit, context.calls
    assert not _lacking(context)


@then('no executor was asked about more than once for a step')
def check_each_once(context):
    assert max(context.asked.values()) == 1


@then('no call is made after {limit:d} calls')
def check_no_further_call(context, limit):
    context.partition.plan()
    for _ in range(limit):
        assert _call(context)
    for _ in range(MAX_CALLS):
        assert not _call(context)
        context.partition.now_s += 0.02


@when('an executor is added that may run each step')
def add_permitted(context):
    partition = context.partition
    known = set(partition.scheduler.executors)
    partition.add_executor(loaded_partition.OWN_POOL)
    context.permitted |= set(partition.scheduler.executors) - known
    partition.now_s += 1.0


@given('another pool with an executor that may run each step')
def add_other_pool(context):
    partition = context.partition
    known = set(partition.scheduler.executors)
    partition.add_executor(OTHER_POOL)
    context.permitted |= set(partition.scheduler.executors) - known


@when('an executor is added that may run no step')
def add_refused(context):
    context.partition.add_executor(loaded_partition.OWN_POOL)


@when('their queue gets the other pool')
def change_pool(context):
    scheduler = context.partition.scheduler
    queue = scheduler.steps.queue_of(context.waiting[0])
    changed = attrs.evolve(queue, pool=OTHER_POOL)
    scheduler.set_configuration(
        queues.Configuration(
            2, {queue.name: changed}, {OTHER_POOL: queues.Pool(OTHER_POOL)}
        )
    )


@then('a task of it starts after {limit:d} calls or fewer')
def check_started(context, limit):
    partition = context.partition
    for _ in range(MAX_CALLS):
        if partition.start_all():
            break
        _call(context)
        partition.now_s += 0.1
        partition.scheduler.steps.consider_all()
    else:
        raise AssertionError('nothing has started')
    assert context.calls <= limit, context.calls


@when('the tickets expire')
def expire_tickets(context):
    context.partition.now_s += 61.0


@when('{count:d} jobs wait for advice, and are completed')
def complete_jobs(context, count):
    add_waiting_jobs(context, count)
    partition = context.partition
    partition.plan()
    while _lacking(context):
        assert _call(context)
    runs = partition.start_all()
    assert len(runs) == count
    for run in runs:
        poll = partition.end_of(run, run_state.EndCause.DONE)
        partition.handle(run.executor_id, poll)
    assert all(job.is_done for job in context.waiting)


@when('one more is cancelled while it is asked about')
def cancel_while_asked(context):
    partition = context.partition
    scheduler = partition.scheduler
    job = partition.add_job(
        loaded_partition.job_spec(1), loaded_partition.ADVISED_QUEUE
    )
    partition.plan()
    request = scheduler.next_advice_request(partition.now_s)
    scheduler.cancel_job(job)
    scheduler.note_advice(request, {'x1': 'ticket'}, partition.now_s)
    scheduler.advice.close(request)


@then('nothing is known of advice on them')
def check_forgotten(context):
    scheduler = context.partition.scheduler
    assert not scheduler.advice._by_job
    assert not scheduler.tickets._by_job
