"""Play a load of short jobs on a scheduler, in simulated time.

The executors run every task that they are told to; calls take a few
milliseconds, and callers learn of the end of a job a little later.
"""

import heapq
import itertools
import math
import random
import statistics

import attrs

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import replica
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import scheduler
from hawthorndeal_jobs import specs

POOL = 'web'
HOST_CORES = 16
HOST = specs.Resources(HOST_CORES * 1000, 1 << 20)
QUEUE = queues.Queue(
    POOL, POOL, 'web.example', '/', stretch=1.6, latency_target_s=0.6
)
CONFIGURATION = queues.Configuration(
    1, {POOL: QUEUE}, {POOL: queues.Pool(POOL)}
)
CYCLE_DELAY_S = 0.004
START_S = 0.02
# From the end of a task until the scheduler knows of it.
DETECT_S = 0.04
# From the end of a job until callers are told.
PUBLISH_S = 0.2
# Jobs that are drawn to learn the mean work of a job.
WORK_SAMPLES = 400


@attrs.define(eq=False)
class PlayedJob:
    """A job of the load, and what its caller gets.

    :ivar work: in core-seconds
    :ivar objective_s: time within which it is of full use
    :ivar task_s: actual run time of each task, by step
    :ivar told_s: when the caller was told of its end; None before
    """

    job: jobs.Job
    accepted_s: float
    work: float
    objective_s: float
    task_s: list
    told_s: float | None = None

    @property
    def took_s(self):
        """Time from the submission until the caller was told."""
        return (
            math.inf
            if self.told_s is None
            else (self.told_s - self.accepted_s)
        )

    @property
    def is_in_time(self):
        """Whether the caller was told in time."""
        return self.took_s <= self.objective_s


class QueueLoad:
    """A pool of executors under a load of jobs.

    :param seed: seed of all random choices
    :param hosts: number of executors
    :param task_s: mean run time of a task
    :param configuration: queues and pools; each queue has the name of its pool
    """

    def __init__(
        self, seed, hosts=8, task_s=0.64, configuration=CONFIGURATION
    ):
        self.now_s = 100.0
        self.played = {}
        self._rng = random.Random(seed)
        self._hosts = hosts
        self._task_s = task_s
        self._events = []
        self._numbers = itertools.count()
        self._ends = {}
        self._is_cycle_due = False
        self._scheduler = scheduler.Scheduler(replica.Replica(), configuration)
        for number in range(hosts):
            self._add_executor(f'x{number}', POOL)

    def _add_executor(self, name, pool):
        entry = executors.ExecutorEntry(
            name, f'{name}:1', pool, 'z', HOST, host=name
        )
        self._scheduler.update_executor(entry, self.now_s)
        self._ends[name] = itertools.count(1)
        self._report(name, ())

    # The load

    def submit_burst(self, load, seconds):
        """Submit jobs at random times.

        :param load: their work, as a multiple of what the pool can do
        """
        self.submit_at_rate(load * self.jobs_per_s(), seconds)

    def submit_at_rate(self, rate, seconds):
        """Submit jobs at random times.

        :param rate: jobs per second
        """
        at_s, end_s = self.now_s, self.now_s + seconds
        while True:
            at_s += self._rng.expovariate(rate)
            if at_s >= end_s:
                return
            self._at(at_s, self._submit, self._make_job(at_s))

    def jobs_per_s(self):
        """Return how many jobs of mean work the pool can do per second."""
        mean_work = statistics.fmean(
            self._make_job(0.0).work for _ in range(WORK_SAMPLES)
        )
        return self._hosts * HOST_CORES / mean_work

    def _draw(self, mean, sigma, most=math.inf):
        drawn = self._rng.lognormvariate(-sigma * sigma / 2, sigma)
        return min(most, mean * drawn)

    def _make_job(self, accepted_s, pool=POOL, task_cores=1.5):
        step_specs, task_s, work, chain_s = [], [], 0.0, 0.0
        for number in range(max(1, round(self._draw(1.6, 0.4, 4)))):
            count = max(1, round(self._draw(8, 0.6, 32)))
            cores = max(0.1, self._draw(task_cores, 0.45, 3 * task_cores))
            mean_s = self._draw(self._task_s, 0.5, self._task_s * 2.5)
            declared_s = self._draw(mean_s, 0.2)
            room = specs.Resources(int(cores * 1000), 512)
            after = (number - 1,) if number else ()
            step_specs.append(
                specs.StepSpec(count, room, declared_s, after=after)
            )
            task_s.append([self._draw(mean_s, 0.15) for _ in range(count)])
            work += sum(task_s[-1]) * cores
            chain_s += max(task_s[-1])
        job = jobs.Job(
            f'j{next(self._numbers)}',
            pool,
            pool,
            accepted_s,
            specs.JobSpec('payload', tuple(step_specs)),
        )
        objective_s = QUEUE.stretch * chain_s + QUEUE.latency_target_s
        return PlayedJob(job, accepted_s, work, objective_s, task_s)

    # Events

    def _at(self, at_s, action, *arguments):
        heapq.heappush(
            self._events, (at_s, next(self._numbers), action, arguments)
        )

    def run(self):
        """Play until nothing is left to happen."""
        while self._events:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _wake(self):
        if not self._is_cycle_due:
            self._is_cycle_due = True
            self._at(self.now_s + CYCLE_DELAY_S, self._run_cycle)

    def _submit(self, played):
        job = played.job
        self.played[job.job_id] = played
        self._scheduler.add_job(job, self.now_s, self.now_s, age_s=0.0)
        self._wake()

    def _run_cycle(self):
        self._is_cycle_due = False
        for run in self._scheduler.plan(self.now_s, self.now_s).starts:
            run.phase = run_state.RunPhase.SENT
            self._at(self.now_s + START_S, self._begin, run)

    def _begin(self, run):
        self._scheduler.handle_start_answer(
            run, run_tracking.StartAnswer.ACCEPTED, self.now_s
        )
        took_s, cause = self._end_of(run)
        self._at(self.now_s + took_s + DETECT_S, self._end, run, cause)

    def _end_of(self, run):
        """Return after which time a run ends, and how."""
        task_id = run.task_id
        played = self.played[task_id.job_id]
        took_s = played.task_s[task_id.step][task_id.index]
        return took_s, run_state.EndCause.DONE

    def _end(self, run, cause):
        name = run.executor_id
        row = run_state.ReportedEnd(
            next(self._ends[name]), run.task_id, run.number, cause, ''
        )
        self._report(name, (row,))
        played = self.played[run.task_id.job_id]
        if played.job.is_done:
            played.told_s = self.now_s + PUBLISH_S
        self._wake()

    def _report(self, name, ended):
        poll = run_state.ExecutorPoll(
            self.now_s, self.now_s, self.now_s, (), ended, is_whole=False
        )
        self._scheduler.handle_poll(name, poll, self.now_s)

    # What callers got

    def served_share(self, is_wanted=lambda played: True):
        """Return the share of the jobs' work that was done in time."""
        wanted = [p for p in self.played.values() if is_wanted(p)]
        in_time = sum(p.work for p in wanted if p.is_in_time)
        return in_time / sum(p.work for p in wanted)
