"""Serve requests while a configuration changes and a host reboots."""

import argparse
import asyncio
import contextlib
import copy
import itertools
import json
import os
import pathlib
import signal
import sys
import threading
import time

import tabulate
import yaml

from fakes import faults
from stage import deployment
from stage import processes
from stage import traffic

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLE = ROOT / 'examples' / 'vltava.yaml'
ZONES = {'entry-a1': 'cz-a', 'entry-b1': 'cz-b', 'entry-c1': 'cz-c'}
REQUESTS = 2000
CONCURRENCY = 20
PACE_S = 0.1
HOST = 'pr-checker-h1'
FAULTY_ENDPOINT = 'portal-1'
WAVE_TIMEOUT_S = 60.0
EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_INTERRUPTED = 130


class Traffic(threading.Thread):
    """Send the requests of the demo in the background.

    :param stage: the deployment that serves them
    :param requests: number of requests to send
    """

    def __init__(self, stage, requests):
        super().__init__(daemon=True)
        targets = [
            (service['workspace'], name)
            for name, service in stage.fleet['services'].items()
        ]
        urls = [process.url for process in stage.daemons.values()]
        self._requests = requests
        self._callers = traffic.Callers(urls, targets)
        self.tally = self._callers.tally

    def run(self):
        """Send all requests."""
        asyncio.run(self._callers.run(self._requests, CONCURRENCY, PACE_S))


def _apply(stage, name, fleet):
    path = stage.write_fleet(name, fleet)
    result = stage.apply(path, '--wait', '--output', 'json')
    if result.returncode:
        raise processes.TimedOut(f'apply {name}: {result.stderr}')
    return json.loads(result.stdout)


def _changed(fleet):
    changed = copy.deepcopy(fleet)
    changed['workspaces']['vltava']['quota']['requests_in_flight'] = 500
    return changed


def _with_wave(fleet):
    wave = {
        'pools': [fleet['hosts'][HOST]['pool']],
        'hosts': [HOST],
        'action': 'reboot',
    }
    return {**fleet, 'waves': {'demo': wave}}


def _is_finished(stage):
    result = stage.run_cli('waves', '--output', 'json')
    if result.returncode:
        return False
    return HOST in json.loads(result.stdout)['demo']['finished']


def _start(stage):
    stage.start()
    _apply(stage, 'first.yaml', stage.fleet)
    stage.await_ready()


def _run(stage, options):
    _start(stage)
    if options.fault:
        stage.set_endpoint_fault(FAULTY_ENDPOINT, mode=options.fault)
    callers = Traffic(stage, options.requests)
    callers.start()
    changed = _changed(stage.fleet)
    in_force_s = _apply(stage, 'changed.yaml', changed)['in_force_s']
    _apply(stage, 'wave.yaml', _with_wave(changed))
    started_s = time.monotonic()
    processes.wait_until(
        lambda: _is_finished(stage), WAVE_TIMEOUT_S, f'{HOST} rebooted'
    )
    drain_s = time.monotonic() - started_s
    callers.join()
    return _report(stage, callers.tally, options, in_force_s, drain_s)


def _report(stage, tally, options, in_force_s, drain_s):
    faults_seen = _count_faults(stage, tally)
    rows = {
        'requests': options.requests,
        'served': tally.outcomes['answered'],
        **faults_seen,
        'in force everywhere after (s)': in_force_s,
        'drained and rebooted after (s)': round(drain_s, 3),
    }
    print(tabulate.tabulate(rows.items(), headers=['', 'result']))
    return EXIT_FAULTS if any(faults_seen.values()) else EXIT_OK


def _count_faults(stage, tally):
    counters = stage.counters().values()
    ran = {name for counter in counters for name in counter['ran']}
    runs = sum(counter['runs'] for counter in counters)
    return {
        'not run': tally.outcomes['not_run'],
        'unknown': tally.outcomes['unknown'],
        'lost': tally.outcomes['lost'],
        'wrong answers': len(tally.wrong_answers),
        'cut off': sum(counter['cut_off'] for counter in counters),
        'run twice': runs - len(ran),
        'told not run, yet run': len(ran.intersection(tally.not_run)),
    }


def _keep(stage, options):
    """Start a deployment and leave it running until interrupted."""
    _start(stage)
    directory = pathlib.Path(options.keep)
    directory.mkdir(exist_ok=True)
    for name, text in _kept_files(stage).items():
        (directory / name).write_text(text)
    print(f'Running. In another terminal: . {directory}/env', flush=True)
    print('Then try the commands of README.md. Ctrl-C ends it.', flush=True)
    signal.pause()


def _kept_files(stage):
    entry_host = next(iter(stage.daemons.values()))
    variables = {
        'PATH': f'{pathlib.Path(sys.executable).parent}:$PATH',
        'PYTHONPATH': os.environ.get('PYTHONPATH', ''),
        'HAWTHORNDEAL_SETTINGS': stage.cli_settings_path,
        'CALLERS_URL': entry_host.url,
    }
    return {
        'env': ''.join(
            f'export {name}="{value}"\n' for name, value in variables.items()
        ),
        'entry.yaml': (stage.path / f'{entry_host.name}.yaml').read_text(),
        'fleet.yaml': yaml.safe_dump(stage.fleet, sort_keys=False),
        'wave.yaml': yaml.safe_dump(_with_wave(stage.fleet), sort_keys=False),
    }


def _parse_arguments(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=REQUESTS)
    parser.add_argument(
        '--fault',
        choices=[mode.value for mode in faults.Mode],
        help='fault of one endpoint, to see the demo report it',
    )
    parser.add_argument(
        '--keep',
        metavar='DIRECTORY',
        help='start only, write how to reach it there, and keep running',
    )
    return parser.parse_args(arguments)


def _kill_children():
    """Kill child processes that an interrupt during their start left over."""
    tasks = pathlib.Path('/proc/self/task').iterdir()
    lists = [(task / 'children').read_text().split() for task in tasks]
    for pid in map(int, itertools.chain.from_iterable(lists)):
        with contextlib.suppress(ProcessLookupError, ChildProcessError):
            os.kill(pid, signal.SIGKILL)
            os.waitpid(pid, 0)


def _interrupt(number, frame):
    raise KeyboardInterrupt


def main(arguments=None):
    """Run the demo and return its exit code."""
    options = _parse_arguments(arguments)
    print('Three zones, three entry hosts, 30 endpoints on stand-ins.')
    stage = deployment.Deployment(yaml.safe_load(EXAMPLE.read_text()), ZONES)
    # make does not pass Ctrl-C on to processes started in the background.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    try:
        return (_keep if options.keep else _run)(stage, options)
    except KeyboardInterrupt:
        print('Interrupted.', file=sys.stderr)
        return EXIT_INTERRUPTED
    except processes.TimedOut as error:
        print(error, file=sys.stderr)
        return EXIT_FAULTS
    finally:
        # A second Ctrl-C must not interrupt the clean-up.
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)
        stage.end()
        _kill_children()


if __name__ == '__main__':
    sys.exit(main())
