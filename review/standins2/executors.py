"""Stand-ins of machines and their executors, as PROTOCOL.md describes."""

import asyncio
import contextlib
import itertools
import json
import time

from aiohttp import web
import attrs

from soak import serving

HEARTBEAT_S = 1.5
# The store drops an entry after three heartbeats of silence.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
CUT_CHECK_S = 0.02
LEASE_CHECK_S = 0.05
WRITE_PERIOD_S = 0.1
STOP_S = 0.1
STARTUP_S = 0.2
MAX_ENDS = 500
CALLS = ('/-/run-start', '/-/run-stop', '/-/hold', '/-/pace')


@attrs.define
class Machine:
    """A machine, which outlives its executors.

    :ivar upkeeps: waves for which it has had its upkeep
    :ivar is_cut_off: whether the system's machines and it can't reach each
        other
    :ivar is_off_store: whether it can't reach the store
    """

    name: str
    pool: str
    zone: str = 'zone-a'
    rack: str = 'r1'
    kind: str = 'a'
    cpu: int = 16000
    mem_mb: int = 65536
    state: str = 'up'
    upkeeps: set = attrs.Factory(set)
    executor: object = None
    is_cut_off: bool = False
    is_off_store: bool = False

    @property
    def used_cpu(self):
        """What the runs on it use, in thousandths of a core."""
        runs = self.executor.runs.values() if self.executor else ()
        return sum(run.cpu for run in runs)

    @property
    def labels(self):
        """Its kind and its rack."""
        return [self.kind, self.rack]

    @property
    def capacity(self):
        """Its capacity as the platform tells it."""
        return {'cpu': self.cpu, 'mem-mb': self.mem_mb, 'gpus': 0}


@attrs.define(eq=False)
class Run:
    """A run on an executor.

    :ivar work_s: how long it works; None for a task that lasts
    """

    task: str
    number: int
    began_s: float
    work_s: float | None
    cpu: int
    timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False

    def percent(self, now_s):
        """Return the progress; a task that lasts is at work after startup."""
        passed_s = now_s - self.began_s
        if self.work_s is None:
            return 100 if passed_s > STARTUP_S else 0
        return min(99, int(100 * passed_s / max(self.work_s, 0.001)))


