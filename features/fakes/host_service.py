"""In-memory fake of the platform's host service."""

from hawthorndeal_platform import host_orders

MOVE_DURATION_S = 1.5
MAINTENANCE_DURATION_S = 2.0


class HostService:
    """Moves and maintains fake hosts, and checks each order.

    :param world: simulation that holds the executors and checks invariants
    """

    def __init__(self, world):
        self._world = world
        self.entries = {}
        self.orders = []
        self.maintained = set()
        # Hosts and waves of the maintenance that has begun.
        self._begun = set()

    def list(self):
        """Return every host."""
        return tuple(self.entries.values())

    def order(self, host, pool, wave, holder, duration_s):
        """Start a move or maintenance, which takes the host out of service.

        :param wave: wave of the maintenance, or None for a move
        :param holder: daemon that sent the order
        """
        entry = self.entries[host]
        if self._is_done(entry, pool, wave):
            return
        if entry.state is not host_orders.HostState.UP:
            raise host_orders.HostBusy(host)
        self.orders.append((self._world.now_s(), host, holder))
        self._world.check_host_order(entry, wave, holder)
        state = host_orders.HostState.MOVING
        if wave is not None:
            self.maintained.add(host)
            self._begun.add((host, wave))
            state = host_orders.HostState.IN_MAINTENANCE
        self._world.take_host_down(
            entry, pool or entry.pool, state, duration_s
        )

    def _is_done(self, entry, pool, wave):
        """Return whether an order has been carried out already."""
        if wave is not None:
            return (entry.host, wave) in self._begun
        return entry.pool == pool


class HostsClient:
    """Client of the host service for one daemon."""

    def __init__(self, service, link):
        self._service = service
        self._link = link

    async def list(self):
        """Return every host."""
        return await self._link.call(self._service.list)

    async def move(self, host, pool, holder):
        """Move a host into a pool."""
        await self._link.call(
            lambda: self._service.order(
                host, pool, None, holder, MOVE_DURATION_S
            )
        )

    async def begin_maintenance(self, host, wave, holder):
        """Start maintenance of a host."""
        await self._link.call(
            lambda: self._service.order(
                host, '', wave, holder, MAINTENANCE_DURATION_S
            )
        )
