"""Own a partition: decide in turns, store, then act."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import scheduler as scheduler_module

from . import advice_asker
from . import executor_agent
from . import host_keeper
from . import journal_writer
from . import run_orders

CHECK_PERIOD_S = 0.05
# Decisions made this close together share one append.
TURN_PAUSE_S = 0.004
IDLE_TURN_S = 0.1
RELEASE_TIMEOUT_S = 1.5
LEASE_MARGIN_S = 0.5
EXPIRY_PERIOD_S = 1.0
# Daemons learn of an end a little later than the owner.
RETENTION_MARGIN_S = 10.0


class LostOwnership(errors.HawthorndealError):
    """Report that another daemon owns the partition now."""

    reason = 'lost_ownership'


class Owner:
    """Decide for a partition as long as its tenure lasts.

    :param parts: what it works with
    :param tenure: how long it may act
    :param intents: which hosts it may order about
    """

    def __init__(self, parts, tenure, intents):
        self.tenure = tenure
        self.events = parts.events
        self.executors = parts.executors
        self.lease_s = parts.settings.lease_s
        self._parts = parts
        self.scheduler = scheduler_module.Scheduler(
            parts.jobs_reader.replica,
            parts.configuration_reader.configuration,
        )
        self._writer = journal_writer.JournalWriter(
            parts.log,
            parts.jobs_follower.partition,
            tenure,
            parts.clock,
            parts.rng,
        )
        self.keeper = host_keeper.HostController(parts, self, intents)
        self._orders = run_orders.RunOrders(
            self, parts.executors, parts.metrics
        )
        self._agents = {}
        self._ended_lives = set()
        self._calls = set()
        self._wake = asyncio.Event()
        self._is_releasing = False
        self._released = asyncio.Event()
        self._lost_why = ''
        self._jobs_to_show = {}
        self._ends_to_forget = {}
        self._expiry_due_s = 0.0

    @property
    def epoch(self):
        """Return the epoch that fences this owner's orders."""
        return self.tenure.epoch

    def now_s(self):
        """Return the steady time."""
        return self._parts.clock.monotonic_s()

    def may_renew_leases(self):
        """Tell whether leases of executors may be renewed."""
        return self.tenure.may_renew_leases(self._parts.clock.boot_s())

    def may_order_hosts(self):
        """Tell whether hosts may be ordered about now."""
        return not self._is_releasing and self.tenure.may_order_hosts(
            self._parts.clock.boot_s()
        )

    def wake(self):
        """Have a turn taken soon."""
        self._wake.set()

    def spawn(self, work):
        """Run a call beside the turns; it ends with the tenure at latest."""
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def lose(self, why):
        """Give up the partition, since another daemon owns it."""
        self.tenure.is_lost = True
        self._lost_why = why
        self.wake()

    # Life

    async def run(self):
        """Decide in turns until released or superseded.

        :raises LostOwnership: another daemon owns the partition
        """
        parts = self._parts
        entries = asyncio.create_task(parts.entries_follower.run())
        try:
            await self._take_over()
            self.spawn(self._guard(self.keeper))
            asker = advice_asker.AdviceAsker(parts, self)
            self.spawn(self._guard(asker))
            await self._work()
        finally:
            # Parts that miss their cancellation end by this.
            self.tenure.is_lost = True
            parts.detach()
            entries.cancel()
            for task in [*self._calls, *(t for t, _ in self._agents.values())]:
                task.cancel()
            self._released.set()

    async def _take_over(self):
        parts = self._parts
        follower = parts.entries_follower
        while not follower.is_loaded:
            await asyncio.sleep(CHECK_PERIOD_S / 5)
            self._check_lost()
        now_s, wall_s = self.now_s(), parts.clock.now_s()
        reader = parts.entries_reader
        for entry in reader.entries.values():
            self._take_entry(entry, now_s)
        longest_s = parts.settings.longest_lease_ms / 1000 + LEASE_MARGIN_S
        self.scheduler.inherit(
            now_s, ownership.last_inherited_lease_s(now_s, longest_s)
        )
        for job in list(parts.jobs_reader.replica.jobs.values()):
            self.scheduler.add_job(job, now_s, wall_s)
        for executor in list(self.scheduler.executors.values()):
            self._ensure_agent(executor)
        parts.attach(self)
        self.events.write(
            'owner_at_work',
            epoch=self.epoch,
            jobs=len(parts.jobs_reader.replica.jobs),
            executors=len(self.scheduler.executors),
        )

    async def _work(self):
        while not self._is_releasing:
            await self._wait()
            self._check_lost()
            await self._turn()
        await self._write_release()

    def _check_lost(self):
        if self.tenure.is_lost:
            raise LostOwnership(self._lost_why or 'fenced by the store')

    async def _wait(self):
        try:
            await asyncio.wait_for(self._wake.wait(), IDLE_TURN_S)
        except asyncio.TimeoutError:
            return
        await asyncio.sleep(TURN_PAUSE_S)

    async def release(self):
        """Stop deciding, and say so in the store."""
        self._is_releasing = True
        self.wake()
        try:
            await asyncio.wait_for(self._released.wait(), RELEASE_TIMEOUT_S)
        except asyncio.TimeoutError:
            self.events.write('release_not_stored', epoch=self.epoch)

    async def _write_release(self):
        if self._calls:
            await self.keeper.wait_for_order()
        released = attrs.evolve(self._ownership(), is_released=True)
        records = self.keeper.take_records()
        await self._store([*records, journal.ownership_record(released)])
        self.tenure.is_lost = True
        self.events.write('owner_released', epoch=self.epoch)

    # Turns

    async def _turn(self):
        self._wake.clear()
        parts = self._parts
        now_s = self.now_s()
        self._check_unlisted()
        turn = self.scheduler.plan(now_s, parts.clock.now_s())
        for run in turn.stops:
            self._orders.send_stop(run)
        for order in turn.paces:
            self._orders.send_pace(order)
        for stray in turn.strays:
            self._orders.send_stray_stop(stray)
        records = self._due_records(now_s)
        if records:
            await self._store(records)
        for run in turn.starts:
            self._orders.send_start(run)

    def _due_records(self, now_s):
        changed = self.scheduler.take_changed()
        records = [journal.progress_record(o) for o in changed]
        records += self.keeper.take_records()
        records += self._expired_records(now_s)
        self._jobs_to_show = {
            o.job.job_id: (o.job, o.job.state(), o.job.has_begun)
            for o in changed
        }
        self._ends_to_forget = self.scheduler.snapshot_ends()
        confirmed_s = self.tenure.confirmed_s
        silent_s = self._parts.clock.boot_s() - confirmed_s
        if not records and silent_s > ownership.RENEW_PERIOD_S:
            records.append(journal.ownership_record(self._ownership()))
        return records

    def _expired_records(self, now_s):
        """Return the records that drop jobs whose end is told no more."""
        if now_s < self._expiry_due_s:
            return []
        self._expiry_due_s = now_s + EXPIRY_PERIOD_S
        kept_s = self._parts.settings.job_retention_s + RETENTION_MARGIN_S
        records = []
        for job in self._parts.jobs_reader.replica.jobs.values():
            if not job.shown.is_final:
                continue
            if job.final_since_s is None:
                job.final_since_s = now_s
            if now_s - job.final_since_s > kept_s:
                records += journal.dropped_records(job)
        return records

    def _ownership(self):
        return journal.Ownership(self.epoch, self._parts.settings.daemon)

    async def _store(self, records):
        await self._writer.append(records)
        self.keeper.note_stored()
        for job, state, has_begun in self._jobs_to_show.values():
            self._show(job, state, has_begun)
        self._jobs_to_show = {}
        self.scheduler.note_recorded_ends(self._ends_to_forget)
        for executor_id in self._ends_to_forget:
            if executor_id in self._agents:
                self._agents[executor_id][1].note_recorded()
        self._ends_to_forget = {}

    def _show(self, job, state, has_begun):
        if state.is_final and not job.shown.is_final:
            self.events.write('job_ended', job=job.job_id, state=state)
            job.final_since_s = self.now_s()
        job.shown = state
        job.is_shown_begun = has_begun

    # What is followed

    def take_folded(self, folded):
        """Take in what a record of the partition changed."""
        if folded.kind == journal.JOB and folded.job is not None:
            self.scheduler.add_job(
                folded.job,
                self.now_s(),
                self._parts.clock.now_s(),
                age_s=0.0,
            )
            self.wake()
        elif folded.kind == journal.CANCEL and folded.job is not None:
            self.cancel_job(folded.job)
        elif folded.kind == journal.OWNER:
            current = self._parts.jobs_reader.replica.ownership
            if current.epoch > self.epoch:
                self.lose(f'{current.daemon} has epoch {current.epoch}')

    def cancel_job(self, job):
        """Have everything of a cancelled job stopped."""
        self.scheduler.cancel_job(job)
        self.wake()

    def take_configuration(self, configuration):
        """Put a newer configuration in force."""
        self.scheduler.set_configuration(configuration)
        self.wake()

    def take_entry(self, entry, now_s):
        """Take in what an executor tells of itself."""
        executor = self._take_entry(entry, now_s)
        if executor is not None:
            self._ensure_agent(executor)
            self.wake()

    def _take_entry(self, entry, now_s):
        # Entries of lives that are over are kept for a while, are read again
        # whenever the log was cut short, and may be stored late.
        if entry.executor_id in self._ended_lives:
            return None
        return self.scheduler.take_entry(entry, now_s)

    def miss_entry(self, executor_id):
        """Take in that an executor is not listed any more."""
        self.scheduler.miss_entry(executor_id, self.now_s())

    # Executors

    def _ensure_agent(self, executor):
        if executor.executor_id in self._agents or not executor.entry.address:
            return
        agent = executor_agent.ExecutorAgent(executor, self)
        task = asyncio.create_task(self._guard(agent))
        self._agents[executor.executor_id] = (task, agent)

    async def _guard(self, part):
        """Run a part; give the partition up when it fails."""
        try:
            await part.run()
        except Exception as error:
            self.events.write('owner_part_failed', why=repr(error)[:300])
            self.lose(f'a part of it failed: {error!r:.100}')

    def take_look(self, executor, look):
        """Take in what an executor answered, and return what is over."""
        executor_id = executor.executor_id
        for other in self.scheduler.lives_ended_by(executor_id, look):
            self.end_executor(other, 'its host has another life')
        over = self.scheduler.take_look(executor_id, look, self.now_s())
        for ended in over:
            self._log_end(ended)
        if over or self.scheduler.has_strays:
            self.wake()
        return over

    def hurry(self, executor):
        """Have an executor looked at soon."""
        if executor.executor_id in self._agents:
            self._agents[executor.executor_id][1].hurry()

    def _log_end(self, ended):
        run = ended.run
        cause = ended.cause.value if ended.cause else 'never_began'
        self._parts.metrics.note_end(cause)
        self.events.write(
            'run_over',
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            cause=cause,
            failures=run.task.failures,
        )

    def check_lapse(self, executor):
        """End an executor whose leases have run out unrenewed.

        :returns: whether nothing more is expected of it
        """
        now_s = self.now_s()
        if executor.executor_id not in self.scheduler.executors:
            return True
        if not executor.has_lapsed(now_s):
            return False
        if executor.runs:
            for ended in self.scheduler.lapse_executor(
                executor.executor_id, now_s
            ):
                self._log_end(ended)
            self.wake()
        if executor.missing_since_s is not None:
            self.end_executor(executor, 'not listed, and its leases are over')
            return True
        return False

    def _check_unlisted(self):
        # Nobody looks at executors whose address isn't known.
        for executor in list(self.scheduler.executors.values()):
            if executor.executor_id not in self._agents:
                self.check_lapse(executor)

    def end_executor(self, executor, why):
        """Take in that an executor's life is over."""
        self._ended_lives.add(executor.executor_id)
        over = self.scheduler.end_executor(executor.executor_id, self.now_s())
        self.events.write(
            'executor_gone',
            executor=executor.executor_id,
            runs=len(over),
            why=why,
        )
        for ended in over:
            self._log_end(ended)
        held = self._agents.pop(executor.executor_id, None)
        if held is not None and held[0] is not asyncio.current_task():
            held[0].cancel()
        self.wake()
