"""A deployment on loopback, and a run of load on it."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import sys
import time

import aiohttp
import attrs

from . import callers
from . import daemon_logs
from . import daemons
from . import events
from . import executors
from . import hosts
from . import load
from . import serving

ZONES = ('zone-a', 'zone-b', 'zone-c')
CPU_MILLICORES = 16000
MEM_MB = 65536
RACK_SIZE = 20
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.2
STOP_TIMEOUT_S = 10.0


class NotReady(Exception):
    """A process did not become ready in time."""


@attrs.frozen
class Plan:
    """What to run.

    :ivar traffic_s: time in which jobs are submitted
    :ivar rest_s: time after it in which jobs are still watched
    :ivar rate_factor: rates relative to those of the full deployment
    :ivar failing_share: share of the runs that end as failed
    :ivar kills_s: times at which the owner is killed
    :ivar crashes_per_s: rate at which executors crash
    :ivar overrides: settings that replace those of the daemons' template
    """

    daemons: int = 9
    zones: int = 3
    executors: int = 175
    executor_processes: int = 3
    traffic_s: float = 41.0
    rest_s: float = 14.0
    lead_s: float = 8.0
    rate_factor: float = 0.5
    seed: int = 1
    failing_share: float = 0.002
    kills_s: tuple[float, ...] = ()
    crashes_per_s: float = 0.0
    overrides: dict = attrs.Factory(dict)


@attrs.define
class Usage:
    """What the processes used during the traffic, by their names.

    :ivar processor: shares of the time that they ran, and that they waited for
        a processor
    """

    processor: dict[str, daemons.ProcessorUse] = attrs.Factory(dict)
    peak_mb: dict[str, float] = attrs.Factory(dict)


class Deployment:
    """The processes of a run.

    :param plan: what to run
    :param directory: folder for settings, logs and events
    """

    def __init__(self, plan, directory):
        self._plan = plan
        self.directory = pathlib.Path(directory)
        self.daemons = []
        self.hosts = None
        self.usage = Usage()
        self.traffic_begun_s = 0.0
        self.store_calls = {}
        self._stand_ins = {}
        self._store_address = ''
        self._session = None
        self._tasks = []

    @property
    def event_paths(self):
        """The files of events."""
        return sorted(self.directory.glob('*.events'))

    async def run(self):
        """Start everything, run the load, and end everything."""
        try:
            await self._start()
            await self._run_load()
        finally:
            await self._end()

    async def _start(self):
        plan = self._plan
        self._session = aiohttp.ClientSession()
        self._store_address = await self._start_stand_in(
            'store', f'--events={self.directory / "store.events"}'
        )
        await self._configure()
        addresses = await self._start_executors()
        standby = {pool.name for pool in load.POOLS if pool.is_standby}
        self.hosts = hosts.HostService(addresses, standby)
        await self.hosts.start()
        platform = {
            'store': self._store_address,
            'hosts': self.hosts.address,
        }
        self.daemons = [
            daemons.Daemon(host, platform, self.directory, plan.overrides)
            for host in daemons.make_entry_hosts(
                plan.daemons, ZONES[: plan.zones]
            )
        ]
        for daemon in self.daemons:
            await daemon.start()
        await self._await_ready()

    async def _start_stand_in(self, name, *arguments, module=None):
        """Start a process of this package, and return its address."""
        with open(self.directory / f'{name}.log', 'wb') as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                f'soak.{module or name}',
                *arguments,
                cwd=daemons.ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        self._stand_ins[name] = process
        line = await process.stdout.readline()
        if not line:
            raise NotReady(f'{name} ended; see {self.directory}/{name}.log')
        return line.decode().strip()

    async def _configure(self):
        routes = [
            {
                'name': f'queue-{pool.name}',
                'host': callers.HOST_NAME,
                'path-prefix': f'/{pool.name}/',
                'route-kind': 'unsafe',
                'timeout-ms': 3000,
                'latency-target-ms': 600,
                'priority': pool.priority,
                'service': pool.name,
                'max-attempts': pool.max_attempts,
                'stretch': 1.6,
            }
            for pool in load.POOLS
            if not pool.is_standby
        ]
        services = [
            {
                'name': pool.name,
                'health-path': '/health',
                'max-connections': 64,
                'rejects-overload': False,
                'standby': pool.is_standby,
            }
            for pool in load.POOLS
        ]
        configuration = {
            'version': 1,
            'routes': routes,
            'services': services,
            'limits': {'max-body-bytes': 262144},
        }
        url = f'http://{self._store_address}/put'
        async with self._session.post(
            url, params={'topic': 'op'}, json=[['config', configuration]]
        ) as response:
            response.raise_for_status()

    async def _start_executors(self):
        count = self._plan.executor_processes
        machines = list(_make_machines(self._plan))
        addresses = []
        for number in range(count):
            name = f'executors-{number}'
            path = self.directory / f'{name}.json'
            path.write_text(
                json.dumps([attrs.asdict(m) for m in machines[number::count]])
            )
            addresses.append(
                await self._start_stand_in(
                    name,
                    f'--store={self._store_address}',
                    f'--machines={path}',
                    f'--events={self.directory / name}.events',
                    f'--max-lease-s={daemons.MAX_LEASE_S}',
                    module='executors',
                )
            )
        return addresses

    async def _await_ready(self):
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for daemon in self.daemons:
            while not await self._is_ready(daemon):
                if time.monotonic() > deadline_s or not daemon.is_running:
                    raise NotReady(f'{daemon.name}; see {daemon.log_path}')
                await asyncio.sleep(READY_POLL_S)

    async def _is_ready(self, daemon):
        url = f'http://{daemon.ready_address}/-/readiness'
        try:
            async with self._session.get(
                url, timeout=aiohttp.ClientTimeout(total=2.0)
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return False

    # Load and faults

    async def _run_load(self):
        plan = self._plan
        recorder = events.Recorder(self.directory / 'callers.events')
        by_zone = {
            zone: [daemon.address for daemon in of_zone]
            for zone, of_zone in itertools.groupby(
                sorted(self.daemons, key=_zone_of), key=_zone_of
            )
        }
        jobs = load.draw_jobs(
            plan.seed, plan.traffic_s, plan.rate_factor, plan.executors
        )
        submitter = callers.Callers(
            by_zone, recorder, plan.failing_share, plan.seed
        )
        begun_s = time.monotonic() + plan.lead_s
        self.traffic_begun_s = time.time() + plan.lead_s
        submitting = asyncio.create_task(submitter.submit_all(jobs, begun_s))
        self._tasks = [
            submitting,
            *(
                asyncio.create_task(self._kill_owner(begun_s + at_s))
                for at_s in plan.kills_s
            ),
            asyncio.create_task(self._crash_executors(begun_s)),
            asyncio.create_task(serving.watch_lateness(recorder, 'callers')),
        ]
        await asyncio.sleep(plan.lead_s)
        before = self._processor_times()
        await asyncio.sleep(plan.traffic_s)
        self._note_usage(before)
        await self._save_metrics()
        await submitting
        left_s = begun_s + plan.traffic_s + plan.rest_s - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
        url = f'http://{self._store_address}/calls'
        async with self._session.get(url) as response:
            self.store_calls = await response.json()
        recorder.close()

    async def _kill_owner(self, at_s):
        await asyncio.sleep(at_s - time.monotonic())
        owner_name = daemon_logs.current_owner(self.daemons)
        for daemon in self.daemons:
            if daemon.name == owner_name:
                await daemon.kill()

    async def _crash_executors(self, begun_s):
        plan, draw = self._plan, random.Random(self._plan.seed)
        if not plan.crashes_per_s:
            return
        await asyncio.sleep(begun_s - time.monotonic())
        while time.monotonic() < begun_s + plan.traffic_s:
            await asyncio.sleep(draw.expovariate(plan.crashes_per_s))
            machines = await self.hosts.machines()
            running = [row['machine'] for row in machines if row['id']]
            if running:
                await self.hosts.crash(draw.choice(running), 5.0)

    # Use of the machine

    def _processes(self):
        yield from (
            (name, process.pid)
            for name, process in self._stand_ins.items()
            if process.returncode is None
        )
        yield from (
            (daemon.name, daemon.pid)
            for daemon in self.daemons
            if daemon.is_running
        )

    def _processor_times(self):
        return {
            name: daemons.processor_use(pid)
            for name, pid in [*self._processes(), ('callers', os.getpid())]
        }

    def _note_usage(self, before):
        after = self._processor_times()
        self.usage.processor = {
            name: use.since(before[name], self._plan.traffic_s)
            for name, use in after.items()
            if name in before
        }
        self.usage.peak_mb = {
            name: daemons.peak_mb(pid) for name, pid in self._processes()
        }

    async def _save_metrics(self):
        """Write what the daemons tell at their metrics endpoints."""
        for daemon in self.daemons:
            url = f'http://{daemon.metrics_address}/metrics'
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with self._session.get(url) as response:
                    path = self.directory / f'{daemon.name}.metrics'
                    path.write_text(await response.text())

    # End

    async def _end(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        if self.hosts is not None:
            await self.hosts.stop()
        await asyncio.gather(
            *(self._end_stand_in(p) for p in self._stand_ins.values())
        )
        if self._session is not None:
            await self._session.close()

    async def _end_stand_in(self, process):
        process.stdin.close()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        if process.returncode is None:
            process.kill()
            await process.wait()


def _zone_of(daemon):
    return daemon.zone


def _make_machines(plan):
    zones = itertools.cycle(ZONES[: plan.zones])
    number = itertools.count()
    for pool in load.POOLS:
        for index in range(max(2, round(pool.share * plan.executors))):
            yield executors.Machine(
                name=f'm-{next(number):04x}',
                pool=pool.name,
                zone=next(zones),
                rack=f'{pool.name}-{index // RACK_SIZE}',
                cpu_millicores=CPU_MILLICORES,
                mem_mb=MEM_MB,
                is_standby=pool.is_standby,
            )
