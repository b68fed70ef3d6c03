"""Ordinary jobs beside jobs that can't be done, in simulated time."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import specs
from stage import job_world
from stage import virtual_time

ADVICE = queues.Advice(0.03, 0.0, 60.0)
ADVISED_POOL = 'web'
REMOVED_POOL = 'ci'
HOPELESS_JOBS = 3
YEAR_S = 365 * 24 * 3600.0
ANSWER_S = 0.03
ORDINARY_S = 0.5
SETTLED_S = 3.0
GAP_S = 0.1
MAX_KINDS = 4


class Adviser:
    """Advice service that permits what the names of jobs don't forbid."""

    def __init__(self):
        self._lock = asyncio.Lock()

    async def advise(self, step_key, executor_ids, timeout_s):
        """Return tickets for all executors, for none, or not at all."""
        async with self._lock:
            await asyncio.sleep(ANSWER_S)
        if step_key[0].startswith('ignored'):
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('no answer')
        if step_key[0].startswith('forbidden'):
            return {}
        return {name: f'ticket-{name}' for name in executor_ids}


def _steps(count):
    step = specs.StepSpec(1, specs.Resources(100, 64), 0.1)
    return specs.JobSpec(
        'payload',
        tuple(attrs.evolve(step, after=tuple(range(n))) for n in range(count)),
    )


def _declared(estimate_s):
    return job_world.one_step(4, estimate_s)


def _occurrences(count):
    spec = job_world.one_step(1, 0.2)
    return attrs.evolve(spec, repetitions=count, first_due_s=1.0)


# What a hopeless job declares, by the beginning of its id.
KINDS = {
    'forbidden': job_world.one_step(2),
    'ignored': job_world.one_step(2),
    'oversized': job_world.one_step(2, cores=1000.0),
    'unlabelled': job_world.one_step(2, required_label='absent'),
    'ganged': job_world.one_step(400, is_gang=True),
    'failing': job_world.one_step(2),
    'long': _declared(YEAR_S),
    'undeclared': _declared(0.0),
    'graph': _steps(100),
    'repeated': _occurrences(60),
    'apart': job_world.one_step(40, max_per_executor=1, is_lasting=True),
    'removed': job_world.one_step(2, cores=1000.0),
}


class PoisonedWorld:
    """A simulation with ordinary and hopeless jobs.

    :ivar accepted_s: when each ordinary job was accepted
    """

    def __init__(self, seed):
        self.world = job_world.World(seed, hosts_per_pool=6)
        self.accepted_s = {}
        self._pools = {}

    async def start(self):
        """Start the daemons, with an advice service for one queue."""
        world = self.world
        await world.start()
        world.adviser = Adviser()
        for daemon in world.daemons:
            daemon.parts.advice = world.adviser
        queue = world.configuration.queues[ADVISED_POOL]
        world.configure(**{ADVISED_POOL: attrs.evolve(queue, advice=ADVICE)})
        await world.owner.restart()
        await asyncio.sleep(SETTLED_S)

    async def submit_hopeless(self, kind):
        """Submit some jobs of one kind."""
        world = self.world
        pool = REMOVED_POOL if kind == 'removed' else ADVISED_POOL
        for number in range(HOPELESS_JOBS):
            job_id = f'{kind}{number}'
            if kind == 'failing':
                world.failing.add(job_id)
            if kind in ('long', 'undeclared'):
                world.durations_s[job_id] = ORDINARY_S
            daemon = world.daemons[number % len(world.daemons)]
            refusal = await world.submit(daemon, pool, job_id, KINDS[kind])
            assert refusal is None, (kind, refusal)
        if kind == 'removed':
            self._remove_queue(REMOVED_POOL)
        await asyncio.sleep(ORDINARY_S)

    def _remove_queue(self, name):
        world = self.world
        left = dict(world.configuration.queues)
        del left[name]
        world.configuration = attrs.evolve(
            world.configuration,
            version=world.configuration.version + 1,
            queues=left,
        )
        world._write(job_world.OPERATORS, 'config', world.configuration)

    async def submit_ordinary(self, count):
        """Submit ordinary jobs of the queues that are there."""
        world = self.world
        known = [
            pool
            for pool in (ADVISED_POOL, REMOVED_POOL)
            if pool in world.configuration.queues
        ]
        for number in range(count):
            job_id = f'ordinary{number}'
            pool = known[number % len(known)]
            daemon = world.daemons[number % len(world.daemons)]
            refusal = await world.submit(
                daemon, pool, job_id, job_world.chain(2, 1)
            )
            assert refusal is None, refusal
            self.accepted_s[job_id] = world.now_s()
            await asyncio.sleep(GAP_S)

    def not_begun(self):
        """Return the ids of ordinary jobs of which no task has started."""
        begun = {task_id.job_id for task_id in self.world.starts}
        return sorted(self.accepted_s.keys() - begun)

    def not_completed(self):
        """Return the ids of ordinary jobs that are not completed."""
        return [
            job_id
            for job_id in self.accepted_s
            for status in [self.world.stored_status(job_id)]
            if status is None or status.state is not jobs.JobState.COMPLETED
        ]


def run(seed, ordinary=12, begin_s=3.0, complete_s=12.0):
    """Run hopeless jobs of some kinds; return what the others waited for.

    :returns: the kinds, and the ordinary jobs that were late
    """

    async def play():
        poisoned = PoisonedWorld(seed)
        await poisoned.start()
        rng = poisoned.world.rng
        kinds = rng.sample(sorted(KINDS), rng.randint(1, MAX_KINDS))
        for kind in kinds:
            await poisoned.submit_hopeless(kind)
        await poisoned.submit_ordinary(ordinary)
        await asyncio.sleep(begin_s)
        late = poisoned.not_begun()
        await asyncio.sleep(complete_s - begin_s)
        late += poisoned.not_completed()
        violations = poisoned.world.violations
        await poisoned.world.stop()
        return kinds, late, violations

    return virtual_time.run(play)
