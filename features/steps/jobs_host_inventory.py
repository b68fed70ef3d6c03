"""Steps for the inventory of hosts that an owner keeps."""

import asyncio
import types

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import specs
from hawthorndeal_platform import host_orders
from hawthorndeal_scheduler import host_inventory
from stage import scheduler_harness

CYCLE_S = 0.1
CAPACITY = specs.Resources(4000, 16384)


class _Owner:
    """An owner without a daemon, on a manual clock."""

    def __init__(self):
        self.harness = scheduler_harness.Harness()
        self.scheduler = self.harness.scheduler
        self.tracker = types.SimpleNamespace(remove=self._remove)

    def now_s(self):
        return self.harness.now_s

    def _remove(self, executor, why):
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
            clock_s=1.0,
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
