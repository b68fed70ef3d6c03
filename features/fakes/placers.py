"""Placers in one process, on a log and workers that show faults."""

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

SETTLE_TURNS = 60


class Clock:
    """Tell a time that only the scenario moves."""

    def __init__(self):
        self.time_s = fake_jobs.START_S

    def now_s(self):
        """Return seconds since the epoch."""
        return self.time_s

    def monotonic_s(self):
        """Return seconds that never go back, from any start."""
        return self.time_s


class Log:
    """Keep records in order; lose or refuse answers when told to."""

    def __init__(self):
        self.entries = []
        self.is_down = False
        self.lost_answers = 0
        self.is_doubling = False

    def append(self, data):
        """Add an entry, twice where told so."""
        if self.is_down:
            raise errors.PlatformUnavailable('the log is down')
        self.entries.append(data)
        if self.is_doubling:
            self.entries.append(data)

    def count(self, kind):
        """Return how many records of a kind there are."""
        return sum(data['kind'] == kind for data in self.entries)

    def lose(self):
        """Tell whether to lose the answer to an append."""
        self.lost_answers -= 1
        return self.lost_answers >= 0


class Daemon:
    """Be follower and writer of a placer, on the log of the scenario."""

    def __init__(self, name, log, workers, clock, base):
        self.name = name
        self.state = base
        self._log = log
        self._clock = clock
        settings = types.SimpleNamespace(placement_period_s=0.2)
        self.workers = fake_workers.Adapter(workers)
        self.placer = placer.Placer(
            self, self, self.workers, settings, name, clock
        )
        self.is_paused = False
        self.is_deaf = False
        self._decisions = {}

    def read(self):
        """Fold what the log has, unless it can't be reached."""
        if self.is_deaf:
            return
        first = self.state.next_offset
        for offset, data in enumerate(self._log.entries[first:], first):
            decision = fold.fold(self.state, offset, data)
            self._decisions.setdefault(decision.record_id, decision)

    async def commit(self, body, timeout_s, writer=None, record_id=None):
        """Append a record and return the fold's decision on it."""
        if self.is_deaf:
            raise errors.PlatformUnavailable('cut off from the log')
        record = records.Record(
            f'{self.name}-{len(self._log.entries)}',
            self.name,
            self._clock.now_s(),
            body,
        )
        self._log.append(records.encode(record))
        # Others get in between, as on a real log.
        await asyncio.sleep(0)
        if self._log.lose():
            raise errors.OutcomeUnknown('the answer is lost')
        self.read()
        return self._decisions[record.record_id]


class Bench:
    """Run placers against one log and one set of workers.

    :param fleet: the declared fleet
    :param daemons: names of the daemons
    :param seed: seed of the order in which daemons act
    """

    def __init__(self, fleet=None, daemons=('d1', 'd2'), seed=1):
        self.fleet = fleet or fake_jobs.make_fleet()
        self.clock = Clock()
        self.log = Log()
        cores = {n: host.cpu_cores for n, host in self.fleet.hosts.items()}
        self.workers = fake_workers.Workers(cores, self.clock.now_s)
        self.daemons = {name: self._make(name) for name in daemons}
        self.reader = self._state()
        self._rng = random.Random(seed)
        for name in daemons:
            body = records.DaemonJoined(name, name, 'z1', '127.0.0.1:1')
            self.ask(body)

    def _state(self):
        return state_module.State(revision=1, fleet=self.fleet)

    def _make(self, name):
        return Daemon(name, self.log, self.workers, self.clock, self._state())

    def ask(self, body):
        """Append a record of someone else than the placers."""
        record_id = f'asked-{len(self.log.entries)}'
        record = records.Record(record_id, 'bench', self.clock.now_s(), body)
        self.log.append(records.encode(record))
        self.read()

    def submit(self, job_id, run_s=60.0, **options):
        """Submit a job whose task takes a time."""
        self.workers.run_s[job_id] = run_s
        options.setdefault('run_s', run_s)
        self.ask(fake_jobs.submitted(job_id, self.clock.now_s(), **options))

    def cancel(self, job_id):
        """Cancel a job of workspace w."""
        self.workers.cancelled.add(job_id)
        self.ask(job_records.JobCancelled(job_id, 'w'))

    def disrupt(self, host):
        """Have a host worked on, up to where its jobs have to leave."""
        self.ask(records.DisruptionAsked(host, 'wave', 'd1'))
        grant = self.reader.disruptions[host].grant_offset
        step = records.Step.QUIET
        self.ask(records.DisruptionStepped(host, grant, step, 'd1'))

    def read(self):
        """Fold the log as an onlooker."""
        first = self.reader.next_offset
        for offset, data in enumerate(self.log.entries[first:], first):
            fold.fold(self.reader, offset, data)

    def observe(self):
        """Check what must always hold."""
        self.read()
        fake_jobs.check_ledger(self.reader)
        live = self.workers.live_jobs()
        self.workers.check()
        ended = [job_id for job_id in live if job_id in self.reader.ended_jobs]
        assert not ended, f'{ended} run after their end was told'
        assert not self.workers.violations, self.workers.violations

    async def turn(self):
        """Let each daemon that is not paused act once, in any order."""
        daemons = [d for d in self.daemons.values() if not d.is_paused]
        self._rng.shuffle(daemons)
        for daemon in daemons:
            daemon.read()
            await daemon.placer.tick()
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)
            if len(asyncio.all_tasks()) == 1:
                break
        self.observe()

    async def run(self, seconds, period_s=0.2):
        """Let time pass with turns on a period."""
        end_s = self.clock.time_s + seconds
        while self.clock.time_s < end_s:
            await self.turn()
            self.clock.time_s += period_s
        await self.turn()

    def job(self, job_id):
        """Return a job that has not ended, or None."""
        return self.reader.jobs.get(job_id)

    def describe(self, job_id):
        """Return where a job stands, in words without its host."""
        job = self.job(job_id)
        if job is not None:
            return job.status.value
        ended = self.reader.ended_jobs.get(job_id)
        return ended.outcome.value if ended else 'unknown'

    def is_live(self, job_id):
        """Tell whether a task runs for a job."""
        return job_id in self.workers.live_jobs()
