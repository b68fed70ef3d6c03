"""Steps for the inventory of hosts that an owner keeps."""

import asyncio
import types

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import departures
from hawthorndeal_jobs import executors
from hawthorndeal_jobs import specs
from hawthorndeal_platform import host_orders
from hawthorndeal_scheduler import host_inventory
from stage import scheduler_harness

POLL_PERIOD_S = 0.2
CYCLE_S = 0.1
CAPACITY = specs.Resources(4000, 16384)


class _Owner:
    """An owner without a daemon, on a manual clock."""

    def __init__(self):
        self.harness = scheduler_harness.Harness()
        self.scheduler = self.harness.scheduler
        self.tracker = types.SimpleNamespace(
            remove=self._remove, note_listed=lambda executor_ids, sent_s: None
        )
        self.ended = {}

    def now_s(self):
        return self.harness.now_s

    def _remove(self, executor, why):
        self.ended[executor.executor_id] = departures.kind_of(executor, why)
        self.scheduler.remove_executor(executor.executor_id, self.now_s())


@given('an inventory of {count:d} hosts in pool "{pool}"')
def make_inventory(context, count, pool):
    context.owner = _Owner()
    context.entries = {
        f'h{n}': host_orders.HostEntry(
            f'h{n}', pool, host_orders.HostState.UP, 'z', 'r', f'old{n}'
        )
        for n in range(count)
    }
    context.listed_s = []

    async def list_hosts():
        context.listed_s.append(context.owner.now_s())
        return tuple(context.entries.values())

    parts = types.SimpleNamespace(hosts=types.SimpleNamespace(list=list_hosts))
    context.inventory = host_inventory.HostInventory(parts, context.owner)
    asyncio.run(context.inventory.refresh())


@when(
    'a host is ordered to pool "{pool}" every {period_s:g} seconds for '
    '{seconds:g} seconds'
)
def order_hosts_often(context, pool, period_s, seconds):
    harness = context.owner.harness
    for number in range(int(seconds / period_s)):
        harness.now_s += period_s
        asyncio.run(context.inventory.refresh())
        context.inventory.note_moving(f'h{number % 4}', pool)
        context.inventory.list_soon()


@then('no two lists were more than {limit_s:g} seconds apart')
def check_list_gaps(context, limit_s):
    times_s = [*context.listed_s, context.owner.now_s()]
    gaps_s = [later - time for time, later in zip(times_s, times_s[1:])]
    assert max(gaps_s) <= limit_s, gaps_s


@when('{count:d} hosts are ordered to pool "{pool}"')
def order_hosts(context, count, pool):
    context.ordered = [f'h{n}' for n in range(count)]
    context.pool = pool
    for host in context.ordered:
        context.inventory.note_moving(host, pool)


@when('the new executors of {count:d} of them have published')
def publish_executors(context, count):
    for host in context.ordered[:count]:
        entry = executors.ExecutorEntry(
            f'new-{host}',
            f'{host}:1',
            context.pool,
            'z',
            CAPACITY,
            host=host,
        )
        context.owner.scheduler.update_executor(entry, context.owner.now_s())


@when('the new executors of {count:d} of them were polled')
def poll_executors(context, count):
    publish_executors(context, count)
    for host in context.ordered[:count]:
        context.owner.harness.poll(f'new-{host}')


@then('{count:d} hosts are arriving in pool "{pool}"')
def check_arriving(context, count, pool):
    now_s = context.owner.now_s()
    found = context.inventory.arriving(pool, now_s)
    assert found == count, found


@given(
    'an inventory of {count:d} hosts in pool "{pool}", whose executors run '
    'tasks'
)
def make_busy_inventory(context, count, pool):
    make_inventory(context, count, pool)
    harness = context.owner.harness
    for host, entry in context.entries.items():
        harness.register_executor(entry.executor_id, host, pool)
        harness.inherit_job(
            f'on-{host}', scheduler_harness.steps(2), entry.executor_id
        )
    _pass_time(context, 2.0)


def _pass_time(context, seconds, silent_ids=()):
    """Let the executors but some answer polls, and refresh the inventory."""
    harness = context.owner.harness
    end_s, poll_due_s = harness.now_s + seconds, harness.now_s
    while harness.now_s < end_s:
        if harness.now_s >= poll_due_s:
            poll_due_s += POLL_PERIOD_S
            for executor in list(harness.scheduler.executors.values()):
                if executor.executor_id in silent_ids:
                    executor.note_unanswered(harness.now_s)
                else:
                    harness.poll_runs(executor.executor_id)
        harness.now_s += CYCLE_S
        asyncio.run(context.inventory.refresh())


@when('the executor of one host crashes')
def crash_one(context):
    entry = context.entries['h1']
    context.silent_ids = [entry.executor_id]
    context.entries['h1'] = attrs.evolve(
        entry, state=host_orders.HostState.DOWN, executor_id=''
    )


@when('the executor of one host is silent for {seconds:g} seconds')
def silence_one(context, seconds):
    _pass_time(context, seconds, [context.entries['h1'].executor_id])


@when('a new executor that no list shows is silent for {seconds:g} seconds')
def silence_new(context, seconds):
    harness = context.owner.harness
    harness.register_executor('new', 'h1')
    harness.inherit_job('on-new', scheduler_harness.steps(2), 'new')
    harness.poll_runs('new')
    _pass_time(context, seconds, ['new'])


@then('it is known to have ended within {seconds:g} seconds')
def check_noticed(context, seconds):
    _pass_time(context, seconds, context.silent_ids)
    assert list(context.owner.ended) == context.silent_ids


@then('it is known to have crashed')
def check_crashed(context):
    kinds = set(context.owner.ended.values())
    assert kinds == {departures.DepartureKind.CRASHED}, kinds


@then('no executor is known to have ended')
def check_none_ended(context):
    assert not context.owner.ended, context.owner.ended
