"""Serve requests while a configuration changes and a host reboots."""

import asyncio
import copy
import json
import pathlib
import sys
import threading
import time

import tabulate
import yaml

from stage import deployment
from stage import processes
from stage import traffic

EXAMPLE = pathlib.Path(__file__).parent.parent.joinpath(
    'examples', 'vltava.yaml'
)
ZONES = {'entry-a1': 'cz-a', 'entry-b1': 'cz-b', 'entry-c1': 'cz-c'}
REQUESTS = 2000
CONCURRENCY = 20
PACE_S = 0.1
HOST = 'pr-checker-h1'
WAVE_TIMEOUT_S = 60.0


class Traffic(threading.Thread):
    """Send the requests of the demo beside everything else.

    :param stage: the deployment that serves them
    """

    def __init__(self, stage):
        super().__init__(daemon=True)
        targets = [
            (service['workspace'], name)
            for name, service in stage.fleet['services'].items()
        ]
        urls = [process.url for process in stage.daemons.values()]
        self._callers = traffic.Callers(urls, targets)
        self.tally = self._callers.tally

    def run(self):
        """Send all requests."""
        asyncio.run(self._callers.run(REQUESTS, CONCURRENCY, PACE_S))


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


def _run(stage):
    stage.start()
    _apply(stage, 'first.yaml', stage.fleet)
    stage.await_ready()
    callers = Traffic(stage)
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
    return _report(stage, callers.tally, in_force_s, drain_s)


def _report(stage, tally, in_force_s, drain_s):
    counters = stage.counters().values()
    ran = {name for counter in counters for name in counter['ran']}
    runs = sum(counter['runs'] for counter in counters)
    faults = {
        'lost': tally.outcomes['lost'],
        'wrong answers': len(tally.wrong),
        'cut off': sum(counter['cut_off'] for counter in counters),
        'run twice': runs - len(ran),
        'told not run, yet run': len(ran.intersection(tally.not_run)),
    }
    rows = {
        'requests': REQUESTS,
        'served': tally.outcomes['answered'],
        'not run': tally.outcomes['not_run'],
        'unknown': tally.outcomes['unknown'],
        **faults,
        'in force everywhere after (s)': in_force_s,
        'drained and rebooted after (s)': round(drain_s, 3),
    }
    print(tabulate.tabulate(rows.items(), headers=['', 'result']))
    return 1 if any(faults.values()) else 0


def main():
    """Run the demo and return its exit code."""
    print('Three zones, three entry hosts, 30 endpoints on stand-ins.')
    fleet = yaml.safe_load(EXAMPLE.read_text())
    stage = deployment.Deployment(fleet, ZONES)
    try:
        return _run(stage)
    except KeyboardInterrupt:
        print('Interrupted.', file=sys.stderr)
        return 130
    except processes.TimedOut as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        stage.end()


if __name__ == '__main__':
    sys.exit(main())
