"""Stand-ins of executors, as the platform's pages describe them."""

import asyncio
import itertools
import time

from aiohttp import web
import attrs

from standins import serving

TICK_S = 0.01
HEARTBEAT_S = 1.5
# The store drops an entry after three heartbeats of silence.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
STOP_S = 0.1
STARTUP_S = 0.2
MAX_ENDS = 500


@attrs.define
class Run:
    """A run on an executor.

    :ivar work_s: how long it takes; None for a task that lasts
    :ivar how: how it ends by itself
    """

    task: str
    number: int
    began_s: float
    work_s: float | None
    how: str
    stops_s: float | None = None

    def percent(self, now_s):
        """Return the progress; a task that lasts is at work after startup."""
        passed_s = now_s - self.began_s
        if self.work_s is None:
            return 100 if passed_s > STARTUP_S else 0
        return min(99, int(100 * passed_s / max(self.work_s, TICK_S)))


class Executor:
    """One incarnation of an executor.

    :param fleet: the fleet that it belongs to
    :param entry: what its record in the store says
    """

    def __init__(self, fleet, executor_id, entry):
        self.executor_id = executor_id
        self.entry = entry
        self.runs = {}
        self._fleet = fleet
        self._born_s = time.monotonic()
        self._token = 0
        self._deadline_s = 0.0
        self._ends = []
        self._numbers = itertools.count(1)
        # Highest run of each task that was stopped or has ended here.
        self._over = {}
        self._sequence = 0
        self._ended = asyncio.Event()
        self._runner = None
        self._tasks = []

    async def start(self):
        """Serve, and publish the entry."""
        self._runner, self.entry['address'] = await serving.serve(
            [
                web.post('/-/run-start', self._call(self._start)),
                web.post('/-/run-stop', self._call(self._stop)),
                web.post('/-/hold', self._call(self._hold)),
                web.post('/-/pace', self._call(self._pace)),
            ]
        )
        self._publish()
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat()),
        ]

    async def stop(self):
        """End with all runs."""
        for task in self._tasks:
            task.cancel()
        self.runs.clear()
        await self._runner.cleanup()

    def clock_s(self):
        """Return the time of the executor's steady clock."""
        return 100.0 + time.monotonic() - self._born_s

    def _publish(self):
        self._sequence += 1
        clock_ms = int(self.clock_s() * 1000)
        entry = {**self.entry, 'clock-ms': clock_ms}
        entry['sequence'] = self._sequence
        self._fleet.store.put('servers', self.executor_id, entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._publish()

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now_s = self.clock_s()
            if now_s > self._deadline_s:
                for run in list(self.runs.values()):
                    self._end(run, 'lapsed')
            for run in list(self.runs.values()):
                if run.stops_s is not None and now_s >= run.stops_s:
                    self._end(run, 'stopped')
                elif run.work_s is not None and (
                    now_s >= run.began_s + run.work_s
                ):
                    self._end(run, run.how)

    def _end(self, run, how):
        del self.runs[run.task, run.number]
        self._note_over(run.task, run.number)
        row = [next(self._numbers), run.task, run.number, how, '']
        self._ends.append(row)
        self._fleet.note('end', self, run.task, run.number, how)
        self._ended.set()
        self._ended = asyncio.Event()

    def _note_over(self, task, number):
        self._over[task] = max(number, self._over.get(task, 0))

    def _call(self, handle):
        async def answer(request):
            body = await request.json()
            wanted = request.headers.get('Expected-Instance')
            if wanted not in (None, self.executor_id):
                return web.json_response(self._stamped({}), status=421)
            if body.get('fencing-token', 0) < self._token:
                refusal = self._stamped({'reason': 'fence'})
                return web.json_response(refusal, status=409)
            self._token = body.get('fencing-token', 0)
            status, plain = await handle(body)
            return web.json_response(self._stamped(plain), status=status)

        return answer

    def _stamped(self, plain):
        return {'clock-ms': int(self.clock_s() * 1000), **plain}

    def _renew(self, body):
        """Renew the lease; return whether the deadline is ahead."""
        if 'deadline-ms' not in body:
            return True
        now_s, deadline_s = self.clock_s(), body['deadline-ms'] / 1000
        longest_s = now_s + self._fleet.max_hold_s
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
        if not self._fleet.is_permitted(self, task, body.get('ticket')):
            self._fleet.note('no ticket', self, task, number, '')
            return 409, {'reason': 'ticket'}
        work_s, how = self._fleet.behave(task, number, body['task-spec'])
        run = Run(task, number, self.clock_s(), work_s, how)
        self.runs[task, number] = run
        self._fleet.note('start', self, task, number, '')
        return 200, {}

    async def _stop(self, body):
        run = self.runs.get((body['task'], body['run-id']))
        if run is None:
            self._note_over(body['task'], body['run-id'])
        elif run.stops_s is None:
            run.stops_s = self.clock_s() + STOP_S
        return 200, {}

    async def _pace(self, body):
        return 200, {}

    async def _hold(self, body):
        self._renew(body)
        seen = body.get('last-seen', 0)
        self._ends = [row for row in self._ends if row[0] > seen]
        wait_s = body.get('wait-ms', 0) / 1000
        if not self._ends and wait_s:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        now_s = self.clock_s()
        running = [
            [run.task, run.number, '', run.percent(now_s), 0]
            for run in self.runs.values()
        ]
        return 200, {'running': running, 'ended': self._ends[:MAX_ENDS]}


class Fleet:
    """The executors of a deployment, and what happens on them.

    :param store: the store that they publish their entries in
    :param record: called with a line for each event
    :ivar behave: returns how long a run works, and how it ends
    :ivar is_permitted: returns whether a start carries what it needs
    :ivar events: rows of time, kind, executor id, task, run and detail
    """

    def __init__(self, store, record, max_hold_s=10):
        self.store = store
        self.max_hold_s = max_hold_s
        self.executors = {}
        self.behave = lambda task, number, spec: (1.0, 'done')
        self.is_permitted = lambda executor, task, ticket: True
        self.events = []
        self._record = record
        self._begun_s = time.monotonic()
        self._numbers = itertools.count()
        self._expiries = []

    def note(self, kind, executor, task, number, detail):
        """Record an event."""
        row = time.monotonic(), kind, executor.executor_id, task, number
        self.events.append((*row, detail))
        name = executor.executor_id
        self._record(f'{kind}: task {task} run {number} on {name} {detail}')

    async def add(self, host, service, zone, rack, cpu=16000):
        """Start an executor on a host."""
        executor_id = f'i-{host}-{next(self._numbers):04x}'
        entry = {
            'service': service,
            'zone': zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold-remaining-ms': 0,
            'machine': host,
            'capacity': {'cpu': cpu, 'mem-mb': 65536, 'gpus': 0},
            'labels': ['a', rack],
        }
        executor = Executor(self, executor_id, entry)
        self.executors[executor_id] = executor
        await executor.start()
        return executor

    async def crash(self, executor):
        """End an executor without a word; its entry goes a while later."""
        del self.executors[executor.executor_id]
        await executor.stop()
        expiry = asyncio.get_running_loop().call_later(
            ENTRY_EXPIRY_S,
            self.store.put,
            'servers',
            executor.executor_id,
            None,
        )
        self._expiries.append(expiry)

    async def revive(self, executor):
        """Start a new executor on the machine of one that has crashed."""
        entry = executor.entry
        await self.add(
            entry['machine'],
            entry['service'],
            entry['zone'],
            entry['labels'][1],
        )

    async def stop(self):
        """End all executors."""
        for expiry in self._expiries:
            expiry.cancel()
        for executor in self.executors.values():
            await executor.stop()

    def idle_s(self, job_id):
        """Return for how long nothing of a job has begun or ended."""
        times = [r[0] for r in self.events if r[3].startswith(f'{job_id}.')]
        is_busy = any(
            run.task.startswith(f'{job_id}.')
            for executor in self.executors.values()
            for run in executor.runs.values()
        )
        last_s = max(times, default=self._begun_s)
        return 0.0 if is_busy else time.monotonic() - last_s

    def starts(self, job_id):
        """Return time, task and run of each start of a job."""
        return [
            (row[0], row[3], row[4])
            for row in self.events
            if row[1] == 'start' and row[3].startswith(f'{job_id}.')
        ]
