"""A scheduler with work in other pools, whose decisions are counted."""

import itertools
import sys

import attrs

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import replica
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import scheduler
from hawthorndeal_jobs import specs

OWN_POOL = 'own'
ADVISED_QUEUE = 'advised'
OTHER_POOLS = tuple(f'other-{number}' for number in range(4))
CAPACITY = specs.Resources(16000, 65536)
ROOM = specs.Resources(1000, 1024)
TASKS_PER_JOB = 5
# Runs in other pools for each step there that fits on no executor, and for
# each job there that is not due yet.
RUNS_PER_WAITING_STEP = 10
NOT_DUE_S = 1e6


def _configuration():
    pools = (OWN_POOL, *OTHER_POOLS)
    advised = queues.Queue(
        ADVISED_QUEUE, OWN_POOL, advice=queues.Advice(validity_s=60.0)
    )
    return queues.Configuration(
        1,
        {ADVISED_QUEUE: advised, **{p: queues.Queue(p, p) for p in pools}},
        {pool: queues.Pool(pool) for pool in pools},
    )


def job_spec(count, **options):
    """Return a job of one step with this number of tasks."""
    fields = {'request': ROOM, 'estimate_s': 1.0, **options}
    return specs.JobSpec('payload', (specs.StepSpec(count, **fields),))


def count_instructions(action):
    """Run an action and return the number of instructions it executes."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_lines = False
        frame.f_trace_opcodes = True
        count += event == 'opcode'
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return count


class LoadedPartition:
    """A scheduler, its executors and jobs, on a manual clock.

    :param own_executors: number of executors in the pool that is looked at
    """

    def __init__(self, own_executors):
        self.now_s = 100.0
        self.replica = replica.Replica()
        self.scheduler = scheduler.Scheduler(self.replica, _configuration())
        self._numbers = itertools.count()
        for _ in range(own_executors):
            self.add_executor(OWN_POOL)

    def add_other_work(self, run_count, executor_count):
        """Add executors of other pools, with runs and waiting steps.

        A third of the runs each end by themselves, serve and fill.
        """
        pools = itertools.cycle(OTHER_POOLS)
        for pool in itertools.islice(pools, executor_count):
            self.add_executor(pool)
        run_specs = itertools.cycle(
            [
                job_spec(TASKS_PER_JOB),
                job_spec(TASKS_PER_JOB, is_lasting=True, tail_target_ms=100),
                job_spec(TASKS_PER_JOB, is_lasting=True, is_filler=True),
            ]
        )
        job_count = run_count // TASKS_PER_JOB
        for pool, spec in itertools.islice(zip(pools, run_specs), job_count):
            self.add_job(spec, pool)
        waiting = job_spec(1, required_label='absent')
        for pool in itertools.islice(
            pools, run_count // RUNS_PER_WAITING_STEP
        ):
            self.add_job(waiting, pool)
            self.add_job(self._not_due(), pool)
        assert len(self.start_all()) == run_count
        for executor_id in self.scheduler.executors:
            self.poll(executor_id)
        self.start_all()

    def _not_due(self):
        due_s = self.now_s + NOT_DUE_S
        return attrs.evolve(
            job_spec(1), repetitions=2, first_due_s=due_s, interval_s=1.0
        )

    def add_executor(self, pool):
        """Add an executor that has answered a poll."""
        number = next(self._numbers)
        entry = executors.ExecutorEntry(
            f'x{number}',
            f'x{number}:1',
            pool,
            'z',
            CAPACITY,
            host=f'h{number}',
        )
        self.scheduler.update_executor(entry, self.now_s)
        self.poll(entry.executor_id)

    def new_job(self, spec, queue=OWN_POOL):
        """Return an accepted job that the scheduler doesn't know yet."""
        job_id = f'j{next(self._numbers)}'
        pool = OWN_POOL if queue == ADVISED_QUEUE else queue
        job = jobs.Job(job_id, queue, pool, self.now_s, spec)
        self.replica.jobs[job_id] = job
        return job

    def accept(self, job):
        """Let the scheduler add a job."""
        self.scheduler.add_job(job, self.now_s, self.now_s, 0.0)

    def add_job(self, spec, queue=OWN_POOL):
        """Return a job that the scheduler has added."""
        job = self.new_job(spec, queue)
        self.accept(job)
        return job

    def plan(self):
        """Return the decisions of one scheduling cycle."""
        return self.scheduler.plan(self.now_s, self.now_s)

    def start_all(self):
        """Run a scheduling cycle, and report each start as accepted."""
        starts = self.plan().starts
        self.accept_starts(starts)
        self.scheduler.pop_changed()
        return starts

    def accept_starts(self, starts):
        """Report each start as accepted."""
        for run in starts:
            run.phase = run_state.RunPhase.SENT
            self.scheduler.handle_start_answer(
                run, run_tracking.StartAnswer.ACCEPTED, self.now_s
            )

    def start_job(self, spec):
        """Start a job of the own pool, and return its runs."""
        self.add_job(spec)
        return self.start_all()

    def answer(self, executor_id, ended=(), percent=50):
        """Return a poll response that lists all runs that have not ended."""
        ended_keys = {(end.task_id, end.number) for end in ended}
        running = [
            run_state.ReportedRun(run.task_id, run.number, '', percent, 50)
            for run in self.scheduler.executors[executor_id].runs.values()
            if (run.task_id, run.number) not in ended_keys
        ]
        return run_state.ExecutorPoll(
            self.now_s, self.now_s + 0.01, self.now_s, tuple(running),
            tuple(ended),
        )  # fmt: skip

    def poll(self, executor_id, ended=(), percent=50):
        """Report the answer to a poll of an executor."""
        poll = self.answer(executor_id, ended, percent)
        self.now_s += 0.02
        return self.handle(executor_id, poll)

    def handle(self, executor_id, poll):
        """Process a poll response as the owner does."""
        self.scheduler.superseded_executors(executor_id, poll)
        return self.scheduler.handle_poll(executor_id, poll, self.now_s)

    def end_of(self, run, cause):
        """Return the poll response that reports the end of a run."""
        known = self.scheduler.executors[run.executor_id]
        end = run_state.ReportedEnd(
            known.incarnation.last_processed_end + 1,
            run.task_id,
            run.number,
            cause,
            '',
        )
        return self.answer(run.executor_id, [end])
