"""Stand-ins of the executors, and of the service that lists their hosts."""

import asyncio
import collections
import contextlib
import itertools
import time

from aiohttp import web

HEARTBEAT_S = 1.5
STOP_S = 0.1
MAX_HOLD_S = 10.0
LEASE_CHECK_S = 0.05
MOVE_S = 1.5
UPKEEP_S = 2.0
GANG_TIMEOUT_S = 3.0
# Time until the other members of a gang learn that one has ended.
GANG_NEWS_S = 0.02
STARTUP_S = 0.2
CHECKPOINT_S = 1.0
MAX_ENDS = 500


class Run:
    """A run of a task on an executor."""

    def __init__(self, task, number):
        self.task, self.number = task, number
        self.began_s = time.monotonic()
        self.work_s = None
        self.timer = None


class Executor:
    """One life of an executor."""

    def __init__(self, fleet, machine, executor_id):
        self.fleet, self.machine, self.id = fleet, machine, executor_id
        self.address, self.site = '', None
        self.runs, self.ends, self.refused = {}, [], {}
        self.numbers = itertools.count(1)
        self.sequence = itertools.count(1)
        self.token = 0
        self.deadline_s = 0.0
        self.begun_s = time.monotonic()
        self.ended = asyncio.Event()
        self.is_down = False
        # Whether it fails all that it starts.
        self.is_grey = False

    def clock_s(self):
        """Return the time of its steady clock."""
        return 100.0 + time.monotonic() - self.begun_s

    def entry(self):
        """Return what it says of itself."""
        return {
            'service': self.machine.pool,
            'address': self.address,
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'capacity': self.machine.capacity,
            'labels': ['a', self.machine.rack],
            'machine': self.machine.name,
            'clock-ms': int(self.clock_s() * 1000),
            'sequence': next(self.sequence),
        }

    def end(self, run, how):
        """End a run."""
        key = run.task, run.number
        if self.runs.pop(key, None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self._refuse(run.task, run.number)
        saved = '' if how == 'done' else self.fleet.saved(run)
        number = next(self.numbers)
        self.ends.append([number, run.task, run.number, how, saved])
        self.fleet.note('end', self, run.task, run.number, how)
        self.ended.set()
        self.ended = asyncio.Event()
        self.fleet.note_gang_end(self, run, how)

    def end_all(self, how):
        """End all runs."""
        for run in list(self.runs.values()):
            self.end(run, how)

    def _refuse(self, task, number):
        self.refused[task] = max(number, self.refused.get(task, 0))

    async def answer(self, request):
        """Answer a call."""
        body = await request.json()
        response = await self._handle(request, body)
        if self.is_down:
            # One that has ended answers nothing, not even open calls.
            if request.transport is not None:
                request.transport.abort()
        return response

    async def _handle(self, request, body):
        if request.headers.get('Expected-Instance') != self.id:
            return web.json_response({}, status=421)
        if body.get('fencing-token', 0) < self.token:
            return self._answer(409, reason='fence')
        self.token = body.get('fencing-token', 0)
        handlers = {
            '/-/run-start': self._start,
            '/-/run-stop': self._stop,
            '/-/hold': self._hold,
            '/-/pace': self._pace,
        }
        return await handlers[request.path](body)

    def _answer(self, status=200, **fields):
        clock_ms = int(self.clock_s() * 1000)
        return web.json_response(
            {'clock-ms': clock_ms, **fields}, status=status
        )

    def _renew(self, body):
        deadline_s = body['deadline-ms'] / 1000
        deadline_s = min(deadline_s, self.clock_s() + MAX_HOLD_S)
        self.deadline_s = max(self.deadline_s, deadline_s)

    async def _start(self, body):
        task, number = body['task'], body['run-id']
        if body['deadline-ms'] / 1000 < self.clock_s():
            return self._answer(409, reason='late')
        self._renew(body)
        if (task, number) in self.runs:
            return self._answer()
        if number <= self.refused.get(task, 0):
            return self._answer(409, reason='old')
        run = self.runs[task, number] = Run(task, number)
        self.fleet.note('start', self, task, number, '')
        self.fleet.begin(self, run)
        return self._answer()

    async def _stop(self, body):
        task, number = body['task'], body['run-id']
        run = self.runs.get((task, number))
        if run is None:
            self._refuse(task, number)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end, run, 'stopped')
        return self._answer()

    async def _pace(self, body):
        return self._answer()

    async def _hold(self, body):
        if 'deadline-ms' in body:
            self._renew(body)
        seen = body.get('last-seen', 0)
        for end in self.ends:
            if end[0] <= seen:
                self.fleet.note('noted', self, end[1], end[2], end[3])
        self.ends = [end for end in self.ends if end[0] > seen]
        if not self.ends and body.get('wait-ms'):
            with contextlib.suppress(asyncio.TimeoutError):
                wait_s = body['wait-ms'] / 1000
                await asyncio.wait_for(self.ended.wait(), wait_s)
        running = [
            [
                run.task,
                run.number,
                self.fleet.saved(run),
                self._percent(run),
                0,
            ]
            for run in self.runs.values()
        ]
        return self._answer(running=running, ended=self.ends[:MAX_ENDS])

    def _percent(self, run):
        age_s = time.monotonic() - run.began_s
        if run.work_s is None:
            return 100 if age_s > STARTUP_S else 0
        return min(99, int(100 * age_s / max(0.001, run.work_s)))


