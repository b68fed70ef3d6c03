"""Scheduler of one partition: decides which runs to start and to stop."""

import attrs

from . import advice_turns
from . import arrival_shares
from . import crash_blame
from . import crash_tracking
from . import departures
from . import executor_health
from . import executor_index
from . import executors as executors_module
from . import fleet_room
from . import incarnations
from . import jobs
from . import pacing
from . import placement
from . import pool_loads
from . import quotas
from . import ready_steps as ready_steps_module
from . import run_endings
from . import run_index
from . import run_state
from . import run_tracking
from . import specs
from . import standing_work
from . import start_planning
from . import start_shares
from . import tickets as tickets_module

# Applies where no other longest lease is declared.
LONGEST_LEASE_S = 10.0

_Cause = run_state.EndCause
_Phase = run_state.RunPhase
_Answer = run_tracking.StartAnswer
# Answers that concern the start, not the executor.
_REJECTIONS = (
    _Answer.OLD_RUN,
    _Answer.TOO_LATE,
    _Answer.BAD_TICKET,
    _Answer.INVALID,
)


@attrs.frozen
class ExecutorEnd:
    """The end of an executor.

    :ivar finished_runs: its runs
    :ivar suspects: tasks that may have crashed it
    :ivar kind: whether it was expected to end
    """

    finished_runs: list[run_tracking.FinishedRun]
    suspects: list[crash_blame.Suspect]
    kind: departures.DepartureKind


@attrs.frozen
class SchedulingPlan:
    """The decisions of one scheduling cycle.

    :ivar starts: runs to start once their records are stored
    :ivar stops: runs to stop now
    :ivar orphans: runs of no known task to stop now
    :ivar paces: changes of pace to send now
    """

    starts: list[run_state.Run]
    stops: list[run_state.Run]
    orphans: list[run_tracking.OrphanRun]
    paces: list[pacing.PaceChange]


