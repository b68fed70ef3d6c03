"""Random days on simulated daemons, judged by jobs that stand beside room."""

import asyncio
import functools

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import specs
from hawthorndeal_jobs import workspaces
from stage import job_world
from stage import virtual_time
from stage import world_beside_room

POOLS = ('web', 'ci', 'etl')
# The queue that a workspace with a quota calls.
QUOTA_QUEUE = 'ci'
WORKSPACE = 'vltava'
HOSTS_PER_POOL = 5
DAY_S = 45.0
RECOVERY_S = 12.0
CALM_INTERVAL_S = (4.0, 12.0)
SERIES_INTERVAL_S = (0.0, 1.5)
MAX_SERIES = 4
BURST_INTERVAL_S = (1.0, 8.0)
JOB_INTERVAL_S = (0.1, 1.2)
MAX_BURST_JOBS = (8, 18, 40)
MAX_ESTIMATES_S = (0.5, 2.0, 8.0)
PAUSES_S = (1.0, 3.0, 10.0)
OUTAGE_S = (0.5, 4.0)
DEADLY_DELAYS_S = (0.01, 0.5, 2.0)
RETRY_S = 0.5
# More than any daemon of the simulation has.
OFFERED_STRENGTH = 100.0
MAX_TRIES = 40
STANDING_NOTICE_MS = 1000.0
LARGE_QUOTA = specs.Resources(200_000, 1_000_000)
SMALL_QUOTA = specs.Resources(8000, 64_000)


@attrs.frozen
class StandingResult:
    """Result of one day.

    :ivar findings: jobs and long-running tasks that stood beside room
    :ivar longest_s: the longest wait beside room in a calm
    :ivar events: what happened, as time and kind
    :ivar log_text: the daemons' event log
    """

    seed: int
    findings: list
    longest_s: float
    violations: list
    events: list
    log_text: str

    def describe(self):
        """Return the findings as text, a line each."""
        return '\n'.join(f'seed {self.seed}: {f}' for f in self.findings)


