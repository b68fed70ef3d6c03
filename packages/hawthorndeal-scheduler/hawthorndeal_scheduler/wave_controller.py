"""Maintenance waves: drains their hosts and begins maintenance."""

import collections
import itertools

import attrs

from hawthorndeal_jobs import departures
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import wave_planning
from hawthorndeal_platform import host_orders

from . import displacer as displacer_module
from . import wave_reporter


class WaveController:
    """Advances maintenance waves host by host.

    :param parts: shared components of the daemon
    :param owner: its scheduler knows the runs on each host
    :param inventory: a :class:`host_inventory.HostInventory`
    :param order_sender: a :class:`host_order_sender.HostOrderSender`
    """

    def __init__(self, parts, owner, inventory, order_sender):
        self._parts = parts
        self._owner = owner
        self._inventory = inventory
        self._order_sender = order_sender
        self._displacer = displacer_module.Displacer(owner)
        self._reporter = wave_reporter.WaveReporter(
            parts.wave_reports, owner.tasks.spawn, parts.events
        )
        self._blocked = collections.defaultdict(list)
        self._draining_since_s = {}
        self._changed_waves = set()
        # Newer than what the board has read back from the store.
        self._wave_records = dict(parts.board.wave_records)

    def inherit(self, wave_records):
        """Add the progress of waves that previous owners have stored."""
        for number, progress in wave_records.items():
            known = self._wave_records.get(number, progress)
            self._wave_records[number] = wave_planning.merge(known, progress)

    def take_records(self):
        """Return the records of waves that changed since the last call."""
        changed, self._changed_waves = self._changed_waves, set()
        return [
            journal.wave_record(number, self._wave_records[number])
            for number in sorted(changed)
        ]

    def begin_cycle(self, waves):
        """Forget what the waves lacked, and what they need no more.

        :param waves: the newest records of all waves
        """
        self._blocked.clear()
        due = set(itertools.chain.from_iterable(map(self._due_hosts, waves)))
        for host in sorted(self._inventory.draining - due):
            if self._inventory.may_be_ordered(host):
                # A list will show whether its maintenance has begun.
                continue
            self._draining_since_s.pop(host, None)
            self._inventory.end_draining(host)
            self._owner.events.write('host_not_emptied', host=host)
        due_executors = set(map(self._inventory.executor_on, due))
        for executor in self._owner.scheduler.executors.values():
            executor.set_due(executor in due_executors)

    def _due_hosts(self, wave):
        """Return the hosts of a wave whose maintenance has not begun."""
        progress = self._wave_records.get(wave.number)
        if progress is None:
            return wave.hosts
        if progress.is_completed:
            return ()
        return [host for host in wave.hosts if host not in progress.begun]

    async def advance(self, wave):
        """Drain the next hosts of a wave and begin their maintenance."""
        progress = self._wave_records.get(wave.number)
        if progress is None:
            progress = journal.WaveRecord([], self._parts.clock.now_s())
            self._wave_records[wave.number] = progress
            self._changed_waves.add(wave.number)
            self._reporter.report(wave.number, False)
        if progress.is_completed:
            return
        gone = set(wave.hosts) - set(self._inventory.entries)
        if wave_planning.is_completed(wave, progress.begun, gone):
            if self._reporter.report(wave.number, True):
                self._complete(wave)
            return
        plan = wave_planning.plan_wave(
            self._wave_progress(wave, progress),
            [
                self._due_host(host)
                for host in self._due_hosts(wave)
                if host in self._inventory.entries
            ],
        )
        for host in plan.empty:
            self._begin_draining(host, wave.number)
        self._displace_lasting(
            host
            for host in self._due_hosts(wave)
            if host in self._inventory.entries
        )
        await self._order_sender.store_intents(plan.begin)
        await self._order_sender.run_paced(
            lambda host: self._begin_maintenance(host, wave), plan.begin
        )

    def _wave_progress(self, wave, progress):
        down = sum(
            self._inventory.entries[host].state
            is host_orders.HostState.IN_MAINTENANCE
            # A previous owner, or an order without an answer, may have just
            # begun its maintenance.
            or (
                host not in progress.begun
                and self._order_sender.is_waiting_for_lease(host)
            )
            or self._inventory.may_be_ordered(host)
            for host in wave.hosts
            if host in self._inventory.entries
        )
        elapsed_s = self._parts.clock.now_s() - progress.seen_s
        begun = sum(host in progress.begun for host in wave.hosts)
        return wave_planning.WaveProgress(
            len(wave.hosts), begun, down, wave.max_count, wave.duration_s,
            max(0.0, elapsed_s),
        )  # fmt: skip

    def _due_host(self, host):
        executor = self._inventory.executor_on(host)
        runs = len(executor.runs) if executor is not None else 0
        is_up = self._inventory.is_stable(host)
        return wave_planning.WaveHost(
            host,
            runs,
            host in self._inventory.draining,
            is_up and not self._order_sender.is_waiting_for_lease(host),
            self._is_stuck(host),
        )

    def _is_stuck(self, host):
        if host not in self._inventory.draining:
            return False
        now_s = self._owner.now_s()
        since_s = self._draining_since_s.get(host, now_s)
        return now_s - since_s > wave_planning.MAX_DRAINING_S

    def _begin_draining(self, host, number):
        self._inventory.draining.add(host)
        self._draining_since_s[host] = self._owner.now_s()
        self._inventory.reserve(host)
        self._owner.events.write('host_emptying', host=host, wave=number)

    def hosts_for_blocked(self, pool):
        """Return how many hosts a pool lacks to displace lasting tasks."""
        return wave_planning.hosts_for_blocked(self._blocked[pool])

    def _displace_lasting(self, due_hosts):
        """Displace lasting tasks from the hosts that are due.

        It takes longest, as few tasks of a step may be away at once, and
        begins with the wave. Meanwhile the hosts go on running short tasks,
        and lasting ones that have room nowhere else.
        """
        for host in sorted(due_hosts):
            executor = self._inventory.executor_on(host)
            if executor is None:
                continue
            if host in self._inventory.draining:
                executor.is_reserved = True
            for run in executor.lasting_runs():
                if not self._displacer.displace(run):
                    self._note_blocked(run)

    def _note_blocked(self, run):
        step = run.step
        pool = self._owner.scheduler.steps.pool_of(run.occurrence.job)
        blocked = wave_planning.BlockedTask(
            run.task_id.step_key,
            step.max_per_executor,
            step.max_unavailable,
        )
        self._blocked[pool].append(blocked)

    async def _begin_maintenance(self, host, wave):
        def on_success():
            progress = self._wave_records[wave.number]
            progress = attrs.evolve(progress, begun=[*progress.begun, host])
            self._wave_records[wave.number] = progress
            self._changed_waves.add(wave.number)
            self._inventory.note_maintained(host)

        await self._order_sender.send_order(
            host,
            'host_maintenance_begun',
            departures.Departure.MAINTAINED,
            lambda holder: self._parts.hosts.begin_maintenance(
                host, wave.number, holder
            ),
            {'wave': wave.number},
            on_success,
        )

    def _complete(self, wave):
        progress = attrs.evolve(
            self._wave_records[wave.number], is_completed=True
        )
        self._wave_records[wave.number] = progress
        self._changed_waves.add(wave.number)
        self._owner.events.write('wave_completed', wave=wave.number)