class Scheduler:
    """Schedules the jobs of one partition on its executors.

    It reads no clock and performs no I/O. Times are in seconds of the daemon's
    monotonic clock, except ``wall_s``, which is in seconds since the epoch.

    :param replica: the jobs of the partition
    :param configuration: current queues and pools
    :param longest_lease_s: longest lease that executors grant
    :ivar fleet: what the hosts of the fleet have
    :ivar health: which executors are suspended
    :ivar is_limited: whether the last plan had no starts left for more runs
    :ivar quotas: what the runs of each workspace use, and may use
    :ivar shares: which workspaces send more jobs than are owed to them
    :ivar standing: finds work that waits beside room
    """

    def __init__(
        self, replica, configuration, longest_lease_s=LONGEST_LEASE_S
    ):
        self._longest_lease_s = longest_lease_s
        self.executors = {}
        self.fleet = fleet_room.FleetRoom()
        self.is_limited = False
        self.steps = ready_steps_module.ReadySteps(configuration)
        self.tickets = tickets_module.TicketCache()
        self.advice = advice_turns.AdviceTurns(self.tickets)
        self._replica = replica
        self._index = executor_index.ExecutorIndex()
        self._run_index = run_index.RunIndex()
        self.quotas = self._run_index.quotas
        self.shares = arrival_shares.ArrivalShares()
        self._set_workspaces(configuration.workspaces)
        self._planner = start_planning.StartPlanner(
            self.steps, self.tickets, self.quotas, self.has_runs
        )
        self._unrecorded = {}
        self._orphans = {}
        self._started_jobs = []
        self.health = executor_health.ExecutorHealth(self.executors_in)
        self._endings = run_endings.RunEndings(
            self.steps, self._forget_advice, self._run_index, self.health
        )

        self._crashes = crash_tracking.CrashTracking(self.steps, self._endings)
        self.standing = standing_work.StandingWork(
            self, replica.jobs, self._planner
        )

    # Jobs

    def add_job(self, job, now_s, wall_s, age_s=None):
        """Add an accepted job.

        :param age_s: time since the job was accepted, or None if unknown
        """
        capacity = pool_loads.host_capacity(
            self.executors_in(self.steps.pool_of(job)), self.executors
        )
        if not job.is_terminal:
            waited_s = age_s
            if waited_s is None:
                waited_s = max(0.0, wall_s - job.accepted_s)
            self.shares.note(job, now_s - waited_s)
        self.steps.add_job(job, now_s, wall_s, age_s, capacity)

    def cancel_job(self, job):
        """Cancel a job, and stop all its runs."""
        job.is_cancelled = True
        self._endings.stop_job(job)

    def give_up_job(self, job, reason):
        """Fail a job that can't go on, and stop its runs.

        :param reason: what callers are told
        """
        job.is_failed = True
        job.give_up_reason = reason
        self._endings.stop_job(job)

    def has_runs(self, job_id):
        """Return whether a run of a job may be executing."""
        return self._run_index.has_runs_of_job(job_id)

    def set_configuration(self, configuration):
        """Apply a newer configuration.

        A quota that is lower than what its workspace uses stops nothing.
        """
        self.steps.set_configuration(configuration)
        self._set_workspaces(configuration.workspaces)
        for workspace in self.steps.quota_waits.workspaces:
            self.steps.resume_workspace(workspace)

    def _set_workspaces(self, workspaces):
        self.shares.workspaces = workspaces
        self.quotas.allotments = quotas.WholeQuotas(workspaces)

    def load_of(self, pool, arriving, ahead_s, now_s):
        """Return the load of a pool; see :func:`pool_loads.measure`."""
        known = self.executors_in(pool.name)
        capacity = pool_loads.host_capacity(known, self.executors)
        return pool_loads.measure(
            pool,
            known,
            capacity,
            self.steps,
            self._may_run,
            arriving,
            ahead_s,
            now_s,
        )

    def _may_run(self, ready_step):
        """Return whether any executor may run a step, as far as known."""
        pool = self.steps.pool_of(ready_step.job)
        if self.advice.lacks_executor(ready_step.key, pool):
            return False
        return self.fleet.may_hold(ready_step.spec)

    def hold_late_work(self, pools):
        """Start no late work in these pools, and in no others than these.

        :returns: whether work that was held back may start now
        """
        released = self._planner.holding_pools - pools
        self._planner.holding_pools = frozenset(pools)
        self.steps.pools_to_schedule |= released
        return bool(released)

    def hold_jobs(self, homes):
        """Start nothing of the jobs of these partitions, and of no others."""
        homes = frozenset(homes)
        if homes == self._planner.held_homes:
            return
        self._planner.held_homes = homes
        self.steps.consider_all()

    @property
    def has_orphans(self):
        """Whether there are runs of no known task to stop."""
        return bool(self._orphans)

    # Executors

    def update_executor(self, entry, now_s):
        """Add or update an executor from the entry that it advertises."""
        self.fleet.note_room(entry.capacity, entry.labels)
        executor = self.executors.get(entry.executor_id)
        if executor is None:
            executor = self._add_executor(entry)
            executor.discovered_s = executor.idle_since_s = now_s
        elif executor.is_after(entry.born_ms):
            # An entry of an incarnation that has ended, stored late.
            return executor
        else:
            self._note_birth(executor, entry.born_ms, now_s)
            self._index.replace_entry(executor, entry)
        executor.missing_since_s = None
        executor.last_contact_s = max(executor.last_contact_s, now_s)
        self.steps.pools_to_schedule.add(entry.pool)
        return executor

    def restore_leases(self, executor, removed, now_s):
        """Count with the leases of an executor that was removed before.

        :param executor: the executor that was added under its id
        :param removed: the incarnation that it was removed with
        """
        born_ms, longest_s = (
            executor.incarnation.born_ms,
            self._longest_lease_s,
        )
        if born_ms == removed.born_ms:
            executor.incarnation = removed.found_again(now_s, longest_s)
        else:
            executor.incarnation = removed.successor(born_ms, now_s, longest_s)
        executor.incarnation.is_leaving = executor.entry.is_leaving

    def _note_birth(self, executor, born_ms, now_s):
        """Process when the incarnation began that an executor tells of.

        Nothing starts on a new one before a poll tells what it runs.
        """
        if not executor.incarnation.born_ms:
            executor.incarnation.born_ms = born_ms
        elif executor.is_followed_by(born_ms):
            self._begin_incarnation(executor, born_ms, now_s)

    def _begin_incarnation(self, executor, born_ms, now_s):
        executor.begin_incarnation(born_ms, now_s, self._longest_lease_s)
        self._unrecorded.pop(executor.executor_id, None)

    def _note_answering(self, executor, poll, now_s):
        """Process which incarnation of an executor has answered a poll."""
        self._note_birth(executor, poll.born_ms, now_s)
        if not executor.is_after(poll.born_ms):
            return
        former = executor.former
        if former is not None and former.born_ms == poll.born_ms:
            executor.resume_former()
        else:
            # The time of day was set back before it began.
            self._begin_incarnation(executor, poll.born_ms, now_s)

    def _add_executor(self, entry):
        executor = executors_module.Executor(
            entry, entry.capacity, run_index=self._run_index
        )
        self.executors[entry.executor_id] = executor
        self._index.add(executor)
        return executor

    def reopen_executor(self, executor):
        """Plan the pool of an executor that was closed to runs."""
        self.steps.pools_to_schedule.add(executor.entry.pool)

    def mark_executor_missing(self, executor_id, now_s):
        """Record that an executor is no longer listed."""
        executor = self.executors.get(executor_id)
        if executor is not None and executor.missing_since_s is None:
            executor.missing_since_s = now_s

    def superseded_executors(self, executor_id, poll):
        """Return the executors that a poll response proves to have ended.

        A host runs one executor incarnation at a time. Executors discovered
        after the poll was sent are left out, since they may be newer than the
        one that responded.
        """
        executor = self.executors.get(executor_id)
        host = executor.entry.host if executor is not None else ''
        return [
            other
            for other in self.executors_on(host)
            if other is not executor and other.discovered_s < poll.sent_s
        ]

    def executors_on(self, host):
        """Return the known incarnations of the executor of a host."""
        return self._index.on_host(host) if host else []

    def remove_executor(
        self, executor_id, now_s, kind=departures.DepartureKind.PLANNED
    ):
        """Remove an executor whose incarnation has ended, with its runs.

        :param kind: whether it was expected to end
        :rtype: ExecutorEnd
        """
        executor = self.executors.get(executor_id)
        if executor is None:
            return ExecutorEnd([], [], kind)
        suspects = []
        if kind is departures.DepartureKind.CRASHED:
            suspects = self._note_crash(
                executor, executor.exposed_runs(), now_s
            )
        finished_runs = self._end_runs(
            executor, list(executor.runs.values()), _Cause.LOST, now_s
        )
        self._index.remove(self.executors.pop(executor_id))
        self._unrecorded.pop(executor_id, None)
        for suspect in suspects:
            if suspect.is_blamed:
                self._endings.give_up(suspect.run)
        return ExecutorEnd(finished_runs, suspects, kind)

    def _note_crash(self, executor, exposed, now_s):
        others = [e for e in self.executors.values() if e is not executor]
        return self._crashes.note_crash(executor, exposed, others, now_s)

    def renew_executor(self, executor_id, poll, now_s):
        """End the runs of an incarnation that another one has followed.

        The new one has the same id. What the poll lists may have been started
        there, when the owner didn't know of it. What was sent and not answered
        may still be started there.

        :returns: the end of the former one, or None if it hasn't ended
        :rtype: ExecutorEnd or None
        """
        executor = self.executors.get(executor_id)
        if executor is None or executor.is_after_poll(poll):
            return None
        self._note_answering(executor, poll, now_s)
        if executor.former is None:
            return None
        unlisted = run_tracking.unlisted_runs(executor, poll)
        suspects = []
        kind = departures.kind_of(executor, departures.Departure.REBORN)
        if kind is departures.DepartureKind.CRASHED:
            exposed = [*executor.former.expired_runs, *unlisted]
            suspects = self._note_crash(executor, exposed, now_s)
        finished_runs = [
            run_tracking.FinishedRun(run, _Cause.LOST, run.checkpoint)
            for run in unlisted
            if not run_tracking.may_start_late(run, poll)
        ]
        for ended in finished_runs:
            self._endings.finish(executor, ended, now_s)
        executor.former = None
        for suspect in suspects:
            if suspect.is_blamed:
                self._endings.give_up(suspect.run)
        return ExecutorEnd(finished_runs, suspects, kind)

    def expire_executor(self, executor_id, now_s):
        """End the runs of an executor whose leases have expired."""
        executor = self.executors[executor_id]
        expired = [
            run
            for run in executor.runs.values()
            if not self._may_hold_longest_lease(executor, run, now_s)
        ]
        executor.last_reached.expired_runs += expired
        return self._end_runs(executor, expired, _Cause.LAPSED, now_s)

    def _may_hold_longest_lease(self, executor, run, now_s):
        """Return whether an incarnation unknown so far may have begun a run.

        The lease in a start counts on the clock of the incarnation that was
        known then.
        """
        if not executor.shares_id or run.phase not in (
            _Phase.SENT,
            _Phase.UNKNOWN,
        ):
            return False
        return now_s <= incarnations.longest_lease_end_s(
            run.phase_changed_s, self._longest_lease_s
        )

    def _end_runs(self, executor, runs, cause, now_s):
        finished_runs = [
            run_tracking.FinishedRun(run, cause, run.checkpoint)
            for run in runs
        ]
        for ended in finished_runs:
            self._endings.finish(executor, ended, now_s)
        return finished_runs

    def inherit(self, now_s, inherited_lease_s):
        """Add the runs that previous owners requested.

        :param inherited_lease_s: time by which the last lease that a previous
            owner may have granted has certainly expired
        """
        for job in self._replica.jobs.values():
            for occurrence in job.occurrences.values():
                for task_id, task in _assigned_tasks(occurrence):
                    executor = self._get_or_add_executor(task.executor, now_s)
                    executor.incarnation.inherit_lease(inherited_lease_s)
                    run = run_tracking.inherit(
                        executor, (task_id, task.run), occurrence, now_s
                    )
                    run.is_stop_requested = job.must_end_runs_of(run.step)

    def _get_or_add_executor(self, executor_id, now_s):
        executor = self.executors.get(executor_id)
        if executor is None:
            entry = executors_module.ExecutorEntry(
                executor_id, '', '', '', specs.Resources()
            )
            executor = self._add_executor(entry)
            executor.missing_since_s = now_s
        return executor

    def handle_poll(self, executor_id, poll, now_s):
        """Process an executor's poll response and return the finished runs."""
        executor = self.executors.get(executor_id)
        if executor is None or executor.is_after_poll(poll):
            return []
        incarnation = executor.incarnation
        was_usable = placement.is_usable(executor, now_s)
        outcome = run_tracking.process_poll(
            executor, poll, self._find_occurrence
        )
        if placement.is_usable(executor, now_s) and not was_usable:
            self.reopen_executor(executor)
        if incarnation.last_processed_end > incarnation.last_recorded_end:
            self._unrecorded[executor_id] = executor
        self._run_index.note_pace_input(executor_id)
        self._note_started(outcome.started_jobs)
        if self._crashes.clear_suspects(executor):
            self.steps.pools_to_schedule.add(executor.entry.pool)
        self._orphans.update(
            {(s.executor_id, s.task_id, s.number): s for s in outcome.orphans}
        )
        for ended in outcome.finished_runs:
            self._endings.finish(executor, ended, now_s)
        for run in self.health.check_progress(
            executor, self._expected_s, now_s
        ):
            run.is_stop_requested = True
        if outcome.finished_runs or not executor.runs:
            self.steps.pools_to_schedule.add(executor.entry.pool)
        return outcome.finished_runs

    def _expected_s(self, run):
        factor = self.steps.estimates.factor(run.occurrence.job.queue)
        return run.step.estimate_s * factor

    def _find_occurrence(self, task_id):
        job = self._replica.jobs.get(task_id.job_id)
        if job is None or task_id.step >= len(job.spec.steps):
            return None
        return job.occurrences.get(task_id.occurrence)

    def _note_started(self, started_jobs):
        for job in started_jobs:
            job.has_started = True
        self._started_jobs += started_jobs

    # Responses from executors

    def handle_start_answer(self, run, answer, now_s):
        """Process the outcome of a start request."""
        executor = self.executors.get(run.executor_id)
        if executor is None:
            return
        ended = run_tracking.apply_start_answer(run, answer, now_s)
        if answer is _Answer.ACCEPTED and not run.occurrence.job.has_started:
            self._note_started([run.occurrence.job])
        self._crashes.note_started(run)
        if answer is _Answer.ACCEPTED or answer in _REJECTIONS:
            self.steps.note_start_answer(run, answer in _REJECTIONS, now_s)
        if answer is _Answer.UNHEALTHY:
            self.health.record_unavailable(executor, now_s)
        if answer is _Answer.BAD_TICKET:
            self.tickets.discard(run.task_id.step_key, run.executor_id)
            self.advice.note_lost_ticket(run.task_id.step_key)
        if answer is _Answer.NO_ROOM:
            self.health.record_no_room(executor, now_s)
        if ended is not None:
            self._endings.finish(executor, ended, now_s)

    def handle_stop_answer(self, run, is_answered, now_s):
        """Record whether a stop request was acknowledged."""
        run_tracking.apply_stop_answer(run, is_answered, now_s)

    # Scheduling

    def plan(self, now_s, wall_s, max_starts=None, is_idle=True):
        """Return the runs to start, to stop and to pace now.

        :param max_starts: number of runs to start, or None for no limit; what
            it leaves out is planned in a later cycle
        :param is_idle: whether no start is in flight, so that a gang may
            exceed the limit
        """
        self.steps.activate_due(now_s, wall_s)
        self._resume_workspaces()
        shares = start_shares.StartShares(is_idle=is_idle)
        if max_starts is not None:
            shares.left = max_starts
        starts = self._plan_starts(now_s, shares) if shares.left else []
        self.is_limited = not shares.left
        stops = [
            run
            for run in self._run_index.stop_candidates()
            if run_tracking.needs_stop(run, now_s)
        ]
        orphans = list(self._orphans.values())
        self._orphans.clear()
        return SchedulingPlan(starts, stops, orphans, self._plan_paces(now_s))

    def _resume_workspaces(self):
        """Consider the steps again for which quota has become free."""
        freed_by_lasting = self.quotas.pop_freed_by_lasting()
        for workspace in self.quotas.pop_freed():
            waits = self.steps.quota_waits
            needed = waits.needed(workspace)
            is_admitted = needed is not None and self.quotas.admits(
                workspace, needed
            )
            if is_admitted or (
                workspace in freed_by_lasting
                and waits.has_oversized(workspace)
            ):
                self.steps.resume_workspace(workspace)

    def _plan_starts(self, now_s, shares):
        reopening = self._planner.reopening_pools(now_s)
        stale = self.steps.pools_to_schedule | reopening
        self.steps.pools_to_schedule = set()
        pools = {pool: self.executors_in(pool) for pool in sorted(stale)}
        starts = self._planner.plan(pools, now_s, shares)
        if not shares.left:
            self.steps.pools_to_schedule |= stale
        self.steps.pools_to_schedule |= self._planner.waiting_pools
        for run in starts:
            self._endings.note_changed(run)
        return starts

    def _plan_paces(self, now_s):
        candidates = [
            self.executors[executor_id]
            for executor_id in self._run_index.pace_candidates()
        ]
        candidates.sort(key=lambda executor: executor.number)
        changes = []
        for executor in candidates:
            runs = executor.runs.values()
            changes += pacing.plan(runs, now_s)
            if pacing.are_settled(runs):
                self._run_index.note_paces_settled(executor.executor_id)
        return changes

    def steps_awaiting_advice(self, now_s):
        """Return the steps that wait for advice, with their queues."""
        return [
            (step, queue)
            for step in self.steps.pending_advised()
            for queue in [self.steps.queue_of(step.occurrence.job)]
            if self.fleet.may_hold(step.spec)
            if advice_turns.is_unplaced(step, now_s)
            or not self.tickets.valid(step.key, now_s)
        ]

    def next_advice_request(self, now_s, is_from_end=False):
        """Return the next call to the advice service, or None.

        :param is_from_end: whether to choose the step that is last in line
        :rtype: advice_turns.AdviceRequest | None
        """
        return self.advice.choose(
            self.steps_awaiting_advice(now_s),
            self.executors_in,
            now_s,
            is_from_end,
        )

    def note_advice(self, request, good, asked_s):
        """Record the answer to a call to the advice service.

        :param good: ticket texts by executor
        :param asked_s: when the call was sent
        """
        key, queue = request.ready_step.key, request.queue
        if self.advice.note_answer(request, good) and good:
            validity_s = queue.advice.validity_s
            self.tickets.note(key, good, validity_s, asked_s)
            self.steps.pools_to_schedule.add(queue.pool)

    def _forget_advice(self, job_id):
        self.tickets.discard_job(job_id)
        self.advice.discard_job(job_id)

    def executors_in(self, pool):
        """Return the executors of a pool."""
        return self._index.in_pool(pool)

    def can_run_elsewhere(self, run, now_s):
        """Return True if another executor in the pool could run the task."""
        pool = self.steps.pool_of(run.occurrence.job)
        return any(
            executor.executor_id != run.executor_id
            and not executor.is_due
            and placement.is_usable(executor, now_s)
            and placement.can_place(executor, run.step, run.task_id)
            for executor in self.executors_in(pool)
        )

    def count_serving_peers(self, run, now_s):
        """Return how many other tasks of a long-running step are serving.

        Executors on which a previous owner may just have stopped runs are
        excluded, since those runs may be about to end, and executors that
        don't answer polls, since their runs may have ended.
        """
        return sum(
            other.percent >= 100
            and not other.is_stop_requested
            and other is not run
            and other.occurrence is run.occurrence
            and other.task_id.step == run.task_id.step
            and self.executors[other.executor_id].is_known_to_serve(now_s)
            for other in self._run_index.runs_of_job(run.task_id.job_id)
        )

    def refresh_ticket(self, run, now_s):
        """Give a planned run that needs a ticket the newest one.

        :returns: False if that has expired
        """
        if not run.ticket:
            return True
        run.ticket = self.tickets.to_send(
            run.task_id.step_key, run.executor_id, now_s
        )
        return bool(run.ticket)

    def withdraw_run(self, run, now_s):
        """Remove a planned run whose start request was not sent."""
        executor = self.executors.get(run.executor_id)
        if executor is not None:
            self._endings.finish(
                executor, run_tracking.FinishedRun(run, None), now_s
            )

    # Persistence

    def pop_changed(self):
        """Return the occurrences that changed since the last call."""
        return self._endings.pop_changed()

    def pop_started_jobs(self):
        """Return the jobs that have begun since the last call."""
        started, self._started_jobs = self._started_jobs, []
        return started

    def unrecorded_ends(self):
        """Return each executor's last processed end that isn't stored yet.

        :returns: its sequence and the birth of the incarnation, by executor
        """
        in_order = sorted(self._unrecorded.values(), key=lambda e: e.number)
        return {
            e.executor_id: (
                e.incarnation.last_processed_end,
                e.incarnation.born_ms,
            )
            for e in in_order
        }

    def mark_ends_recorded(self, ends):
        """Record that ends are stored, so that executors may discard them."""
        for executor_id, (sequence, born_ms) in ends.items():
            executor = self.executors.get(executor_id)
            if executor is None or executor.incarnation.born_ms != born_ms:
                continue
            incarnation = executor.incarnation
            incarnation.last_recorded_end = sequence
            if incarnation.last_processed_end <= sequence:
                self._unrecorded.pop(executor_id, None)


def _assigned_tasks(occurrence):
    return [
        (task_id, task)
        for task_id, task in occurrence.numbered_tasks()
        if task.state is jobs.TaskState.ASSIGNED
    ]