class Machine:
    """A machine, which outlives its executors."""

    def __init__(self, name, pool, zone, rack, capacity):
        self.name, self.pool, self.zone = name, pool, zone
        self.rack, self.capacity = rack, capacity
        self.state, self.executor = 'up', None


class Fleet:
    """The machines, with their executors and the service that lists them.

    :param store: a :class:`store.Store`, in which executors register
    :param host: address that the executors listen on
    :param standby: pools whose machines are off
    """

    def __init__(self, store, host, standby):
        self._store, self._host, self._standby = store, host, standby
        self.machines = {}
        self.events = []
        self.specs = {}
        # Run times of the tasks of a job, in seconds.
        self.work_s = {}
        # Jobs whose tasks fail by their own fault.
        self.hopeless = set()
        self._gangs = collections.defaultdict(dict)
        self._ids = itertools.count(7919)
        self._tasks, self._runners = set(), []
        # Machines and waves of the upkeep that has begun.
        self._maintained = set()

    def note(self, kind, executor, task, number, how):
        """Record what an executor has done."""
        self.events.append(
            (time.monotonic(), kind, executor.machine.name, executor.id)
            + (task, number, how)
        )

    async def add(self, machine):
        """Add a machine, and start its executor."""
        self.machines[machine.name] = machine
        await self._bring_up(machine)

    async def _bring_up(self, machine):
        machine.state = 'up'
        if machine.pool in self._standby:
            return
        executor_id = f'i-{next(self._ids) * 7717 % 999983:08x}'
        machine.executor = executor = Executor(self, machine, executor_id)
        app = web.Application()
        app.router.add_route('*', '/{tail:.*}', executor.answer)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, self._host, 0)
        await site.start()
        executor.site = site
        self._runners.append(runner)
        port = runner.addresses[0][1]
        executor.address = f'{self._host}:{port}'
        self._spawn(self._beat(executor))
        self._spawn(self._check_lease(executor))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self, executor):
        while not executor.is_down:
            self._store.put('servers', executor.id, executor.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _check_lease(self, executor):
        while not executor.is_down:
            await asyncio.sleep(LEASE_CHECK_S)
            if executor.runs and executor.clock_s() > executor.deadline_s:
                executor.end_all('lapsed')

    def take_down(self, machine, how):
        """End the executor of a machine, and all that runs on it."""
        executor, machine.executor = machine.executor, None
        if executor is None:
            return
        executor.is_down = True
        for run in list(executor.runs.values()):
            executor.runs.pop((run.task, run.number))
            if run.timer is not None:
                run.timer.cancel()
            self.note('lost', executor, run.task, run.number, how)
            self.note_gang_end(executor, run, how)
        self._spawn(self._close(executor))

    async def _close(self, executor):
        """Refuse connections; the entry goes after three heartbeats."""
        await executor.site.stop()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self._store.put('servers', executor.id, None)

    def crash(self, machine, down_s):
        """Let the executor of a machine crash, and another one begin later."""
        self.take_down(machine, 'crashed')
        machine.state = 'down'
        self._spawn(self._return(machine, down_s))

    # Work

    def step_of(self, task):
        """Return the declared step of a task."""
        job_id, _, step, _ = task.split('.')
        return self.specs[job_id]['steps'][int(step)]

    def begin(self, executor, run):
        """Let a run work."""
        step = self.step_of(run.task)
        loop = asyncio.get_running_loop()
        if executor.is_grey:
            delay_s = self.grey_s
            run.timer = loop.call_later(delay_s, executor.end, run, 'failed')
        if step.get('gang-scheduled'):
            self._join(executor, run, step)
        elif not step.get('long-running') and not executor.is_grey:
            run.work_s = self.work_s[run.task.split('.')[0]]
            job_id = run.task.split('.')[0]
            how = 'failed' if job_id in self.hopeless else 'done'
            run.timer = loop.call_later(run.work_s, executor.end, run, how)

    # Time from a start until an executor that fails all has failed it.
    grey_s = 0.05

    def saved(self, run):
        """Return the checkpoint of a run; empty if there is none."""
        if not self.step_of(run.task).get('checkpointing'):
            return ''
        works_s = time.monotonic() - run.began_s
        seconds = int(works_s / CHECKPOINT_S)
        return self.checkpoint(run, seconds) if seconds else ''

    @staticmethod
    def checkpoint(run, seconds):
        """Return what a run has saved after so many intervals."""
        return f'{run.number:08x}{seconds:08x}'

    def _join(self, executor, run, step):
        gang = self._gangs[_gang_key(run)]
        gang[run.task] = executor, run
        loop = asyncio.get_running_loop()
        if len(gang) < step['count']:
            loop.call_later(GANG_TIMEOUT_S, self._end_alone, executor, run)
            return
        if all((r.task, r.number) in e.runs for e, r in gang.values()):
            for _, member in gang.values():
                member.work_s = self.work_s[run.task.split('.')[0]]
            loop.call_later(run.work_s, self._end_together, gang)

    def _end_alone(self, executor, run):
        if run.work_s is None:
            executor.end(run, 'alone')

    def _end_together(self, gang):
        if all((r.task, r.number) in e.runs for e, r in gang.values()):
            if not any(e.is_grey for e, _ in gang.values()):
                for executor, run in gang.values():
                    executor.end(run, 'done')

    def note_gang_end(self, executor, run, how):
        """Tell the other members of a gang that one has ended."""
        if how in ('done', 'broken', 'alone') or run.task is None:
            return
        if not self.step_of(run.task).get('gang-scheduled'):
            return
        loop = asyncio.get_running_loop()
        for other, member in self._gangs[_gang_key(run)].values():
            loop.call_later(GANG_NEWS_S, other.end, member, 'broken')

    # The service that lists the machines

    def routes(self):
        """Return the routes to serve."""
        return [
            web.get('/-/machines', self._list),
            web.post('/-/machine-move', self._move),
            web.post('/-/machine-upkeep', self._maintain),
        ]

    async def _list(self, request):
        rows = [
            {
                'machine': machine.name,
                'pool': machine.pool,
                'state': machine.state,
                'zone': machine.zone,
                'labels': ['a', machine.rack],
                'capacity': machine.capacity,
                'id': machine.executor.id if machine.executor else '',
            }
            for machine in self.machines.values()
        ]
        return web.json_response({'machines': rows, 'next-page-token': None})

    async def _move(self, request):
        body = await request.json()
        machine = self.machines[body['machine']]
        if machine.pool == body['pool']:
            return web.json_response({})
        return self._order(machine, body['pool'], 'moving', MOVE_S)

    async def _maintain(self, request):
        body = await request.json()
        machine, number = self.machines[body['machine']], body['wave']
        if (machine.name, number) in self._maintained:
            return web.json_response({})
        wave = self._store.value('op', f'wave/{number}') or {}
        if machine.name not in wave.get('machines', ()):
            return web.json_response({'reason': 'wave'}, status=409)
        response = self._order(machine, machine.pool, 'upkeep', UPKEEP_S)
        if response.status == 200:
            self._maintained.add((machine.name, number))
        return response

    def _order(self, machine, pool, state, duration_s):
        if machine.state != 'up':
            return web.json_response({'reason': 'busy'}, status=409)
        self.take_down(machine, state)
        machine.pool, machine.state = pool, state
        self._spawn(self._return(machine, duration_s))
        return web.json_response({})

    async def _return(self, machine, duration_s):
        await asyncio.sleep(duration_s)
        await self._bring_up(machine)

    async def stop(self):
        """Stop all executors."""
        for task in list(self._tasks):
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()


def _gang_key(run):
    return (*run.task.split('.')[:3], run.number)
