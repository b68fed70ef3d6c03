"""Stand-ins of executors: the machines of one process.

A machine runs one executor at a time. It has none while it moves to another
pool, or is in a pool on standby.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import random
import time

import aiohttp
from aiohttp import web
import attrs

from . import events
from . import load
from . import serving

HEARTBEAT_S = 1.5
# Interval at which the entries that are due are written together.
WRITE_PERIOD_S = 0.25
LEASE_PERIOD_S = 0.05
# The store drops an entry after three heartbeats of silence.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
STOP_S = 0.1
STARTUP_S = 0.2
MOVE_S = 1.5
MAX_ENDS = 500
MACHINES_PATH = '/machines'
MOVE_PATH = '/move'
CRASH_PATH = '/crash'

_UP, _MOVING, _DOWN = 'up', 'moving', 'down'


@attrs.define
class Machine:
    """A machine, which outlives its executors.

    :ivar is_standby: whether its pool is on standby, without executors
    """

    name: str
    pool: str
    zone: str
    rack: str
    cpu_millicores: int
    mem_mb: int
    is_standby: bool
    state: str = _UP

    @property
    def labels(self):
        """Its kind and its rack."""
        return ['a', self.rack]

    @property
    def capacity(self):
        """Its capacity as the platform tells it."""
        return {'cpu': self.cpu_millicores, 'mem-mb': self.mem_mb, 'gpus': 0}


@attrs.define
class Run:
    """A run on an executor.

    :ivar work_s: how long it takes; None for a task that lasts
    """

    task: str
    number: int
    began_s: float
    work_s: float | None
    timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False

    def percent(self, now_s):
        """Return the progress; a task that lasts is at work after startup."""
        passed_s = now_s - self.began_s
        if self.work_s is None:
            return 100 if passed_s > STARTUP_S else 0
        return min(99, int(100 * passed_s / max(self.work_s, 0.001)))


class Executor:
    """One incarnation of an executor.

    :param fleet: the fleet that it belongs to
    :param machine: the machine that it runs on
    """

    def __init__(self, fleet, executor_id, machine, port):
        self.executor_id = executor_id
        self.machine = machine
        self.port = port
        self._fleet = fleet
        self._pool = machine.pool
        self._born_s = time.monotonic()
        self._runs = {}
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
            'service': self._pool,
            'address': f'{serving.HOST}:{self.port}',
            'zone': machine.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'machine': machine.name,
            'capacity': machine.capacity,
            'labels': machine.labels,
            'clock-ms': int(self.clock_s() * 1000),
            'sequence': next(self._sequence),
        }

    def end_all(self, how):
        """End all runs."""
        for run in list(self._runs.values()):
            self._end(run, how)

    def check_lease(self):
        """End all runs if the lease has expired."""
        if self._runs and self.clock_s() > self._deadline_s:
            self.end_all('lapsed')

    def _end(self, run, how):
        if self._runs.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._note_over(run.task, run.number)
        row = [next(self._numbers), run.task, run.number, how, '']
        self._ends.append(row)
        self._fleet.recorder.write(
            events.Kind.ENDED,
            self.executor_id,
            task=run.task,
            run=run.number,
            how=how,
        )
        self._ended.set()
        self._ended = asyncio.Event()

    def _note_over(self, task, number):
        self._over[task] = max(number, self._over.get(task, 0))

    async def answer(self, request):
        """Answer a call of a daemon."""
        body = await request.json()
        wanted = request.headers.get('Expected-Instance')
        if wanted not in (None, self.executor_id):
            return web.json_response(self._stamped({}), status=421)
        token = body.get('fencing-token', 0)
        if token < self._token:
            refusal = self._stamped({'reason': 'fence'})
            return web.json_response(refusal, status=409)
        self._token = token
        handle = {
            '/-/run-start': self._start,
            '/-/run-stop': self._stop,
            '/-/hold': self._hold,
            '/-/pace': self._pace,
        }[request.path]
        status, plain = await handle(body)
        return web.json_response(self._stamped(plain), status=status)

    def _stamped(self, plain):
        return {'clock-ms': int(self.clock_s() * 1000), **plain}

    def _renew(self, body):
        """Renew the lease; return whether the deadline is ahead."""
        if 'deadline-ms' not in body:
            return True
        now_s, deadline_s = self.clock_s(), body['deadline-ms'] / 1000
        longest_s = now_s + self._fleet.max_lease_s
        self._deadline_s = max(self._deadline_s, min(deadline_s, longest_s))
        return deadline_s > now_s

    async def _start(self, body):
        task, number = body['task'], body['run-id']
        if not self._renew(body):
            return 409, {'reason': 'late'}
        if (task, number) in self._runs:
            return 200, {}
        if number <= self._over.get(task, 0):
            return 409, {'reason': 'old'}
        behaviour = load.decide_behaviour(body['task-spec'], task, number)
        work_s = None if behaviour.is_lasting else behaviour.work_s
        run = Run(task, number, self.clock_s(), work_s)
        self._runs[task, number] = run
        run.timer = asyncio.get_running_loop().call_later(
            behaviour.work_s, self._end, run, behaviour.how
        )
        self._fleet.recorder.write(
            events.Kind.STARTED, self.executor_id, task=task, run=number
        )
        return 200, {}

    async def _stop(self, body):
        run = self._runs.get((body['task'], body['run-id']))
        if run is None:
            self._note_over(body['task'], body['run-id'])
        elif not run.is_stopping:
            run.is_stopping = True
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
        self._ends = [row for row in self._ends if row[0] > seen]
        wait_s = body.get('wait-ms', 0) / 1000
        if not self._ends and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._ended.wait(), wait_s)
        now_s = self.clock_s()
        running = [
            [run.task, run.number, '', run.percent(now_s), 0]
            for run in self._runs.values()
        ]
        return 200, {'running': running, 'ended': self._ends[:MAX_ENDS]}


class Fleet:
    """The machines of this process, and their executors.

    :param store_address: store that the entries are written to
    :param recorder: records what runs
    """

    def __init__(self, machines, store_address, recorder, max_lease_s):
        self.recorder = recorder
        self.max_lease_s = max_lease_s
        self._machines = {machine.name: machine for machine in machines}
        self._store_url = f'http://{store_address}/put?topic=servers'
        self._by_machine = {}
        self._by_port = {}
        self._sites = {}
        self._numbers = itertools.count()
        self._due_s = {}
        # Keys whose entries are to be dropped, with their times.
        self._drops = []
        self._tasks = set()
        self._runner = None
        self._session = None

    async def start(self):
        """Start the executors, and return the address for orders to them."""
        self._session = aiohttp.ClientSession()
        paths = ('/-/run-start', '/-/run-stop', '/-/hold', '/-/pace')
        self._runner = await serving.make_runner(
            [
                *(web.post(path, self._answer) for path in paths),
                web.get(MACHINES_PATH, self._list),
                web.post(MOVE_PATH, self._move),
                web.post(CRASH_PATH, self._crash),
            ]
        )
        for machine in self._machines.values():
            if not machine.is_standby:
                await self._begin(machine)
        self._spawn(self._write_entries())
        self._spawn(self._check_leases())
        self._spawn(serving.watch_lateness(self.recorder, 'executors'))
        _, port = await serving.listen(self._runner)
        return f'{serving.HOST}:{port}'

    async def stop(self):
        """End all executors."""
        for task in list(self._tasks):
            task.cancel()
        await self._session.close()
        await self._runner.cleanup()
        self.recorder.close()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _begin(self, machine):
        site, port = await serving.listen(self._runner)
        executor_id = f'i-{machine.name}-{next(self._numbers):04x}'
        executor = Executor(self, executor_id, machine, port)
        self._by_machine[machine.name] = executor
        self._by_port[port] = executor
        self._sites[port] = site
        # The first entry is due at once.
        self._due_s[executor_id] = 0.0
        self.recorder.write(
            events.Kind.EXECUTOR_UP,
            executor_id,
            pool=machine.pool,
            cpu_millicores=machine.cpu_millicores,
            mem_mb=machine.mem_mb,
        )

    async def _end(self, machine, drop_after_s=0.0):
        executor = self._by_machine.pop(machine.name, None)
        if executor is None:
            return
        del self._by_port[executor.port]
        executor.end_all('gone')
        self.recorder.write(events.Kind.EXECUTOR_DOWN, executor.executor_id)
        drop_s = time.monotonic() + drop_after_s
        del self._due_s[executor.executor_id]
        self._drops.append((drop_s, executor.executor_id))
        await self._sites.pop(executor.port).stop()

    async def _answer(self, request):
        port = request.transport.get_extra_info('sockname')[1]
        executor = self._by_port.get(port)
        if executor is None:
            # The process that listened here is gone, so are its connections.
            request.transport.abort()
            return web.Response(status=500)
        return await executor.answer(request)

    async def _check_leases(self):
        while True:
            await asyncio.sleep(LEASE_PERIOD_S)
            for executor in list(self._by_machine.values()):
                executor.check_lease()

    async def _write_entries(self):
        while True:
            rows = self._take_due()
            if rows:
                async with self._session.post(self._store_url, json=rows):
                    pass
            await asyncio.sleep(WRITE_PERIOD_S)

    def _take_due(self):
        now_s = time.monotonic()
        rows = []
        for executor in self._by_machine.values():
            executor_id = executor.executor_id
            due_s = self._due_s[executor_id]
            if due_s <= now_s:
                # Heartbeats of executors that began together are spread.
                share = 1.0 if due_s else random.random()
                self._due_s[executor_id] = now_s + share * HEARTBEAT_S
                rows.append((executor_id, executor.entry()))
        rows += [(key, None) for due_s, key in self._drops if due_s <= now_s]
        self._drops = [drop for drop in self._drops if drop[0] > now_s]
        return rows

    async def _list(self, request):
        executors = self._by_machine
        return web.json_response(
            [
                {
                    'machine': machine.name,
                    'pool': machine.pool,
                    'state': machine.state,
                    'zone': machine.zone,
                    'labels': machine.labels,
                    'capacity': machine.capacity,
                    'id': executors[machine.name].executor_id
                    if machine.name in executors
                    else '',
                }
                for machine in self._machines.values()
            ]
        )

    async def _move(self, request):
        body = await request.json()
        machine = self._machines[body['machine']]
        if machine.pool == body['pool']:
            return web.json_response({})
        if machine.state != _UP:
            return web.json_response({'reason': 'busy'}, status=409)
        machine.state, machine.pool = _MOVING, body['pool']
        machine.is_standby = body['is_standby']
        await self._end(machine)
        self._spawn(self._return(machine, MOVE_S))
        return web.json_response({})

    async def _crash(self, request):
        body = await request.json()
        machine = self._machines[body['machine']]
        if machine.state == _UP and not machine.is_standby:
            machine.state = _DOWN
            await self._end(machine, ENTRY_EXPIRY_S)
            self._spawn(self._return(machine, body['away_s']))
        return web.json_response({})

    async def _return(self, machine, after_s):
        await asyncio.sleep(after_s)
        machine.state = _UP
        if not machine.is_standby:
            await self._begin(machine)


def _parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--store', required=True)
    parser.add_argument('--machines', required=True)
    parser.add_argument('--events', required=True)
    parser.add_argument('--max-lease-s', type=float, required=True)
    return parser.parse_args()


@contextlib.asynccontextmanager
async def _serve():
    options = _parse_arguments()
    with open(options.machines) as source:
        machines = [Machine(**plain) for plain in json.load(source)]
    fleet = Fleet(
        machines,
        options.store,
        events.Recorder(options.events),
        options.max_lease_s,
    )
    yield await fleet.start()
    await fleet.stop()


if __name__ == '__main__':
    serving.run_process(_serve)
