"""Simulate workers in virtual time with the production placement code.

Records go through the production fold and choices come from the production
policy; only the duration of calls and the usage of tasks are modelled.
"""

import collections
import heapq
import itertools
import random

import attrs

from hawthorndeal_fleet import fold
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import job_rules
from hawthorndeal_fleet import jobs as jobs_module
from hawthorndeal_fleet import model
from hawthorndeal_fleet import placement
from hawthorndeal_fleet import pools
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

GIB = 1024**3
HOSTS, CORES, HOSTS_PER_RACK, ZONES, WORKSPACES = 24, 16, 4, 3, 8
START_S = 1_000_000.0
POLL_S, PERIOD_S, SAMPLE_S = 0.5, 0.2, 5.0
APPEND_S, CALL_S, CHECKPOINT_S = 0.05, 0.05, 1.0
LONG_RUN_S, URGENT_RUN_S = 600.0, 60.0
LONG_CORES, URGENT_CORES = (1, 2, 4, 8), (1, 2, 4)
URGENT_SHARE = 0.2
WAVE_STEP_S = 120.0
URGENT_LIMIT_S = 2.2

_Step = job_records.JobStep
_Outcome = job_records.JobOutcome
_URGENT = job_records.JobUrgency.URGENT
_LONG = job_records.JobUrgency.LONG


@attrs.frozen
class Case:
    """Describe one run of the model.

    :ivar load: declared processor time asked for, as a share of all
    :ivar size_sigma: spread of used to declared size, between workspaces
    :ivar run_sigma: spread of declared to real run time
    :ivar bad_hosts: hosts that fail every task
    """

    policy: placement.Policy
    load: float = 0.95
    duration_s: float = 1800.0
    size_sigma: float = 0.4
    run_sigma: float = 1.0
    has_correction: bool = True
    has_quarantine: bool = True
    has_wave: bool = False
    is_steering: bool = True
    bad_hosts: tuple[str, ...] = ()


@attrs.define
class Task:
    """The actual needs and the progress of a job.

    :ivar version: number of the last scheduled end; older ones are ignored
    """

    cpu_cores: float
    left_s: float
    submitted_s: float
    speed: float = 0.0
    since_s: float = 0.0
    version: int = 0
    started_s: float = -1.0


@attrs.define
class Result:
    """The totals of a run."""

    urgent_waits_s: list[float] = attrs.Factory(list)
    urgent_left: int = 0
    long_waits_s: list[float] = attrs.Factory(list)
    outcomes: collections.Counter = attrs.Factory(collections.Counter)
    failed_tries: int = 0
    moves: int = 0
    used_core_s: float = 0.0
    over_core_s: float = 0.0
    worst_rack: list[float] = attrs.Factory(list)
    appends: int = 0
    breaches: int = 0


def make_fleet():
    """Return one pool of hosts in racks and zones."""
    hosts = {
        f'h{number:02}': model.Host(
            pool='p',
            zone=f'z{number // HOSTS_PER_RACK % ZONES}',
            rack=f'r{number // HOSTS_PER_RACK}',
            cpu_cores=CORES,
            memory_bytes=4 * CORES * GIB,
        )
        for number in range(HOSTS)
    }
    names = (f'w{number}' for number in range(WORKSPACES))
    return model.Fleet(
        pools={'p': model.Pool()},
        hosts=hosts,
        workspaces={name: model.Workspace() for name in names},
        waves={'wave': model.Wave(pools=['p'])},
    )


