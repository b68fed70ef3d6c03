"""Random faults beside calls whose answers are compared with what ran.

Each job is submitted by one call, and cancelled by one call at most, so that
each answer tells all that a caller knows.
"""

import asyncio

import attrs

from fakes import links
from hawthorndeal_jobs import admission
from hawthorndeal_jobs import jobs
from hawthorndeal_platform import keyed_log
from stage import job_world
from stage import virtual_time

DAEMONS = 5
CALLS = 60
CALLS_SPAN_S = 14.0
FAULTS = 10
FAULT_DURATION_S = (0.3, 4.0)
CANCELLED_SHARE = 0.4
CANCEL_DELAY_S = (0.0, 2.0)
QUERIED_SHARE = 0.5
SILENCED_SHARE = 0.35
RECOVERY_S = 35.0
HOPELESS_S = 600.0
POOLS = ('web', 'ci')
LIMITS = {
    'relay_address': '127.0.0.1:2',
    'submission_partitions': 4,
    'spare_partitions': 2,
}


@attrs.define
class CallOutcome:
    """What callers were told of one job.

    :ivar submitted: status of the answer to the submission
    :ivar cancelled: status of the answer to its cancellation, or None
    :ivar queried: status of the answer to a query after its acceptance
    """

    job_id: str
    submitted: int
    cancelled: int | None = None
    queried: int | None = None


@attrs.define
class SearchResult:
    """Result of one run.

    :ivar untrue: answers that what ran contradicts
    :ivar counts: number of answers by call and status
    """

    seed: int
    untrue: list
    counts: dict
    event_log_text: str


