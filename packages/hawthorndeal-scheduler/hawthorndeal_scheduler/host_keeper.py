"""Move hosts between pools and have them maintained, for an owner."""

import asyncio
import collections

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import wave_planning
from hawthorndeal_platform import host_orders

TURN_S = 0.1
LIST_PERIOD_S = 1.0
# How often the load of each pool is logged.
LOADS_PERIOD_S = 1.0
# After an order a list is asked for sooner, since its outcome matters.
LIST_SOON_S = 0.3
# A host that doesn't arrive in its new pool by then is counted out.
ARRIVAL_LIMIT_S = 4.0
# A list says that a life has ended only of executors silent this long.
SILENT_S = 1.0
ORDER_RETRY_S = 0.5
# Orders are put off when the store doesn't take them by then.
ANNOUNCE_LIMIT_S = 2.5
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
        self._intents = intents
        self._stored = asyncio.Event()
        self._hosts = {}
        self._listed_s = None
        self._list_due_s = 0.0
        self._loads_due_s = 0.0
        self._moving = {}
        self._retry_s = {}
        self._emptying = set()
        self._unlisted = set()
        # Lasting tasks, by pool, that could go on nowhere else.
        self._blocked = collections.Counter()
        # Hosts whose last order was not answered, and since when.
        self._unsure = {}
        self._changed_waves = set()
        self._is_ordering = False
        self._wave_records = parts.jobs_reader.replica.wave_records

    async def run(self):
        """Look after hosts until the tenure is over."""
        if not self._parts.settings.hosts_address:
            return
        self._reserve_expected()
        while not self._owner.tenure.is_lost:
            try:
                await self._turn()
            except errors.PlatformError as error:
                self._owner.events.write(
                    'host_service_failed', why=str(error)[:160]
                )
                await asyncio.sleep(LIST_SOON_S)
            await asyncio.sleep(TURN_S)

    def _reserve_expected(self):
        """Have nothing start where an earlier owner's order may arrive."""
        expected = self._intents.expected(self._parts.clock.boot_s())
        for host, left_s in expected.items():
            self._unsure[host] = self._owner.now_s() + left_s
            executor = self._executor_on(host)
            if executor is not None:
                executor.is_reserved = True

    async def finish(self):
        """Wait for an order that is under way."""
        while self._is_ordering:
            await asyncio.sleep(TURN_S / 10)

    async def _turn(self):
        now_s = self._owner.now_s()
        if now_s >= self._list_due_s:
            await self._list(now_s)
        if self._listed_s is None:
            return
        for wave in list(self._parts.configuration_reader.waves.values()):
            await self._keep_wave(wave)
        moves = self._plan_moves()
        await self._announce([move.host for move in moves])
        for move in moves:
            await self._move(move)

    # What is known of hosts

    async def _list(self, sent_s):
        entries = await self._parts.hosts.list()
        self._listed_s = sent_s
        self._list_due_s = sent_s + LIST_PERIOD_S
        self._hosts = {entry.host: entry for entry in entries}
        for entry in entries:
            self._note_entry(entry)
            self._settle(entry, sent_s)
        self._end_past_lives(entries, sent_s)

    def _note_entry(self, entry):
        arrival = self._moving.get(entry.host)
        is_there = entry.state is host_orders.HostState.UP
        if arrival and is_there and entry.pool == arrival[0]:
            del self._moving[entry.host]

    def _settle(self, entry, sent_s):
        """Let a host work on whose unanswered order came to nothing."""
        if self._unsure.get(entry.host, sent_s) >= sent_s:
            return
        del self._unsure[entry.host]
        executor = self._executor_on(entry.host)
        if executor is not None:
            executor.is_reserved = entry.host in self._emptying

    def _end_past_lives(self, entries, sent_s):
        """End the executors that no host has had for two lists."""
        listed = {
            entry.executor_id
            for entry in entries
            if entry.state is not host_orders.HostState.DOWN
        }
        known = self._owner.scheduler.executors
        unlisted = {
            executor_id
            for executor_id, executor in known.items()
            if executor_id not in listed
            and sent_s - executor.reached_s > SILENT_S
        }
        for executor_id in sorted(unlisted & self._unlisted):
            self._owner.end_executor(known[executor_id], 'no host has it')
        self._unlisted = unlisted

    def _executor_on(self, host):
        """Return the executor that lives on a host, or None.

        What executors tell of themselves is newer than the last list.
        """
        known = self._owner.scheduler.executors
        for executor in known.values():
            if executor.entry.host == host:
                return executor
        entry = self._hosts.get(host)
        return known.get(entry.executor_id) if entry is not None else None

    def _is_listed_rightly(self, host, entry):
        """Tell whether the last list agrees with what lives on a host."""
        executor = self._executor_on(host)
        if executor is None:
            return True
        return executor.executor_id == entry.executor_id

    # Capacity

    def _plan_moves(self):
        now_s = self._owner.now_s()
        configuration = self._parts.configuration_reader.configuration
        loads = [
            self._load(pool, now_s) for pool in configuration.pools.values()
        ]
        idle = [
            capacity.IdleHost(host, entry.pool, idle_s)
            for host, entry in self._hosts.items()
            if entry.pool in configuration.pools
            for idle_s in self._idle_s(host, entry, now_s)
        ]
        self._log_loads(loads, now_s)
        return capacity.plan_moves(loads, idle)

    def _log_loads(self, loads, now_s):
        if now_s < self._loads_due_s:
            return
        self._loads_due_s = now_s + LOADS_PERIOD_S
        for load in loads:
            hosts = sum(e.pool == load.pool for e in self._hosts.values())
            self._owner.events.write(
                'pool_load', hosts=hosts, **_load_fields(load)
            )

    def _load(self, pool, now_s):
        scheduler = self._owner.scheduler
        arriving = sum(
            target == pool.name and now_s < limit_s
            for target, limit_s in self._moving.values()
        )
        ahead_s = self._parts.settings.host_move_s + MOVE_MARGIN_S
        load = scheduler.load_of(pool, arriving, ahead_s, now_s)
        blocked = min(self._blocked[pool.name], len(self._emptying))
        return attrs.evolve(load, starved_hosts=load.starved_hosts + blocked)

    def _idle_s(self, host, entry, now_s):
        if host in self._moving or host in self._emptying:
            return []
        if self._must_wait(host):
            return []
        if entry.state is not host_orders.HostState.UP:
            return []
        if not self._is_listed_rightly(host, entry):
            return []
        if now_s < self._retry_s.get(host, 0.0):
            return []
        pools = self._parts.configuration_reader.configuration.pools
        if pools[entry.pool].is_standby:
            return [capacity.MIN_IDLE_S]
        executor = self._executor_on(host)
        if executor is None or executor.runs or executor.entry.is_leaving:
            return []
        if executor.is_reserved:
            return []
        return [now_s - executor.idle_since_s]

    async def _move(self, move):
        arrival_s = self._owner.now_s() + ARRIVAL_LIMIT_S
        await self._order(
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
            lambda: self._note_moving(move, arrival_s),
        )

    def _note_moving(self, move, arrival_s):
        self._moving[move.host] = (move.to_pool, arrival_s)
        entry = self._hosts[move.host]
        self._hosts[move.host] = attrs.evolve(
            entry,
            pool=move.to_pool,
            state=host_orders.HostState.MOVING,
        )

    # Orders

    def _must_wait(self, host):
        """Tell whether an earlier owner's order is too recent."""
        return self._intents.wait_s(host, self._parts.clock.boot_s()) > 0

    async def _announce(self, hosts):
        """Store that hosts are about to be ordered, before they are.

        Their executors get no new tasks from now on.
        """
        if not hosts or not self._owner.may_order_hosts():
            return
        self._intents.begin(hosts, self._parts.clock.boot_s())
        for host in hosts:
            executor = self._executor_on(host)
            if executor is not None:
                executor.is_reserved = True
        self._owner.wake()
        try:
            async with asyncio.timeout(ANNOUNCE_LIMIT_S):
                # An append that was under way doesn't hold them yet.
                while not all(map(self._intents.may_order, hosts)):
                    self._stored.clear()
                    await self._stored.wait()
        except asyncio.TimeoutError:
            self._owner.events.write('host_orders_put_off', hosts=len(hosts))

    def _end_intent(self, host):
        self._intents.end(host, self._parts.clock.boot_s())

    def _unreserve(self, host):
        executor = self._executor_on(host)
        if executor is not None:
            executor.is_reserved = host in self._emptying

    async def _order(self, host, event, call, fields, note_done):
        """Give one order that was announced, if the tenure allows it."""
        owner = self._owner
        executor = self._executor_on(host)
        is_busy = executor is not None and executor.runs
        may_order = owner.may_order_hosts() and self._intents.may_order(host)
        if is_busy or not may_order:
            self._end_intent(host)
            self._unreserve(host)
            return
        outcome = await self._call(host, call)
        if outcome == 'done':
            note_done()
            if executor is not None:
                owner.end_executor(executor, event)
            self._list_due_s = owner.now_s() + LIST_SOON_S
        self._parts.metrics.note_host_order(event)
        owner.events.write(
            event, host=host, epoch=owner.epoch, outcome=outcome, **fields
        )

    async def _call(self, host, call):
        """Return what became of a call to the host service, as text."""
        owner = self._owner
        holder = host_orders.Holder(self._parts.settings.daemon, owner.epoch)
        self._is_ordering = True
        try:
            await call(holder)
        except errors.OutcomeUnknown as error:
            self._unsure[host] = owner.now_s()
            self._list_due_s = owner.now_s() + LIST_SOON_S
            return f'unknown: {error}'
        except errors.PlatformError as error:
            self._retry_s[host] = owner.now_s() + ORDER_RETRY_S
            self._unreserve(host)
            return f'refused: {error}'
        finally:
            self._is_ordering = False
            # Even an order that was not answered is over by now.
            self._end_intent(host)
        return 'done'

    # Waves

    def take_records(self):
        """Return the records of what has changed."""
        changed, self._changed_waves = self._changed_waves, set()
        records = [
            journal.wave_record(number, self._wave_records[number])
            for number in sorted(changed)
        ]
        intents = self._intents.take_changed(self._parts.clock.boot_s())
        if intents is not None:
            records.append(journal.host_intents_record(intents))
        return records

    def note_stored(self):
        """Note that the records taken last are in the store."""
        self._intents.note_stored()
        self._stored.set()

    async def _keep_wave(self, wave):
        progress = self._wave_records.get(wave.number)
        if progress is None:
            progress = journal.WaveRecord([], self._parts.clock.now_s())
            self._wave_records[wave.number] = progress
            self._changed_waves.add(wave.number)
            await self._tell(wave.number, False)
        if progress.is_completed:
            return
        gone = set(wave.hosts) - set(self._hosts)
        if wave_planning.is_completed(wave, progress.begun, gone):
            await self._complete(wave)
            return
        plan = wave_planning.plan_wave(
            self._wave_progress(wave, progress),
            [
                self._due_host(host)
                for host in wave.hosts
                if host not in progress.begun and host in self._hosts
            ],
        )
        for host in plan.empty:
            self._begin_emptying(host, wave.number)
        await self._announce(plan.begin)
        for host in plan.begin:
            await self._maintain(host, wave)
        self._empty_hosts()

    def _wave_progress(self, wave, progress):
        down = sum(
            self._hosts[host].state is host_orders.HostState.IN_MAINTENANCE
            # An earlier owner may just have taken it down.
            or (host not in progress.begun and self._must_wait(host))
            for host in wave.hosts
            if host in self._hosts
        )
        elapsed_s = self._parts.clock.now_s() - progress.seen_s
        return wave_planning.WaveProgress(
            len(wave.hosts), len(progress.begun), down, wave.max_count,
            wave.duration_s, max(0.0, elapsed_s),
        )  # fmt: skip

    def _due_host(self, host):
        entry = self._hosts[host]
        executor = self._executor_on(host)
        is_up = entry.state is host_orders.HostState.UP
        is_up = is_up and host not in self._moving
        is_up = is_up and self._is_listed_rightly(host, entry)
        is_up = is_up and not self._must_wait(host)
        if self._owner.now_s() < self._retry_s.get(host, 0.0):
            is_up = False
        if executor is not None and executor.entry.is_leaving:
            is_up = False
        runs = len(executor.runs) if executor is not None else 0
        return wave_planning.DueHost(host, runs, host in self._emptying, is_up)

    def _begin_emptying(self, host, number):
        self._emptying.add(host)
        executor = self._executor_on(host)
        if executor is not None:
            executor.is_reserved = True
        self._owner.events.write('host_emptying', host=host, wave=number)

    def _empty_hosts(self):
        """Have lasting tasks leave hosts that are to go down."""
        self._blocked.clear()
        for host in sorted(self._emptying):
            executor = self._executor_on(host)
            if executor is None:
                continue
            executor.is_reserved = True
            for run in list(executor.runs.values()):
                if run.step.is_lasting and not run.is_stop_wanted:
                    self._try_displace(run)

    def _try_displace(self, run):
        scheduler = self._owner.scheduler
        if not scheduler.has_other_place(run, self._owner.now_s()):
            self._blocked[scheduler.steps.pool_of(run.occurrence.job)] += 1
            return
        tasks = run.occurrence.tasks[run.task_id.step]
        at_work = sum(
            other.percent >= 100
            and not other.is_stop_wanted
            and other.task_id.step == run.task_id.step
            and other.occurrence is run.occurrence
            and other is not run
            for executor in scheduler.executors.values()
            for other in executor.runs.values()
        )
        if wave_planning.may_end_lasting(
            at_work, len(tasks) - 1, run.step.max_unavailable
        ):
            run.is_stop_wanted = True
            self._owner.events.write(
                'run_displaced',
                task=str(run.task_id),
                executor=run.executor_id,
                others_at_work=at_work,
                max_unavailable=run.step.max_unavailable,
            )

    async def _maintain(self, host, wave):
        entry = self._hosts[host]

        def note_done():
            progress = self._wave_records[wave.number]
            progress = attrs.evolve(progress, begun=[*progress.begun, host])
            self._wave_records[wave.number] = progress
            self._changed_waves.add(wave.number)
            self._emptying.discard(host)
            self._hosts[host] = attrs.evolve(
                entry, state=host_orders.HostState.IN_MAINTENANCE
            )

        await self._order(
            host,
            'host_maintenance_begun',
            lambda holder: self._parts.hosts.maintain(
                host, wave.number, holder
            ),
            {'wave': wave.number},
            note_done,
        )

    async def _complete(self, wave):
        await self._tell(wave.number, True)
        progress = attrs.evolve(
            self._wave_records[wave.number], is_completed=True
        )
        self._wave_records[wave.number] = progress
        self._changed_waves.add(wave.number)
        self._owner.events.write('wave_completed', wave=wave.number)

    async def _tell(self, number, is_completed):
        await self._parts.wave_reports.tell(number, is_completed)


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
