"""Give orders to hosts, each announced in the store first."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_platform import host_orders

ORDER_RETRY_S = 0.5
# Orders are put off when the store doesn't take them by then.
ANNOUNCE_LIMIT_S = 2.5
FINISH_CHECK_S = 0.01


class HostOrdering:
    """Announce orders, give them, and note what became of them.

    :param parts: what an owner works with
    :param owner: whose tenure allows the orders
    :param inventory: keeps what is known of hosts
    :param intents: tells which hosts may be ordered about
    """

    def __init__(self, parts, owner, inventory, intents):
        self._parts = parts
        self._owner = owner
        self._inventory = inventory
        self._intents = intents
        self._stored = asyncio.Event()
        self._is_ordering = False

    def reserve_outstanding(self):
        """Have nothing start where an earlier owner's order may arrive."""
        outstanding = self._intents.outstanding(self._parts.clock.boot_s())
        for host, left_s in outstanding.items():
            self._inventory.note_unsure(host, self._owner.now_s() + left_s)
            self._inventory.reserve(host)

    def must_wait(self, host):
        """Tell whether an earlier owner's order is too recent."""
        return self._intents.wait_s(host, self._parts.clock.boot_s()) > 0

    # What has to be stored

    def take_records(self):
        """Return the record of the intents, where they have changed."""
        intents = self._intents.take_changed(self._parts.clock.boot_s())
        if intents is None:
            return []
        return [journal.host_intents_record(intents)]

    def note_stored(self):
        """Note that the records taken last are in the store."""
        self._intents.note_stored()
        self._stored.set()

    # Orders

    async def announce(self, hosts):
        """Store that hosts are about to be ordered, before they are.

        Their executors get no new tasks from now on.
        """
        if not hosts or not self._owner.may_order_hosts():
            return
        self._intents.begin(hosts, self._parts.clock.boot_s())
        for host in hosts:
            self._inventory.reserve(host)
        self._owner.wake()
        try:
            async with asyncio.timeout(ANNOUNCE_LIMIT_S):
                # An append that was under way doesn't hold them yet.
                while not all(map(self._intents.may_order, hosts)):
                    self._stored.clear()
                    await self._stored.wait()
        except asyncio.TimeoutError:
            self._owner.events.write('host_orders_put_off', hosts=len(hosts))

    async def give(self, host, event, call, fields, note_done):
        """Give one order that was announced, if the tenure allows it.

        :param event: its name in the log
        :param call: sends it, given who orders
        :param fields: what decided it, for the log
        :param note_done: called once it was carried out
        """
        owner = self._owner
        executor = self._inventory.executor_on(host)
        is_busy = executor is not None and executor.runs
        may_order = owner.may_order_hosts() and self._intents.may_order(host)
        if is_busy or not may_order:
            self._end_intent(host)
            self._inventory.unreserve(host)
            return
        outcome = await self._send(host, call)
        if outcome == 'done':
            note_done()
            if executor is not None:
                owner.end_executor(executor, event)
            self._inventory.list_soon()
        self._parts.metrics.note_host_order(event)
        owner.events.write(
            event, host=host, epoch=owner.epoch, outcome=outcome, **fields
        )

    async def _send(self, host, call):
        """Return what became of a call to the host service, as text."""
        owner = self._owner
        holder = host_orders.Holder(self._parts.settings.daemon, owner.epoch)
        self._is_ordering = True
        try:
            await call(holder)
        except errors.OutcomeUnknown as error:
            self._inventory.note_unsure(host, owner.now_s())
            self._inventory.list_soon()
            return f'unknown: {error}'
        except errors.PlatformError as error:
            self._inventory.retry_s[host] = owner.now_s() + ORDER_RETRY_S
            self._inventory.unreserve(host)
            return f'refused: {error}'
        finally:
            self._is_ordering = False
            # Even an order that was not answered is over by now.
            self._end_intent(host)
        return 'done'

    def _end_intent(self, host):
        self._intents.end(host, self._parts.clock.boot_s())

    async def finish(self):
        """Wait for an order that is under way."""
        while self._is_ordering:
            await asyncio.sleep(FINISH_CHECK_S)
