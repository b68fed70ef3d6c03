"""A small deployment on loopback: platform, executors, daemons, clients."""

import asyncio
import os
import signal
import sys
import tempfile
import time
import traceback

import aiohttp

from standins import daemons
from standins import executors
from standins import services
from standins import store

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ('hall-karlin', 'hall-holesovice', 'hall-smichov')
READY_TIMEOUT_S = 20.0
LIMIT_S = 115.0
HOST_NAME = 'pule25.example'
SERVICE = 'huvo11a'


class NotRun(Exception):
    """The case could not run."""


def is_troubled():
    """Return whether the disruption is to be brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def make_route(name='r-jobs', prefix='/puxa400/', **fields):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST_NAME,
        'path-prefix': prefix,
        'route-kind': 'unsafe',
        'timeout-ms': 3000,
        'latency-target-ms': 600,
        'priority': 0,
        'service': SERVICE,
        'max-attempts': 3,
        'stretch': 1.6,
        **fields,
    }


def make_service(name=SERVICE):
    """Return a service of the configuration."""
    return {
        'name': name,
        'health-path': '/health',
        'max-connections': 64,
        'rejects-overload': False,
        'standby': False,
    }


class Stage:
    """The processes and stand-ins of one case.

    :param record_path: file that tells what was sent, answered and run
    :param allows: policy of the advice service
    """

    def __init__(self, record_path, allows=lambda step, executor: True):
        self._record = open(record_path, 'w', buffering=1)
        self._begun_s = time.monotonic()
        self._directory = tempfile.TemporaryDirectory()
        self.store = store.Store()
        self.fleet = executors.Fleet(self.store, self.record)
        self.cloud = services.Cloud(self.fleet)
        self.advice = services.Advice(allows)
        self.daemons = []
        self._session = None

    def now_s(self):
        """Return the seconds since the begin of the case."""
        return time.monotonic() - self._begun_s

    def record(self, line):
        """Write a line to the record."""
        self._record.write(f'{self.now_s():8.3f} {line}\n')

    # Platform and daemons

    async def start(self, routes, hosts, daemon_count=3, store_addresses=()):
        """Start the platform, its executors, and the daemons.

        :param store_addresses: the store's address as each daemon sees it
        """
        self._session = aiohttp.ClientSession()
        if not self.store.address:
            await self.store.start()
        await self.cloud.start()
        await self.advice.start()
        self.configure(1, routes)
        for number in range(hosts):
            rack = f'r1-{number // 4}'
            zone = ZONES[number % len(ZONES)]
            await self.fleet.add(f'm-{number:04x}', SERVICE, zone, rack)
        for number in range(daemon_count):
            zone = ZONES[number % len(ZONES)]
            await self._start_daemon(number, zone, store_addresses)
        await self._await_ready()

    async def _start_daemon(self, number, zone, store_addresses):
        addresses = dict(enumerate(store_addresses))
        platform = {
            'store': addresses.get(number) or self.store.address,
            'cloud': self.cloud.address,
            'advice': self.advice.address,
        }
        name = f'frontend-{zone}-{number}'
        daemon = daemons.Daemon(name, zone, platform, self._directory.name)
        self.daemons.append(daemon)
        await daemon.start()
        self.record(f'started {name}')

    def configure(self, version, routes):
        """Write a configuration as the operator does."""
        configuration = {
            'version': version,
            'routes': routes,
            'services': [make_service()],
            'limits': {'max-body-bytes': 262144},
        }
        self.store.put('op', 'config', configuration)
        names = [route['name'] for route in routes]
        self.record(f'configuration {version}: routes {names}')

    async def _await_ready(self):
        for daemon in self.daemons:
            deadline_s = time.monotonic() + READY_TIMEOUT_S
            while not await self.is_ready(daemon):
                if time.monotonic() > deadline_s or not daemon.is_running:
                    raise NotRun(f'{daemon.name} is not ready')
                await asyncio.sleep(0.1)
        await self.await_owner()
        self.record('all daemons are ready')

    async def is_ready(self, daemon, timeout_s=1.0):
        """Return whether a daemon answers the readiness check with 200."""
        url = f'http://{daemon.ready_address}/-/readiness'
        try:
            async with self._session.get(
                url, timeout=aiohttp.ClientTimeout(total=timeout_s)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return False

    def owner(self):
        """Return the daemon that gives the orders, or None.

        The bench knows it as the last that wrote under a condition.
        """
        current = self.store.get('hawthorndeal', 1, 'owner')
        if current is None or current.get('is_released'):
            return None
        return next(
            (d for d in self.daemons if d.name == current['daemon']), None
        )

    async def await_owner(self, besides=None):
        """Wait until a daemon gives orders, other than a former one."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            daemon = self.owner()
            if daemon not in (None, besides) and daemon.log_rows(
                'owner_at_work'
            ):
                return daemon
            await asyncio.sleep(0.05)
        raise NotRun('no daemon gives orders')

    async def end(self):
        """End all that was started."""
        for daemon in self.daemons:
            await daemon.kill()
        await self.fleet.stop()
        for service in (self.advice, self.cloud, self.store):
            if service.address:
                await service.stop()
        if self._session is not None:
            await self._session.close()
        self._directory.cleanup()
        self._record.close()

    # Clients

    async def call(self, daemon, method, path, body=None, timeout_s=3.0):
        """Send one call of a client; return status and plain answer.

        The status is None where no answer came.
        """
        try:
            async with self._session.request(
                method,
                f'http://{daemon.address}{path}',
                json=body,
                headers={'Host': HOST_NAME},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                status, answer = response.status, await response.json()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            status, answer = None, {'error': type(error).__name__}
        said = answer.get('state') or answer.get('reason') or answer
        self.record(f'{method} {path} at {daemon.name}: {status} {said}')
        return status, answer

    async def submit(self, job_id, body, daemon=None, prefix='/puxa400/'):
        """Submit a job, again after no answer; return the last status."""
        status = None
        for attempt in range(4):
            target = daemon or self.daemons[attempt % len(self.daemons)]
            status, _ = await self.call(target, 'POST', prefix + job_id, body)
            if status not in (None, 502, 503, 504):
                break
            await asyncio.sleep(1.0)
        return status

    async def state(self, job_id, prefix='/puxa400/'):
        """Return the state of a job as any daemon tells it, or None."""
        for daemon in self.daemons:
            if not daemon.is_running:
                continue
            status, answer = await self.call(daemon, 'GET', prefix + job_id)
            if status == 200:
                return answer['state']
        return None


def run_case(record_path, play, **options):
    """Play a case, and exit with its verdict.

    :param record_path: where to write what was sent, answered and run
    :param play: coroutine function that returns whether the rule held
    :param options: further arguments of the :class:`Stage`
    """
    try:
        code = asyncio.run(_play(Stage(record_path, **options), play))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


async def _play(stage, play):
    # A script that is terminated ends its daemons, too.
    playing = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    try:
        is_held = await asyncio.wait_for(play(stage), LIMIT_S)
    except (NotRun, asyncio.TimeoutError) as error:
        stage.record(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        return NOT_RUN
    finally:
        await stage.end()
    print('the rule held' if is_held else 'THE RULE WAS BROKEN')
    return HELD if is_held else BROKEN
