"""A complete deployment on loopback: fake platform, daemons and CLI."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request

import yaml

from . import processes

OPERATOR_TOKEN = 'operator-token'
PEER_TOKEN = 'peer-token'
READY_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 10.0
SHUTDOWN_GRACE_S = 0.3
LOG_HOST, HOSTS_HOST, ENDPOINTS_HOST, WORKERS_HOST = 1, 2, 3, 4
FIRST_DAEMON_HOST = 10
FIRST_ENDPOINT_HOST = 50
PLATFORM_PORT = 7100
TASK_RUN_S = 6.0
CALLERS_PORT = 7200
CONTROL_PORT = 7300
ENDPOINT_PORT = 7000


def loopback_prefix():
    """Return a /24 prefix of 127.0.0.0/8 derived from the process id."""
    pid = os.getpid()
    return f'127.{40 + pid // 250 % 200}.{1 + pid % 250}'


def call(url, method='GET', body=None, headers=None):
    """Send an HTTP request; return status, headers and content."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(
            request, timeout=CALL_TIMEOUT_S
        ) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        with error:
            return error.code, error.headers, error.read()


def call_json(url, method='GET', body=None, headers=None):
    """Send a JSON request; return status and decoded content."""
    data = None if body is None else json.dumps(body).encode()
    sent = {'Content-Type': 'application/json', **(headers or {})}
    status, _, content = call(url, method, data, sent)
    return status, json.loads(content)


def is_ready(url):
    """Return whether a daemon reports that it is ready for callers."""
    try:
        return call(f'{url}/ready')[0] == 200
    except OSError:
        return False


