"""Simulate a wave over hosts with jobs, using the production decisions."""

import collections
import heapq
import itertools
import math
import random

import attrs

from hawthorndeal_fleet import acknowledgements
from hawthorndeal_fleet import budget
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import maintenance
from hawthorndeal_fleet import peer_digests
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module
from hawthorndeal_fleet import waves

SLOTS = 8
MEAN_JOB_S = 600.0
LOAD = 0.7
REBOOT_S = 300.0
CHECKPOINT_S = 15.0
STEP_S = 1.0
TICK_S = 10.0
TURNS_PERIOD_S = 15.0
START_S = 1_000_000.0
MAX_RUN_S = 1_000_000.0
ME = 'measured'
WAVE = 'measured'


@attrs.define(eq=False)
class Job:
    """A job of the model.

    :ivar end_s: when the job ends, unless it is moved
    :ivar declared_s: declared run time
    """

    service: str
    runs_s: float
    declared_s: float
    arrived_s: float
    host: str = ''
    started_s: float = 0.0
    end_s: float = 0.0
    is_moving: bool = False


@attrs.define
class Host:
    """A host of the model."""

    service: str
    jobs: dict = attrs.Factory(dict)
    is_live: bool = True
    is_leaving: bool = False
    boot: int = 1


@attrs.frozen
class Setup:
    """Describe one run.

    :ivar has_arrivals: whether new jobs arrive at the usual load
    :ivar sigma: sigma of the lognormal error of declared run times
    :ivar lead_s: time from the announcement of the wave to its start
    """

    document: dict
    policy: waves.WavePolicy
    is_steering: bool
    seed: int
    has_arrivals: bool = False
    sigma: float = 0.0
    lead_s: float = 0.0


@attrs.frozen
class Outcome:
    """The costs of a run.

    :ivar buffer_s: host seconds of free capacity kept out of use
    :ivar wait_s: mean wait of new jobs for a slot
    """

    roll_out_s: float
    moves: int
    buffer_s: float
    wait_s: float
    breaches: int
    remaining_s: dict


class _Peers:
    """Provide the peer digest of the only daemon of the model."""

    def __init__(self, model):
        self._model = model

    def heard(self, incarnation):
        """Return a digest heard at the current time."""
        digest = peer_digests.PeerDigest(
            daemon=ME,
            incarnation=ME,
            zone='',
            next_offset=self._model.state.next_offset,
            revision=1,
            busy_hosts={},
        )
        return peer_digests.HeardDigest(digest, self._model.now_s)


class _Work:
    """Estimate the work on hosts from declared run times."""

    def __init__(self, model):
        self._model = model

    def get(self, host, default=waves.IDLE):
        """Return the work on a host."""
        jobs = self._model.hosts[host].jobs
        if not jobs:
            return default
        now_s = self._model.now_s
        longest_s = max(
            waves.expected_remaining_s(j.declared_s, now_s - j.started_s)
            for j in jobs
        )
        return waves.HostWork(len(jobs), longest_s)


