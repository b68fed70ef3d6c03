"""Owner of a partition: plans in cycles, stores the plan, then acts on it."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import hand_over
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import scheduler as scheduler_module

from . import advice_requester
from . import executor_agent
from . import host_controller
from . import journal_writer
from . import offerer
from . import run_orders

CHECK_PERIOD_S = 0.05
# Delay before a cycle, so that decisions made close together share an append.
CYCLE_BATCH_DELAY_S = 0.004
IDLE_CYCLE_S = 0.1
# Cycles whose planning takes longer are logged.
SLOW_CYCLE_S = 0.1
RELEASE_TIMEOUT_S = 1.5
LEASE_MARGIN_S = 0.5
EXPIRY_PERIOD_S = 1.0
# Other daemons see the end of a job slightly later than the owner.
RETENTION_MARGIN_S = 10.0


class LostOwnership(errors.HawthorndealError):
    """Raised when another daemon owns the partition."""

    reason = 'lost_ownership'


class Owner:
    """Schedules the jobs of a partition during its ownership term.

    :param parts: shared components of the daemon
    :param term: determines how long the owner may act
    :param intents: determines which hosts may be given orders
    """

    def __init__(self, parts, term, intents):
        self.term = term
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
            term,
            parts.clock,
            parts.rng,
        )
        self.hosts = host_controller.HostController(parts, self, intents)
        self._orders = run_orders.RunOrders(
            self, parts.executors, parts.metrics
        )
        self._agents = {}
        self._ended_executor_ids = set()
        self._background_tasks = set()
        self._wake = asyncio.Event()
        self._is_releasing = False
        self._claimed_s = self.now_s()
        self._accepted_offer = None
        self._released = asyncio.Event()
        self._lost_reason = ''
        self._states_to_publish = {}
        self._ends_being_stored = {}
        self._expiry_due_s = 0.0

    @property
    def epoch(self):
        """Return the fencing epoch of this owner's orders."""
        return self.term.epoch

    @property
    def starts_in_flight(self):
        """Return the number of start orders without an answer so far."""
        return self._orders.starts_in_flight

    def now_s(self):
        """Return the monotonic time in seconds."""
        return self._parts.clock.monotonic_s()

    def may_renew_leases(self):
        """Return whether the leases of executors may be renewed."""
        return self.term.may_renew_leases(self._parts.clock.boot_s())

    def may_order_hosts(self):
        """Return whether hosts may be given orders now."""
        return not self._is_releasing and self.term.may_order_hosts(
            self._parts.clock.boot_s()
        )

    def wake(self):
        """Request a scheduling cycle."""
        self._wake.set()

    def spawn(self, coroutine):
        """Run a coroutine in the background until the ownership term ends."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def lose_ownership(self, why):
        """End the ownership term because another daemon owns the partition."""
        self.term.is_lost = True
        self._lost_reason = why
        self.wake()

    # Lifecycle

    async def run(self):
        """Run scheduling cycles until released or superseded.

        :raises LostOwnership: if another daemon owns the partition
        """
        parts = self._parts
        entries = asyncio.create_task(parts.entries_follower.run())
        try:
            await self._take_over()
            self.spawn(self._run_guarded(self.hosts))
            requester = advice_requester.AdviceRequester(parts, self)
            self.spawn(self._run_guarded(requester))
            await self._run_cycles()
        finally:
            # Also ends the loops of tasks that swallow their cancellation.
            self.term.is_lost = True
            parts.detach()
            entries.cancel()
            for task in [
                *self._background_tasks,
                *(t for t, _ in self._agents.values()),
            ]:
                task.cancel()
            self._released.set()

    async def _take_over(self):
        parts = self._parts
        follower = parts.entries_follower
        while not follower.is_loaded:
            await asyncio.sleep(CHECK_PERIOD_S / 5)
            self._raise_if_lost()
        now_s, wall_s = self.now_s(), parts.clock.now_s()
        reader = parts.entries_reader
        for entry in reader.entries.values():
            self._register_entry(entry, now_s)
        longest_s = parts.settings.longest_lease_ms / 1000 + LEASE_MARGIN_S
        self.scheduler.inherit(
            now_s, ownership.inherited_lease_expiry_s(now_s, longest_s)
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

    async def _run_cycles(self):
        while not self._is_releasing:
            await self._wait_for_wake()
            self._raise_if_lost()
            await self._run_cycle()
        await self._write_release()

    def _raise_if_lost(self):
        if self.term.is_lost:
            raise LostOwnership(self._lost_reason or 'fenced by the store')

    async def _wait_for_wake(self):
        try:
            await asyncio.wait_for(self._wake.wait(), IDLE_CYCLE_S)
        except asyncio.TimeoutError:
            return
        await asyncio.sleep(CYCLE_BATCH_DELAY_S)

    async def release(self):
        """Stop scheduling and record the release in the store."""
        self._is_releasing = True
        self.wake()
        try:
            await asyncio.wait_for(self._released.wait(), RELEASE_TIMEOUT_S)
        except asyncio.TimeoutError:
            self.events.write('release_not_stored', epoch=self.epoch)

    async def _write_release(self):
        if self._background_tasks:
            await self.hosts.wait_for_order()
        records = self.hosts.take_records()
        offer = self._accepted_offer
        released = attrs.evolve(
            self._ownership(),
            is_released=True,
            successor=offer.daemon if offer else '',
        )
        await self._store([*records, journal.ownership_record(released)])
        self.term.is_lost = True
        self.events.write(
            'owner_released', epoch=self.epoch, successor=released.successor
        )

    # Scheduling cycles

    async def _run_cycle(self):
        self._wake.clear()
        parts = self._parts
        now_s = self.now_s()
        self._check_executors_without_agent()
        turn = self.scheduler.plan(now_s, parts.clock.now_s())
        self._note_planned(self.now_s() - now_s)
        for run in turn.stops:
            self._orders.send_stop(run)
        for order in turn.paces:
            self._orders.send_pace(order)
        for stray in turn.orphans:
            self._orders.send_stray_stop(stray)
        records = self._collect_records(now_s)
        if records:
            await self._store(records)
        for run in turn.starts:
            self._orders.send_start(run)

    def _note_planned(self, took_s):
        self._parts.metrics.note_cycle_part('plan', took_s)
        if took_s < SLOW_CYCLE_S:
            return
        known = self.scheduler.executors.values()
        self.events.write(
            'cycle_slow',
            planning_s=round(took_s, 3),
            executors=len(known),
            runs=sum(len(executor.runs) for executor in known),
            waiting_steps=len(self.scheduler.steps.pending()),
            starts_in_flight=self.starts_in_flight,
        )

    def _collect_records(self, now_s):
        changed = self.scheduler.pop_changed()
        records = [
            journal.progress_record(occurrence) for occurrence in changed
        ]
        records += self.hosts.take_records()
        records += self._expired_records(now_s)
        self._states_to_publish = {
            occurrence.job.job_id: (
                occurrence.job,
                occurrence.job.state(),
                occurrence.job.has_started,
            )
            for occurrence in changed
        }
        self._ends_being_stored = self.scheduler.unrecorded_ends()
        confirmed_s = self.term.confirmed_s
        unconfirmed_s = self._parts.clock.boot_s() - confirmed_s
        if not records and unconfirmed_s > ownership.RENEW_PERIOD_S:
            records.append(journal.ownership_record(self._ownership()))
        return records

    def _expired_records(self, now_s):
        """Return the records that delete jobs past their retention time."""
        if now_s < self._expiry_due_s:
            return []
        self._expiry_due_s = now_s + EXPIRY_PERIOD_S
        retention_s = self._parts.settings.job_retention_s + RETENTION_MARGIN_S
        records = []
        for job in self._parts.jobs_reader.replica.jobs.values():
            if not job.reported_state.is_final:
                continue
            if job.final_since_s is None:
                job.final_since_s = now_s
            if now_s - job.final_since_s > retention_s:
                records += journal.deletion_records(job)
        return records

    def _ownership(self):
        settings = self._parts.settings
        return journal.Ownership(
            self.epoch, settings.daemon, strength=offerer.strength(settings)
        )

    async def _store(self, records):
        begun_s = self.now_s()
        await self._writer.append(records)
        self._parts.metrics.note_cycle_part('store', self.now_s() - begun_s)
        self.hosts.note_stored()
        for job, state, has_started in self._states_to_publish.values():
            self._publish_state(job, state, has_started)
        self._states_to_publish = {}
        self.scheduler.mark_ends_recorded(self._ends_being_stored)
        for executor_id in self._ends_being_stored:
            if executor_id in self._agents:
                self._agents[executor_id][1].note_ends_stored()
        self._ends_being_stored = {}

    def _publish_state(self, job, state, has_started):
        if state.is_final and not job.reported_state.is_final:
            self.events.write('job_ended', job=job.job_id, state=state)
            job.final_since_s = self.now_s()
        job.reported_state = state
        job.is_start_reported = has_started

    # Changes in the followed partitions

    def handle_folded(self, folded):
        """Apply the effect of a record that the replica has folded."""
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
        elif folded.kind == journal.OFFER:
            self._consider_offer()
        elif folded.kind == journal.OWNER:
            current = self._parts.jobs_reader.replica.ownership
            if current.epoch > self.epoch:
                self.lose_ownership(
                    f'{current.daemon} claimed epoch {current.epoch}'
                )

    def _consider_offer(self):
        """Release the partition if a much stronger daemon has offered."""
        if self._is_releasing and self._accepted_offer is None:
            return
        self._accepted_offer = hand_over.accepted_offer(
            self._accepted_offer,
            self._parts.jobs_reader.replica.offer,
            self._ownership(),
            self.now_s() - self._claimed_s,
        )
        if self._accepted_offer is not None:
            self._is_releasing = True
            self.wake()

    def cancel_job(self, job):
        """Stop all runs of a cancelled job."""
        self.scheduler.cancel_job(job)
        self.wake()

    def handle_configuration(self, configuration):
        """Apply a newer configuration."""
        self.scheduler.set_configuration(configuration)
        self.wake()

    def update_executor(self, entry, now_s):
        """Process the entry that an executor published."""
        executor = self._register_entry(entry, now_s)
        if executor is not None:
            self._ensure_agent(executor)
            self.wake()

    def _register_entry(self, entry, now_s):
        # Entries of ended executor incarnations are retained for a while, are
        # read again after the log was truncated, and may be stored late.
        if entry.executor_id in self._ended_executor_ids:
            return None
        return self.scheduler.update_executor(entry, now_s)

    def mark_executor_missing(self, executor_id):
        """Record that the entry of an executor was removed."""
        self.scheduler.mark_executor_missing(executor_id, self.now_s())

    # Executors

    def _ensure_agent(self, executor):
        if executor.executor_id in self._agents or not executor.entry.address:
            return
        agent = executor_agent.ExecutorAgent(executor, self)
        task = asyncio.create_task(self._run_guarded(agent))
        self._agents[executor.executor_id] = (task, agent)

    async def _run_guarded(self, part):
        """Run a task, and give up the partition if it raises."""
        try:
            await part.run()
        except Exception as error:
            self.events.write('owner_part_failed', why=repr(error)[:300])
            self.lose_ownership(f'a task of the owner failed: {error!r:.100}')

    def handle_poll(self, executor, look):
        """Process the answer to a poll, and return the runs that ended."""
        executor_id = executor.executor_id
        for other in self.scheduler.superseded_executors(executor_id, look):
            self.remove_executor(other, 'its host runs a newer executor')
        ended_runs = self.scheduler.handle_poll(
            executor_id, look, self.now_s()
        )
        for ended in ended_runs:
            self._log_end(ended)
        if ended_runs or self.scheduler.has_orphans:
            self.wake()
        return ended_runs

    def note_unanswered_poll(self):
        """Count a poll that failed or timed out."""
        self._parts.metrics.note_unanswered_call('poll')

    def poll_soon(self, executor):
        """Request an early poll of an executor."""
        if executor.executor_id in self._agents:
            self._agents[executor.executor_id][1].poll_soon()

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

    def check_lease_expiry(self, executor):
        """End the runs of an executor whose leases have expired.

        :returns: whether the executor has ended as well
        """
        now_s = self.now_s()
        if executor.executor_id not in self.scheduler.executors:
            return True
        if not executor.is_lease_expired(now_s):
            return False
        if executor.runs:
            for ended in self.scheduler.expire_executor(
                executor.executor_id, now_s
            ):
                self._log_end(ended)
            self.wake()
        if executor.missing_since_s is not None:
            self.remove_executor(
                executor, 'its entry was removed and its leases have expired'
            )
            return True
        return False

    def _check_executors_without_agent(self):
        # Executors without a known address have no agent that checks leases.
        for executor in list(self.scheduler.executors.values()):
            if executor.executor_id not in self._agents:
                self.check_lease_expiry(executor)

    def remove_executor(self, executor, why):
        """Remove an executor that has ended, and end all its runs."""
        self._ended_executor_ids.add(executor.executor_id)
        ended_runs = self.scheduler.remove_executor(
            executor.executor_id, self.now_s()
        )
        self.events.write(
            'executor_gone',
            executor=executor.executor_id,
            runs=len(ended_runs),
            why=why,
        )
        for ended in ended_runs:
            self._log_end(ended)
        held = self._agents.pop(executor.executor_id, None)
        if held is not None and held[0] is not asyncio.current_task():
            held[0].cancel()
        self.wake()
