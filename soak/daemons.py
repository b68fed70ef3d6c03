"""The project's own daemons, started as the deploy file says."""

import asyncio
import os
import pathlib
import re
import signal
import socket
import sys
import tomllib

import attrs
import yaml

from . import serving

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOY = ROOT / 'deploy/system.toml'
INSTALLED = ROOT / 'target/deps'
PLACEHOLDER = re.compile(r'\{\{([^#/^}][^}]*)\}\}')
SECTION = re.compile(r'\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
PARTS = 16
MAX_LEASE_S = 6.0
BOUNDS = {
    'max-hold-ms': int(MAX_LEASE_S * 1000),
    'lease-duration-ms': 3000,
    'grace-period-s': 6,
    'status_s': 120,
    'notice-ms': 5500,
    'cancel_ms': 4000,
    'touch-ms': 4000,
    'migration-s': 1.5,
}
HOST_ORDERS_PER_S = 64.0
KILO = 1024


@attrs.frozen
class EntryHost:
    """An entry host as the daemon's settings tell it."""

    name: str
    zone: str
    processor_share: float
    processor_count: int
    link_mbps: float

    @property
    def limits(self):
        """Its limits in the words of the template."""
        return {
            'cpu-share': self.processor_share,
            'cores': self.processor_count,
            'link-mbps': self.link_mbps,
        }


def make_entry_hosts(count, zones):
    """Return entry hosts, about one in seven a large one."""
    return [
        EntryHost(f'entry-{zone}-{number}', zone, 0.717, 3, 200.0)
        if number < max(1, count // 7)
        else EntryHost(f'entry-{zone}-{number}', zone, 0.516, 1, 10.0)
        for number in range(count)
        for zone in [zones[number % len(zones)]]
    ]


class Daemon:
    """A daemon as a process of its own.

    :param host: entry host that it runs on
    :param platform: addresses of the platform's services
    :param directory: folder for its settings and its log
    :param overrides: settings that replace those of the template
    """

    def __init__(self, host, platform, directory, overrides):
        self.name = host.name
        self.zone = host.zone
        front, ready, metrics, relay = _free_ports(4)
        self.address = f'{serving.HOST}:{front}'
        self.ready_address = f'{serving.HOST}:{ready}'
        self.metrics_address = f'{serving.HOST}:{metrics}'
        self.log_path = directory / f'{host.name}.log'
        self._settings_path = directory / f'{host.name}.yaml'
        self._process = None
        role = tomllib.loads(DEPLOY.read_text())['roles']['hawthorndeald']
        self._command = role['run'].split()
        fields = {
            'node': host.name,
            'zone': host.zone,
            'ip': serving.HOST,
            'listen-addresses': {
                'front': self.address,
                'ready-address': self.ready_address,
            },
            'internal-ports': [metrics, relay],
            'platform': {'address': platform['store'], 'parts': PARTS},
            'cloud': {
                'address': platform['hosts'],
                'duty-per-s': HOST_ORDERS_PER_S,
            },
            'advice': '',
            'bounds': BOUNDS,
            'limits': host.limits,
        }
        template = (ROOT / role['template']).read_text()
        settings = yaml.safe_load(_render(template, fields))
        settings.update(overrides)
        self._settings_path.write_text(yaml.safe_dump(settings))

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        if INSTALLED.is_dir():
            environment['PYTHONPATH'] = str(INSTALLED)
        command = self._command
        if not INSTALLED.is_dir():
            command = [sys.executable, *command[1:]]
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['HAWTHORNDEAL_NODE_FILE'] = str(self._settings_path)
        with open(self.log_path, 'ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        """Process id."""
        return self._process.pid

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.is_running:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


@attrs.frozen
class ProcessorUse:
    """What a process got of the processors, and for how long it waited.

    Both are those of its main thread, in which its event loop runs.
    """

    used_s: float
    waited_s: float

    def since(self, before, period_s):
        """Return the shares of a period."""
        return ProcessorUse(
            (self.used_s - before.used_s) / period_s,
            (self.waited_s - before.waited_s) / period_s,
        )


def processor_use(pid):
    """Return the use of the processors by a process so far."""
    fields = pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()
    return ProcessorUse(int(fields[0]) / 1e9, int(fields[1]) / 1e9)


def peak_mb(pid):
    """Return the most memory that a process has used."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) / KILO


def _free_ports(count):
    """Return ports of the loopback address that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((serving.HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _render(text, fields):
    """Fill in the template of the settings."""

    def section(match):
        value = _look_up(fields, match[1])
        if value is None or value is False:
            return ''
        return _render(match[2], {**fields, '.': value})

    def value_of(match):
        return str(_look_up(fields, match[1]))

    return PLACEHOLDER.sub(value_of, SECTION.sub(section, text))


def _look_up(fields, name):
    if name == '.':
        return fields['.']
    value = fields
    for part in name.split('.'):
        value = (
            value[int(part)] if isinstance(value, list) else value.get(part)
        )
        if value is None:
            return None
    return value
