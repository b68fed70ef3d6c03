"""Starts the project's daemons by its deploy file."""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
# A loopback address of this process, so that scripts that run beside each
# other don't take each other's ports.
HOST = '127.{}.{}.{}'.format(
    1 + (os.getpid() >> 16) % 250, (os.getpid() >> 8) & 255, os.getpid() & 255
)
END_TIMEOUT_S = 10.0
_SECTION = re.compile(r'\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.-]+)\}\}')
# As in the settings that the pages show for a small deployment.
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


def free_ports(count):
    """Return ports of the loopback address that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Daemon:
    """A daemon as a process of its own.

    :param platform: addresses of the store, the machines and the advice
    :param folder: where its settings and its log go
    """

    def __init__(self, name, zone, platform, folder):
        self.name = name
        front, ready, metrics, relay = free_ports(4)
        self.url = f'http://{HOST}:{front}'
        self.ready_url = f'http://{HOST}:{ready}/-/readiness'
        self._settings = folder / f'{name}.yaml'
        self.log = folder / f'{name}.log'
        self._process = None
        deploy = (ROOT / 'deploy' / 'system.toml').read_text()
        role = tomllib.loads(deploy)['roles']['hawthorndeald']
        self._command = role['run'].split()
        fields = {
            'node': name,
            'zone': zone,
            'ip': HOST,
            'listen-addresses': {
                'front': f'{HOST}:{front}',
                'ready-address': f'{HOST}:{ready}',
            },
            'internal-ports': [metrics, relay],
            'platform': {
                'address': platform['store'],
                'record-bytes': 262144,
                'parts': 16,
            },
            'cloud': {'address': platform['cloud'], 'duty-per-s': 64.0},
            'advice': platform.get('advice', ''),
            'bounds': BOUNDS,
            'limits': {'cpu-share': 0.537, 'cores': 2, 'link-mbps': 1000.0},
        }
        template = (ROOT / role['template']).read_text()
        self._settings.write_text(_render(template, fields))

    def start(self):
        """Start the process."""
        kept = ('PATH', 'HOME', 'LANG')
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        environment['PYTHONPATH'] = str(DEPS)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['HAWTHORNDEAL_NODE_FILE'] = str(self._settings)
        command = [sys.executable, *self._command[1:]]
        with open(self.log, 'ab') as output:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def send(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    def end(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait(END_TIMEOUT_S)

    def events(self, kind):
        """Return the lines of one kind that it has logged."""
        found = []
        for line in self.log.read_text(errors='replace').splitlines():
            if f'"{kind}"' in line:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


def _render(text, fields):
    def section(match):
        value = _look_up(fields, match[1])
        if value is None or value is False:
            return ''
        return _render(match[2], {**fields, '.': value})

    text = _SECTION.sub(section, text)
    return _VALUE.sub(lambda m: str(_look_up(fields, m[1])), text)


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
