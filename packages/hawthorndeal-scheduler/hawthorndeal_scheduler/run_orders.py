"""Orders to executors on behalf of the owner, and their answers."""

import collections
import itertools

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import call_window
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_platform import executor_orders

_Answer = run_tracking.StartAnswer
# The executor has done nothing, whichever incarnation answered.
_WITHOUT_EFFECT = (_Answer.GONE, _Answer.UNHEALTHY)


def target_of(executor):
    """Return the address and expected identity for calls to an executor."""
    entry = executor.entry
    return executor_orders.Target(entry.executor_id, entry.address)


class RunOrders:
    """Starts, stops and throttles runs; each call runs in its own task.

    :param owner: its epoch fences the orders
    :param client: an :class:`executor_orders.Executors`
    :param metrics: counts the answers
    :ivar starts: determines how many starts may be in flight
    :ivar stops: determines how many stops may be in flight
    """

    def __init__(self, owner, client, metrics):
        self._owner = owner
        self._client = client
        self._metrics = metrics
        self.starts = call_window.CallWindow()
        self.stops = call_window.CallWindow()
        self._are_stops_left = False

    def note_pause(self, took_s):
        """Record that the owner was busy and read no answers meanwhile."""
        self.starts.note_pause(took_s)
        self.stops.note_pause(took_s)

    # Starts

    def send_start(self, run):
        """Start a run whose record has been stored."""
        owner = self._owner
        executor = owner.scheduler.executors.get(run.executor_id)
        if executor is None or run.key not in executor.runs:
            return
        may_start = owner.may_renew_leases() and executor.may_start(run)
        if run.is_stop_requested or not may_start:
            owner.scheduler.withdraw_run(run, owner.now_s())
            owner.wake()
            return
        run.phase = run_state.RunPhase.SENT
        run.phase_changed_s = owner.now_s()
        # Grants the lease before the call: a run in phase SENT without a lease
        # counts as lapsed.
        grant = executor.incarnation.grant_lease(owner.lease_s, owner.now_s())
        sent = self.starts.note_sent(run.executor_id, owner.now_s())
        owner.tasks.spawn(self._send_start_call(run, executor, grant, sent))

    async def _send_start_call(self, run, executor, grant, sent):
        owner = self._owner
        order = executor_orders.StartOrder(
            run.task_id,
            run.number,
            run.occurrence.job.spec.payload,
            grant.deadline_s,
            owner.epoch,
            run.task.checkpoint,
            run.ticket,
        )
        answer, clock_s = _Answer.UNKNOWN, None
        try:
            answer, clock_s = await self._client.start(
                target_of(executor), order
            )
        finally:
            is_answered = answer is not _Answer.UNKNOWN
            self.starts.note_end(sent, is_answered, owner.now_s())
        if answer is _Answer.UNKNOWN:
            self._metrics.note_unanswered_call('start')
        answer = self._check_incarnation(executor, grant, answer, clock_s)
        self._log_start(run, executor, answer)
        self._handle_start_answer(run, executor, grant.incarnation, answer)

    def _check_incarnation(self, executor, grant, answer, clock_s):
        """Return the answer to a start, or UNKNOWN if another incarnation ran.

        Whether the incarnation that has answered an accepted start is the
        present one isn't known then; the next poll tells.

        :param grant: the lease that the start carried
        :param clock_s: the clock of the one that has answered, or None
        """
        incarnation = grant.incarnation
        if answer in _WITHOUT_EFFECT:
            incarnation.end_grant(grant, True)
            return answer
        is_present = executor.incarnation is incarnation
        is_own = is_present and (
            not executor.shares_id
            or clock_s is not None
            and incarnation.may_have_answered(grant, clock_s)
        )
        incarnation.end_grant(grant, is_own and answer is not _Answer.UNKNOWN)
        if is_own and clock_s is not None:
            incarnation.update_clock(clock_s, self._owner.now_s())
            executor.note_answer(self._owner.now_s())
        if is_present and not is_own and clock_s is not None:
            incarnation.doubt()
            self._owner.events.write(
                'incarnation_doubted', executor=executor.executor_id
            )
        if answer is _Answer.ACCEPTED and not is_own:
            return _Answer.UNKNOWN
        return answer

    def _log_start(self, run, executor, answer):
        self._metrics.note_start(answer.value)
        is_started = answer is _Answer.ACCEPTED
        owner = self._owner
        owner.events.write(
            'run_started' if is_started else 'run_not_started',
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            second_choice=run.second_choice,
            answer=answer.value,
            epoch=owner.epoch,
            free_millicores=executor.free.cpu_millicores,
            planned_s=round(owner.now_s() - run.planned_s, 4),
        )

    def _handle_start_answer(self, run, executor, incarnation, answer):
        owner = self._owner
        if answer is _Answer.FENCED:
            owner.lose_ownership('an executor has seen a newer epoch')
        elif answer is not _Answer.GONE or not owner.tracker.note_gone(
            executor, incarnation
        ):
            owner.scheduler.handle_start_answer(run, answer, owner.now_s())
            owner.tracker.poll_soon(executor)
            # That a suspect of a crash has started is stored at once.
            if (
                answer is not _Answer.ACCEPTED
                or run.is_suspect
                or self._may_start_others()
            ):
                owner.wake()

    def _may_start_others(self):
        owner = self._owner
        is_limited = owner.scheduler.is_limited
        return is_limited and self.starts.has_room(owner.now_s())

    # Stops

    def send_stops(self, runs):
        """Stop as many of the runs as may be stopped now.

        The others are left to a later cycle. Executors take turns, so that
        one that doesn't answer leaves room for stops on others.
        """
        free = self.stops.free_calls(self._owner.now_s())
        self._are_stops_left = len(runs) > free
        for run in itertools.islice(_take_turns(runs), free):
            self._send_stop(run)

    def _send_stop(self, run):
        run.is_stop_in_flight = True
        self._owner.tasks.spawn(self._send_stop_call(run))

    async def _send_stop_call(self, run):
        owner = self._owner
        is_answered = await self._try_stop(
            run.executor_id, run.task_id, run.number
        )
        owner.scheduler.handle_stop_answer(run, is_answered, owner.now_s())
        self._log_stop('run_stop', run, is_answered)
        if self._are_stops_left and self.stops.has_room(owner.now_s()):
            owner.wake()

    def send_stray_stop(self, stray):
        """Stop a run that belongs to no known task."""
        self._owner.tasks.spawn(self._send_stray_stop_call(stray))

    async def _send_stray_stop_call(self, stray):
        is_answered = await self._try_stop(
            stray.executor_id, stray.task_id, stray.number
        )
        self._log_stop('stray_run_stop', stray, is_answered)

    def _log_stop(self, event, run, is_answered):
        self._owner.events.write(
            event,
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            is_answered=is_answered,
        )

    # Paces

    def send_pace(self, order):
        """Change the pace of a run."""
        run = order.run
        run.pace_percent, before = order.percent, run.pace_percent
        run.pace_changed_s = self._owner.now_s()
        self._owner.tasks.spawn(self._send_pace_call(run, before))

    async def _send_pace_call(self, run, before):
        owner = self._owner
        executor = owner.scheduler.executors.get(run.executor_id)
        if executor is None:
            return
        outcome = 'done'
        try:
            await self._client.set_pace(
                target_of(executor),
                run.task_id,
                run.number,
                run.pace_percent,
                owner.epoch,
            )
        except errors.PlatformError as error:
            outcome = str(error)[:80]
            run.note_pace_lost()
        owner.events.write(
            'run_paced',
            task=str(run.task_id),
            executor=run.executor_id,
            percent=run.pace_percent,
            before=before,
            outcome=outcome,
        )

    async def _try_stop(self, executor_id, task_id, number):
        owner = self._owner
        executor = owner.scheduler.executors.get(executor_id)
        if executor is None or not executor.entry.address:
            return False
        incarnation = executor.incarnation
        sent = self.stops.note_sent(executor_id, owner.now_s())
        is_answered = True
        try:
            await self._client.stop(
                target_of(executor), task_id, number, owner.epoch
            )
        except executor_orders.ExecutorGone:
            owner.tracker.note_gone(executor, incarnation)
            return False
        except errors.PlatformError:
            # The stop is repeated until it is answered or the run has ended.
            self._metrics.note_unanswered_call('stop')
            is_answered = False
        finally:
            self.stops.note_end(sent, is_answered, owner.now_s())
        return is_answered


def _take_turns(runs):
    """Yield runs of one executor after the other, again and again."""
    by_executor = collections.defaultdict(list)
    for run in runs:
        by_executor[run.executor_id].append(run)
    turns = itertools.zip_longest(*by_executor.values())
    return (run for turn in turns for run in turn if run is not None)
