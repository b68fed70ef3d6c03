"""A small deployment on loopback: real daemons beside stand-ins."""

import asyncio
import json
import math
import os
import pathlib
import shutil
import signal
import tempfile

import aiohttp

from soak import daemons
from soak import serving
from soak import store as store_module

from . import cloud as cloud_module
from . import executors
from . import recorder as recorder_module

HOST_NAME = 'jobs.example'
ZONES = ('zone-a', 'zone-b', 'zone-c')
# Entry hosts of the site vltava-grid: share, cores and Mbit/s. They are all
# alike, so that none hands the ownership over to a stronger one.
HOST = (0.537, 2, 1000.0)
READY_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 10
RETRY_S = 1.0
GONE_STATUS = 410
# The bounds of the site vltava-grid.
OVERRIDES = {
    'longest_lease_ms': 10000,
    'host_order_lease_ms': 3000,
    'shutdown_grace_s': 6,
    'job_retention_s': 120,
    'away_notice_ms': 4500,
    'cancel_notice_ms': 3000,
    'max_entry_age_ms': 3000,
    'host_move_s': 1.5,
}
MAX_LEASE_S = 10.0
FINISH_S = 14.0
# A case ends within this time.
LONGEST_S = 110.0
# For so long a job may have nothing running beside room.
STANDING_S = 3.0
SAMPLE_S = 0.2

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble():
    """Return whether the case runs with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Stage:
    """Starts stand-ins and daemons, and speaks for clients and the operator.

    :param folder: folder of the case, which takes the record
    :param machines: the machines, as :class:`executors.Machine`
    :param queues: pools that have a queue
    :param daemon_count: number of entry hosts
    :param tells_birth: whether executors say when they began, and may begin
        again under the id that they had
    :param overrides: settings of the daemons in place of the usual ones
    """

    def __init__(
        self,
        folder,
        machines,
        queues,
        daemon_count=2,
        tells_birth=False,
        overrides=None,
    ):
        self.recorder = recorder_module.Recorder(
            pathlib.Path(folder) / 'record.txt'
        )
        self.store = store_module.Store()
        self.fleet = executors.Fleet(
            self.store, self.recorder, machines, MAX_LEASE_S, tells_birth
        )
        self.cloud = cloud_module.Cloud(self.fleet, self.recorder)
        self.daemons = []
        self._queues = queues
        self._overrides = {**OVERRIDES, **(overrides or {})}
        self._daemon_count = daemon_count
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._store_runner = None
        self._session = None
        self.store_address = ''

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        self._session = aiohttp.ClientSession()
        self._store_runner, self.store_address = await serving.serve(
            self.store.routes()
        )
        self.put('op', 'config', self.configuration(1))
        await self.fleet.start()
        await self.cloud.start()
        for number in range(self._daemon_count):
            zone = ZONES[number % len(ZONES)]
            host = daemons.EntryHost(f'entry-{zone}-{number}', zone, *HOST)
            platform = {
                'store': self.store_address,
                'hosts': self.cloud.address,
            }
            self.daemons.append(
                daemons.Daemon(
                    host, platform, self._directory, self._overrides
                )
            )
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await self.await_ready(daemon)

    async def __aexit__(self, *error):
        for daemon in self.daemons:
            await daemon.kill()
        for machine in self.fleet.machines.values():
            machine.is_cut_off = False
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self._directory, keep, dirs_exist_ok=True)
        await self.fleet.stop()
        await self.cloud.stop()
        if self._store_runner is not None:
            await self._store_runner.cleanup()
        if self._session is not None:
            await self._session.close()
        self.recorder.close()
        shutil.rmtree(self._directory, ignore_errors=True)

    # The operator

    def configuration(self, version):
        """Return a configuration with a queue for each route."""
        pools = {m.pool for m in self.fleet.machines.values()}
        return {
            'version': version,
            'routes': [
                {
                    'name': f'queue-{pool}',
                    'host': HOST_NAME,
                    'path-prefix': f'/{pool}/',
                    'route-kind': 'unsafe',
                    'timeout-ms': 3000,
                    'latency-target-ms': 600,
                    'priority': 0,
                    'service': pool,
                    'max-attempts': 3,
                    'stretch': 1.6,
                }
                for pool in self._queues
            ],
            'services': [
                {
                    'name': pool,
                    'health-path': '/health',
                    'max-connections': 64,
                    'rejects-overload': False,
                }
                for pool in sorted(pools)
            ],
            'limits': {'max-body-bytes': 262144},
        }

    def put(self, topic, key, value):
        """Write a keyed record as the operator does."""
        name = key.encode()
        content = bytes([len(name)]) + name + json.dumps(value).encode()
        self.store.partition(f'keyed.{topic}').add([content])
        self.recorder.write('operator', key=key)

    def cut_zone(self, zone, is_cut):
        """Cut the machines of a zone off, or let them be reached again."""
        self.recorder.write('zone-cut', zone=zone, is_cut=is_cut)
        for machine in self.fleet.machines.values():
            if machine.zone == zone:
                machine.is_cut_off = machine.is_off_store = is_cut

    def ask_for_wave(self, number, machines, duration_s, max_count):
        """Write the request of a wave."""
        self.cloud.waves[number] = set(machines)
        self.put(
            'op',
            f'wave/{number}',
            {
                'wave': number,
                'machines': list(machines),
                'duration-s': duration_s,
                'max-count': max_count,
            },
        )

    def newest(self, topic, key):
        """Return the newest record of a key, or None."""
        known = self.store.partition(f'keyed.{topic}').newest.get(key)
        return json.loads(known[1]) if known and known[1] else None

    # Clients

    async def call(self, daemon, method, path, body=None):
        """Return status and body of an answer; None for no answer."""
        try:
            async with self._session.request(
                method,
                f'http://{daemon.address}{path}',
                json=body,
                headers={'Host': HOST_NAME},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                status, plain = response.status, await response.json()
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError) as error:
            status, plain = None, repr(error)
        self.recorder.write(
            'call', to=daemon.name, call=f'{method} {path}', status=status,
            answer=plain,
        )  # fmt: skip
        return status, plain

    async def submit(self, daemon, pool, job_id, steps, work_s):
        """Submit a job, and return the status of the answer.

        :param work_s: how long each task works; None for tasks that last
        """
        behaviours = [{'work_s': work_s, 'cpu': s['cpu']} for s in steps]
        payload = json.dumps({'steps': behaviours})
        body = {'task-spec': payload, 'steps': steps}
        status, _ = await self.call(daemon, 'POST', f'/{pool}/{job_id}', body)
        return status

    async def submit_until_accepted(self, daemon, pool, job_id, *job):
        """Submit a job as often as it takes; return whether it is accepted."""
        for _ in range(MAX_ATTEMPTS):
            if await self.submit(daemon, pool, job_id, *job) == 200:
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def state_of(self, daemon, pool, job_id):
        """Return what a daemon says of a job: its state, or the status."""
        status, plain = await self.call(daemon, 'GET', f'/{pool}/{job_id}')
        return plain['state'] if status == 200 else status

    async def judge_lost(self, daemon, pool, job_id, step):
        """Return the verdict of the rule LOST on a job that was accepted.

        :param step: the step of the job whose turn has come
        """
        await asyncio.sleep(FINISH_S)
        for _ in range(MAX_ATTEMPTS):
            state = await self.state_of(daemon, pool, job_id)
            if isinstance(state, str) or state == GONE_STATUS:
                break
            await asyncio.sleep(RETRY_S)
        if state == 'completed':
            return HELD
        if state not in ('queued', 'running'):
            return BROKEN
        end_s = self.recorder.now_s() + STANDING_S
        while self.recorder.now_s() < end_s:
            if not self._stands_beside_room(pool, job_id, step):
                return HELD
            await asyncio.sleep(SAMPLE_S)
        self.recorder.write('stands-beside-room', job=job_id)
        return BROKEN

    def _stands_beside_room(self, pool, job_id, step):
        """Return whether a job has nothing running beside ample room."""
        machines = [
            machine
            for machine in self.fleet.machines.values()
            if machine.pool == pool and machine.executor is not None
        ]
        runs = [run for m in machines for run in m.executor.runs.values()]
        if any(run.task.startswith(job_id) for run in runs):
            return False
        label = step.get('requirements')
        limit = step.get('anti-affinity') or math.inf
        fitting = sum(
            min(limit, (machine.cpu - machine.used_cpu) // step['cpu'])
            for machine in machines
            if not machine.is_cut_off
            and (label is None or label in machine.labels)
        )
        used = sum(machine.used_cpu for machine in machines)
        return fitting >= 2 and used < sum(m.cpu for m in machines) / 2

    # Daemons

    async def await_ready(self, daemon):
        """Wait until a daemon is ready."""
        end_s = self.recorder.now_s() + READY_TIMEOUT_S
        while not await self.is_ready(daemon):
            if self.recorder.now_s() > end_s or not daemon.is_running:
                raise RuntimeError(f'{daemon.name} does not become ready')
            await asyncio.sleep(0.1)

    async def is_ready(self, daemon):
        """Return whether a daemon answers that it is ready."""
        try:
            async with self._session.get(
                f'http://{daemon.ready_address}/-/readiness',
                timeout=aiohttp.ClientTimeout(total=2.0),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return False


def job_id(number):
    """Return the id of a job of a case."""
    return f'{0xC0FFEE0000000000 + number:016x}'


async def _run_until_stopped(main):
    """Run a case; a signal to end it ends its processes as well."""
    playing = asyncio.create_task(main())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, playing.cancel)
    return await asyncio.wait_for(playing, LONGEST_S)


def run(main):
    """Run a case, and return its exit code."""
    try:
        return asyncio.run(_run_until_stopped(main))
    except (Exception, asyncio.CancelledError) as error:
        # An exit code of 1 would tell of a broken rule.
        print(f'the case could not run: {error!r}')
        return NOT_RUN
