"""Host management: moves hosts between pools and runs maintenance waves."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import departures
from hawthorndeal_jobs import late_work

from . import consolidator
from . import host_inventory
from . import host_order_sender
from . import wave_controller

CYCLE_PERIOD_S = 0.1
# Interval at which the load of each pool is logged.
LOAD_LOG_PERIOD_S = 1.0
# Time from the end of a move until tasks start on the host.
MOVE_MARGIN_S = 0.5
# A plan whose intents took longer to be stored is made again.
MAX_PLAN_AGE_S = 0.3


class HostController:
    """Task that plans orders to hosts and sends them.

    :param parts: shared components of the daemon
    :param owner: its ownership term permits the orders
    :param intents: determines which hosts may be given orders
    """

    def __init__(self, parts, owner, intents):
        self._parts = parts
        self._owner = owner
        self._inventory = host_inventory.HostInventory(parts, owner)
        self._order_sender = host_order_sender.HostOrderSender(
            parts, owner, self._inventory, intents
        )
        self._waves = wave_controller.WaveController(
            parts, owner, self._inventory, self._order_sender
        )
        self._consolidator = consolidator.Consolidator(owner)
        self._late_work = late_work.LateWorkHolds()
        self._load_log_due_s = 0.0
        # Moves that are being ordered, by host.
        self._orders = {}

    async def run(self):
        """Manage hosts until the ownership term ends."""
        if not self._parts.settings.hosts_address:
            return
        self._order_sender.reserve_outstanding()
        while not self._owner.term.is_lost:
            try:
                await self._run_cycle()
            except errors.PlatformError as error:
                self._owner.events.write(
                    'host_service_failed', why=str(error)[:160]
                )
                await asyncio.sleep(host_inventory.EARLY_LIST_DELAY_S)
            await asyncio.sleep(CYCLE_PERIOD_S)

    def inherit_waves(self, wave_records):
        """Add what previous owners have stored of waves."""
        self._waves.inherit(wave_records)

    async def wait_for_order(self):
        """Wait for an order in progress."""
        await self._order_sender.wait_for_order()

    def take_records(self):
        """Return the records of waves and intents that have changed."""
        return [
            *self._waves.take_records(),
            *self._order_sender.take_records(),
        ]

    def note_stored(self):
        """Record that the records returned last have been stored."""
        self._order_sender.note_stored()

    async def _run_cycle(self):
        await self._inventory.refresh()
        if not self._inventory.has_listing:
            return
        waves = list(self._parts.configuration_reader.waves.values())
        self._waves.begin_cycle(waves)
        for wave in waves:
            await self._advance(wave)
        moves = self._plan_moves()
        hosts = {move.host for move in moves}
        planned_s = self._owner.now_s()
        await self._order_sender.store_intents(hosts)
        if self._owner.now_s() - planned_s > MAX_PLAN_AGE_S:
            moves = self._plan_again(hosts)
        self._begin_moves(moves)

    async def _advance(self, wave):
        """Advance a wave; one that fails keeps no others waiting."""
        try:
            await self._waves.advance(wave)
        except errors.PlatformError:
            raise
        except Exception as error:
            self._owner.events.write(
                'wave_failed', wave=wave.number, why=repr(error)[:160]
            )

    def _begin_moves(self, moves):
        # An order without an answer doesn't keep waves and other pools
        # waiting.
        for move in moves:
            self._orders[move.host] = move
        self._owner.tasks.spawn(
            self._order_sender.run_paced(self._move, moves)
        )

    def _plan_again(self, hosts):
        """Return the moves of hosts whose intents took long to be stored.

        The loads may have changed meanwhile. Hosts that need not move any
        more are released.
        """
        moves = [m for m in self._plan_moves(hosts) if m.host in hosts]
        for host in hosts - {move.host for move in moves}:
            self._order_sender.withdraw(host)
        return moves

    def _plan_moves(self, held_hosts=frozenset()):
        """Return the moves to make now.

        :param held_hosts: hosts that are reserved for a move
        """
        now_s = self._owner.now_s()
        configuration = self._parts.configuration_reader.configuration
        self._owner.scheduler.fleet.note_hosts(
            self._inventory.entries.values()
        )
        loads = [
            self._load(pool, now_s) for pool in configuration.pools.values()
        ]
        idle = [
            capacity.IdleHost(host, entry.pool, idle_s)
            for host, entry in self._inventory.entries.items()
            if entry.pool in configuration.pools
            for idle_s in self._movable_idle_s(
                host, entry, now_s, host in held_hosts
            )
        ]
        self._log_loads(loads, now_s)
        self._owner.publish_loads(loads, self._count_standby(configuration))
        self._consolidator.update(loads)
        moves = capacity.plan_moves(loads, idle)
        self._hold_late_work(loads, moves, now_s)
        return moves

    def _count_standby(self, configuration):
        """Return the number of hosts on standby that may be moved."""
        return sum(
            configuration.pools[entry.pool].is_standby
            for host, entry in self._inventory.entries.items()
            if entry.pool in configuration.pools
            if host not in self._orders and self._inventory.is_stable(host)
        )

    def _hold_late_work(self, loads, moves, now_s):
        before = self._late_work.pools
        self._late_work.update(loads, moves, now_s)
        pools = self._late_work.pools
        if self._owner.scheduler.hold_late_work(pools):
            self._owner.wake()
        if pools != before:
            self._owner.events.write('late_work_held', pools=sorted(pools))

    def _log_loads(self, loads, now_s):
        if now_s < self._load_log_due_s:
            return
        self._load_log_due_s = now_s + LOAD_LOG_PERIOD_S
        entries = self._inventory.entries.values()
        for load in loads:
            hosts = sum(entry.pool == load.pool for entry in entries)
            self._owner.events.write(
                'pool_load',
                hosts=hosts,
                is_standby=load.is_standby,
                **_load_fields(load),
            )

    def _load(self, pool, now_s):
        arriving = self._inventory.arriving(pool.name, now_s) + sum(
            move.to_pool == pool.name for move in self._orders.values()
        )
        horizon_s = self._parts.settings.host_move_s + MOVE_MARGIN_S
        load = self._owner.scheduler.load_of(pool, arriving, horizon_s, now_s)
        blocked = self._waves.hosts_for_blocked(pool.name)
        return attrs.evolve(load, starved_hosts=load.starved_hosts + blocked)

    def _movable_idle_s(self, host, entry, now_s, is_held):
        """Return the idle time of a host in a list; empty if it must stay."""
        if host in self._orders or host in self._inventory.draining:
            return []
        if not self._inventory.is_stable(host):
            return []
        if self._order_sender.is_waiting_for_lease(host):
            return []
        pools = self._parts.configuration_reader.configuration.pools
        if pools[entry.pool].is_standby:
            return [capacity.MIN_IDLE_S]
        executor = self._inventory.executor_on(host)
        if executor is None or executor.runs:
            return []
        if executor.is_reserved and not is_held:
            return []
        return [now_s - executor.idle_since_s]

    async def _move(self, move):
        def on_success():
            del self._orders[move.host]
            self._inventory.note_moving(move.host, move.to_pool)

        try:
            await self._order_sender.send_order(
                move.host,
                'host_moved',
                departures.Departure.MOVED,
                lambda holder: self._parts.hosts.move(
                    move.host, move.to_pool, holder
                ),
                {
                    'from_pool': move.from_pool,
                    'to_pool': move.to_pool,
                    **_load_fields(move.load),
                },
                on_success,
            )
        finally:
            self._orders.pop(move.host, None)


def _load_fields(load):
    return {
        'pool': load.pool,
        'usable_hosts': load.hosts,
        'arriving_hosts': load.arriving,
        'lasting_hosts': round(load.lasting_hosts, 2),
        'rate_hosts': round(load.rate_hosts, 2),
        'growth_hosts': round(load.growth_hosts, 2),
        'backlog_host_s': round(load.backlog_host_s, 2),
        'waiting_host_s': round(load.waiting_host_s, 2),
        'late_backlog_host_s': round(load.late_backlog_host_s, 2),
        'starved_hosts': load.starved_hosts,
        'late_starved_hosts': load.late_starved_hosts,
    }
