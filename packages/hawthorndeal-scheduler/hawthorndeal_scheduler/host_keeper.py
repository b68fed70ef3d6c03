"""Move hosts between pools and have them maintained, for an owner."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import capacity

from . import host_inventory
from . import host_ordering
from . import wave_keeper

TURN_S = 0.1
# How often the load of each pool is logged.
LOADS_PERIOD_S = 1.0
# From the end of a move until tasks start on the host.
MOVE_MARGIN_S = 0.5


class HostKeeper:
    """Be a task that gives orders to hosts.

    :param parts: what an owner works with
    :param owner: whose tenure allows the orders
    :param intents: tells which hosts may be ordered about
    """

    def __init__(self, parts, owner, intents):
        self._parts = parts
        self._owner = owner
        self._inventory = host_inventory.HostInventory(parts, owner)
        self._ordering = host_ordering.HostOrdering(
            parts, owner, self._inventory, intents
        )
        self._waves = wave_keeper.WaveKeeper(
            parts, owner, self._inventory, self._ordering
        )
        self._loads_due_s = 0.0

    async def run(self):
        """Look after hosts until the tenure is over."""
        if not self._parts.settings.hosts_address:
            return
        self._ordering.reserve_outstanding()
        while not self._owner.tenure.is_lost:
            try:
                await self._turn()
            except errors.PlatformError as error:
                self._owner.events.write(
                    'host_service_failed', why=str(error)[:160]
                )
                await asyncio.sleep(host_inventory.LIST_SOON_S)
            await asyncio.sleep(TURN_S)

    async def finish(self):
        """Wait for an order that is under way."""
        await self._ordering.finish()

    def take_records(self):
        """Return the records of what has changed."""
        return [*self._waves.take_records(), *self._ordering.take_records()]

    def note_stored(self):
        """Note that the records taken last are in the store."""
        self._ordering.note_stored()

    async def _turn(self):
        await self._inventory.refresh()
        if not self._inventory.is_known:
            return
        for wave in list(self._parts.configuration_reader.waves.values()):
            await self._waves.keep(wave)
        moves = self._plan_moves()
        await self._ordering.announce([move.host for move in moves])
        for move in moves:
            await self._move(move)

    def _plan_moves(self):
        now_s = self._owner.now_s()
        configuration = self._parts.configuration_reader.configuration
        loads = [
            self._load(pool, now_s) for pool in configuration.pools.values()
        ]
        idle = [
            capacity.IdleHost(host, entry.pool, idle_s)
            for host, entry in self._inventory.entries.items()
            if entry.pool in configuration.pools
            for idle_s in self._idle_s(host, entry, now_s)
        ]
        self._log_loads(loads, now_s)
        return capacity.plan_moves(loads, idle)

    def _log_loads(self, loads, now_s):
        if now_s < self._loads_due_s:
            return
        self._loads_due_s = now_s + LOADS_PERIOD_S
        entries = self._inventory.entries.values()
        for load in loads:
            hosts = sum(entry.pool == load.pool for entry in entries)
            self._owner.events.write(
                'pool_load', hosts=hosts, **_load_fields(load)
            )

    def _load(self, pool, now_s):
        arriving = self._inventory.arriving(pool.name, now_s)
        ahead_s = self._parts.settings.host_move_s + MOVE_MARGIN_S
        load = self._owner.scheduler.load_of(pool, arriving, ahead_s, now_s)
        emptying = len(self._inventory.emptying)
        blocked = min(self._waves.blocked[pool.name], emptying)
        return attrs.evolve(load, starved_hosts=load.starved_hosts + blocked)

    def _idle_s(self, host, entry, now_s):
        """Return how long a host was idle; nothing where it must stay."""
        if host in self._inventory.emptying or not self._inventory.is_steady(
            host
        ):
            return []
        if self._ordering.must_wait(host):
            return []
        pools = self._parts.configuration_reader.configuration.pools
        if pools[entry.pool].is_standby:
            return [capacity.MIN_IDLE_S]
        executor = self._inventory.executor_on(host)
        if executor is None or executor.runs or executor.is_reserved:
            return []
        return [now_s - executor.idle_since_s]

    async def _move(self, move):
        await self._ordering.give(
            move.host,
            'host_moved',
            lambda holder: self._parts.hosts.move(
                move.host, move.to_pool, holder
            ),
            {
                'from_pool': move.from_pool,
                'to_pool': move.to_pool,
                **_load_fields(move.load),
            },
            lambda: self._inventory.note_moving(move.host, move.to_pool),
        )


def _load_fields(load):
    return {
        'pool': load.pool,
        'usable_hosts': load.hosts,
        'arriving_hosts': load.arriving,
        'lasting_hosts': round(load.lasting_hosts, 2),
        'rate_hosts': round(load.rate_hosts, 2),
        'growth_hosts': round(load.growth_hosts, 2),
        'backlog_host_s': round(load.backlog_host_s, 2),
        'starved_hosts': load.starved_hosts,
    }
