"""Schedules the jobs during an ownership term.

Each cycle plans runs, stores the plan, and only then sends the orders.
"""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import admission
from hawthorndeal_jobs import hand_over
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import scheduler as scheduler_module
from hawthorndeal_platform import keyed_log

from . import advice_requester
from . import cycle_journal
from . import executor_tracker
from . import host_controller
from . import owner_tasks
from . import owner_writers
from . import ownership_teller
from . import run_orders
from . import standing_log
from . import start_gate
from . import status_publisher
from . import takeover
from . import workspace_log

# Delay before a cycle, so that decisions made close together share an append.
CYCLE_BATCH_DELAY_S = 0.004
IDLE_CYCLE_S = 0.1
# Cycles whose planning takes longer are logged.
SLOW_CYCLE_S = 0.1
RELEASE_TIMEOUT_S = 1.5
# Starts whose cycle took longer to be stored are checked again.
MAX_PLAN_AGE_S = 0.5
# Longer than the usual time between two renewals of the ownership.
MAX_UNCONFIRMED_S = 1.0


class LostOwnership(errors.HawthorndealError):
    """Raised when the ownership has ended against the owner's will."""

    reason = 'lost_ownership'


class Owner:
    """Schedules the jobs of a fleet during its ownership term.

    It owns the partition of the jobs, which it loads and drops ended jobs
    from, and the partition of the statuses, which its publisher writes to.

    :param parts: shared components of the daemon
    :param term: determines how long the owner may act
    :param intents: determines which hosts may be given orders
    :ivar tracker: knows the executors, and runs their agents
    :ivar hosts: moves and maintains hosts
    :ivar cycle_begun_s: when the last scheduling cycle began
    :ivar is_at_work: whether the jobs of the predecessors were taken over
    :ivar lost_reason: why the term has ended; empty while it has not, and
        where the store fenced the owner
    """

    def __init__(self, parts, term, intents):
        self.term = term
        self.events = parts.events
        self.tasks = owner_tasks.OwnerTasks(
            term, parts.events, self.lose_ownership
        )
        self.executors = parts.executors
        self.lease_s = parts.settings.lease_s
        self._parts = parts
        self.scheduler = scheduler_module.Scheduler(
            parts.jobs_reader.replica,
            parts.configuration_reader.configuration,
            parts.settings.longest_lease_ms / 1000,
        )
        self.tracker = executor_tracker.ExecutorTracker(self, parts.metrics)
        self._writers = owner_writers.OwnerWriters(
            parts, term, self.tasks.spawn
        )
        self._teller = ownership_teller.OwnershipTeller(
            parts, term.epoch, self._writers.statuses
        )
        self._publisher = status_publisher.StatusPublisher(
            parts, self, self._writers.statuses
        )
        self._journal = cycle_journal.CycleJournal(
            parts,
            self.scheduler,
            self._writers.jobs,
            self._publisher,
            term.epoch,
        )
        self._takeover = takeover.Takeover(
            parts, self, intents, self._writers.jobs
        )
        self.is_at_work = False
        self.hosts = host_controller.HostController(parts, self, intents)
        self._orders = run_orders.RunOrders(
            self, parts.executors, parts.metrics
        )
        self._wake = asyncio.Event()
        self._is_releasing = False
        self._claimed_s = self.now_s()
        self._accepted_offer = None
        self._released = asyncio.Event()
        self.lost_reason = ''
        self._workspace_log = workspace_log.WorkspaceLog(
            parts.events, parts.metrics
        )
        self._is_storing_host_records = False
        self._gate = start_gate.StartGate(parts, self, self._writers.jobs)
        self.cycle_begun_s = self.now_s()

    @property
    def epoch(self):
        """Return the fencing epoch of this owner's orders."""
        return self.term.epoch

    @property
    def starts_in_flight(self):
        """Return the number of start orders without an answer so far."""
        return self._orders.starts.in_flight

    @property
    def start_window(self):
        """Return the number of start orders that may be in flight."""
        return self._orders.starts.size

    @property
    def halted_why(self):
        """Return why nothing may start at present; empty if tasks may."""
        return self._gate.halted_why

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

    def lose_ownership(self, why):
        """End the ownership term at once, without a release."""
        self.term.is_lost = True
        self.lost_reason = why
        self.wake()

    # Lifecycle

    async def run(self):
        """Run scheduling cycles until released or superseded.

        :raises LostOwnership: if another daemon owns the partition
        """
        parts = self._parts
        parts.status_reader.on_changed = self.handle_status_change
        self.tasks.spawn(self.tasks.run_guarded(self._publisher))
        self._run_in_background(parts.entries_follower)
        try:
            for follower in parts.jobs_followers:
                self._run_in_background(follower)
            await self._takeover.fence_predecessors(self._journal)
            await self._take_over()
            if not self.is_at_work:
                await self._write_release()
                return
            self._run_in_background(self.hosts)
            self._run_in_background(self._journal.dropper.cleaner)
            self._run_in_background(
                advice_requester.AdviceRequester(parts, self)
            )
            self._run_in_background(standing_log.StandingLog(parts, self))
            await self._run_cycles()
        finally:
            # Ends the loops of tasks that have lost their cancellation.
            self.term.is_lost = True
            parts.detach()
            self.tracker.cancel_agents()
            self.tasks.cancel()
            self._released.set()

    def _run_in_background(self, part):
        self.tasks.spawn(self.tasks.run_restarting(part))

    async def _take_over(self):
        """Load the jobs, and go on where the predecessors ended.

        Returns early, not at work, if the ownership is to be released.
        """
        parts = self._parts
        self._takeover.begin_reading()
        while not self._takeover.has_read_all:
            await asyncio.sleep(takeover.CHECK_PERIOD_S)
            self._raise_if_lost()
            if self._is_releasing:
                return
        # It may have changed since the claim.
        self.scheduler.set_configuration(
            parts.configuration_reader.configuration
        )
        replica = self._takeover.inherit()
        # Shares are counted in the order in which jobs were accepted.
        for job in sorted(replica.jobs.values(), key=_accepted_s):
            self._add_job(job, None)
        for job_id in replica.unknown_job_ids:
            self.cancel_job(job_id)
        self.tracker.start_agents()
        parts.attach(self)
        self.is_at_work = True
        self.events.write(
            'owner_at_work',
            epoch=self.epoch,
            jobs=len(replica.jobs),
            executors=len(self.scheduler.executors),
        )

    def _add_job(self, job, age_s):
        """Schedule a job, unless it is a late copy of one that has ended."""
        job.home = self._parts.submission_partition(job.job_id).name
        if self._parts.board.is_stored_final(job.job_id):
            self._journal.dropper.finished.add(job)
            return
        job.has_started |= self._parts.board.is_stored_running(job.job_id)
        self._journal.publish_state(job, job.state())
        wall_s = self._parts.clock.now_s()
        self.scheduler.add_job(job, self.now_s(), wall_s, age_s=age_s)
        if job.is_beyond_share:
            self.events.write(
                'job_beyond_share', job=job.job_id, workspace=job.workspace
            )

    async def _run_cycles(self):
        while not self._is_releasing:
            await self._wait_for_wake()
            self._raise_if_lost()
            await self._run_cycle()
        await self._write_release()

    def _raise_if_lost(self):
        if self.term.is_lost:
            raise LostOwnership(self.lost_reason or 'fenced by the store')

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
        if self.tasks.are_running:
            await self.hosts.wait_for_order()
        records = self.hosts.take_records()
        if self._writers.is_spread:
            await self._journal.store_others(records)
            records = []
        offer = self._accepted_offer
        released = attrs.evolve(
            self.ownership(),
            is_released=True,
            successor=offer.daemon if offer else '',
        )
        await self._publisher.store(
            [*records, journal.ownership_record(released)]
        )
        self.term.is_lost = True
        self.events.write(
            'owner_released', epoch=self.epoch, successor=released.successor
        )

    # Scheduling cycles

    async def _run_cycle(self):
        self._wake.clear()
        parts = self._parts
        now_s = self.cycle_begun_s = self.now_s()
        self.tracker.check_without_agent()
        window = self._orders.starts
        may_start = self._gate.may_start(now_s)
        turn = self.scheduler.plan(
            now_s,
            parts.clock.now_s(),
            window.free_calls(now_s) if may_start else 0,
            may_start and window.is_idle(now_s),
        )
        self._note_planned(self.now_s() - now_s)
        self._log_suspensions()
        self._workspace_log.update(self.scheduler, now_s)
        window.note_planned(len(turn.starts))
        self._orders.send_stops(turn.stops)
        for order in turn.paces:
            self._orders.send_pace(order)
        for stray in turn.orphans:
            self._orders.send_stray_stop(stray)
        host_records = (
            self.hosts.take_records() if self._writers.is_spread else []
        )
        records = self._journal.collect_records(now_s, host_records)
        if self._writers.is_spread:
            records += self._confirmation()
        elif not self._is_storing_host_records:
            self._begin_storing_host_records()
        with self._gate.watch_append(parts.jobs_follower.partition):
            outcome = await self._journal.store(records)
        self._note_stored_intents(host_records, outcome.refused_keys)
        self.tracker.note_ends_stored(outcome.ends)
        for job in outcome.unstored_jobs:
            self._give_up_unstored(job)
        self._send_starts(turn.starts, now_s)

    def _give_up_unstored(self, job):
        """Fail a job that a successor could not go on with."""
        if not job.is_terminal:
            self.scheduler.give_up_job(job, 'its progress can not be stored')
        self._journal.note_ended(job)
        self.wake()

    def _send_starts(self, runs, planned_s):
        """Send starts that are stored, unless what permitted them is old."""
        now_s = self.now_s()
        is_old = now_s - planned_s > MAX_PLAN_AGE_S
        may_start = not is_old or self._gate.may_start(now_s)
        for run in runs:
            is_held = is_old and self._gate.holds(run)
            is_permitted = self.scheduler.refresh_ticket(run, now_s)
            if (
                may_start
                and is_permitted
                and not is_held
                and not run.is_stop_requested
            ):
                self._orders.send_start(run)
            else:
                self.scheduler.withdraw_run(run, now_s)
                self.wake()

    def _confirmation(self):
        """Return a record whose append confirms the ownership, if it is due.

        The partition of the statuses, whose appends usually do, may be away.
        """
        age_s = self._parts.clock.boot_s() - self.term.confirmed_s
        if age_s < MAX_UNCONFIRMED_S:
            return []
        return [journal.ownership_record(self.ownership())]

    def _begin_storing_host_records(self):
        # Starts don't wait for these records.
        records = self.hosts.take_records()
        if records:
            self._is_storing_host_records = True
            self.tasks.spawn(self._store_host_records(records))

    async def _store_host_records(self, records):
        try:
            refused = await self._publisher.store(records)
        except keyed_log.Fenced:
            # The publisher has ended the term.
            return
        finally:
            self._is_storing_host_records = False
        self._note_stored_intents(records, {r.key for r in refused})
        self.wake()

    def _note_stored_intents(self, records, refused_keys):
        """Permit the host orders whose intents are among stored records."""
        stored_keys = {record.key for record in records} - refused_keys
        if journal.HOSTS in stored_keys:
            self.hosts.note_stored()

    def _log_suspensions(self):
        for change in self.scheduler.health.pop_changes():
            self.events.write(
                'executor_suspended' if change.for_s else 'executor_cleared',
                executor=change.executor_id,
                cause=change.cause.value,
                for_s=change.for_s,
                failed_runs=change.failed_runs,
            )

    def _note_planned(self, took_s):
        self._parts.metrics.note_cycle_part('plan', took_s)
        self._orders.note_pause(took_s)
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

    def ownership(self):
        """Return the record of this ownership."""
        return self._teller.ownership(self.is_at_work)

    def publish_loads(self, loads, standby_hosts):
        """Publish what new jobs will have to wait for."""
        beyond = self.scheduler.shares.used_up(self.now_s())
        self._publisher.publish_load(
            admission.forecast(loads, standby_hosts, beyond)
        )

    # Changes in the followed partitions

    def handle_applied(self, applied):
        """Act on a record that the replica of the jobs has applied."""
        if applied.kind == journal.JOB and applied.job is not None:
            if applied.job_id in self._parts.jobs_reader.replica.jobs:
                self._add_job(applied.job, 0.0)
                self.wake()
        elif applied.kind == journal.CANCEL:
            self.cancel_job(applied.job_id)

    def handle_status_change(self, change):
        """Act on a record that the board has applied."""
        if change.kind == journal.OFFER:
            self._consider_offer()
        elif change.kind == journal.STATUS:
            self._journal.dropper.finished.note_status(change.job_id)
        elif change.kind == journal.OWNER:
            current = self._parts.board.ownership
            if current.epoch > self.epoch:
                self.lose_ownership(
                    f'{current.daemon} claimed epoch {current.epoch}'
                )

    def _consider_offer(self):
        """Release the ownership if a much stronger daemon has offered."""
        if self._is_releasing and self._accepted_offer is None:
            return
        self._accepted_offer = hand_over.accepted_offer(
            self._accepted_offer,
            self._parts.board.offer,
            self.ownership(),
            self.now_s() - self._claimed_s,
        )
        if self._accepted_offer is not None:
            self._is_releasing = True
            self.wake()

    def cancel_job(self, job_id):
        """Stop all runs of a job whose cancellation is stored."""
        job = self._parts.jobs_reader.replica.jobs.get(job_id)
        if job is None:
            if self._parts.board.is_stored_final(job_id):
                self._journal.dropper.drop_cancellation(job_id)
            return
        self.scheduler.cancel_job(job)
        self._journal.note_ended(job)
        self.wake()

    def handle_configuration(self, configuration):
        """Apply a newer configuration."""
        self.scheduler.set_configuration(configuration)
        self.wake()


def _accepted_s(job):
    return job.accepted_s
