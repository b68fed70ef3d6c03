"""Start the project's own daemons as the deploy file says."""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import tomllib

import yaml

from standins import serving

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PLACEHOLDER = re.compile(r'\{\{([^#/^}][^}]*)\}\}')
SECTION = re.compile(r'\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
BOUNDS = {
    'max-hold-ms': 10000,
    'lease-duration-ms': 3000,
    'grace-period-s': 6,
    'status_s': 120,
    'notice-ms': 4500,
    'cancel_ms': 3000,
    'touch-ms': 3000,
    'migration-s': 1.5,
}
LIMITS = {'cpu-share': 0.537, 'cores': 2, 'link-mbps': 1000.0}


def free_ports(count):
    """Return ports of the loopback address that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((serving.HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def render(text, fields):
    """Fill in the template of the settings."""

    def section(match):
        value = _look_up(fields, match[1])
        if value is None or value is False:
            return ''
        return render(match[2], {**fields, '.': value})

    def value_of(match):
        return str(_look_up(fields, match[1]))

    return PLACEHOLDER.sub(value_of, SECTION.sub(section, text))


def _look_up(fields, name):
    if name == '.':
        return fields['.']
    value = fields
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part)
        if value is None:
            return None
    return value


class Daemon:
    """One daemon, as a process of its own.

    :param name: name of its machine
    :param platform: addresses of the platform's services
    :param directory: folder for its settings and its log
    """

    def __init__(self, name, zone, platform, directory):
        self.name = name
        front, ready, metrics, relay = free_ports(4)
        self.address = f'{serving.HOST}:{front}'
        self.ready_address = f'{serving.HOST}:{ready}'
        self._log = pathlib.Path(directory) / f'{name}.log'
        self._settings = pathlib.Path(directory) / f'{name}.yaml'
        self._process = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['hawthorndeald']
        self._command = role['run'].split()
        fields = {
            'node': name,
            'zone': zone,
            'ip': serving.HOST,
            'listen-addresses': {
                'front': self.address,
                'ready-address': self.ready_address,
            },
            'internal-ports': [metrics, relay],
            'platform': {'address': platform['store'], 'parts': 16},
            'cloud': {'address': platform['cloud'], 'duty-per-s': 64.0},
            'advice': platform['advice'],
            'bounds': BOUNDS,
            'limits': LIMITS,
        }
        template = (ROOT / role['template']).read_text()
        text = render(template, fields)
        yaml.safe_load(text)
        self._settings.write_text(text)

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['HAWTHORNDEAL_NODE_FILE'] = str(self._settings)
        with open(self._log, 'ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.is_running:
            self.signal(signal.SIGKILL)
            await self._process.wait()

    def processor_s(self):
        """Return the processor time that the process has used."""
        stat = pathlib.Path(f'/proc/{self._process.pid}/stat').read_text()
        user, system = stat.rpartition(') ')[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')

    def peak_mb(self):
        """Return the most memory that the process has used."""
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        peak_kb = re.search(r'VmHWM:\s+(\d+) kB', status)
        return int(peak_kb[1]) / 1024

    def log_rows(self, event):
        """Return the rows of one kind in its structured log."""
        rows = []
        for line in self._log.read_text(errors='replace').splitlines():
            if f'"{event}"' in line and '{' in line:
                try:
                    rows.append(json.loads(line[line.index('{') :]))
                except ValueError:
                    continue
        return rows