class Model:
    """Run one case with one seed."""

    def __init__(self, case, seed):
        self._case = case
        self._rng = random.Random(seed)
        self.now_s = START_S
        self.state = state_module.State(revision=1, fleet=make_fleet())
        self.result = Result()
        self._events = []
        self._numbers = itertools.count()
        self._tasks = {}
        self._busy = set()
        self._turns = {}
        self._mark = None
        names = list(self.state.fleet.workspaces)
        self._bias = {
            name: self._rng.lognormvariate(0.0, case.size_sigma)
            for name in names
        }
        self._append(records.DaemonJoined('d1', 'd1', 'z0', '127.0.0.1:1'))

    def run(self):
        """Run the simulation and return its totals."""
        self._plan_wave()
        self._fill()
        self._later(0.0, self._arrive, _LONG)
        self._later(0.0, self._arrive, _URGENT)
        self._later(PERIOD_S, self._tick)
        self._later(SAMPLE_S, self._sample)
        end_s = START_S + self._case.duration_s
        while self._events and self._events[0][0] < end_s:
            self.now_s, _, act, values = heapq.heappop(self._events)
            act(*values)
        queue = self.state.ledger.queues.get('p', jobs_module.Queue())
        limit_s = self.now_s - URGENT_LIMIT_S
        self.result.urgent_left = sum(
            self._tasks[key].submitted_s < limit_s for key in queue.urgent
        )
        return self.result

    def _fill(self):
        # Run times are exponential, so the remaining run times have the same
        # distribution at any moment.
        for urgency, run_s in ((_LONG, LONG_RUN_S), (_URGENT, URGENT_RUN_S)):
            for _ in range(round(self._rate(urgency) * run_s)):
                self._submit(urgency)

    def _later(self, delay_s, act, *values):
        event = (self.now_s + delay_s, next(self._numbers), act, values)
        heapq.heappush(self._events, event)

    def _append(self, body):
        self.result.appends += 1
        offset = self.state.next_offset
        record = records.Record(f'r{offset}', 'd1', self.now_s, body)
        return fold.fold(self.state, offset, records.encode(record))

    def _arrive(self, urgency):
        self._submit(urgency)
        wait_s = self._rng.expovariate(self._rate(urgency))
        self._later(wait_s, self._arrive, urgency)

    def _submit(self, urgency):
        cores = self._rng.choice(
            URGENT_CORES if urgency is _URGENT else LONG_CORES
        )
        mean_s = URGENT_RUN_S if urgency is _URGENT else LONG_RUN_S
        run_s = max(1.0, self._rng.expovariate(1.0 / mean_s))
        workspace = f'w{self._rng.randrange(WORKSPACES)}'
        job_id = f'j{next(self._numbers)}'
        ratio = self._bias[workspace] * self._rng.lognormvariate(0.0, 0.2)
        self._tasks[job_id] = Task(cores * ratio, run_s, self.now_s)
        declared = run_s * self._rng.lognormvariate(0.0, self._case.run_sigma)
        self._append(
            job_records.JobSubmitted(
                job_id,
                workspace,
                'p',
                float(cores),
                cores * GIB,
                self.now_s,
                run_s=declared,
                urgency=urgency,
                is_checkpointable=self._rng.random() < 0.5,
            )
        )
        # The responsible daemon may see the job only at its next log read.
        self._busy.add(job_id)
        self._later(self._rng.uniform(0, POLL_S), self._reveal, job_id)

    def _reveal(self, job_id):
        self._busy.discard(job_id)
        self._mark = None

    def _rate(self, urgency):
        is_urgent = urgency is _URGENT
        share = URGENT_SHARE if is_urgent else 1 - URGENT_SHARE
        cores = URGENT_CORES if is_urgent else LONG_CORES
        run_s = URGENT_RUN_S if is_urgent else LONG_RUN_S
        mean = sum(cores) / len(cores) * run_s
        return self._case.load * share * HOSTS * CORES / mean

    def _tick(self):
        self._later(PERIOD_S, self._tick)
        mark = self.state.ledger.changes['p'], int(self.now_s)
        if mark == self._mark:
            return
        self._mark = mark
        view = placement.PlacementView(self.state, policy=self._case.policy)
        if self._case.is_steering:
            view.maintenance_starts = self._turns
        choices = placement.place_queued(
            view, 'p', 50, self._busy.__contains__
        )
        for choice in choices:
            self._busy.add(choice.job_id)
            self._later(self._yield_s(choice), self._place, choice)
        if not choices:
            self._resume()
        self._displace()

    def _yield_s(self, choice):
        if any(one.is_checkpoint for one in choice.preemptions):
            return CHECKPOINT_S + APPEND_S
        return APPEND_S + (CALL_S if choice.preemptions else 0.0)

    def _place(self, choice):
        for one in choice.preemptions:
            job = self.state.jobs.get(one.job_id)
            if job is not None and job.lease == one.lease:
                self._make_room(job, one.is_checkpoint)
        self._busy.discard(choice.job_id)
        job = self.state.jobs[choice.job_id]
        placed = self._append(
            job_records.JobPlaced(
                job.job_id, choice.host, 'd1', job.queued_offset
            )
        )
        self._check(choice.host)
        if placed.is_accepted:
            self._later(CALL_S, self._start, job.job_id, placed.offset)

    def _make_room(self, job, is_checkpoint):
        task = self._tasks[job.job_id]
        step = _Step.CHECKPOINTED if is_checkpoint else _Step.THROTTLED
        if self._step(job, step).is_accepted:
            share = jobs_module.THROTTLED_SHARE
            self._set_speed(task, job.job_id, 0.0 if is_checkpoint else share)

    def _step(self, job, step):
        return self._append(
            job_records.JobStepped(
                job.job_id,
                job.lease,
                step,
                'd1',
                seen_offset=self.state.next_offset,
            )
        )

    def _start(self, job_id, lease):
        job = self.state.jobs.get(job_id)
        if job is None or job.lease != lease:
            return
        if job.host in self._case.bad_hosts:
            self.result.failed_tries += 1
            self._end(job_id, _Outcome.FAILED)
            return
        self._step(job, _Step.RUNNING)
        task = self._tasks[job_id]
        if task.started_s < 0:
            task.started_s = self.now_s
            waits = self.result.urgent_waits_s
            if not job.is_urgent:
                waits = self.result.long_waits_s
            waits.append(self.now_s - task.submitted_s)
        self._set_speed(task, job_id, 1.0)

    def _set_speed(self, task, job_id, speed):
        task.left_s -= task.speed * (self.now_s - task.since_s)
        task.since_s = self.now_s
        task.speed = speed
        task.version += 1
        if speed:
            left_s = max(0.0, task.left_s) / speed
            self._later(left_s, self._finish, job_id, task.version)

    def _finish(self, job_id, version):
        task = self._tasks.get(job_id)
        if task is not None and task.version == version:
            self._end(job_id, _Outcome.DONE)

    def _end(self, job_id, outcome):
        job = self.state.jobs[job_id]
        task = self._tasks[job_id]
        used = job_records.JobUsage()
        if self._case.has_correction and outcome is _Outcome.DONE:
            used = job_records.JobUsage(task.cpu_cores, job.size.memory_bytes)
        self._append(
            job_records.JobEnded(job_id, job.lease, outcome, 'd1', '', used)
        )
        if not self._case.has_quarantine:
            self.state.quarantines.clear()
        ended = self.state.ended_jobs.get(job_id)
        if ended is not None:
            self.result.outcomes[ended.outcome.value] += 1
            del self._tasks[job_id]

    def _resume(self):
        for key in list(self.state.ledger.throttled):
            job = self.state.jobs[key]
            if job_rules.can_resume(self.state, job):
                self._step(job, _Step.RUNNING)
                self._set_speed(self._tasks[key], key, 1.0)

    def _plan_wave(self):
        if not self._case.has_wave:
            return
        for number, host in enumerate(self.state.fleet.hosts, 1):
            turn_s = START_S + number * WAVE_STEP_S
            self._turns[host] = turn_s
            self._later(turn_s - self.now_s, self._disrupt, host)

    def _disrupt(self, host):
        self._turns.pop(host, None)
        self.state.disruptions[host] = None
        self._later(WAVE_STEP_S / 2, self.state.disruptions.pop, host, None)

    def _displace(self):
        for host in self.state.disruptions:
            for job in jobs_module.on_host(self.state, host):
                task = self._tasks[job.job_id]
                if job.is_checkpointable and task.speed:
                    self.result.moves += 1
                    self._make_room(job, True)

    def _check(self, host):
        if min(attrs.astuple(pools.free_capacity(self.state, host))) < 0:
            self.result.breaches += 1

    def _sample(self):
        self._later(SAMPLE_S, self._sample)
        used = collections.Counter()
        racks = collections.Counter()
        for key in self.state.ledger.held.get('d1', ()):
            job = self.state.jobs[key]
            task = self._tasks[key]
            used[job.host] += task.cpu_cores * task.speed
            racks[job.group, job.domains[0]] += 1
        for cores in used.values():
            self.result.used_core_s += min(cores, CORES) * SAMPLE_S
            self.result.over_core_s += max(0.0, cores - CORES) * SAMPLE_S
        if racks:
            self.result.worst_rack.append(_worst_share(racks))


def _worst_share(racks):
    totals = collections.Counter()
    worst = collections.Counter()
    for (group, _), count in racks.items():
        totals[group] += count
        worst[group] = max(worst[group], count)
    return sum(worst[g] / totals[g] for g in totals) / len(totals)
