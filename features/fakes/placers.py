"""Simulation of placers with a shared log and workers, and their faults."""

import asyncio
import random
import types

from hawthorndeal_daemon import placer
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

from . import jobs as fake_jobs
from . import workers as fake_workers

MAX_SETTLE_ITERATIONS = 60


class Clock:
    """Virtual clock that is advanced by the scenario."""

    def __init__(self):
        self.time_s = fake_jobs.START_S

    def now_s(self):
        """Return seconds since the epoch."""
        return self.time_s

    def monotonic_s(self):
        """Return monotonic seconds from an arbitrary start."""
        return self.time_s


class Log:
    """Log with injectable faults.

    :ivar is_down: whether appends fail
    :ivar lost_answers: number of appends to come whose responses are lost
    :ivar duplicates_appends: whether each append is stored twice
    """

    def __init__(self):
        self.entries = []
        self.is_down = False
        self.lost_answers = 0
        self.duplicates_appends = False

    def append(self, data):
        """Append an entry, twice if ``duplicates_appends`` is set."""
        if self.is_down:
            raise errors.PlatformUnavailable('the log is down')
        self.entries.append(data)
        if self.duplicates_appends:
            self.entries.append(data)

    def count(self, kind):
        """Return the number of records of a kind."""
        return sum(data['kind'] == kind for data in self.entries)

    def should_lose_response(self):
        """Return whether to lose the response to the current append."""
        self.lost_answers -= 1
        return self.lost_answers >= 0


class Daemon:
    """Daemon that runs a production placer.

    It is the follower and the writer of its placer.

    :ivar is_paused: whether the placer is not run
    :ivar is_log_unreachable: whether the daemon can't reach the log
    """

    def __init__(self, name, log, workers, clock, initial_state):
        self.name = name
        self.state = initial_state
        self._log = log
        self._clock = clock
        settings = types.SimpleNamespace(placement_period_s=0.2)
        self.workers = fake_workers.Adapter(workers)
        self.placer = placer.Placer(
            self, self, self.workers, settings, name, clock
        )
        self.is_paused = False
        self.is_log_unreachable = False
        self._decisions = {}

    def read(self):
        """Fold all new entries of the log, if it is reachable."""
        if self.is_log_unreachable:
            return
        first = self.state.next_offset
        for offset, data in enumerate(self._log.entries[first:], first):
            decision = fold.fold(self.state, offset, data)
            self._decisions.setdefault(decision.record_id, decision)

    async def commit(self, body, timeout_s, writer=None, record_id=None):
        """Append a record and return the decision of the fold on it."""
        if self.is_log_unreachable:
            raise errors.PlatformUnavailable('the log is unreachable')
        record = records.Record(
            f'{self.name}-{len(self._log.entries)}',
            self.name,
            self._clock.now_s(),
            body,
        )
        self._log.append(records.encode(record))
        # Let other daemons append before this one reads its record back.
        await asyncio.sleep(0)
        if self._log.should_lose_response():
            raise errors.OutcomeUnknown('the response was lost')
        self.read()
        return self._decisions[record.record_id]


class Bench:
    """Runs placers against one log and one set of workers.

    :param fleet: the declared fleet
    :param daemons: names of the daemons
    :param seed: seed of the order in which daemons run
    :ivar observer_state: state folded from the log, independent of all daemons
    """

    def __init__(self, fleet=None, daemons=('d1', 'd2'), seed=1):
        self.fleet = fleet or fake_jobs.make_fleet()
        self.clock = Clock()
        self.log = Log()
        cores = {n: host.cpu_cores for n, host in self.fleet.hosts.items()}
        self.workers = fake_workers.Workers(cores, self.clock.now_s)
        self.daemons = {name: self._make_daemon(name) for name in daemons}
        self.observer_state = self._initial_state()
        self._rng = random.Random(seed)
        for name in daemons:
            body = records.DaemonJoined(name, name, 'z1', '127.0.0.1:1')
            self.ask(body)

    def _initial_state(self):
        return state_module.State(revision=1, fleet=self.fleet)

    def _make_daemon(self, name):
        return Daemon(
            name, self.log, self.workers, self.clock, self._initial_state()
        )

    def ask(self, body):
        """Append a record that does not come from a placer."""
        record_id = f'asked-{len(self.log.entries)}'
        record = records.Record(record_id, 'bench', self.clock.now_s(), body)
        self.log.append(records.encode(record))
        self.read()

    def submit(self, job_id, run_s=60.0, **options):
        """Submit a job whose task runs for a given time."""
        self.workers.run_s[job_id] = run_s
        options.setdefault('run_s', run_s)
        self.ask(fake_jobs.submitted(job_id, self.clock.now_s(), **options))

    def cancel(self, job_id):
        """Cancel a job of workspace ``w``."""
        self.workers.cancelled.add(job_id)
        self.ask(job_records.JobCancelled(job_id, 'w'))

    def disrupt(self, host):
        """Disrupt a host, up to the step at which its jobs must leave."""
        self.ask(records.DisruptionAsked(host, 'wave', 'd1'))
        grant = self.observer_state.disruptions[host].grant_offset
        step = records.Step.QUIET
        self.ask(records.DisruptionStepped(host, grant, step, 'd1'))

    def read(self):
        """Fold all new entries of the log into ``observer_state``."""
        first = self.observer_state.next_offset
        for offset, data in enumerate(self.log.entries[first:], first):
            fold.fold(self.observer_state, offset, data)

    def check_invariants(self):
        """Check invariants."""
        self.read()
        fake_jobs.check_ledger(self.observer_state)
        live = self.workers.live_jobs()
        self.workers.check()
        ended = [
            job_id
            for job_id in live
            if job_id in self.observer_state.ended_jobs
        ]
        assert not ended, f'{ended} run after their end was recorded'
        assert not self.workers.violations, self.workers.violations

    async def turn(self):
        """Run each placer that isn't paused once, in random order."""
        daemons = [d for d in self.daemons.values() if not d.is_paused]
        self._rng.shuffle(daemons)
        for daemon in daemons:
            daemon.read()
            await daemon.placer.tick()
        for _ in range(MAX_SETTLE_ITERATIONS):
            await asyncio.sleep(0)
            if len(asyncio.all_tasks()) == 1:
                break
        self.check_invariants()

    async def run(self, seconds, period_s=0.2):
        """Advance time, running a turn once per period."""
        end_s = self.clock.time_s + seconds
        while self.clock.time_s < end_s:
            await self.turn()
            self.clock.time_s += period_s
        await self.turn()

    def job(self, job_id):
        """Return a job, or None if it is unknown or has ended."""
        return self.observer_state.jobs.get(job_id)

    def describe(self, job_id):
        """Return the status or outcome of a job as text."""
        job = self.job(job_id)
        if job is not None:
            return job.status.value
        ended = self.observer_state.ended_jobs.get(job_id)
        return ended.outcome.value if ended else 'unknown'

    def is_live(self, job_id):
        """Return whether a task of the job is running."""
        return job_id in self.workers.live_jobs()
