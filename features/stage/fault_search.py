"""Random fault injection on simulated daemons."""

import asyncio

import attrs

from fakes import links
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import specs
from stage import job_world
from stage import virtual_time

JOB_COUNT = 30
WORKSPACE = 'vltava'
FAULT_COUNT = 10
MAX_FAULT_INTERVAL_S = 1.2
# Time without new faults before the final state is checked.
RECOVERY_S = 32.0
FAULT_DURATION_S = (0.5, 5.0)
DEADLY_DELAY_S = 0.01
# Within this time the leases of an executor that is cut off have expired.
LONG_CUT_S = 4.0
SILENCED_SHARE = 0.35
MAX_TRIES = 40


@attrs.define
class FaultRunResult:
    """Result of one run with faults.

    :ivar violations: violated invariants
    :ivar unfinished: accepted jobs that have not ended, and their state
    :ivar given_up: jobs that have failed though no task of theirs crashes
        executors
    :ivar faults: injected faults, as time and kind
    :ivar event_log_text: event log as text
    """

    seed: int
    violations: list
    unfinished: list
    given_up: list
    faults: list
    event_log_text: str


class FaultRun:
    """One run of a simulation with faults of some kinds."""

    def __init__(self, seed, kinds, limits, quota):
        self.world = job_world.World(
            seed, daemons=3, hosts_per_pool=3, limits=limits
        )
        if quota is not None:
            self.world.declare_workspace('web', WORKSPACE, quota)
        self._rng = self.world.rng
        self._kinds = kinds
        self.faults = []
        self.accepted = {}
        self._submissions = []
        # Jobs with a task that crashes executors.
        self.deadly = []
        # Jobs of which a submission may have been stored.
        self._maybe_stored = set()
        self._passes_calls = any(
            'relay_address' in one for one in limits or ()
        )

    async def run(self):
        """Run, and return the violations and the unfinished jobs."""
        world = self.world
        await world.start()
        lasting = job_world.one_step(
            2, is_lasting=True, max_per_executor=1, max_unavailable=1
        )
        await world.submit(world.daemons[0], 'web', 'lasting', lasting)
        submitting = asyncio.create_task(self._submit_all())
        for _ in range(FAULT_COUNT):
            await asyncio.sleep(self._rng.uniform(0.1, MAX_FAULT_INTERVAL_S))
            await self._inject_fault(self._rng.choice(self._kinds))
        await submitting
        await asyncio.sleep(RECOVERY_S)
        unfinished = await self._unfinished()
        self._check_not_run()
        await world.stop()
        return world.violations, unfinished

    async def _submit_all(self):
        for number in range(JOB_COUNT):
            await asyncio.sleep(self._rng.uniform(0.05, 0.8))
            spec = self._make_spec()
            pool = self._rng.choice(('web', 'ci'))
            self._begin_submission(f'j{number:03}', pool, spec)

    def _begin_submission(self, job_id, pool, spec):
        # The event loop refers to tasks only weakly.
        self._submissions.append(
            asyncio.create_task(self._submit(job_id, pool, spec))
        )

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
        """Retry until a daemon accepts the job, as callers do.

        Some callers give up early, so that a job that was refused each time
        must never run.
        """
        world = self.world
        world.specs[job_id] = spec
        world.queues[job_id] = pool
        tries = MAX_TRIES
        if self._passes_calls:
            tries = self._rng.choice((1, 2, MAX_TRIES))
        for _ in range(tries):
            daemon = self._rng.choice(world.daemons)
            try:
                refusal = await self._try_submission(daemon, pool, job_id)
            except AttributeError:
                # The daemon is still starting.
                refusal = 'not_ready'
            if refusal is None:
                self.accepted[job_id] = pool
                return
            if refusal == errors.AnswerLost.reason:
                self._maybe_stored.add(job_id)
            await asyncio.sleep(0.5)

    async def _try_submission(self, daemon, pool, job_id):
        """Submit a job once; return the reason of a refusal, or None."""
        world = self.world
        spec = world.specs[job_id]
        if self._passes_calls:
            answer = await world.call(daemon, 'POST', pool, job_id, spec)
            return None if answer.status == 200 else answer.plain['reason']
        body = world.spec_body(spec)
        return await world.submit_body(daemon, pool, job_id, body)

    def _check_not_run(self):
        """Record a violation for each job that ran though it was refused."""
        started = {
            fields['task'].split('.')[0]
            for _, _, kind, fields in self.world.log
            if kind == 'run_started'
        }
        refused = self.world.specs.keys() - self.accepted.keys()
        for job_id in sorted(refused & started - self._maybe_stored):
            if job_id != 'lasting':
                self.world.record_violation('a refused job ran', job=job_id)

    async def _unfinished(self):
        world = self.world
        states = {
            job_id: await world.state(world.daemons[0], pool, job_id)
            for job_id, pool in self.accepted.items()
        }
        not_done = [
            (job_id, state)
            for job_id, state in states.items()
            if state not in ('completed', 'failed')
            or (state == 'completed' and job_id in self.deadly)
        ]
        self.given_up = [
            job_id
            for job_id, state in states.items()
            if state == 'failed' and job_id not in self.deadly
        ]
        if len(world.running('lasting')) != 2:
            not_done.append(('lasting', dict(world.running('lasting'))))
        return not_done

    async def _inject_fault(self, kind):
        self.faults.append((round(self.world.now_s(), 2), kind))
        duration_s = self._rng.uniform(*FAULT_DURATION_S)
        await getattr(self, f'_do_{kind}')(duration_s)

    def _call_after(self, duration_s, undo):
        self.world.loop.call_later(duration_s, undo)

    async def _do_kill(self, duration_s):
        await self._rng.choice(self.world.daemons).restart()

    async def _do_kill_owner(self, duration_s):
        owner = self.world.owner
        if owner is not None:
            await owner.restart()

    async def _do_cut_daemon(self, duration_s):
        self._disconnect(self._rng.choice(self.world.daemons), duration_s)

    async def _do_cut_owner(self, duration_s):
        owner = self.world.owner
        if owner is not None:
            self._disconnect(owner, duration_s)

    def _disconnect(self, daemon, duration_s):
        for link in (daemon.link, daemon.hosts_link):
            link.is_cut = True
            self._call_after(
                duration_s, lambda k=link: setattr(k, 'is_cut', False)
            )

    async def _do_cut_owner_from_store(self, duration_s):
        owner = self.world.owner
        if owner is not None:
            client = owner.parts.log
            client.is_cut = True
            self._call_after(
                duration_s, lambda: setattr(client, 'is_cut', False)
            )

    async def _do_lose_host_answers(self, duration_s):
        for daemon in self.world.daemons:
            link = daemon.hosts_link
            link.lost_share = 0.3
            self._call_after(
                duration_s, lambda k=link: setattr(k, 'lost_share', 0.0)
            )

    def _set_links(self, field, value, duration_s):
        for daemon in self.world.daemons:
            setattr(daemon.link, field, value)
            self._call_after(
                duration_s, lambda d=daemon: setattr(d.link, field, 0.0)
            )

    async def _do_lose_answers(self, duration_s):
        self._set_links('lost_share', 0.15, duration_s)

    async def _do_delay_calls(self, duration_s):
        self._set_links('late_share', 0.15, duration_s)

    async def _do_store_down(self, duration_s):
        self.world.store.is_down = True
        self._call_after(
            duration_s, lambda: setattr(self.world.store, 'is_down', False)
        )

    async def _do_silence_partitions(self, duration_s):
        """Let some partitions answer nothing, or refuse all calls."""
        store, parts = self.world.store, self.world.daemons[0].parts
        followers = [
            *parts.status_followers,
            *parts.jobs_followers,
            parts.operators_follower,
            parts.entries_follower,
        ]
        names = [
            follower.partition.name
            for follower in followers
            if self._rng.random() < SILENCED_SHARE
        ]
        store.is_late = self._rng.random() < 0.5
        if self._rng.random() < 0.5:
            store.silent.update(names)
            self._call_after(duration_s, lambda: store.end_silence(names))
        else:
            store.refusing.update(names)
            self._call_after(
                duration_s, lambda: store.refusing.difference_update(names)
            )

    async def _do_compact_log(self, duration_s):
        parts = self.world.daemons[0].parts
        for follower in (
            *parts.status_followers,
            *parts.jobs_followers,
            parts.entries_follower,
        ):
            self.world.store.compact(follower.partition)

    async def _do_step_clock(self, duration_s):
        """Step the wall clock of one daemon back or forward."""
        clock = self._rng.choice(self.world.daemons).parts.clock
        clock.wall_step_s = self._rng.choice((-2400.0, -3.0, 3.0, 2400.0))
        self._call_after(
            duration_s, lambda: setattr(clock, 'wall_step_s', 0.0)
        )

    async def _do_slow_store(self, duration_s):
        store = self.world.store
        store.append_s = self._rng.uniform(0.05, 0.4)
        self._call_after(duration_s, lambda: setattr(store, 'append_s', 0.0))

    async def _do_lose_store_answers(self, duration_s):
        for daemon in self.world.daemons:
            log, normal_link = daemon.parts.log, daemon.link
            log._link = links.Link(self.world.rng, lost_share=0.35)
            # Of several that overlap, the last one to end must not bring back
            # the lossy link of another.
            self._call_after(
                duration_s, lambda g=log, k=normal_link: setattr(g, '_link', k)
            )

    async def _do_store_stale_entry(self, duration_s):
        """Store an entry of an executor that no longer exists."""
        ended = [e for e in self.world.executors.values() if e.is_gone]
        if ended and self.world.store.is_available(job_world.ENTRIES):
            self.world.store_entry(self._rng.choice(ended).entry)

    def _choose_executor(self):
        alive = [
            e
            for e in self.world.executors.values()
            if not (e.is_gone or e.is_cut)
        ]
        return self._rng.choice(alive) if alive else None

    async def _do_crash_executor(self, duration_s):
        executor = self._choose_executor()
        if executor is not None:
            self.world.crash_executor(executor, duration_s)

    async def _do_cut_executor(self, duration_s):
        executor = self._choose_executor()
        if executor is not None:
            executor.is_cut = True
            self._call_after(
                duration_s, lambda: setattr(executor, 'is_cut', False)
            )

    async def _do_resize_executor(self, duration_s):
        """Shrink an executor, at times to nothing, and let it grow again."""
        executor = self._choose_executor()
        if executor is None:
            return
        share = self._rng.choice((0.0, 0.2, 0.6))
        whole = executor.entry.capacity
        executor.resize(
            specs.Resources(
                int(whole.cpu_millicores * share),
                int(whole.memory_mb * share),
            )
        )
        self._call_after(duration_s, lambda: executor.resize(whole))

    async def _do_submit_deadly(self, duration_s):
        """Submit a job, a task of which crashes each executor."""
        job_id = f'bad{len(self.deadly):02}'
        self.deadly.append(job_id)
        task_id = jobs.TaskId(job_id, 0, 0, 0)
        self.world.crash_delays_s[task_id] = DEADLY_DELAY_S
        spec = self._make_spec()
        pool = self._rng.choice(('web', 'ci'))
        self._begin_submission(job_id, pool, spec)

    async def _do_restart_executor(self, duration_s):
        """Let an executor begin again under its id, at times much later."""
        executor = self._choose_executor()
        if executor is not None and self._rng.random() < 0.5:
            executor.restart()
        elif executor is not None:
            self.world.crash_and_return(executor, duration_s)

    async def _do_lose_entry(self, duration_s):
        """Cut an executor off for so long that its entry is removed."""
        executor = self._choose_executor()
        if executor is not None:
            executor.is_cut = True
            self.world._drop_entry(executor)
            self._call_after(
                duration_s + LONG_CUT_S,
                lambda: setattr(executor, 'is_cut', False),
            )

    async def _do_mute_executor(self, duration_s):
        """Lose the answers of an executor, and cut it off then."""
        executor = self._choose_executor()
        if executor is None:
            return
        executor.is_mute = True

        def cut():
            executor.is_cut = True

        def heal():
            executor.is_cut = executor.is_mute = False

        self._call_after(self._rng.uniform(0.0, 0.5), cut)
        self._call_after(duration_s + 1.0, heal)


CAPACITY_KINDS = ('resize_executor',)
INCARNATION_KINDS = ('restart_executor', 'lose_entry', 'mute_executor')
PARTITION_KINDS = ('silence_partitions',)
DEADLY_KINDS = ('submit_deadly',)
ALL_KINDS = tuple(
    name.removeprefix('_do_')
    for name in vars(FaultRun)
    if name[:4] == '_do_'
    and name[4:]
    not in (
        *CAPACITY_KINDS,
        *DEADLY_KINDS,
        *INCARNATION_KINDS,
        *PARTITION_KINDS,
    )
)


def run_with_faults(seed, kinds=ALL_KINDS, limits=None, quota=None):
    """Run one simulation with random faults and return the result.

    :param kinds: kinds of faults to choose from
    :param limits: limits of each daemon's host; see :class:`job_world.World`
    :param quota: quota of the workspace that calls one of the queues; None
        for no workspaces
    """

    async def run():
        fault_run = FaultRun(seed, kinds, limits, quota)
        violations, unfinished = await fault_run.run()
        return FaultRunResult(
            seed,
            violations,
            unfinished,
            fault_run.given_up,
            fault_run.faults,
            fault_run.world.event_log_text(),
        )

    return virtual_time.run(run)
