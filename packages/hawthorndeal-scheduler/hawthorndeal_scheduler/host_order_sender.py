"""Orders to hosts; the intent of each is stored before it is sent."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import order_pace
from hawthorndeal_platform import host_orders

ORDER_RETRY_S = 0.5
# Orders are deferred if their intents are not stored within this time.
INTENT_STORE_TIMEOUT_S = 2.5
ORDER_CHECK_PERIOD_S = 0.01
# Fewer than the connections to one address, so that none waits for one after
# its permission was checked.
MAX_ORDERS_IN_FLIGHT = 6


class HostOrderSender:
    """Stores the intents of orders, sends them, and records the outcomes.

    :param parts: shared components of the daemon
    :param owner: its ownership term permits the orders
    :param inventory: a :class:`host_inventory.HostInventory`
    :param intents: determines which hosts may be given orders
    """

    def __init__(self, parts, owner, inventory, intents):
        self._parts = parts
        self._owner = owner
        self._inventory = inventory
        self._intents = intents
        self._stored = asyncio.Event()
        self._pending_orders = 0
        self._places = asyncio.Semaphore(MAX_ORDERS_IN_FLIGHT)
        self._pace = order_pace.OrderPace(parts.settings.host_orders_per_s)

    def reserve_outstanding(self):
        """Reserve hosts that a previous owner's order may still reach."""
        outstanding = self._intents.outstanding(self._parts.clock.boot_s())
        for host, left_s in outstanding.items():
            self._inventory.note_unconfirmed_order(
                host, self._owner.now_s() + left_s
            )
            self._inventory.reserve(host)
            self._inventory.note_ordered_away(host)

    def is_waiting_for_lease(self, host):
        """Return whether a previous owner's order is too recent."""
        return self._intents.wait_s(host, self._parts.clock.boot_s()) > 0

    # Records

    def take_records(self):
        """Return the record of the intents if they have changed."""
        intents = self._intents.pop_changed(self._parts.clock.boot_s())
        if intents is None:
            return []
        return [journal.host_intents_record(intents)]

    def note_stored(self):
        """Record that the records returned last have been stored."""
        self._intents.note_stored()
        self._stored.set()

    # Orders

    async def store_intents(self, hosts):
        """Store the intents to give orders to hosts, and wait until stored.

        No new runs start on the hosts from here on.
        """
        if not hosts or not self._owner.may_order_hosts():
            return
        self._intents.begin(hosts, self._parts.clock.boot_s())
        for host in hosts:
            self._inventory.reserve(host)
        self._owner.wake()
        try:
            async with asyncio.timeout(INTENT_STORE_TIMEOUT_S):
                # An append already in progress doesn't contain the intents.
                while not all(map(self._intents.may_order, hosts)):
                    self._stored.clear()
                    await self._stored.wait()
        except asyncio.TimeoutError:
            self._owner.events.write('host_orders_put_off', hosts=len(hosts))

    async def run_paced(self, send, targets):
        """Send orders, several at once, as fast as the service accepts them.

        :param send: sends the order for one target
        """
        await asyncio.gather(
            *(self._send_in_turn(send, target) for target in targets)
        )

    async def _send_in_turn(self, send, target):
        async with self._places:
            await asyncio.sleep(self._pace.reserve(self._owner.now_s()))
            await send(target)

    async def send_order(
        self, host, event, departure, call, fields, on_success
    ):
        """Send one order whose intent is stored, if the term permits it.

        :param event: name of the event to log
        :param departure: how the order ends the executor of the host
        :param call: sends the order, given the holder
        :param fields: reasons for the order, as fields of the event
        :param on_success: called once the order has been acknowledged
        """
        owner = self._owner
        executor = self._inventory.executor_on(host)
        is_busy = executor is not None and executor.runs
        may_order = owner.may_order_hosts() and self._intents.may_order(host)
        if is_busy or not may_order:
            self.withdraw(host)
            return
        self._inventory.note_ordered_away(host)
        outcome = await self._call_host_service(host, call)
        if outcome == 'done':
            on_success()
            if executor is not None:
                owner.tracker.remove(executor, departure)
            self._inventory.list_soon()
        self._parts.metrics.note_host_order(event)
        owner.events.write(
            event, host=host, epoch=owner.epoch, outcome=outcome, **fields
        )

    def withdraw(self, host):
        """Give no order to a host, and let new runs start on it again."""
        self._end_intent(host)
        self._inventory.unreserve(host)

    async def _call_host_service(self, host, call):
        """Call the host service, and return the outcome as text."""
        owner = self._owner
        holder = host_orders.Holder(self._parts.settings.daemon, owner.epoch)
        self._pending_orders += 1
        try:
            await call(holder)
        except errors.OutcomeUnknown as error:
            self._inventory.note_unconfirmed_order(host, owner.now_s())
            self._inventory.list_soon()
            return f'unknown: {error}'
        except errors.PlatformError as error:
            self._inventory.retry_at_s[host] = owner.now_s() + ORDER_RETRY_S
            self._inventory.unreserve(host)
            return f'refused: {error}'
        finally:
            self._pending_orders -= 1
            # Even an order that was not answered has ended by now.
            self._end_intent(host)
        return 'done'

    def _end_intent(self, host):
        self._intents.end(host, self._parts.clock.boot_s())

    async def wait_for_order(self):
        """Wait for the orders in progress."""
        while self._pending_orders:
            await asyncio.sleep(ORDER_CHECK_PERIOD_S)
