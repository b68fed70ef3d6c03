"""Play any sequence of orders, answers and losses on a scheduler.

The model plays the daemon around a scheduler in its plainest form: it stores
before it sends, and sends nothing of itself. What is under way is carried
out, answered, lost or late as the play says.
"""

import random

import attrs

from fakes import task_executors
from hawthorndeal_jobs import executors as executors_module
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import replica as replica_module
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import scheduler as scheduler_module
from hawthorndeal_platform import executor_orders
from stage import run_judge
from stage import scheduler_harness

EXECUTORS = 3
LEASE_S = 4.0
# A calm end: all work that was accepted has time to be done.
END_TURNS = 400
END_TURN_S = 0.1

_Answer = run_tracking.StartAnswer


@attrs.define(eq=False)
class Call:
    """Hold an order that is under way.

    :ivar act: carries it out on the executor, and returns what that says
    :ivar take: takes in what the executor said; None where it isn't known
    :ivar said: what it said, on its way back
    """

    sent_s: float
    executor: task_executors.FakeExecutor
    act: object
    take: object
    is_carried_out: bool = False
    said: object = None

    def carry_out(self):
        """Have the executor carry it out, once; cut off, it never will."""
        if self.is_carried_out or self.executor.is_cut:
            return
        self.is_carried_out = True
        try:
            self.said = self.act()
        except (
            executor_orders.ExecutorGone,
            executor_orders.ExecutorFenced,
        ):
            self.said = None