class Model:
    """Simulate one wave until it is finished.

    :param setup: parameters of the run
    """

    def __init__(self, setup):
        self._setup = setup
        self._rng = random.Random(setup.seed)
        self._numbers = itertools.count()
        self._events = []
        self._queues = collections.defaultdict(collections.deque)
        self._turns = {}
        self._turns_at_s = 0.0
        self._moves = 0
        self._buffer_s = 0.0
        self._waits = []
        self._breaches = 0
        self._spent_s = collections.Counter()
        self._away = {}
        self.now_s = START_S
        self.state = self._make_state()
        fleet = self.state.fleet
        self._wave_hosts = waves.waiting_hosts(self.state, WAVE)
        self._begin_s = START_S + setup.lead_s
        services = {e.host: e.service for e in fleet.endpoints.values()}
        self.hosts = {name: Host(services[name]) for name in fleet.hosts}
        self._by_service = collections.defaultdict(list)
        for name, host in self.hosts.items():
            self._by_service[host.service].append(name)
        self._budgets = {
            service: budget.budget_of(fleet, service)
            for service in self._by_service
        }
        self._work = _Work(self)

    def _make_state(self):
        state = state_module.State()
        wave = {
            'pools': list(self._setup.document['pools']),
            'start_at_s': START_S + self._setup.lead_s,
            'expected_s': REBOOT_S + CHECKPOINT_S,
        }
        document = {**self._setup.document, 'waves': {WAVE: wave}}
        body = configuration.make_config_applied(
            {}, 0, document, 'first', 'ops'
        )
        self._fold(state, body)
        self._fold(state, records.DaemonJoined(ME, ME, '', ''))
        assert state.revision == 1, state.audit
        return state

    def _fold(self, state, body):
        number = next(self._numbers)
        record = records.Record(f'r{number}', ME, self.now_s, body)
        return fold.fold(state, state.next_offset, records.encode(record))

    def run(self):
        """Run the simulation and return the costs of the wave."""
        self._fill()
        self._push(self._begin_s, self._plan)
        if isinstance(self._setup.policy, waves.LeastWorkFirst):
            self._push(START_S, self._tick)
        remaining_s = {
            service: [
                [job.end_s - self._begin_s for job in self.hosts[name].jobs]
                for name in names
            ]
            for service, names in self._by_service.items()
        }
        while not self._is_done():
            at_s, _, action, argument = heapq.heappop(self._events)
            if at_s > START_S + MAX_RUN_S:
                raise RuntimeError(f'the wave is not done at {at_s} s')
            self._pass_time(at_s)
            action(*argument)
            self._check_budgets()
        return Outcome(
            roll_out_s=self.now_s - self._begin_s,
            moves=self._moves,
            buffer_s=self._buffer_s,
            wait_s=sum(self._waits) / max(1, len(self._waits)),
            breaches=self._breaches,
            remaining_s=remaining_s,
        )

    def _is_done(self):
        done = self.state.finished.get(WAVE, ())
        return len(done) == len(self._wave_hosts)

    def _push(self, at_s, action, *argument):
        heapq.heappush(
            self._events, (at_s, next(self._numbers), action, argument)
        )

    def _pass_time(self, at_s):
        passed_s = at_s - self.now_s
        if passed_s > 0:
            self._buffer_s += passed_s * self._held_back()
            for service, count in self._away.items():
                self._spent_s[service] += passed_s * count
        self.now_s = at_s

    def _held_back(self):
        """Return the free slots kept out of use, in units of hosts."""
        total = 0.0
        for name, found in self.state.disruptions.items():
            host = self.hosts[name]
            if host.is_live and found.step is not records.Step.HEALTHY:
                total += 1 - len(host.jobs) / SLOTS
        if self._setup.has_arrivals:
            total += sum(map(self._closed_share, self._turns))
        return total

    def _closed_share(self, name):
        """Return the free share of a host times the work share it rejects."""
        host = self.hosts[name]
        if name in self.state.disruptions:
            return 0.0
        left = max(0.0, self._turns[name] - self.now_s) / MEAN_JOB_S
        closed = (1 + left) * math.exp(-left)
        return closed * (1 - len(host.jobs) / SLOTS)

    def _count_away(self):
        """Count unavailable hosts by service, from the state of the hosts."""
        away = {}
        for host in self.hosts.values():
            if host.is_leaving or not host.is_live:
                away[host.service] = away.get(host.service, 0) + 1
        return away

    def _check_budgets(self):
        self._away = self._count_away()
        for service, count in self._away.items():
            service_budget = self._budgets[service]
            if count > service_budget.max_unavailable or (
                service_budget.window_s
                and self._spent_s[service] > service_budget.downtime_s
            ):
                self._breaches += 1

    def _fill(self):
        share = LOAD if self._setup.has_arrivals else 1.0
        for name, host in self.hosts.items():
            for _ in range(SLOTS):
                if self._rng.random() < share:
                    self._start(self._make_job(host.service), name)
        if self._setup.has_arrivals:
            for service in self._by_service:
                self._push(
                    self._next_arrival_s(service), self._arrive, service
                )

    def _make_job(self, service):
        runs_s = self._rng.expovariate(1 / MEAN_JOB_S)
        off = self._rng.lognormvariate(0, self._setup.sigma)
        return Job(service, runs_s, runs_s * off, self.now_s)

    def _next_arrival_s(self, service):
        slots = len(self._by_service[service]) * SLOTS
        rate = LOAD * slots / MEAN_JOB_S
        return self.now_s + self._rng.expovariate(rate)

    def _arrive(self, service):
        self._place(self._make_job(service))
        self._push(self._next_arrival_s(service), self._arrive, service)

    def _place(self, job):
        name = self._find_host(job)
        if name is None:
            self._queues[job.service].append(job)
        else:
            self._start(job, name)

    def _find_host(self, job):
        usable = [
            name
            for name in self._by_service[job.service]
            if len(self.hosts[name].jobs) < SLOTS and self._may_run(job, name)
        ]
        # Finished hosts first, so that a job moves at most once.
        return min(usable, key=self._rank, default=None)

    def _rank(self, name):
        is_waiting = name not in self.state.finished.get(WAVE, ())
        return is_waiting, len(self.hosts[name].jobs)

    def _may_run(self, job, name):
        host = self.hosts[name]
        if name in self.state.disruptions or not host.is_live:
            return False
        if not self._setup.is_steering or name not in self._turns:
            return True
        return self.now_s + job.declared_s <= self._turns[name]

    def _start(self, job, name):
        job.host = name
        job.started_s = self.now_s
        job.end_s = self.now_s + job.runs_s
        job.is_moving = False
        if self.now_s > START_S:
            self._waits.append(self.now_s - job.arrived_s)
        self.hosts[name].jobs[job] = None
        self._push(job.end_s, self._finish, job, name)

    def _finish(self, job, name):
        if job.host != name or job.is_moving:
            return
        self._leave(job, name)

    def _leave(self, job, name):
        host = self.hosts[name]
        host.jobs.pop(job, None)
        job.host = ''
        if name in self.state.disruptions:
            if not host.jobs:
                self._plan()
            return
        self._serve_queue(host.service)

    def _serve_queue(self, service):
        queue = self._queues[service]
        for _ in range(len(queue)):
            self._place(queue.popleft())

    def _tick(self):
        self._plan()
        self._push(self.now_s + TICK_S, self._tick)

    def _plan(self):
        actions = maintenance.plan(self.state, self._observe())
        actions = [a for a in actions if not isinstance(a, maintenance.Wait)]
        for act in actions:
            self._act(act)
        is_old = self.now_s >= self._turns_at_s + TURNS_PERIOD_S
        if self._setup.is_steering and is_old:
            self._turns = waves.maintenance_starts(
                self.state, self.now_s, self._work
            )
            self._turns_at_s = self.now_s
        if actions:
            self._push(self.now_s + STEP_S, self._plan)

    def _observe(self):
        return maintenance.Observation(
            own_incarnation=ME,
            view=acknowledgements.PeerView(_Peers(self), self.now_s),
            hosts={
                name: self._status(name) for name in self.state.disruptions
            },
            work=self._work,
            now_s=self.now_s,
            policy=self._setup.policy,
        )

    def _status(self, name):
        host = self.hosts[name]
        return maintenance.HostStatus(
            is_live=host.is_live,
            is_leaving=host.is_leaving,
            boot_id=str(host.boot),
            pool=self.state.pool_of(name),
            tasks=len(host.jobs),
        )

    def _act(self, act):
        host = self.hosts[act.host]
        found = self.state.disruptions.get(act.host)
        if isinstance(act, maintenance.RequestDisruption):
            body = records.DisruptionAsked(act.host, act.wave, ME)
            self._fold(self.state, body)
            displacement_delay_s = self._setup.policy.displacement_delay_s(
                self.state.fleet
            )
            self._push(self.now_s + displacement_delay_s, self._plan)
        elif isinstance(act, maintenance.Record):
            self._fold(
                self.state,
                records.DisruptionStepped(
                    act.host, found.grant_offset, act.step, ME, act.boot_id
                ),
            )
        elif isinstance(act, maintenance.Drain):
            self._drain(host, act.host)
        elif isinstance(act, maintenance.Reboot):
            host.is_live = False
            host.boot += 1
            self._push(self.now_s + REBOOT_S, self._boot, act.host)
        elif isinstance(act, maintenance.Restore):
            host.is_leaving = False
        elif isinstance(act, maintenance.End):
            body = records.DisruptionEnded(
                act.host, found.grant_offset, ME, act.is_complete
            )
            self._fold(self.state, body)
            self._serve_queue(host.service)

    def _drain(self, host, name):
        host.is_leaving = True
        for job in [job for job in host.jobs if not job.is_moving]:
            job.is_moving = True
            self._moves += 1
            self._push(self.now_s + CHECKPOINT_S, self._displace, job, name)

    def _displace(self, job, name):
        left_s = max(0.0, job.end_s - self.now_s + CHECKPOINT_S)
        elapsed_s = self.now_s - job.started_s
        job.declared_s = waves.expected_remaining_s(job.declared_s, elapsed_s)
        job.runs_s = left_s
        job.arrived_s = self.now_s
        self._leave(job, name)
        self._place(job)

    def _boot(self, name):
        self.hosts[name].is_live = True
        self._plan()
