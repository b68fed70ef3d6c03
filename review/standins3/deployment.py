"""A small deployment on loopback: stand-ins, daemons and a client."""

import asyncio
import logging
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback

import aiohttp
from aiohttp import web

from . import daemons
from . import executors
from . import store

HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 25.0
ZONES = ('hall-karlin', 'hall-holesovice', 'hall-smichov')
CAPACITY = {'cpu': 16000, 'mem-mb': 65536, 'gpus': 0}
RACK_MACHINES = 4


class CouldNotRun(Exception):
    """Raised when a case can't be played here."""


class _FaultCount(logging.Handler):
    """Counts the errors of the stand-ins, beside which no case counts."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.messages = []

    def emit(self, record):
        """Keep a message."""
        self.messages.append(record.getMessage())


class Deployment:
    """Stand-ins of the platform, and daemons as processes of their own.

    :param folder: temporary folder for settings and logs
    :param record: file that tells what was sent, answered and run
    :param standby: pools whose machines are off
    """

    def __init__(self, folder, record, standby=()):
        self.folder, self._record = pathlib.Path(folder), record
        self.store = store.Store()
        self.fleet = executors.Fleet(self.store, daemons.HOST, set(standby))
        self.daemons = []
        self._runners, self._session = [], None
        self._begun_s = time.monotonic()

    def write(self, text):
        """Write a line to the record."""
        now_s = time.monotonic() - self._begun_s
        self._record.write(f'{now_s:8.3f} {text}\n')
        self._record.flush()

    async def start(self, count, pools, queues):
        """Start the stand-ins and the daemons.

        :param count: number of daemons
        :param pools: number of machines of each service
        :param queues: rows of the configuration's routes
        """
        self._session = aiohttp.ClientSession()
        platform = {
            'store': await self._serve(self.store.routes()),
            'cloud': await self._serve(self.fleet.routes()),
        }
        self.configure(1, pools, queues)
        number = 0
        for pool, machines in pools.items():
            for index in range(machines):
                machine = executors.Machine(
                    f'm-{number:04x}',
                    pool,
                    ZONES[index % len(ZONES)],
                    f'r-{pool}-{index // RACK_MACHINES}',
                    dict(CAPACITY),
                )
                await self.fleet.add(machine)
                number += 1
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            name = f'frontend-{zone}-{index}'
            daemon = daemons.Daemon(name, zone, platform, self.folder)
            daemon.start()
            self.daemons.append(daemon)
        await self._wait_until_ready()

    def configure(self, version, pools, queues):
        """Write a version of the configuration."""
        self.store.put(
            'op',
            'config',
            {
                'version': version,
                'routes': queues,
                'services': [
                    {'name': pool, 'standby': False, 'rejects-overload': False}
                    for pool in pools
                ],
                'limits': {'max-body-bytes': 262144},
            },
        )

    async def _serve(self, routes):
        app = web.Application(client_max_size=1 << 22)
        app.add_routes(routes)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, daemons.HOST, 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'

    async def _wait_until_ready(self):
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if all([await self._is_ready(d) for d in self.daemons]):
                if self.owner() is not None:
                    return
            if not all(d.is_running for d in self.daemons):
                raise CouldNotRun('a daemon has ended')
            await asyncio.sleep(0.1)
        raise CouldNotRun('the daemons were not ready in time')

    async def _is_ready(self, daemon):
        try:
            async with self._session.get(daemon.ready_url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def owner(self):
        """Return the running daemon that took over last, or None."""
        found = [
            (event['epoch'], daemon.name, daemon)
            for daemon in self.daemons
            if daemon.is_running
            for event in daemon.events('owner_at_work')
        ]
        return max(found)[2] if found else None

    async def call(self, daemon, method, queue, job_id='', body=None):
        """Send a call of a client; return status and body, or None."""
        url = f'{daemon.url}{queue["path-prefix"]}{job_id}'
        try:
            async with self._session.request(
                method,
                url,
                json=body,
                headers={'Host': queue['host']},
                timeout=aiohttp.ClientTimeout(total=3.0),
            ) as response:
                answer = response.status, await response.json()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            answer = None, repr(error)
        self.write(f'{method} {job_id} at {daemon.name}: {answer}')
        return answer

    async def submit(self, daemon, queue, job_id, body, work_s):
        """Submit a job until it is accepted; return whether it was."""
        self.fleet.specs[job_id] = body
        self.fleet.work_s[job_id] = work_s
        for _ in range(8):
            status, _ = await self.call(daemon, 'POST', queue, job_id, body)
            if status is not None and status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def stop(self):
        """End all that was started, and write what executors have done."""
        for daemon in self.daemons:
            daemon.end()
        await self.fleet.stop()
        for runner in self._runners:
            await runner.cleanup()
        if self._session is not None:
            await self._session.close()
        for at_s, kind, machine, executor, task, number, how in sorted(
            self.fleet.events
        ):
            self._record.write(
                f'{at_s - self._begun_s:8.3f} {kind} {task} run {number}'
                f' on {machine} ({executor}) {how}\n'
            )


def queue_row(name, pool, **fields):
    """Return a route of the configuration."""
    return {
        'name': f'r-{name}',
        'host': f'{name}.example',
        'path-prefix': f'/{name}/',
        'timeout-ms': 3000,
        'latency-target-ms': 600,
        'priority': 0,
        'service': pool,
        'max-attempts': 3,
        'stretch': 1.6,
        **fields,
    }


def has_trouble():
    """Return whether the case is played with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(case, folder, standby=(), limit_s=110.0):
    """Play a case, and return the exit code.

    :param case: coroutine function of a deployment; returns what was broken,
        as a list of texts
    :param folder: folder of the case, for the record
    """

    async def play(deployment):
        try:
            async with asyncio.timeout(limit_s):
                return await case(deployment)
        finally:
            await deployment.stop()

    def end(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    with (
        tempfile.TemporaryDirectory() as temporary,
        open(pathlib.Path(folder) / 'record.txt', 'w') as record,
    ):
        deployment = Deployment(temporary, record, standby)
        faults = _FaultCount()
        logging.getLogger().addHandler(faults)
        try:
            broken = asyncio.run(play(deployment))
            if faults.messages:
                raise CouldNotRun(f'a stand-in failed: {faults.messages[0]}')
        except (Exception, KeyboardInterrupt) as error:
            # Only a broken rule may end with its code.
            record.write(f'could not run: {traceback.format_exc()}\n')
            print(f'could not run: {error!r}', file=sys.stderr)
            return NOT_RUN
        for line in broken:
            record.write(f'BROKEN: {line}\n')
            print(f'BROKEN: {line}')
        record.write(f'{"broken" if broken else "held"}\n')
    return BROKEN if broken else HELD
