"""Measure the time to put an apply in force and the time to join.

Nine daemon processes and the fakes of the platform run on one machine.
"""

import itertools
import statistics
import time
import urllib.error

import tabulate
import yaml

from hawthorndeal_daemon import loader
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import configuration
from stage import deployment
from stage import processes

from . import slow_link

EXAMPLE = 'examples/vltava.yaml'
ZONES = ('cz-a', 'cz-b', 'cz-c')
DAEMONS_PER_ZONE = 3
SLOW_DELAY_S = 1.0
APPLIES = 200
QUICK_APPLIES = 20
JOINS = 10
QUICK_JOINS = 2
NO_FAULT_LIMIT_S = 2.0
SLOW_LIMIT_S = 13.0
LONGEST_S = 30.0
POLL_S = 0.01


def measure(is_quick):
    """Print the tables; these measurements involve no budget.

    :returns: number of budget breaches, always 0
    """
    applies = QUICK_APPLIES if is_quick else APPLIES
    joins = QUICK_JOINS if is_quick else JOINS
    rows = [
        _in_force_row('no fault', applies, 0.0, NO_FAULT_LIMIT_S),
        _in_force_row(
            f'log {SLOW_DELAY_S:g} s slower each way for one zone',
            applies,
            SLOW_DELAY_S,
            SLOW_LIMIT_S,
        ),
    ]
    print('time until an apply is in force on 9 daemons (no random choice)')
    print(tabulate.tabulate(rows, headers='keys'), end='\n\n')
    print('time from the start of the process until ready')
    print(tabulate.tabulate(_join_rows(joins), headers='keys'))
    return 0


def _make_stage():
    with open(EXAMPLE, 'rb') as file:
        fleet = yaml.safe_load(file)
    names = {
        f'entry-{zone[-1]}{number}': zone
        for zone, number in itertools.product(
            ZONES, range(1, DAEMONS_PER_ZONE + 1)
        )
    }
    return deployment.Deployment(fleet, names)


def _slow_zone(stage, delay_s):
    """Delay the traffic between the log and the daemons of the last zone."""
    link = slow_link.SlowLink(
        stage.log.host, deployment.PLATFORM_PORT, delay_s
    )
    link.start()
    for name in stage.daemons:
        path = stage.path / f'{name}.yaml'
        settings = yaml.safe_load(path.read_text())
        if settings['zone'] == ZONES[-1]:
            settings['platform']['log_url'] = link.url
            settings['platform']['call_timeout_s'] = 10.0
            path.write_text(yaml.safe_dump(settings))
    return link


def _start(stage):
    stage.start()
    result = stage.apply()
    if result.returncode:
        raise RuntimeError(result.stderr)
    stage.await_ready()


def _in_force_row(name, applies, delay_s, limit_s):
    stage = _make_stage()
    link = _slow_zone(stage, delay_s) if delay_s else None
    try:
        _start(stage)
        took_s = sorted(_apply_once(stage, n) for n in range(applies))
    finally:
        stage.end()
        if link is not None:
            link.end()
    p99_s = took_s[min(len(took_s) - 1, int(0.99 * len(took_s)))]
    return {
        'case': name,
        'applies': applies,
        'p50 s': f'{statistics.median(took_s):.3f}',
        'p99 s': f'{p99_s:.3f}',
        'most s': f'{took_s[-1]:.3f}',
        'limit s': limit_s,
        'is met': p99_s <= limit_s,
    }


def _apply_once(stage, number):
    """Return the time from sending an apply until all daemons run it."""
    daemon = list(stage.daemons)[number % len(stage.daemons)]
    _, answer = stage.control(daemon, '/v1/document')
    new = {**answer['document'], 'weights': {'moves': 1.0 + number}}
    body = configuration.make_config_applied(
        answer['document'], answer['revision'], new, f'measured-{number}', ''
    )
    started_s = time.monotonic()
    status, verdict = stage.control(
        daemon, '/v1/applies', 'POST', codec.to_plain(body)
    )
    if status != 200 or verdict['outcome'] != 'accepted':
        raise RuntimeError(f'apply {number}: {status} {verdict}')
    waiting = list(stage.daemons)
    while waiting:
        waiting = [
            name
            for name in waiting
            if _revision(stage, name) <= answer['revision']
        ]
        if time.monotonic() > started_s + LONGEST_S:
            raise RuntimeError(f'apply {number}: not in force on {waiting}')
        time.sleep(POLL_S)
    return time.monotonic() - started_s


def _revision(stage, daemon):
    url = f'http://{stage.daemons[daemon].host}:{deployment.CONTROL_PORT}'
    try:
        _, summary = deployment.call_json(
            url + loader.SUMMARY_PATH,
            headers={'Authorization': f'Bearer {deployment.PEER_TOKEN}'},
        )
    except (OSError, urllib.error.URLError):
        return 0
    return summary['revision']


def _join_rows(joins):
    stage = _make_stage()
    try:
        _start(stage)
        name = list(stage.daemons)[0]
        peer_s = [_restart_s(stage, name) for _ in range(joins)]
        for process in stage.daemons.values():
            process.terminate()
        alone_s = [_restart_s(stage, name) for _ in range(joins)]
    finally:
        stage.end()
    return [
        {'state from': 'a peer', **_summary(peer_s)},
        {'state from': 'the log, no daemon running', **_summary(alone_s)},
    ]


def _restart_s(stage, name):
    process = stage.daemons[name]
    process.end()
    started_s = time.monotonic()
    process.start()
    processes.wait_until(
        lambda: deployment.is_ready(process.url), LONGEST_S, f'{name} ready'
    )
    return time.monotonic() - started_s


def _summary(took_s):
    return {
        'joins': len(took_s),
        'p50 s': f'{statistics.median(took_s):.3f}',
        'most s': f'{max(took_s):.3f}',
    }