class Deployment:
    """Fakes and daemons as processes on loopback addresses of this test.

    :param fleet: fleet document; endpoint addresses are replaced
    :param daemons: zone of each daemon by name
    :param settings: settings of all daemons that override the defaults
    :param reboot_s: time that the platform takes to reboot a host
    :param work_s: time that an endpoint takes for a request
    :param has_workers: whether the platform runs tasks
    """

    def __init__(
        self,
        fleet,
        daemons,
        settings=None,
        reboot_s=0.5,
        work_s=0.02,
        has_workers=False,
    ):
        self._directory = tempfile.TemporaryDirectory(prefix='hawthorndeal-')
        self.path = pathlib.Path(self._directory.name)
        self.prefix = loopback_prefix()
        self.fleet = self._with_addresses(fleet)
        self._zones = daemons
        self._overrides = settings or {}
        self.fleet_path = self.write_fleet('fleet.yaml', self.fleet)
        self._make_stand_ins(reboot_s, work_s)
        self.workers = self._make_workers() if has_workers else None
        self.daemons = {
            name: self._make_daemon(index, name)
            for index, name in enumerate(daemons)
        }
        self.cli_settings_path = self._write_cli_settings()

    def _with_addresses(self, fleet):
        numbers = range(FIRST_ENDPOINT_HOST, 255)
        endpoints = {
            name: {
                **endpoint,
                'address': f'{self.prefix}.{number}:{ENDPOINT_PORT}',
            }
            for number, (name, endpoint) in zip(
                numbers, fleet['endpoints'].items()
            )
        }
        return {**fleet, 'endpoints': endpoints}

    def write_fleet(self, name, fleet):
        """Write a fleet document as YAML and return the path."""
        path = self.path / name
        path.write_text(yaml.safe_dump(fleet, sort_keys=False))
        return path

    def _make_process(self, name, module, number, port, arguments):
        return processes.Process(
            name,
            module,
            arguments,
            f'{self.prefix}.{number}',
            port,
            self.path / f'{name}.log',
        )

    def _make_stand_in(self, name, number, *arguments):
        address = [
            '--host',
            f'{self.prefix}.{number}',
            '--port',
            str(PLATFORM_PORT),
        ]
        return self._make_process(
            name,
            f'fakes.{name}',
            number,
            PLATFORM_PORT,
            [*address, *map(str, arguments)],
        )

    def _make_stand_ins(self, reboot_s, work_s):
        self.log = self._make_stand_in('log', LOG_HOST)
        self.endpoints = self._make_stand_in(
            'endpoints',
            ENDPOINTS_HOST,
            '--fleet',
            self.fleet_path,
            '--work-s',
            work_s,
        )
        self.hosts = self._make_stand_in(
            'hosts',
            HOSTS_HOST,
            '--fleet',
            self.fleet_path,
            '--endpoints-url',
            self.endpoints.url,
            '--reboot-s',
            reboot_s,
        )

    def _make_workers(self):
        return self._make_stand_in(
            'workers',
            WORKERS_HOST,
            '--fleet',
            self.fleet_path,
            '--run-s',
            TASK_RUN_S,
        )

    def _daemon_ip(self, index):
        return f'{self.prefix}.{FIRST_DAEMON_HOST + index}'

    def _make_daemon(self, index, name):
        ip = self._daemon_ip(index)
        settings = {
            'daemon': name,
            'zone': self._zones[name],
            'callers_address': f'{ip}:{CALLERS_PORT}',
            'control_address': f'{ip}:{CONTROL_PORT}',
            'platform': {
                'log_url': self.log.url,
                'hosts_url': self.hosts.url,
                'workers_url': self.workers.url if self.workers else '',
            },
            'peers': [
                f'{self._daemon_ip(other)}:{CONTROL_PORT}'
                for other in range(len(self._zones))
                if other != index
            ],
            'operator_tokens': {'ops': OPERATOR_TOKEN},
            'peer_token': PEER_TOKEN,
            'shutdown_grace_s': SHUTDOWN_GRACE_S,
            **self._overrides,
        }
        path = self.path / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return self._make_process(
            name,
            'hawthorndeal_daemon',
            FIRST_DAEMON_HOST + index,
            CALLERS_PORT,
            ['--settings', str(path)],
        )

    def _write_cli_settings(self):
        path = self.path / 'hawthorndeal.yaml'
        addresses = [
            f'{process.host}:{CONTROL_PORT}'
            for process in self.daemons.values()
        ]
        path.write_text(
            yaml.safe_dump({'daemons': addresses, 'token': OPERATOR_TOKEN})
        )
        return path

    def start(self):
        """Start all processes and wait until they listen."""
        started = self._stand_ins()
        started += self.daemons.values()
        for process in started:
            process.start()
        for process in started:
            process.await_listening()

    def _stand_ins(self):
        known = [self.workers, self.hosts, self.endpoints, self.log]
        return [process for process in known if process is not None]

    def end(self):
        """Terminate all processes, the daemons before the platform."""
        processes.terminate_all(self.daemons.values())
        processes.terminate_all(self._stand_ins())
        self._directory.cleanup()

    def apply(self, path=None, *arguments):
        """Apply a fleet file with the command line client."""
        return self.run_cli('apply', str(path or self.fleet_path), *arguments)

    def run_cli(self, *arguments):
        """Run the command line client and return the completed process."""
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'hawthorndeal_cli',
                *arguments,
            ],
            env={
                **os.environ,
                'HAWTHORNDEAL_SETTINGS': str(self.cli_settings_path),
            },
            capture_output=True,
            text=True,
            timeout=60,
        )

    def await_ready(self):
        """Wait until every daemon is ready for callers."""
        for name, process in self.daemons.items():
            processes.wait_until(
                lambda url=process.url: is_ready(url),
                READY_TIMEOUT_S,
                f'{name} ready',
            )

    def control(self, daemon, path, method='GET', body=None, token=None):
        """Send an operator's request to the control interface of a daemon."""
        url = f'http://{self.daemons[daemon].host}:{CONTROL_PORT}{path}'
        bearer = OPERATOR_TOKEN if token is None else token
        return call_json(
            url, method, body, {'Authorization': f'Bearer {bearer}'}
        )

    def counters(self):
        """Return the counters of all endpoints."""
        return call_json(f'{self.endpoints.url}/admin/counters')[1]

    def host_events(self):
        """Return the operations requested of the platform, in order."""
        return call_json(f'{self.hosts.url}/admin/events')[1]['events']

    def set_fault(self, process, **fault):
        """Inject a fault into a fake of the platform."""
        call_json(f'{process.url}/admin/fault', 'POST', fault)

    def set_endpoint_fault(self, endpoint, **fault):
        """Inject a fault into one endpoint."""
        url = f'{self.endpoints.url}/admin/endpoints/{endpoint}/fault'
        call_json(url, 'POST', fault)
