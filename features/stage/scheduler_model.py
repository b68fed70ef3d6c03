"""Model-based test of a scheduler with reordered, lost and late calls.

The model is the minimal daemon around a scheduler: it stores records before it
sends orders, and does nothing on its own. Each call in flight is executed,
answered, lost or delayed by an explicit action.
"""

import random

import attrs

from fakes import task_executors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import replica as replica_module
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import scheduler as scheduler_module
from hawthorndeal_jobs import specs
from hawthorndeal_platform import executor_orders
from stage import run_checker
from stage import scheduler_harness

EXECUTOR_COUNT = 3
LEASE_S = 4.0
# Turns without faults at the end, in which all accepted jobs can complete.
RECOVERY_TURNS = 400
RECOVERY_TURN_S = 0.1

_Answer = run_tracking.StartAnswer


@attrs.define(eq=False)
class Call:
    """A call to an executor that is in flight.

    :ivar operation: executes the call and returns the response
    :ivar on_answer: handles the response; called with None if it is unknown
    :ivar response: response that is not handled yet
    """

    sent_s: float
    executor: task_executors.FakeExecutor
    operation: object
    on_answer: object
    is_delivered: bool = False
    response: object = None

    def deliver(self):
        """Execute the call once; do nothing if the executor is cut off."""
        if self.is_delivered or self.executor.is_cut:
            return
        self.is_delivered = True
        try:
            self.response = self.operation()
        except (
            executor_orders.ExecutorGone,
            executor_orders.ExecutorFenced,
        ):
            self.response = None


