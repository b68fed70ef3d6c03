"""The service that runs the hosts, in memory."""

from hawthorndeal_platform import host_orders

MOVE_S = 1.5
MAINTENANCE_S = 2.0


class HostService:
    """Move and maintain fake hosts, and judge the orders.

    :param world: holds the executors of the hosts
    """

    def __init__(self, world):
        self._world = world
        self.entries = {}
        self.orders = []
        self.maintained = set()

    def list(self):
        """Return every host."""
        return tuple(self.entries.values())

    def order(self, host, pool, wave, holder, lasts_s):
        """Take a host away for a while."""
        entry = self.entries[host]
        if entry.state is not host_orders.HostState.UP:
            raise host_orders.HostBusy(host)
        self.orders.append((self._world.now_s(), host, holder))
        self._world.judge_host_order(entry, wave, holder)
        state = host_orders.HostState.MOVING
        if wave is not None:
            self.maintained.add(host)
            state = host_orders.HostState.IN_MAINTENANCE
        self._world.take_host(entry, pool or entry.pool, state, lasts_s)


class HostsClient:
    """Be one daemon's way to the service."""

    def __init__(self, service, link):
        self._service = service
        self._link = link

    async def list(self):
        """Return every host."""
        return await self._link.call(self._service.list)

    async def move(self, host, pool, holder):
        """Put a host into a pool."""
        await self._link.call(
            lambda: self._service.order(host, pool, None, holder, MOVE_S)
        )

    async def begin_maintenance(self, host, wave, holder):
        """Begin a host's maintenance."""
        await self._link.call(
            lambda: self._service.order(host, '', wave, holder, MAINTENANCE_S)
        )
