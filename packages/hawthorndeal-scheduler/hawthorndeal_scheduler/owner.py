"""Own a partition: claim it, decide in turns, and hand it over."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import executors as executors_module
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import scheduler as scheduler_module
from hawthorndeal_platform import executor_orders
from hawthorndeal_platform import keyed_log

from . import executor_agent
from . import host_keeper
from . import journal_writer

CHECK_PERIOD_S = 0.05
# Decisions made this close together share one append.
TURN_PAUSE_S = 0.004
IDLE_TURN_S = 0.1
REACH_CLAIM_S = 3.0
RELEASE_TIMEOUT_S = 1.5
# The followers' pause between readings; an owner reads at once.
FOLLOW_PAUSE_S = 0.15
OWNER_PAUSE_S = 0.015
LEASE_MARGIN_S = 0.5


class LostOwnership(errors.HawthorndealError):
    """Report that another daemon owns the partition now."""

    reason = 'lost_ownership'


class Candidate:
    """Be a task that claims a partition when its owner falls silent.

    :param parts: what an owner works with
    """

    name = 'owner'

    def __init__(self, parts):
        self._parts = parts
        self._is_stopping = False
        self._owner = None
        parts.jobs_follower.pause_s = FOLLOW_PAUSE_S

    @property
    def owner(self):
        """Return the owner that is at work here, or None."""
        return self._owner

    async def run(self):
        """Claim and own, again and again, until cancelled."""
        parts = self._parts
        while not self._is_stopping:
            delay_s = parts.rng.uniform(0.0, ownership.CLAIM_SPREAD_S)
            await self._wait_for_silence(delay_s)
            tenure = await self._claim()
            if tenure is not None:
                await self._own(tenure)
        await asyncio.Event().wait()

    async def _wait_for_silence(self, delay_s):
        parts = self._parts
        while self._is_stopping or not (
            parts.jobs_follower.is_loaded
            and parts.configuration_reader.configuration is not None
            and parts.jobs_reader.owner_view.may_claim(
                parts.clock.monotonic_s(), delay_s
            )
        ):
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _claim(self):
        parts = self._parts
        last = parts.jobs_reader.replica.ownership
        epoch = last.epoch + 1 if last else 1
        claim = journal.Ownership(epoch, parts.settings.daemon)
        end = parts.jobs_follower.next_offset
        last_sign_s = parts.jobs_reader.owner_view.last_sign_s
        parts.jobs_reader.epochs.add(epoch)
        sent_s = parts.clock.boot_s()
        try:
            offset = await parts.log.append(
                parts.jobs_follower.partition,
                [journal.ownership_record(claim)],
                keyed_log.Fence(epoch, 0),
                end,
            )
        except errors.PlatformError as error:
            parts.events.write(
                'claim_failed', epoch=epoch, why=str(error)[:160]
            )
            await asyncio.sleep(parts.rng.uniform(0.02, 0.1))
            return None
        if not await parts.jobs_follower.reach(offset, REACH_CLAIM_S):
            return None
        if parts.jobs_reader.replica.ownership != claim:
            return None
        parts.events.write('owner_claimed', epoch=epoch)
        return ownership.Tenure(
            epoch, sent_s, self._first_host_order_s(last, last_sign_s)
        )

    def _first_host_order_s(self, last, last_sign_s):
        parts = self._parts
        now_s = parts.clock.boot_s()
        if last is None:
            return now_s
        if last.daemon == parts.settings.daemon and last.is_ordering_hosts:
            # Only this daemon has given orders since its last epoch.
            return now_s
        # Both clocks run alike, but for suspensions, which only prolong it.
        ago_s = parts.clock.monotonic_s() - last_sign_s
        return ownership.first_host_order_s(
            now_s - ago_s, parts.settings.host_order_lease_ms / 1000
        )

    async def _own(self, tenure):
        parts = self._parts
        parts.jobs_reader.replica.own_epoch = tenure.epoch
        parts.jobs_follower.pause_s = OWNER_PAUSE_S
        self._owner = Owner(parts, tenure)
        try:
            await self._owner.run()
        except (LostOwnership, keyed_log.Fenced) as error:
            parts.events.write(
                'owner_lost', epoch=tenure.epoch, why=str(error)[:160]
            )
        finally:
            self._owner = None
            parts.jobs_reader.replica.own_epoch = None
            parts.jobs_follower.pause_s = FOLLOW_PAUSE_S
            # What was decided and not stored is forgotten.
            parts.reload_jobs()

    async def stop(self):
        """Hand the partition over."""
        self._is_stopping = True
        if self._owner is not None:
            await self._owner.release()


class Owner:
    """Decide for a partition as long as its tenure lasts.

    :param parts: what it works with
    :param tenure: how long it may act
    """

    def __init__(self, parts, tenure):
        self.tenure = tenure
        self.events = parts.events
        self.executors = parts.executors
        self.lease_s = parts.settings.lease_s
        self._parts = parts
        self.scheduler = scheduler_module.Scheduler(
            parts.jobs_reader.replica,
            parts.configuration_reader.configuration,
            self.lease_s,
        )
        self._writer = journal_writer.JournalWriter(
            parts.log,
            parts.jobs_follower.partition,
            tenure,
            parts.clock,
            parts.rng,
        )
        self.keeper = host_keeper.HostKeeper(parts, self)
        self._agents = {}
        self._ended_lives = set()
        self._entry_offsets = {}
        self._calls = set()
        self._wake = asyncio.Event()
        self._is_releasing = False
        self._released = asyncio.Event()
        self._lost_why = ''
        self._jobs_to_show = {}
        self._ends_to_forget = {}

    @property
    def epoch(self):
        """Return the epoch that fences this owner's orders."""
        return self.tenure.epoch

    def now_s(self):
        """Return the steady time."""
        return self._parts.clock.monotonic_s()

    def may_hold(self):
        """Tell whether leases of executors may be renewed."""
        return self.tenure.may_hold(self._parts.clock.boot_s())

    def lose(self, why):
        """Give up the partition, since another daemon owns it."""
        self.tenure.is_lost = True
        self._lost_why = why
        self._wake.set()

    # Life

    async def run(self):
        """Decide in turns until released or superseded.

        :raises LostOwnership: another daemon owns the partition
        """
        parts = self._parts
        entries = asyncio.create_task(parts.entries_follower.run())
        try:
            await self._take_over()
            self._spawn(self._guard(self.keeper.run()))
            await self._work()
        finally:
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
            offset = reader.offsets[entry.executor_id]
            self._take_entry(entry, offset, now_s)
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
        self._wake.set()
        try:
            await asyncio.wait_for(self._released.wait(), RELEASE_TIMEOUT_S)
        except asyncio.TimeoutError:
            self.events.write('release_not_stored', epoch=self.epoch)

    async def _write_release(self):
        if self._calls:
            await self.keeper.finish()
        released = attrs.evolve(self._ownership(), is_released=True)
        await self._store([journal.ownership_record(released)])
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
            self._send_stop(run)
        for stray in turn.strays:
            self._spawn(self._stop_stray(stray))
        records = self._due_records(now_s)
        if records:
            await self._store(records)
        for run in turn.starts:
            self._send_start(run)

    def _due_records(self, now_s):
        changed = self.scheduler.take_changed()
        records = [journal.progress_record(o) for o in changed]
        records += self.keeper.take_records()
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

    def _ownership(self):
        now_s = self._parts.clock.boot_s()
        return journal.Ownership(
            self.epoch,
            self._parts.settings.daemon,
            is_ordering_hosts=now_s >= self.tenure.host_orders_from_s,
        )

    async def _store(self, records):
        await self._writer.append(records)
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
            self._wake.set()
        elif folded.kind == journal.CANCEL and folded.job is not None:
            self.cancel_job(folded.job)
        elif folded.kind == journal.OWNER:
            current = self._parts.jobs_reader.replica.ownership
            if current.epoch > self.epoch:
                self.lose(f'{current.daemon} has epoch {current.epoch}')

    def cancel_job(self, job):
        """Have everything of a cancelled job stopped."""
        self.scheduler.cancel_job(job)
        self._wake.set()

    def take_configuration(self, configuration):
        """Put a newer configuration in force."""
        self.scheduler.set_configuration(configuration)
        self._wake.set()

    def take_entry(self, entry, offset, now_s):
        """Take in what an executor tells of itself.

        :param offset: rises with each entry that is written
        """
        executor = self._take_entry(entry, offset, now_s)
        if executor is not None:
            self._ensure_agent(executor)
            self._wake.set()

    def _take_entry(self, entry, offset, now_s):
        # Entries of lives that are over are kept for a while, and are read
        # again whenever the log was cut short.
        if entry.executor_id in self._ended_lives:
            return None
        for other in self._other_lives(entry):
            if self._entry_offsets.get(other.executor_id, -1) > offset:
                self._ended_lives.add(entry.executor_id)
                return None
            self.end_executor(other, 'its host has another life')
        self._entry_offsets[entry.executor_id] = offset
        return self.scheduler.take_entry(entry, now_s)

    def _other_lives(self, entry):
        return [
            other
            for other in self.scheduler.executors.values()
            if entry.host
            and other.entry.host == entry.host
            and other.executor_id != entry.executor_id
        ]

    def miss_entry(self, executor_id):
        """Take in that an executor is not listed any more."""
        self.scheduler.miss_entry(executor_id, self.now_s())

    # Executors

    def _ensure_agent(self, executor):
        if executor.executor_id in self._agents or not executor.entry.address:
            return
        agent = executor_agent.ExecutorAgent(executor, self)
        task = asyncio.create_task(self._guard(agent.run()))
        self._agents[executor.executor_id] = (task, agent)

    async def _guard(self, work):
        """Give the partition up when a part of this owner fails."""
        try:
            await work
        except Exception as error:
            self.events.write('owner_part_failed', why=repr(error)[:300])
            self.lose(f'a part of it failed: {error!r:.100}')

    def take_look(self, executor, look):
        """Take in what an executor answered, and return what is over."""
        over = self.scheduler.take_look(
            executor.executor_id, look, self.now_s()
        )
        for ended in over:
            self._log_end(ended)
        if over or self.scheduler.has_strays:
            self._wake.set()
        return over

    def _log_end(self, ended):
        run = ended.run
        self.events.write(
            'run_over',
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            cause=ended.cause.value if ended.cause else 'never_began',
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
            self._wake.set()
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
        self._wake.set()

    # Orders

    def _spawn(self, call):
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _send_start(self, run):
        executor = self.scheduler.executors.get(run.executor_id)
        if executor is None or run.key not in executor.runs:
            return
        if run.is_stop_wanted or not self.may_hold():
            self.scheduler.release(run, self.now_s())
            self._wake.set()
            return
        run.phase = executors_module.RunPhase.SENT
        run.changed_s = self.now_s()
        self._spawn(self._start(run, executor))

    async def _start(self, run, executor):
        task = run.task
        deadline_s = executor.give_lease(self.lease_s, self.now_s())
        order = executor_orders.StartOrder(
            run.task_id,
            run.number,
            run.occurrence.job.spec.payload,
            deadline_s,
            self.epoch,
            task.checkpoint,
        )
        target = executor_orders.Target(
            executor.executor_id, executor.entry.address
        )
        answer, clock_s = await self.executors.start(target, order)
        self._take_start_answer(run, executor, answer, clock_s)

    def _take_start_answer(self, run, executor, answer, clock_s):
        now_s = self.now_s()
        if clock_s is not None:
            executor.read_clock(clock_s, now_s)
        self.events.write(
            'run_started'
            if answer is run_tracking.StartAnswer.ACCEPTED
            else 'run_not_started',
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            answer=answer.value,
        )
        if answer is run_tracking.StartAnswer.FENCED:
            self.lose('an executor has seen a newer owner')
            return
        if answer is run_tracking.StartAnswer.GONE:
            self.end_executor(executor, 'another life at its address')
            return
        self.scheduler.take_start_answer(run, answer, now_s)
        if executor.executor_id in self._agents:
            self._agents[executor.executor_id][1].hurry()
        if answer is not run_tracking.StartAnswer.ACCEPTED:
            self._wake.set()

    def _send_stop(self, run):
        run.is_stop_sent = True
        self._spawn(self._stop(run))

    async def _stop(self, run):
        executor = self.scheduler.executors.get(run.executor_id)
        if executor is None or not executor.entry.address:
            run.is_stop_sent = False
            run.stop_retry_s = self.now_s() + run_tracking.STOP_RETRY_S
            return
        target = executor_orders.Target(
            executor.executor_id, executor.entry.address
        )
        is_answered = await self._try_stop(target, run.task_id, run.number)
        self.scheduler.take_stop_answer(run, is_answered, self.now_s())
        self.events.write(
            'run_stop',
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            is_answered=is_answered,
        )

    async def _try_stop(self, target, task_id, number):
        try:
            await self.executors.stop(target, task_id, number, self.epoch)
        except executor_orders.ExecutorGone:
            executor = self.scheduler.executors.get(target.executor_id)
            if executor is not None:
                self.end_executor(executor, 'another life at its address')
            return False
        except errors.PlatformError:
            return False
        return True

    async def _stop_stray(self, stray):
        executor = self.scheduler.executors.get(stray.executor_id)
        if executor is None:
            return
        target = executor_orders.Target(
            executor.executor_id, executor.entry.address
        )
        await self._try_stop(target, stray.task_id, stray.number)
        self.events.write(
            'stray_run_stopped',
            task=str(stray.task_id),
            run=stray.number,
            executor=stray.executor_id,
        )
