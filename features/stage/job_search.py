"""Play random troubles on a world, and return what broke."""

import asyncio

import attrs

from fakes import links
from stage import job_world
from stage import virtual_time

JOBS = 30
TROUBLES = 10
SPACING_S = 1.2
# Everything is calm for as long before the end is judged.
CALM_S = 32.0
TROUBLE_S = (0.5, 5.0)


@attrs.define
class Verdict:
    """Hold what a play came to.

    :ivar broken: promises that were broken
    :ivar unfinished: accepted jobs that have not ended well
    :ivar troubles: what was done, and when
    """

    seed: int
    broken: list
    unfinished: list
    troubles: list
    story: str


class _Play:
    """Be one play of a world with troubles."""

    def __init__(self, seed, kinds):
        self.world = job_world.World(seed, daemons=3, hosts_per_pool=3)
        self._rng = self.world.rng
        self._kinds = kinds
        self.troubles = []
        self.accepted = {}

    async def run(self):
        """Play, and return the verdict."""
        world = self.world
        await world.start()
        lasting = job_world.one_step(
            2, is_lasting=True, max_per_executor=1, max_unavailable=1
        )
        await world.submit(world.daemons[0], 'web', 'lasting', lasting)
        submitting = asyncio.create_task(self._submit_all())
        for _ in range(TROUBLES):
            await asyncio.sleep(self._rng.uniform(0.1, SPACING_S))
            await self._trouble(self._rng.choice(self._kinds))
        await submitting
        await asyncio.sleep(CALM_S)
        unfinished = await self._unfinished()
        await world.stop()
        return world.broken, unfinished

    async def _submit_all(self):
        for number in range(JOBS):
            await asyncio.sleep(self._rng.uniform(0.05, 0.8))
            spec = self._make_spec()
            pool = self._rng.choice(('web', 'ci'))
            asyncio.create_task(self._submit(f'j{number:03}', pool, spec))

    def _make_spec(self):
        rng = self._rng
        counts = [rng.randint(1, 5) for _ in range(rng.randint(1, 3))]
        return job_world.chain(
            *counts,
            estimate_s=rng.uniform(0.1, 1.5),
            cores=rng.choice((1.0, 3.0, 6.0)),
            max_per_executor=rng.choice((0, 0, 2)),
        )

    async def _submit(self, job_id, pool, spec):
        """Try until a daemon accepts, as callers do."""
        world = self.world
        world.specs[job_id] = spec
        body = world.spec_body(spec)
        for _ in range(40):
            daemon = self._rng.choice(world.daemons)
            try:
                refusal = await world.submit_body(daemon, pool, job_id, body)
            except AttributeError:
                # That daemon is only just starting.
                refusal = 'not_ready'
            if refusal is None:
                self.accepted[job_id] = pool
                return
            await asyncio.sleep(0.5)

    async def _unfinished(self):
        world = self.world
        states = {
            job_id: await world.state(world.daemons[0], pool, job_id)
            for job_id, pool in self.accepted.items()
        }
        left = [
            (job_id, state)
            for job_id, state in states.items()
            if state not in ('completed', 'failed')
        ]
        if len(world.running('lasting')) != 2:
            left.append(('lasting', dict(world.running('lasting'))))
        return left

    async def _trouble(self, kind):
        self.troubles.append((round(self.world.now_s(), 2), kind))
        lasts_s = self._rng.uniform(*TROUBLE_S)
        await getattr(self, f'_do_{kind}')(lasts_s)

    def _later(self, lasts_s, undo):
        self.world.loop.call_later(lasts_s, undo)

    async def _do_kill(self, lasts_s):
        await self._rng.choice(self.world.daemons).restart()

    async def _do_kill_owner(self, lasts_s):
        owner = self.world.owner
        if owner is not None:
            await owner.restart()

    async def _do_cut_daemon(self, lasts_s):
        self._cut(self._rng.choice(self.world.daemons), lasts_s)

    async def _do_cut_owner(self, lasts_s):
        owner = self.world.owner
        if owner is not None:
            self._cut(owner, lasts_s)

    def _cut(self, daemon, lasts_s):
        for link in (daemon.link, daemon.hosts_link):
            link.is_cut = True
            self._later(lasts_s, lambda k=link: setattr(k, 'is_cut', False))

    async def _do_cut_owner_from_store(self, lasts_s):
        owner = self.world.owner
        if owner is not None:
            client = owner.parts.log
            client.is_cut = True
            self._later(lasts_s, lambda: setattr(client, 'is_cut', False))

    async def _do_lose_host_answers(self, lasts_s):
        for daemon in self.world.daemons:
            link = daemon.hosts_link
            link.lost_share = 0.3
            self._later(lasts_s, lambda k=link: setattr(k, 'lost_share', 0.0))

    def _set_links(self, field, value, lasts_s):
        for daemon in self.world.daemons:
            setattr(daemon.link, field, value)
            self._later(lasts_s, lambda d=daemon: setattr(d.link, field, 0.0))

    async def _do_lose_answers(self, lasts_s):
        self._set_links('lost_share', 0.15, lasts_s)

    async def _do_late_calls(self, lasts_s):
        self._set_links('late_share', 0.15, lasts_s)

    async def _do_store_down(self, lasts_s):
        self.world.store.is_down = True
        self._later(
            lasts_s, lambda: setattr(self.world.store, 'is_down', False)
        )

    async def _do_forget(self, lasts_s):
        owner = self.world.daemons[0].parts
        for follower in (owner.jobs_follower, owner.entries_follower):
            self.world.store.compact(follower.partition)

    async def _do_step_clock(self, lasts_s):
        """Have the time of day jump on one daemon, back or ahead."""
        clock = self._rng.choice(self.world.daemons).parts.clock
        clock.wall_step_s = self._rng.choice((-2400.0, -3.0, 3.0, 2400.0))
        self._later(lasts_s, lambda: setattr(clock, 'wall_step_s', 0.0))

    async def _do_slow_store(self, lasts_s):
        store = self.world.store
        store.append_s = self._rng.uniform(0.05, 0.4)
        self._later(lasts_s, lambda: setattr(store, 'append_s', 0.0))

    async def _do_lose_store_answers(self, lasts_s):
        for daemon in self.world.daemons:
            log = daemon.parts.log
            usual, log._link = (
                log._link,
                links.Link(self.world.rng, lost_share=0.35),
            )
            self._later(lasts_s, lambda g=log, k=usual: setattr(g, '_link', k))

    async def _do_enter_ended_life(self, lasts_s):
        """Have an entry of a life that has ended be stored late."""
        ended = [e for e in self.world.executors.values() if e.is_gone]
        if ended and not self.world.store.is_down:
            self.world.enter(self._rng.choice(ended).entry)

    def _an_executor(self):
        alive = [
            e
            for e in self.world.executors.values()
            if not (e.is_gone or e.is_cut)
        ]
        return self._rng.choice(alive) if alive else None

    async def _do_crash_executor(self, lasts_s):
        executor = self._an_executor()
        if executor is not None:
            self.world.crash_executor(executor, lasts_s)

    async def _do_cut_executor(self, lasts_s):
        executor = self._an_executor()
        if executor is not None:
            executor.is_cut = True
            self._later(lasts_s, lambda: setattr(executor, 'is_cut', False))


ALL_KINDS = tuple(
    name.removeprefix('_do_') for name in vars(_Play) if name[:4] == '_do_'
)


def play(seed, kinds=ALL_KINDS):
    """Return the verdict on one play.

    :param kinds: names of troubles to choose from
    """

    async def run():
        made = _Play(seed, kinds)
        broken, unfinished = await made.run()
        return Verdict(
            seed, broken, unfinished, made.troubles, made.world.story()
        )

    return virtual_time.run(run)