class _OutcomeRun:
    """One run of a simulation with faults and calls."""

    def __init__(self, seed):
        self.world = job_world.World(
            seed, hosts_per_pool=4, limits=[LIMITS] * DAEMONS
        )
        self._rng = self.world.rng
        self._calls = []
        self.outcomes = []
        self.faults = []

    async def run(self):
        """Run, and return the answers that are not true."""
        world = self.world
        await world.start()
        await asyncio.sleep(5.0)
        calling = asyncio.create_task(self._call_all())
        for _ in range(FAULTS):
            await asyncio.sleep(self._rng.uniform(0.1, 2.0))
            self._inject_fault()
        await calling
        await asyncio.gather(*self._calls)
        await asyncio.sleep(RECOVERY_S)
        untrue = [
            (outcome.job_id, why)
            for outcome in self.outcomes
            for why in self._contradictions(outcome)
        ]
        untrue += world.violations
        await world.stop()
        return untrue

    # Calls

    async def _call_all(self):
        for number in range(CALLS):
            await asyncio.sleep(
                self._rng.uniform(0.0, 2 * CALLS_SPAN_S / CALLS)
            )
            self._calls.append(
                asyncio.create_task(self._call_one(f'j{number:03}'))
            )

    async def _call_one(self, job_id):
        rng, pool = self._rng, self._rng.choice(POOLS)
        spec = job_world.one_step(rng.randint(1, 3), rng.uniform(0.2, 2.0))
        outcome = CallOutcome(
            job_id, await self._call('POST', pool, job_id, spec)
        )
        self.outcomes.append(outcome)
        if rng.random() < QUERIED_SHARE:
            outcome.queried = await self._call('GET', pool, job_id)
        if rng.random() < CANCELLED_SHARE:
            await asyncio.sleep(rng.uniform(*CANCEL_DELAY_S))
            outcome.cancelled = await self._call('DELETE', pool, job_id)
            if outcome.cancelled == 200:
                self.world.cancelled[job_id] = self.world.now_s()

    async def _call(self, method, pool, job_id, spec=None):
        """Return the status of the answer of any daemon that runs."""
        while True:
            running = [d for d in self.world.daemons if d.is_running]
            if running:
                break
            await asyncio.sleep(0.05)
        daemon = self._rng.choice(running)
        answer = await self.world.call(daemon, method, pool, job_id, spec)
        return answer.status

    def _contradictions(self, outcome):
        job_id = outcome.job_id
        has_run = any(t.job_id == job_id for t in self.world.starts)
        status = self.world.stored_status(job_id)
        state = status and status.state
        if _is_refusal(outcome.submitted) and has_run:
            yield f'refused with {outcome.submitted}, and has run'
        if outcome.submitted != 200:
            return
        if state is None or not state.is_final:
            yield f'accepted, and is {state}'
        if outcome.queried == 410:
            yield 'accepted, and told as unknown'
        if outcome.cancelled == 410:
            yield 'accepted, and its cancellation told as unknown'
        is_cancelled = state is jobs.JobState.CANCELLED
        if is_cancelled and outcome.cancelled is None:
            yield 'cancelled by nobody'
        if is_cancelled and _is_refusal(outcome.cancelled or 200):
            yield f'cancelled, and told {outcome.cancelled}'

    # Faults

    def _inject_fault(self):
        name = self._rng.choice(FAULT_KINDS)
        self.faults.append((round(self.world.now_s(), 2), name))
        duration_s = self._rng.uniform(*FAULT_DURATION_S)
        getattr(self, f'_do_{name}')(
            self._rng.choice(self.world.daemons), duration_s
        )

    def _later(self, delay_s, action):
        self.world.loop.call_later(delay_s, action)

    def _do_lose_store_answers(self, daemon, duration_s):
        log = daemon.parts.log
        share = self._rng.choice((0.3, 1.0))
        log._link = links.Link(self.world.rng, lost_share=share)
        self._later(duration_s, lambda: setattr(log, '_link', daemon.link))

    def _do_delay_store_calls(self, daemon, duration_s):
        log = daemon.parts.log
        log._link = links.Link(self.world.rng, late_share=0.5)
        self._later(duration_s, lambda: setattr(log, '_link', daemon.link))

    def _do_cut_store(self, daemon, duration_s):
        log = daemon.parts.log
        log.is_cut = True
        self._later(duration_s, lambda: setattr(log, 'is_cut', False))

    def _do_turn_away(self, daemon, duration_s):
        log = daemon.parts.log
        log._call = _refuse
        self._later(duration_s, lambda: vars(log).pop('_call', None))

    def _do_silence_daemon(self, daemon, duration_s):
        daemon.link.is_cut = True
        self._later(duration_s, lambda: setattr(daemon.link, 'is_cut', False))

    def _do_silence_partitions(self, daemon, duration_s):
        store, parts = self.world.store, daemon.parts
        names = [
            partition.name
            for partition in (*parts.submission_partitions, job_world.STATUSES)
            if self._rng.random() < SILENCED_SHARE
        ]
        store.is_late = self._rng.random() < 0.5
        store.silent.update(names)
        self._later(duration_s, lambda: store.end_silence(names))

    def _do_overload(self, daemon, duration_s):
        waits = admission.PoolForecast(HOPELESS_S, HOPELESS_S)
        board, view = daemon.parts.board, daemon.parts.owner_view
        board.load = admission.LoadReport(dict.fromkeys(POOLS, waits))
        view.load_read_s = daemon.parts.clock.monotonic_s()

    def _do_overload_all(self, _, duration_s):
        for daemon in self.world.daemons:
            self._do_overload(daemon, duration_s)

    def _do_kill_owner(self, _, duration_s):
        owner = self.world.owner
        if owner is not None:
            self._calls.append(asyncio.create_task(owner.restart()))


FAULT_KINDS = tuple(
    name.removeprefix('_do_')
    for name in vars(_OutcomeRun)
    if name.startswith('_do_')
)


def _is_refusal(status):
    return status >= 400 and status not in (502, 504)


def _refuse(*_, **__):
    async def fail():
        raise keyed_log.Overloaded('turned away')

    return fail()


def run(seed):
    """Run one simulation, and return the result."""

    async def play():
        outcome_run = _OutcomeRun(seed)
        untrue = await outcome_run.run()
        counts = {}
        for outcome in outcome_run.outcomes:
            for call in ('submitted', 'queried', 'cancelled'):
                key = call, getattr(outcome, call)
                counts[key] = counts.get(key, 0) + 1
        return SearchResult(
            seed,
            untrue,
            counts,
            f'{outcome_run.faults}\n{outcome_run.world.event_log_text()}',
        )

    return virtual_time.run(play)