class Executor:
    """One life of a machine.

    :param fleet: the fleet that it belongs to
    :param machine: the machine that it runs on
    """

    def __init__(self, fleet, executor_id, machine, port):
        self.executor_id = executor_id
        self.born_ms = int(time.time() * 1000)
        self.machine = machine
        self.port = port
        self.runs = {}
        self.state = 'ready'
        self._fleet = fleet
        self._born_s = time.monotonic()
        self._token = 0
        self._deadline_s = 0.0
        self._ends = []
        self._numbers = itertools.count(1)
        # Highest run of each task that was stopped or has ended here.
        self._over = {}
        self._sequence = itertools.count(1)
        self._ended = asyncio.Event()

    def clock_s(self):
        """Return the time of the executor's steady clock."""
        return 100.0 + time.monotonic() - self._born_s

    def entry(self):
        """Return its entry in the store, as of now."""
        machine = self.machine
        return {
            'service': machine.pool,
            'address': f'{serving.HOST}:{self.port}',
            'zone': machine.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold-remaining-ms': 0,
            'machine': machine.name,
            'capacity': machine.capacity,
            'labels': machine.labels,
            'clock-ms': int(self.clock_s() * 1000),
            'sequence': next(self._sequence),
            **self._birth(),
        }

    def _birth(self):
        return {'born': self.born_ms} if self._fleet.tells_birth else {}

    def end_all(self, how):
        """End all runs."""
        for run in list(self.runs.values()):
            self._end(run, how)

    def check_lease(self):
        """End all runs if the lease has expired."""
        if self.runs and self.clock_s() > self._deadline_s:
            self.end_all('lapsed')

    def _end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._note_over(run.task, run.number)
        row = [next(self._numbers), run.task, run.number, how, '']
        self._ends.append(row)
        self._fleet.note_ended(self, run, how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _note_over(self, task, number):
        self._over[task] = max(number, self._over.get(task, 0))

    async def answer(self, path, headers, body):
        """Return status and body of the answer to a call."""
        wanted = headers.get('Expected-Instance')
        if wanted not in (None, self.executor_id):
            return 421, self._stamped({})
        token = body.get('fencing-token', 0)
        if token < self._token:
            return 409, self._stamped({'reason': 'fence'})
        self._token = token
        handle = {
            '/-/run-start': self._start,
            '/-/run-stop': self._stop,
            '/-/hold': self._hold,
            '/-/pace': self._pace,
        }[path]
        status, plain = await handle(body)
        return status, self._stamped(plain)

    def _stamped(self, plain):
        return {'clock-ms': int(self.clock_s() * 1000), **plain}

    def _renew(self, body):
        """Renew the lease; return whether the deadline is ahead."""
        if 'deadline-ms' not in body:
            return True
        now_s, deadline_s = self.clock_s(), body['deadline-ms'] / 1000
        longest_s = now_s + self._fleet.max_lease_s
        if deadline_s > longest_s:
            self._fleet.recorder.write(
                'lease-shortened',
                executor=self.executor_id,
                clock_s=round(now_s, 3),
                deadline_s=deadline_s,
                to_s=round(longest_s, 3),
            )
        self._deadline_s = max(self._deadline_s, min(deadline_s, longest_s))
        return deadline_s > now_s

    async def _start(self, body):
        task, number = body['task'], body['run-id']
        if not self._renew(body):
            return 409, {'reason': 'late'}
        if (task, number) in self.runs:
            return 200, {}
        if number <= self._over.get(task, 0):
            return 409, {'reason': 'old'}
        step = int(task.split('.')[2])
        behaviour = json.loads(body['task-spec'])['steps'][step]
        work_s, cpu = behaviour['work_s'], behaviour['cpu']
        run = Run(task, number, self.clock_s(), work_s, cpu)
        self.runs[task, number] = run
        if work_s is not None:
            run.timer = asyncio.get_running_loop().call_later(
                work_s, self._end, run, 'done'
            )
        self._fleet.note_started(self, run, body)
        return 200, {}

    async def _stop(self, body):
        run = self.runs.get((body['task'], body['run-id']))
        if run is None:
            self._note_over(body['task'], body['run-id'])
        elif not run.is_stopping:
            run.is_stopping = True
            if run.timer is not None:
                run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(
                STOP_S, self._end, run, 'stopped'
            )
        return 200, {}

    async def _pace(self, body):
        return 200, {}

    async def _hold(self, body):
        self._renew(body)
        seen = body.get('last-seen', 0)
        if self._ends and seen >= self._ends[0][0]:
            self._fleet.recorder.write(
                'taken-note', executor=self.executor_id, up_to=seen
            )
        self._ends = [row for row in self._ends if row[0] > seen]
        wait_s = body.get('wait-ms', 0) / 1000
        if not self._ends and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        now_s = self.clock_s()
        running = [
            [run.task, run.number, '', run.percent(now_s), 0]
            for run in self.runs.values()
        ]
        return 200, {
            'running': running,
            'ended': self._ends[:MAX_ENDS],
            **self._birth(),
        }


class Fleet:
    """The machines and their executors.

    :param store: the stand-in of the store, which takes the entries
    :param recorder: records what runs
    :ivar starts: (time, task, run, executor) of each start
    :ivar ends: (time, task, run, executor, how) of each end
    :param tells_birth: whether executors say when they began, and may begin
        again under the id that they had
    """

    def __init__(
        self, store, recorder, machines, max_lease_s, tells_birth=False
    ):
        self.tells_birth = tells_birth
        self.recorder = recorder
        self.max_lease_s = max_lease_s
        self.machines = {machine.name: machine for machine in machines}
        self.starts = []
        self.ends = []
        self._store = store
        self._by_port = {}
        self._sites = {}
        self._numbers = itertools.count()
        self._tasks = set()
        self._runner = None
        self._written_s = {}

    async def start(self):
        """Start the executors."""
        self._runner = await serving.make_runner(
            [web.post(path, self._answer) for path in CALLS]
        )
        for machine in self.machines.values():
            await self.begin(machine)
        self.spawn(self._write_entries())
        self.spawn(self._check_leases())

    async def stop(self):
        """End all executors."""
        for task in list(self._tasks):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def spawn(self, coroutine):
        """Run a coroutine until it ends, or the fleet does."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_started(self, executor, run, body):
        """Record the start of a run."""
        row = self.recorder.now_s(), run.task, run.number, executor.executor_id
        self.starts.append(row)
        self.recorder.write(
            'start',
            task=run.task,
            run=run.number,
            executor=executor.executor_id,
            token=body.get('fencing-token'),
        )

    def note_ended(self, executor, run, how):
        """Record the end of a run."""
        now_s = self.recorder.now_s()
        name = executor.executor_id
        self.ends.append((now_s, run.task, run.number, name, how))
        self.recorder.write(
            'end', task=run.task, run=run.number, executor=name, how=how
        )

    async def begin(self, machine, executor_id=''):
        """Start an executor on a machine.

        :param executor_id: its id; empty for a new one
        """
        site, port = await serving.listen(self._runner)
        if not executor_id:
            executor_id = f'i-{machine.name}-{next(self._numbers):04x}'
        executor = Executor(self, executor_id, machine, port)
        machine.executor = executor
        machine.state = 'up'
        self._by_port[port] = executor
        self._sites[executor_id] = site
        self.recorder.write(
            'executor-up', id=executor_id, machine=machine.name
        )
        self.put(executor_id, executor.entry())

    async def end(self, machine, how='gone'):
        """End the executor of a machine, and drop its entry."""
        executor, machine.executor = machine.executor, None
        if executor is None:
            return
        executor.end_all(how)
        del self._by_port[executor.port]
        self.recorder.write('executor-down', id=executor.executor_id)
        self.put(executor.executor_id, None)
        await self._sites.pop(executor.executor_id).stop()

    async def crash(self, machine, away_s):
        """End the executor of a machine without a word.

        It begins again under the id that it had.
        """
        executor, machine.executor = machine.executor, None
        machine.state = 'down'
        executor.end_all('crashed')
        del self._by_port[executor.port]
        name = executor.executor_id
        self.recorder.write('crash', id=name, away_s=away_s)
        await self._sites.pop(name).stop()
        silent_s = self.recorder.now_s() - self._written_s[name]
        drop_after_s = ENTRY_EXPIRY_S - silent_s
        self.spawn(self._drop_entry(machine, name, drop_after_s))
        self.spawn(self._return(machine, name, away_s))

    async def _drop_entry(self, machine, executor_id, after_s):
        await asyncio.sleep(after_s)
        if machine.executor is None:
            self.recorder.write('entry-expired', id=executor_id)
            self.put(executor_id, None)

    async def _return(self, machine, executor_id, away_s):
        await asyncio.sleep(away_s)
        await self.begin(machine, executor_id)

    def put(self, executor_id, entry):
        """Write an executor's entry to the store; None drops it."""
        name = executor_id.encode()
        value = b'' if entry is None else json.dumps(entry).encode()
        content = bytes([len(name)]) + name + value
        self._store.partition('keyed.servers').add([content])

    async def _answer(self, request):
        port = request.transport.get_extra_info('sockname')[1]
        executor = self._by_port.get(port)
        if executor is None:
            _abort(request)
            return web.Response(status=500)
        body = await request.json()
        if not await self._passes(executor, request):
            return web.Response(status=500)
        status, plain = await executor.answer(
            request.path, request.headers, body
        )
        if not await self._passes(executor, request):
            return web.Response(status=500)
        return web.json_response(plain, status=status)

    async def _passes(self, executor, request):
        """Hold bytes back while an executor is cut off.

        :returns: False if they are lost: the other side has closed the
            connection meanwhile, or the executor has ended
        """
        while executor.machine.is_cut_off:
            if _is_closed(request):
                return False
            await asyncio.sleep(CUT_CHECK_S)
        if self._by_port.get(executor.port) is executor:
            return not _is_closed(request)
        _abort(request)
        return False

    async def _check_leases(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            for machine in self.machines.values():
                if machine.executor is not None:
                    machine.executor.check_lease()

    async def _write_entries(self):
        written_s = self._written_s
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            now_s = self.recorder.now_s()
            for machine in self.machines.values():
                executor = machine.executor
                if executor is None:
                    continue
                name = executor.executor_id
                silent_s = now_s - written_s.setdefault(name, now_s)
                if not machine.is_off_store and silent_s >= HEARTBEAT_S:
                    if not self._has_entry(name):
                        self.recorder.write('entry-back', id=name)
                    self.put(name, executor.entry())
                    written_s[name] = now_s
                elif silent_s >= ENTRY_EXPIRY_S and self._has_entry(name):
                    self.recorder.write('entry-expired', id=name)
                    self.put(name, None)

    async def wait_between_heartbeats(self, machine):
        """Wait until half of the time between two heartbeats has passed."""
        name = machine.executor.executor_id
        begun_s = self._written_s[name]
        while self._written_s[name] == begun_s:
            await asyncio.sleep(WRITE_PERIOD_S / 2)
        await asyncio.sleep(HEARTBEAT_S / 2)

    def _has_entry(self, executor_id):
        newest = self._store.partition('keyed.servers').newest
        return bool(newest[executor_id][1])


def _is_closed(request):
    """Return whether the connection of a call was closed."""
    return request.transport is None or request.transport.is_closing()


def _abort(request):
    """Reset the connection of a call."""
    if request.transport is not None:
        request.transport.abort()