class _Day:
    """One day with events of some kinds.

    :param kinds: names of the events to choose from
    """

    def __init__(self, seed, kinds):
        limits = {'standing_notice_ms': STANDING_NOTICE_MS}
        self.world = job_world.World(
            seed,
            hosts_per_pool=HOSTS_PER_POOL,
            pools=POOLS,
            limits=[limits] * 3,
        )
        self._rng = self.world.rng
        self._kinds = kinds
        self.events = []
        self._accepted = set()
        self.judge = world_beside_room.WorldBesideRoom(
            self.world, self._accepted
        )
        self._submissions = []
        self._deadly = set()
        self._crash_count = 0
        # Days differ in load and in how long tasks run.
        self._burst_jobs = self._rng.choice(MAX_BURST_JOBS)
        self._estimate_s = self._rng.choice(MAX_ESTIMATES_S)
        self._queues = {}
        self._quota = LARGE_QUOTA
        self.world.keys[QUOTA_QUEUE] = f'key of {WORKSPACE}'

    async def run(self):
        """Run the day."""
        world = self.world
        self._configure()
        await world.start()
        self.judge.note_fault(world.now_s())
        tasks = [
            asyncio.create_task(part)
            for part in (
                self._look(),
                self._submit_lasting(),
                self._submit_steadily(),
                self._submit_bursts(),
                self._inject_events(),
            )
        ]
        await asyncio.sleep(DAY_S + RECOVERY_S)
        for task in (*tasks, *self._submissions):
            task.cancel()
        await asyncio.gather(
            *tasks, *self._submissions, return_exceptions=True
        )
        await world.stop()

    async def _look(self):
        while True:
            self._note_crashes()
            self.judge.look()
            await asyncio.sleep(world_beside_room.PERIOD_S)

    def _note_crashes(self):
        """Judge nothing while a host is down after a task has crashed it."""
        count = sum(map(len, self.world.crashed_executors.values()))
        if count > self._crash_count:
            self._crash_count = count
            self._note_fault(job_world.CRASH_DOWN_S)

    # Load

    async def _submit_lasting(self):
        rng = self._rng
        for number in range(rng.randint(1, 4)):
            spec = job_world.one_step(
                rng.randint(1, HOSTS_PER_POOL),
                cores=rng.choice((1.0, 2.0, 6.0)),
                is_lasting=True,
                max_per_executor=1,
                max_unavailable=1,
            )
            self._begin_submission(f'lasting{number}', rng.choice(POOLS), spec)
            await asyncio.sleep(rng.uniform(0.0, 6.0))

    async def _submit_steadily(self):
        rng = self._rng
        number = 0
        while self.world.now_s() < DAY_S:
            await asyncio.sleep(rng.uniform(*JOB_INTERVAL_S))
            self._begin_submission(
                f's{number:03}', rng.choice(POOLS), self._make_spec()
            )
            number += 1

    async def _submit_bursts(self):
        rng = self._rng
        number = 0
        while self.world.now_s() < DAY_S:
            await asyncio.sleep(rng.uniform(*BURST_INTERVAL_S))
            pool = POOLS[number % len(POOLS)]
            for index in range(rng.randint(2, self._burst_jobs)):
                self._begin_submission(
                    f'b{number:02}-{index:02}', pool, self._make_spec()
                )
            number += 1

    def _make_spec(self):
        rng = self._rng
        counts = [rng.randint(1, 6) for _ in range(rng.randint(1, 3))]
        return job_world.chain(
            *counts,
            estimate_s=rng.uniform(0.1, self._estimate_s),
            cores=rng.choice((1.0, 3.0, 6.0)),
            max_per_executor=rng.choice((0, 0, 2)),
        )

    def _begin_submission(self, job_id, queue, spec):
        # The event loop refers to tasks only weakly.
        self._submissions.append(
            asyncio.create_task(self._submit(job_id, queue, spec))
        )

    async def _submit(self, job_id, queue, spec):
        for _ in range(MAX_TRIES):
            daemon = self._rng.choice(self.world.daemons)
            if not daemon.is_paused and await self._is_accepted(
                daemon, job_id, queue, spec
            ):
                if job_id not in self._deadly:
                    self._accepted.add(job_id)
                return
            await asyncio.sleep(RETRY_S)

    async def _is_accepted(self, daemon, job_id, queue, spec):
        try:
            refusal = await self.world.submit(daemon, queue, job_id, spec)
        except AttributeError:
            # The daemon is still starting.
            return False
        except errors.HawthorndealError:
            return False
        return refusal is None

    # Events

    async def _inject_events(self):
        """Let a few events follow each other, then none for a while."""
        rng = self._rng
        while self.world.now_s() < DAY_S:
            await asyncio.sleep(rng.uniform(*CALM_INTERVAL_S))
            for _ in range(rng.randint(1, MAX_SERIES)):
                kind = rng.choice(self._kinds)
                self.events.append((round(self.world.now_s(), 2), kind))
                await getattr(self, f'_do_{kind}')()
                await asyncio.sleep(rng.uniform(*SERIES_INTERVAL_S))

    def _note_fault(self, duration_s=0.0):
        self.judge.note_fault(self.world.now_s() + duration_s)

    def _set_for_a_while(self, target, field, value, normal):
        duration_s = self._rng.uniform(*OUTAGE_S)
        setattr(target, field, value)
        self.world.loop.call_later(
            duration_s, functools.partial(setattr, target, field, normal)
        )
        self._note_fault(duration_s)

    async def _do_kill_owner(self):
        if self.world.owner is not None:
            self._note_fault()
            await self.world.owner.restart()

    async def _do_kill_daemon(self):
        self._note_fault()
        await self._rng.choice(self.world.daemons).restart()

    async def _do_pause_owner(self):
        owner = self.world.owner
        if owner is not None and not owner.is_paused:
            duration_s = self._rng.choice(PAUSES_S)
            self._note_fault(duration_s)
            owner.pause(duration_s)

    async def _do_release_owner(self):
        owner = self.world.owner
        if owner is None or owner.is_paused:
            return
        others = [d for d in self.world.daemons if d is not owner]
        offer = journal.Offer(
            owner.candidate.owner.epoch,
            self._rng.choice(others).name,
            OFFERED_STRENGTH,
        )
        self.world.store.append(
            owner.parts.status_follower.partition,
            [journal.offer_record(offer)],
        )
        self._note_fault()

    async def _do_cut_owner(self):
        owner = self.world.owner
        if owner is not None:
            self._set_for_a_while(owner.link, 'is_cut', True, False)

    async def _do_lose_answers(self):
        for daemon in self.world.daemons:
            self._set_for_a_while(daemon.link, 'lost_share', 0.15, 0.0)

    async def _do_lose_host_answers(self):
        for daemon in self.world.daemons:
            self._set_for_a_while(daemon.hosts_link, 'lost_share', 0.3, 0.0)

    async def _do_store_down(self):
        self._set_for_a_while(self.world.store, 'is_down', True, False)

    def _choose_executor(self):
        alive = [
            e
            for e in self.world.executors.values()
            if not (e.is_gone or e.is_cut)
        ]
        return self._rng.choice(alive) if alive else None

    async def _do_crash_executor(self):
        executor = self._choose_executor()
        if executor is not None:
            duration_s = self._rng.uniform(*OUTAGE_S)
            self._note_fault(duration_s)
            self.world.crash_executor(executor, duration_s)

    async def _do_submit_deadly(self):
        """Submit a job, a task of which crashes each executor."""
        job_id = f'bad{len(self.world.crash_delays_s)}'
        spec = self._make_spec()
        task = self._rng.randrange(spec.steps[0].count)
        delay_s = self._rng.choice(DEADLY_DELAYS_S)
        self.world.crash_delays_s[jobs.TaskId(job_id, 0, 0, task)] = delay_s
        self._deadly.add(job_id)
        self._begin_submission(job_id, self._rng.choice(POOLS), spec)

    async def _do_cut_executor(self):
        executor = self._choose_executor()
        if executor is not None:
            self._set_for_a_while(executor, 'is_cut', True, False)

    # Changes of the configuration, which are no faults

    def _configure(self):
        digest = workspaces.key_digest(self.world.keys[QUOTA_QUEUE])
        self.world.configure(
            [
                workspaces.Workspace(
                    WORKSPACE, (digest,), job_world.WEIGHT, self._quota
                )
            ],
            **self._queues,
        )

    def _queue(self, name):
        return self.world.configuration.queues[name]

    async def _do_replace_queue(self):
        """Remove a queue, and add it again, at times with another pool."""
        name = self._rng.choice(POOLS)
        if self._queues.get(name, self) is None:
            return
        queue = self._queue(name)
        self._queues[name] = None
        self._configure()
        await asyncio.sleep(self._rng.uniform(0.1, 4.0))
        self._queues[name] = attrs.evolve(queue, pool=self._rng.choice(POOLS))
        self._configure()

    async def _do_change_quota(self):
        self._quota = SMALL_QUOTA
        self._configure()
        await asyncio.sleep(self._rng.uniform(0.1, 5.0))
        self._quota = LARGE_QUOTA
        self._configure()

    async def _do_change_terms(self):
        """Change priorities and timeouts several times in a second."""
        for _ in range(self._rng.randint(2, 6)):
            name = self._rng.choice(POOLS)
            self._queues[name] = attrs.evolve(
                self._queue(name),
                priority=self._rng.randint(0, 2),
                timeout_s=self._rng.uniform(1.0, 5.0),
                stretch=self._rng.uniform(1.0, 3.0),
            )
            self._configure()
            await asyncio.sleep(self._rng.uniform(0.0, 0.3))


CONFIGURATION_KINDS = ('replace_queue', 'change_quota', 'change_terms')
OWNERSHIP_KINDS = (
    'kill_owner',
    'kill_daemon',
    'pause_owner',
    'release_owner',
    'cut_owner',
    'store_down',
)
EXECUTOR_KINDS = (
    'crash_executor',
    'cut_executor',
    'submit_deadly',
    'lose_answers',
    'lose_host_answers',
)
# Days have events of one of these groups, in turn.
THEMES = (
    CONFIGURATION_KINDS,
    (*OWNERSHIP_KINDS, *CONFIGURATION_KINDS),
    (*EXECUTOR_KINDS, *CONFIGURATION_KINDS),
    (*OWNERSHIP_KINDS, *EXECUTOR_KINDS),
)


def run_day(seed):
    """Play one day and return its result."""

    async def run():
        day = _Day(seed, THEMES[seed % len(THEMES)])
        await day.run()
        return StandingResult(
            seed,
            list(day.judge.findings.values()),
            day.judge.longest_s,
            day.world.violations,
            day.events,
            day.world.event_log_text(),
        )

    return virtual_time.run(run, loop_factory=virtual_time.PausableLoop)