class SchedulerModel(run_checker.RunChecker):
    """A scheduler, its store and its executors, on a manual clock."""

    def __init__(self):
        super().__init__(random.Random(0))
        self._now_s = 100.0
        self._records = {}
        self._order_sent_s = 0.0
        self._epoch = 0
        self._calls = []
        self._late_calls = []
        self._unreachable = set()
        self._last_executor_number = 0
        self.hosts = [None] * EXECUTOR_COUNT
        for host in range(EXECUTOR_COUNT):
            self._start_executor(host)
        self._begin_epoch()

    # Interface of the run checker

    def now_s(self):
        """Return the monotonic time."""
        return self._now_s

    def order_sent_s(self):
        """Return the send time of the order in execution."""
        return self._order_sent_s

    def find_record(self, key):
        """Return the newest stored record with a key, or None."""
        return self._records.get(key)

    def stored_status(self, job_id):
        """Return None: the model stores no statuses."""
        return None

    # Store and takeover

    def _store(self, records):
        self._records.update({record.key: record for record in records})

    def _begin_epoch(self):
        """Replace the scheduler by one of the next epoch, from the store."""
        self._epoch += 1
        self._late_calls += self._calls
        self._calls = []
        self._unreachable = set()
        replica = replica_module.Replica()
        for offset, record in enumerate(self._records.values()):
            replica.apply(record.key, record.value, offset)
        replica.is_owned = True
        self._replica = replica
        self._scheduler = scheduler_module.Scheduler(
            replica, scheduler_harness.CONFIGURATION
        )
        for executor in self.hosts:
            self._scheduler.update_executor(executor.entry, self._now_s)
        self._scheduler.inherit(
            self._now_s,
            ownership.inherited_lease_expiry_s(self._now_s, LEASE_S),
        )
        for job in list(replica.jobs.values()):
            self._scheduler.add_job(job, self._now_s, self._now_s)

    # Executors

    def _start_executor(self, host):
        self._last_executor_number += 1
        entry = task_executors.make_entry(
            f'x{self._last_executor_number}',
            f'h{host}',
            scheduler_harness.POOL,
            'z',
            'r',
            capacity=specs.Resources(4000, 65536),
        )
        executor = task_executors.FakeExecutor(self, entry, 0.99)
        self.executors[entry.executor_id] = executor
        self.hosts[host] = executor

    def _tracked_executor(self, executor):
        return self._scheduler.executors.get(executor.entry.executor_id)

    # Actions; each takes a number that selects the target or the variant.

    def submit(self, choice):
        """Accept a job."""
        job_id = f'j{len(self.specs)}'
        counts = ((1,), (3,), (2, 2), (1, 2, 1))[choice % 4]
        spec = scheduler_harness.steps(
            *counts, max_per_executor=(choice // 4) % 2 * 2
        )
        self.specs[job_id] = spec
        pool = scheduler_harness.POOL
        submission = journal.Submission(pool, pool, self._now_s, spec)
        record = journal.submission_record(job_id, submission)
        self._store([record])
        folded = self._replica.apply(record.key, record.value, 0)
        self._scheduler.add_job(
            folded.job, self._now_s, self._now_s, age_s=0.0
        )

    def cancel(self, choice):
        """Cancel a job."""
        if not self.specs:
            return
        job_id = sorted(self.specs)[choice % len(self.specs)]
        record = journal.cancel_record(job_id)
        self._store([record])
        folded = self._replica.apply(record.key, record.value, choice)
        self.cancelled.setdefault(job_id, self._now_s)
        if folded is not None:
            self._scheduler.cancel_job(folded.job)

    def turn(self, choice=0):
        """Run one cycle of planning, storing and sending.

        Some choices end the epoch before or after the records are stored, or
        limit the starts.
        """
        self._remove_unlisted()
        turn = self._scheduler.plan(
            self._now_s,
            self._now_s,
            START_LIMITS[choice // 16],
            is_idle=choice % 2 == 0,
        )
        for run in turn.stops:
            run.is_stop_in_flight = True
            self._send_stop(run)
        for stray in turn.orphans:
            self._send_stray_stop(stray)
        if choice % 16 == 15:
            self._begin_epoch()
            return
        self._store(
            [journal.progress_record(o) for o in self._scheduler.pop_changed()]
        )
        if choice % 16 == 14:
            self._begin_epoch()
            return
        ends = self._scheduler.unrecorded_ends()
        self._scheduler.mark_ends_recorded(ends)
        for run in turn.starts:
            self._send_start(run)

    def _remove_unlisted(self):
        listed = {executor.entry.executor_id for executor in self.hosts}
        for known in list(self._scheduler.executors.values()):
            is_listed = known.executor_id in listed
            if not is_listed and known.incarnation.is_lease_expired(
                self._now_s
            ):
                self._scheduler.remove_executor(known.executor_id, self._now_s)

    def take_over(self, choice):
        """Let another daemon become the owner."""
        self._begin_epoch()

    def poll_executor(self, choice):
        """Send a poll to an executor, which renews its lease."""
        executor = self.hosts[choice % EXECUTOR_COUNT]
        known = self._tracked_executor(executor)
        if known is None:
            return
        deadline_s = None
        if (
            known.incarnation.clock_s is not None
            and known.executor_id not in self._unreachable
        ):
            deadline_s = known.incarnation.grant_lease(
                LEASE_S, self._now_s
            ).deadline_s
        epoch, last_end = self._epoch, known.incarnation.last_recorded_end
        sent_s = self._now_s
        self._send(
            executor,
            lambda: (
                *executor.poll(epoch, last_end, deadline_s),
                executor.clock_s(),
            ),
            lambda answer: self._handle_poll_answer(known, sent_s, answer),
        )

    def deliver(self, choice):
        """Execute a call whose response stays in flight."""
        if self._calls:
            self._calls[choice % len(self._calls)].deliver()

    def answer(self, choice):
        """Execute a call and handle its response."""
        call = self._pop_call(choice)
        if call is not None:
            call.deliver()
            call.on_answer(call.response)

    def lose_answer(self, choice):
        """Execute a call and lose its response."""
        call = self._pop_call(choice)
        if call is not None:
            call.deliver()
            call.on_answer(None)

    def delay(self, choice):
        """Let a call time out; it may be executed later."""
        call = self._pop_call(choice)
        if call is not None:
            self._late_calls.append(call)
            call.on_answer(None)

    def drop(self, choice):
        """Lose a call before it is executed."""
        call = self._pop_call(choice)
        if call is not None:
            call.on_answer(None)

    def deliver_late(self, choice):
        """Execute a call that has timed out."""
        if self._late_calls:
            self._late_calls.pop(choice % len(self._late_calls)).deliver()

    def toggle_connection(self, choice):
        """Cut off an executor, or reconnect it."""
        executor = self.hosts[choice % EXECUTOR_COUNT]
        executor.is_cut = not executor.is_cut

    def wait(self, choice):
        """Advance the time, and time out calls that are due."""
        self._now_s += (0.02, 0.1, 0.5, 2.0)[choice % 4]
        for call in list(self._calls):
            if self._now_s - call.sent_s > executor_orders.CALL_TIMEOUT_S:
                self._calls.remove(call)
                self._late_calls.append(call)
                call.on_answer(None)
        for executor in self.hosts:
            executor.advance()

    def crash(self, choice):
        """Crash an executor and start a new one on its host."""
        host = choice % EXECUTOR_COUNT
        ended = self.hosts[host]
        ended.crash()
        self._start_executor(host)
        executor_id = ended.entry.executor_id
        self._scheduler.remove_executor(executor_id, self._now_s)
        self._scheduler.update_executor(self.hosts[host].entry, self._now_s)

    # Calls

    def _send(self, executor, operation, on_answer):
        sent_s = self._now_s

        def execute():
            self._order_sent_s = sent_s
            return operation()

        self._calls.append(Call(sent_s, executor, execute, on_answer))

    def _pop_call(self, choice):
        if not self._calls:
            return None
        return self._calls.pop(choice % len(self._calls))

    def _executor_of(self, executor_id):
        return self.executors[executor_id]

    def _send_start(self, run):
        known = self._scheduler.executors.get(run.executor_id)
        if known is None or run.key not in known.runs:
            return
        if run.is_stop_requested:
            self._scheduler.withdraw_run(run, self._now_s)
            return
        run.phase = run_state.RunPhase.SENT
        run.phase_changed_s = self._now_s
        order = executor_orders.StartOrder(
            run.task_id,
            run.number,
            run.occurrence.job.spec.payload,
            known.incarnation.grant_lease(LEASE_S, self._now_s).deadline_s,
            self._epoch,
            run.task.checkpoint,
        )
        executor = self._executor_of(run.executor_id)
        self._send(
            executor,
            lambda: executor.start(order),
            lambda answer: self._handle_start_answer(run, answer),
        )

    def _handle_start_answer(self, run, answer):
        response = _Answer.UNKNOWN if answer is None else answer[0]
        if response is _Answer.GONE:
            response = _Answer.UNKNOWN
        self._scheduler.handle_start_answer(run, response, self._now_s)

    def _send_stop(self, run):
        executor = self._executor_of(run.executor_id)
        epoch = self._epoch

        def operation():
            executor.stop(run.task_id, run.number, epoch)
            return True

        self._send(
            executor,
            operation,
            lambda answer: self._scheduler.handle_stop_answer(
                run, answer is not None, self._now_s
            ),
        )

    def _send_stray_stop(self, stray):
        executor = self._executor_of(stray.executor_id)
        epoch = self._epoch
        self._send(
            executor,
            lambda: executor.stop(stray.task_id, stray.number, epoch),
            lambda answer: None,
        )

    def _handle_poll_answer(self, known, sent_s, answer):
        if self._scheduler.executors.get(known.executor_id) is not known:
            return
        if answer is None:
            self._unreachable.add(known.executor_id)
            if known.incarnation.is_lease_expired(self._now_s):
                self._scheduler.expire_executor(known.executor_id, self._now_s)
            return
        self._unreachable.discard(known.executor_id)
        running, ended, clock_s = answer
        poll = run_state.ExecutorPoll(
            sent_s, self._now_s, clock_s, running, ended
        )
        self._scheduler.handle_poll(known.executor_id, poll, self._now_s)

    # Final checks

    def finish(self):
        """Run without faults and return the ids of jobs that are not done."""
        for executor in self.hosts:
            executor.is_cut = False
        for _ in range(RECOVERY_TURNS):
            self.turn()
            for host in range(EXECUTOR_COUNT):
                self.poll_executor(host)
            while self._late_calls:
                self.deliver_late(0)
            while self._calls:
                self.answer(0)
            self._now_s += RECOVERY_TURN_S
        return [
            job.job_id
            for job in self._replica.jobs.values()
            if not (job.is_done or job.job_id in self.cancelled)
        ]

    def check_accounting(self):
        """Check that the scheduler accounts for resources consistently."""
        for executor in self._scheduler.executors.values():
            used = executor.entry.capacity
            for run in executor.runs.values():
                used = used - run.reserved
            assert used == executor.free, (executor.executor_id, executor.free)
        for step in self._scheduler.steps.pending():
            assert len(set(step.pending)) == len(step.pending), step.key


REGULAR_ACTIONS = (
    'submit',
    'turn',
    'poll_executor',
    'deliver',
    'answer',
    'wait',
)
START_LIMITS = (None, 0, 1, 2)
FAULTS = (
    'lose_answer',
    'delay',
    'drop',
    'deliver_late',
    'toggle_connection',
    'crash',
    'take_over',
    'cancel',
)
# Turns, polls and answers outnumber faults, as in production.
REGULAR_ACTION_WEIGHT = 4


def actions_with_faults(faults):
    """Return the actions to draw from, with these kinds of faults."""
    return (*REGULAR_ACTIONS * REGULAR_ACTION_WEIGHT, *faults)


def run_actions(actions):
    """Run pairs of action name and choice on a new model; return the model."""
    model = SchedulerModel()
    for name, choice in actions:
        getattr(model, name)(choice)
        model.check_accounting()
    return model
