"""In-memory fake executors that check each order they receive."""

import asyncio

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import executors as executors_module
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import specs
from hawthorndeal_platform import executor_orders

STOP_DURATION_S = 0.1
# A longer lease is shortened to this.
LONGEST_LEASE_S = 10.0
# What each executor has, and each host in the list.
CAPACITY = specs.Resources(16000, 65536)
# A capacity that has shrunk binds this much later: the time in which a daemon
# has to learn of it, and one heartbeat.
SHRINK_NOTICE_S = 4.5
# Sizes of messages: without rows or payload, and of a row of a poll.
MESSAGE_BYTES = 300
ROW_BYTES = 60

_Answer = run_tracking.StartAnswer
_Cause = run_state.EndCause


@attrs.define(eq=False)
class FakeRun:
    """A run on a fake executor.

    :ivar ends_s: time at which the run ends by itself
    :ivar cause: how it ends by itself
    :ivar stops_s: time at which an ordered stop takes effect, or None
    """

    task_id: object
    number: int
    ends_s: float
    began_s: float
    cause: object = None
    stops_s: float | None = None


class FakeExecutor:
    """Runs tasks in virtual time, and reports their ends.

    :param world: simulation that provides durations and checks invariants
    :param clock_rate: rate of its monotonic clock relative to true time
    :ivar is_gone: whether the executor has crashed
    :ivar is_cut: whether nobody can reach it
    :ivar is_mute: whether it carries out calls, and its answers are lost
    :ivar fails_all: whether all runs fail
    :ivar is_hanging: whether runs never end by themselves
    :ivar tells_birth: whether it says when its incarnation began
    """

    def __init__(self, world, entry, clock_rate=1.0):
        self.tells_birth = True
        self.entry = entry
        self.is_gone = False
        self.is_cut = False
        self.is_mute = False
        self.fails_all = False
        self.is_hanging = False
        self.runs = {}
        self._world = world
        self._rate = clock_rate
        self._clock_begin_s = 0.0
        self._fence_epoch = 0
        self._deadline_s = 0.0
        self._ends = []
        self._sequence = 0
        self._max_rejected = {}
        # Earlier capacities, and until when each counts.
        self._former_capacities = []
        # Counted like milliseconds, so that a later birth is a higher number.
        self.born_ms = 1

    @property
    def told_birth_ms(self):
        """When its incarnation began; 0 if it doesn't say."""
        return self.born_ms if self.tells_birth else 0

    def resize(self, capacity):
        """Change the capacity; the next heartbeat tells it."""
        until_s = self._world.now_s() + SHRINK_NOTICE_S
        self._former_capacities.append((until_s, self.entry.capacity))
        self.entry = attrs.evolve(self.entry, capacity=capacity)

    def binding_capacity(self):
        """Return the largest capacity that daemons may rely on."""
        now_s = self._world.now_s()
        recent = [
            c for until_s, c in self._former_capacities if until_s > now_s
        ]
        return specs.Resources(
            *map(max, zip(*map(attrs.astuple, [self.entry.capacity, *recent])))
        )

    def clock_s(self):
        """Return the time of the executor's monotonic clock."""
        return (
            1000.0 + (self._world.now_s() - self._clock_begin_s) * self._rate
        )

    def advance(self):
        """Advance all runs to the current time."""
        now_s = self._world.now_s()
        if self.runs and self.clock_s() > self._deadline_s:
            late_s = (self.clock_s() - self._deadline_s) / self._rate
            for run in list(self.runs.values()):
                # A run that ended before the lease expired ended normally.
                if run.ends_s <= now_s - late_s:
                    self._end(run, run.cause)
                else:
                    self._end(run, _Cause.LAPSED)
        for run in list(self.runs.values()):
            if run.stops_s is not None and run.stops_s <= now_s:
                self._end(run, _Cause.STOPPED)
            elif run.ends_s <= now_s:
                self._end(run, run.cause)

    def _end(self, run, cause):
        del self.runs[run.task_id, run.number]
        self._reject_up_to(run.task_id, run.number)
        self._sequence += 1
        self._ends.append(
            run_state.ReportedEnd(
                self._sequence, run.task_id, run.number, cause, ''
            )
        )
        self._world.record_end(self, run, cause)

    def _reject_up_to(self, task_id, number):
        self._max_rejected[task_id] = max(
            number, self._max_rejected.get(task_id, 0)
        )

    def break_gang(self, task_id, number):
        """End the runs of a gang of which another member has ended."""
        self.advance()
        for run in list(self.runs.values()):
            if run.number == number and (
                run.task_id.job_id == task_id.job_id
                and run.task_id.step == task_id.step
            ):
                self._end(run, _Cause.GANG_BROKEN)

    def crash(self):
        """End this executor and all its runs without a report."""
        self.advance()
        self.is_gone = True
        self.runs.clear()

    def restart(self):
        """Crash, and begin again under the same id, knowing nothing."""
        self.advance()
        self.runs.clear()
        self.born_ms += 1
        self.entry = attrs.evolve(
            self.entry, born_ms=self.told_birth_ms, sequence=0
        )
        self._fence_epoch = self._sequence = 0
        self._deadline_s = 0.0
        self._ends = []
        self._max_rejected = {}
        self._clock_begin_s = self._world.now_s()

    def come_back(self):
        """Begin again under the same id, some time after a crash."""
        self.restart()
        self.is_gone = False

    def next_entry(self):
        """Return the entry of the next heartbeat."""
        sequence = self.entry.sequence + 1
        self.entry = attrs.evolve(self.entry, sequence=sequence)
        return self.entry

    def _renew_lease(self, deadline_s):
        longest_s = self.clock_s() + LONGEST_LEASE_S
        self._deadline_s = max(self._deadline_s, min(deadline_s, longest_s))

    def _check(self, epoch):
        if self.is_gone and not self._world.is_host_up(self.entry.host):
            raise errors.PlatformUnavailable('connection refused')
        if self.is_gone:
            raise executor_orders.ExecutorGone(self.entry.executor_id)
        self.advance()
        if epoch < self._fence_epoch:
            raise executor_orders.ExecutorFenced(f'epoch {epoch}')
        self._fence_epoch = epoch

    def start(self, order):
        """Start a run; return the answer and the time of the clock."""
        try:
            self._check(order.epoch)
        except executor_orders.ExecutorGone:
            return _Answer.GONE, None
        except executor_orders.ExecutorFenced:
            return _Answer.FENCED, self.clock_s()
        except errors.PlatformUnavailable:
            return _Answer.UNHEALTHY, None
        return self._start(order), self.clock_s()

    def _start(self, order):
        key = order.task_id, order.number
        if order.deadline_s < self.clock_s():
            return _Answer.TOO_LATE
        self._renew_lease(order.deadline_s)
        if key in self.runs:
            return _Answer.ACCEPTED
        if order.number <= self._max_rejected.get(order.task_id, 0):
            return _Answer.OLD_RUN
        now_s = self._world.now_s()
        has_failed = self.fails_all or self._world.fails(order.task_id)
        cause = _Cause.FAILED if has_failed else _Cause.DONE
        run_duration_s = self._world.duration_s(order.task_id)
        if self.is_hanging:
            run_duration_s = float('inf')
        run = FakeRun(
            order.task_id, order.number, now_s + run_duration_s, now_s, cause
        )
        self.runs[key] = run
        self._world.check_start(self, run)
        self._world.begin_crash(self, run)
        if self.is_gone:
            raise errors.OutcomeUnknown('the connection was lost')
        return _Answer.ACCEPTED

    def stop(self, task_id, number, epoch):
        """Stop a run, or prevent it from starting later."""
        self._check(epoch)
        run = self.runs.get((task_id, number))
        if run is None:
            self._reject_up_to(task_id, number)
        elif run.stops_s is None:
            self._world.check_stop(run)
            run.stops_s = self._world.now_s() + STOP_DURATION_S

    def poll(self, epoch, last_recorded_end, deadline_s):
        """Renew the lease; return running runs and unacknowledged ends.

        :param last_recorded_end: sequence number of the last acknowledged end
        :param deadline_s: new end of the lease, or None to leave it
        """
        self._check(epoch)
        if deadline_s is not None:
            self._renew_lease(deadline_s)
        self._ends = [e for e in self._ends if e.sequence > last_recorded_end]
        self._world.check_acknowledged_ends(self, last_recorded_end)
        now_s = self._world.now_s()
        running = tuple(
            run_state.ReportedRun(
                run.task_id,
                run.number,
                self._world.checkpoint(run.task_id),
                self._percent(run, now_s),
            )
            for run in self.runs.values()
        )
        return running, tuple(self._ends)

    def _percent(self, run, now_s):
        if self._world.is_lasting(run.task_id):
            return 100 if now_s - run.began_s > 0.5 else 0
        if self.is_hanging:
            return 0
        run_duration_s = max(0.001, run.ends_s - run.began_s)
        return min(99, int(100 * (now_s - run.began_s) / run_duration_s))

    async def wait(self, last_recorded_end, wait_s):
        """Wait until there is an unacknowledged end, or for a timeout."""
        limit_s = self._world.now_s() + wait_s
        while self._world.now_s() < limit_s and not self.is_gone:
            self.advance()
            if any(end.sequence > last_recorded_end for end in self._ends):
                return
            await asyncio.sleep(min(0.01, wait_s))


