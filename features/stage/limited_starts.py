"""Play jobs on hosts with room whose owner can start less than arrives."""

import random

from hawthorndeal_jobs import admission
from hawthorndeal_jobs import run_state
from stage import beside_room
from stage import queue_load

STARTS_PER_S = 100
# The starts of one of the owner's cycles, and how often it has one.
CYCLE_PERIOD_S = 0.02
MAX_SAVED_STARTS = 10
# Hosts enough for three times what the owner can start.
HOSTS = 24
LOOK_PERIOD_S = 0.25
REPORT_PERIOD_S = 0.5
# From a report of the owner until daemons refuse by it.
REPORT_DELAY_S = 0.2


class LimitedStarts(queue_load.QueueLoad):
    """A pool with room whose owner can make only so many starts per second.

    :param load: arriving tasks, as a multiple of what the owner can start
    :param refuses: whether daemons refuse jobs by the owner's reports
    :ivar beside_room: judges how long jobs stand
    :ivar standing: steps that the scheduler itself tells to stand too long
    :ivar refusals: what callers were told, by time
    :ivar started: number of starts during the load
    """

    def __init__(self, seed, load, seconds, refuses, limit_s):
        super().__init__(seed, HOSTS)
        self.beside_room = beside_room.BesideRoom()
        self.standing = []
        self.refusals = []
        self.started = 0
        self._refuses = refuses
        self._limit_s = limit_s
        self._report_read = None
        self._refusal_rng = random.Random(seed)
        self._starts_left = 0.0
        self._load_end_s = self.now_s + seconds
        self._submit_jobs(load, seconds)
        for every_s, action in (
            (CYCLE_PERIOD_S, self._run_limited_cycle),
            (LOOK_PERIOD_S, self._look),
            (REPORT_PERIOD_S, self._report_load),
        ):
            self._repeat(every_s, action)

    def _submit_jobs(self, load, seconds):
        tasks = sum(
            self._make_job(0.0).job.spec.tasks
            for _ in range(queue_load.WORK_SAMPLES)
        )
        jobs_per_s = STARTS_PER_S * queue_load.WORK_SAMPLES / tasks
        self.submit_at_rate(load * jobs_per_s, seconds)

    def _repeat(self, every_s, action):
        action()
        is_loaded = self.now_s < self._load_end_s
        if is_loaded or any(p.told_s is None for p in self.played.values()):
            self._at(self.now_s + every_s, self._repeat, every_s, action)

    # The owner

    def _wake(self):
        """Leave the next cycle to its time."""

    def _run_limited_cycle(self):
        self._starts_left += CYCLE_PERIOD_S * STARTS_PER_S
        self._starts_left = min(self._starts_left, MAX_SAVED_STARTS)
        plan = self._scheduler.plan(
            self.now_s, self.now_s, int(self._starts_left)
        )
        self._starts_left -= len(plan.starts)
        if self.now_s < self._load_end_s:
            self.started += len(plan.starts)
        for run in plan.starts:
            run.phase = run_state.RunPhase.SENT
            self._at(self.now_s + queue_load.START_S, self._begin, run)

    def _report_load(self):
        pool = queue_load.CONFIGURATION.pools[queue_load.POOL]
        loads = [self._scheduler.load_of(pool, 0, 1.0, self.now_s)]
        report = admission.forecast(
            loads, 0, (), self._scheduler.start_wait_s(self.now_s)
        )
        self._at(self.now_s + REPORT_DELAY_S, self._read_report, report)

    def _read_report(self, report):
        self._report_read = report

    # Callers

    def _submit(self, played):
        refusal = None
        if self._refuses:
            refusal = admission.check_pool(
                self._report_read,
                queue_load.QUEUE,
                '',
                played.job.spec,
                self._refusal_rng,
            )
        if refusal is None:
            super()._submit(played)
        else:
            self.refusals.append((self.now_s, refusal))

    def _look(self):
        self.beside_room.look(self._scheduler, self.now_s)
        self.standing += self._scheduler.standing.find(
            self.now_s, self._limit_s
        )