class SchedulerModel(run_judge.RunJudge):
    """Be a scheduler, its store and its executors, without any waiting."""

    def __init__(self):
        super().__init__(random.Random(0))
        self._now_s = 100.0
        self._records = {}
        self._ordered_s = 0.0
        self._epoch = 0
        self._calls = []
        self._late = []
        self._lost = set()
        self._lives = 0
        self.hosts = [None] * EXECUTORS
        for host in range(EXECUTORS):
            self._begin_life(host)
        self._begin_epoch()

    # What the judge needs

    def now_s(self):
        """Return the steady time."""
        return self._now_s

    def ordered_s(self):
        """Return when the order now carried out was sent."""
        return self._ordered_s

    def find_record(self, key):
        """Return the newest stored record with a key, or None."""
        return self._records.get(key)

    # Store and takeover

    def _store(self, records):
        self._records.update({record.key: record for record in records})

    def _begin_epoch(self):
        """Have another daemon take over with what the store holds."""
        self._epoch += 1
        self._late += self._calls
        self._calls = []
        self._lost = set()
        replica = replica_module.Replica()
        for offset, record in enumerate(self._records.values()):
            replica.apply(record.key, record.value, offset)
        replica.own_epoch = self._epoch
        self._replica = replica
        self._scheduler = scheduler_module.Scheduler(
            replica, scheduler_harness.CONFIGURATION
        )
        for executor in self.hosts:
            self._scheduler.update_executor(
                self._entry_of(executor), self._now_s
            )
        self._scheduler.inherit(
            self._now_s,
            ownership.inherited_lease_expiry_s(self._now_s, LEASE_S),
        )
        for job in list(replica.jobs.values()):
            self._scheduler.add_job(job, self._now_s, self._now_s)

    # Executors

    def _begin_life(self, host):
        self._lives += 1
        entry = task_executors.make_entry(
            f'x{self._lives}',
            f'h{host}',
            scheduler_harness.POOL,
            'z',
            'r',
            cores=4,
        )
        executor = task_executors.FakeExecutor(self, entry, 0.99)
        self.executors[entry.executor_id] = executor
        self.hosts[host] = executor

    def _entry_of(self, executor):
        return attrs.evolve(executor.entry, clock_s=executor.clock_s())

    def _known(self, executor):
        return self._scheduler.executors.get(executor.entry.executor_id)

    # Actions; each takes a number that chooses among what there is

    def submit(self, choice):
        """Have a job accepted."""
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
        """Have a job cancelled."""
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
        """Decide, store and send; sometimes it gets no further."""
        self._end_unlisted()
        turn = self._scheduler.plan(self._now_s, self._now_s)
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

    def _end_unlisted(self):
        listed = {executor.entry.executor_id for executor in self.hosts}
        for known in list(self._scheduler.executors.values()):
            is_listed = known.executor_id in listed
            if not is_listed and known.is_lease_expired(self._now_s):
                self._scheduler.remove_executor(known.executor_id, self._now_s)

    def take_over(self, choice):
        """Have another daemon become the owner."""
        self._begin_epoch()

    def poll(self, choice):
        """Look at an executor."""
        executor = self.hosts[choice % EXECUTORS]
        known = self._known(executor)
        if known is None:
            return
        deadline_s = None
        if known.clock_s is not None and known.executor_id not in self._lost:
            deadline_s = known.grant_lease(LEASE_S, self._now_s)
        epoch, last_end = self._epoch, known.last_recorded_end
        sent_s = self._now_s
        self._send(
            executor,
            lambda: (
                *executor.poll(epoch, last_end, deadline_s),
                executor.clock_s(),
            ),
            lambda answer: self._take_look(known, sent_s, answer),
        )

    def carry_out(self, choice):
        """Have a call carried out, with its answer still on its way."""
        if self._calls:
            self._calls[choice % len(self._calls)].carry_out()

    def answer(self, choice):
        """Have a call carried out and answered."""
        call = self._pick(choice)
        if call is not None:
            call.carry_out()
            call.take(call.said)

    def lose_answer(self, choice):
        """Have a call carried out, and its answer lost."""
        call = self._pick(choice)
        if call is not None:
            call.carry_out()
            call.take(None)

    def delay(self, choice):
        """Have a call time out, and be carried out later."""
        call = self._pick(choice)
        if call is not None:
            self._late.append(call)
            call.take(None)

    def drop(self, choice):
        """Have a call lost before it is carried out."""
        call = self._pick(choice)
        if call is not None:
            call.take(None)

    def arrive(self, choice):
        """Have a late call carried out."""
        if self._late:
            self._late.pop(choice % len(self._late)).carry_out()

    def cut(self, choice):
        """Have an executor not be reached, or be reached again."""
        executor = self.hosts[choice % EXECUTORS]
        executor.is_cut = not executor.is_cut

    def wait(self, choice):
        """Let time pass."""
        self._now_s += (0.02, 0.1, 0.5, 2.0)[choice % 4]
        for call in list(self._calls):
            if self._now_s - call.sent_s > executor_orders.CALL_TIMEOUT_S:
                self._calls.remove(call)
                self._late.append(call)
                call.take(None)
        for executor in self.hosts:
            executor.advance()

    def crash(self, choice):
        """Have an executor die, and its host come back with another."""
        host = choice % EXECUTORS
        ended = self.hosts[host]
        ended.crash()
        self._begin_life(host)
        executor_id = ended.entry.executor_id
        self._scheduler.remove_executor(executor_id, self._now_s)
        self._scheduler.update_executor(
            self._entry_of(self.hosts[host]), self._now_s
        )

    # Calls

    def _send(self, executor, act, take):
        sent_s = self._now_s

        def act_there():
            self._ordered_s = sent_s
            return act()

        self._calls.append(Call(sent_s, executor, act_there, take))

    def _pick(self, choice):
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
        run.phase = executors_module.RunPhase.SENT
        run.phase_changed_s = self._now_s
        order = executor_orders.StartOrder(
            run.task_id,
            run.number,
            run.occurrence.job.spec.payload,
            known.grant_lease(LEASE_S, self._now_s),
            self._epoch,
            run.task.checkpoint,
        )
        executor = self._executor_of(run.executor_id)
        self._send(
            executor,
            lambda: executor.start(order),
            lambda answer: self._take_start(run, answer),
        )

    def _take_start(self, run, answer):
        said = _Answer.UNKNOWN if answer is None else answer[0]
        if said is _Answer.GONE:
            said = _Answer.UNKNOWN
        self._scheduler.handle_start_answer(run, said, self._now_s)

    def _send_stop(self, run):
        executor = self._executor_of(run.executor_id)
        epoch = self._epoch

        def act():
            executor.stop(run.task_id, run.number, epoch)
            return True

        self._send(
            executor,
            act,
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

    def _take_look(self, known, sent_s, answer):
        if self._scheduler.executors.get(known.executor_id) is not known:
            return
        if answer is None:
            self._lost.add(known.executor_id)
            if known.is_lease_expired(self._now_s):
                self._scheduler.expire_executor(known.executor_id, self._now_s)
            return
        self._lost.discard(known.executor_id)
        running, ended, clock_s = answer
        poll = executors_module.ExecutorPoll(
            sent_s, self._now_s, clock_s, running, ended
        )
        self._scheduler.handle_poll(known.executor_id, poll, self._now_s)

    # The end

    def finish(self):
        """Let all trouble be over, and return jobs that were not done."""
        for executor in self.hosts:
            executor.is_cut = False
        for _ in range(END_TURNS):
            self.turn()
            for host in range(EXECUTORS):
                self.poll(host)
            while self._late:
                self.arrive(0)
            while self._calls:
                self.answer(0)
            self._now_s += END_TURN_S
        return [
            job.job_id
            for job in self._replica.jobs.values()
            if not (job.is_done or job.job_id in self.cancelled)
        ]

    def check_accounting(self):
        """Raise when the scheduler's own figures contradict each other."""
        for executor in self._scheduler.executors.values():
            used = executor.entry.capacity
            for run in executor.runs.values():
                used = used - run.reserved
            assert used == executor.free, (executor.executor_id, executor.free)
        for step in self._scheduler.steps.pending():
            assert len(set(step.pending)) == len(step.pending), step.key


USUAL = ('submit', 'turn', 'poll', 'carry_out', 'answer', 'wait')
TROUBLES = (
    'lose_answer',
    'delay',
    'drop',
    'arrive',
    'cut',
    'crash',
    'take_over',
    'cancel',
)
# Turns, looks and answers make up most of a day.
USUAL_SHARE = 4


def actions_of(troubles):
    """Return the actions to draw from, with only these troubles."""
    return (*USUAL * USUAL_SHARE, *troubles)


def play(actions):
    """Play pairs of an action's name and a choice; return the model."""
    model = SchedulerModel()
    for name, choice in actions:
        getattr(model, name)(choice)
        model.check_accounting()
    return model