class ExecutorsClient:
    """Client of all executors for one daemon."""

    def __init__(self, world, link):
        self._world = world
        self._link = link

    def _find_reachable(self, target):
        executor = self._world.executors.get(target.executor_id)
        if executor is None or executor.is_cut:
            return None
        if target.executor_id in self._link.unreachable:
            return None
        return executor

    async def _call(
        self,
        target,
        operation,
        wait=None,
        wait_s=0.0,
        sent_bytes=MESSAGE_BYTES,
        response_bytes=lambda result: MESSAGE_BYTES,
    ):
        executor = self._find_reachable(target)
        timeout_s = executor_orders.CALL_TIMEOUT_S + wait_s
        if executor is None:
            await asyncio.sleep(timeout_s)
            raise errors.OutcomeUnknown('the executor is unreachable')

        born_ms = executor.born_ms

        async def wait_remotely():
            if wait is not None:
                await wait(executor)

        def operate():
            if executor.born_ms != born_ms:
                raise errors.OutcomeUnknown('the connection was lost')
            result = operation(executor)
            if executor.is_mute:
                raise errors.OutcomeUnknown('the answer was lost')
            return result

        return await self._link.call(
            operate,
            wait_remotely,
            timeout_s,
            sent_bytes,
            response_bytes,
        )

    async def start(self, target, order):
        """Send an order to start a run."""
        try:
            return await self._call(
                target,
                lambda e: e.start(order),
                sent_bytes=MESSAGE_BYTES + len(order.payload),
            )
        except errors.OutcomeUnknown:
            return _Answer.UNKNOWN, None

    async def stop(self, target, task_id, number, epoch):
        """Send an order to stop a run."""
        await self._call(target, lambda e: e.stop(task_id, number, epoch))

    async def poll(self, target, epoch, last_recorded_end, deadline_s, wait_s):
        """Renew the lease of an executor and poll the state of its runs."""
        sent_s = self._world.now_s()
        running, ended, clock_s, born_ms = await self._call(
            target,
            lambda e: (
                *e.poll(epoch, last_recorded_end, deadline_s),
                e.clock_s(),
                e.told_birth_ms,
            ),
            lambda e: e.wait(last_recorded_end, wait_s),
            wait_s,
            response_bytes=lambda result: (
                MESSAGE_BYTES + ROW_BYTES * (len(result[0]) + len(result[1]))
            ),
        )
        return run_state.ExecutorPoll(
            sent_s, self._world.now_s(), clock_s, running, ended, True, born_ms
        )

    async def set_pace(self, target, task_id, number, percent, epoch):
        """Send an order to change the pace; fake executors ignore it."""
        await self._call(target, lambda e: e.clock_s())


def make_entry(executor_id, host, pool, zone, rack, capacity=CAPACITY):
    """Return the host list entry of a fake executor."""
    return executors_module.ExecutorEntry(
        executor_id,
        f'fake:{executor_id}',
        pool,
        zone,
        capacity,
        labels=('a', rack),
        rack=rack,
        host=host,
        born_ms=1,
    )
