"""Measure the memory and processor time of an idle daemon."""

import contextlib
import json
import os
import pathlib
import time

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import maintenance
from stage import deployment

from . import fleets
from . import slopes as slopes_module

HOSTS = (500, 1000, 2000, 4000)
DAEMONS = (2, 4, 6, 9)
DESIGN_DAEMONS = 9
SETTLE_S = 3.0
WATCH_S = 8.0
SMALL_FLEET_HOSTS = 100
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def slopes():
    """Yield the slopes of the host list, the fleet and the peers."""
    yield from _host_list_slopes()
    by_hosts = {n: _watch_fleet(n) for n in HOSTS}
    yield from _slopes('host', by_hosts, fleets.HOSTS)
    by_daemons = {n: _watch_peers(n) for n in DAEMONS}
    yield from _slopes('daemon', by_daemons, DESIGN_DAEMONS)


def _host_list_slopes():
    answers = {n: _host_list(n) for n in HOSTS}
    yield slopes_module.Slope(
        'host list, bytes',
        'host',
        [(n, len(text)) for n, text in answers.items()],
        fleets.HOSTS,
    )
    yield slopes_module.Slope(
        'host list decoded, processor s',
        'host',
        [
            (n, slopes_module.processor_s(lambda text=text: _decode(text)))
            for n, text in answers.items()
        ],
        fleets.HOSTS,
    )


def _host_list(hosts):
    status = maintenance.HostStatus(
        is_live=True, is_leaving=False, boot_id='h0-boot-1', pool='p0'
    )
    plain = codec.to_plain(status)
    return json.dumps({'hosts': {f'h{n}': plain for n in range(hosts)}})


def _decode(text):
    for status in json.loads(text)['hosts'].values():
        codec.from_plain(status, maintenance.HostStatus)


def _slopes(per, watched, design_size):
    names = ('resident, bytes', 'idle, share of a core')
    for index, name in enumerate(names):
        points = [(size, values[index]) for size, values in watched.items()]
        yield slopes_module.Slope(name, per, points, design_size)


def _watch_fleet(hosts):
    return _watch(fleets.make(hosts), {'d0': 'z0'})


def _watch_peers(count):
    zones = {f'd{n}': f'z{n % fleets.ZONES}' for n in range(count)}
    return _watch(fleets.make(SMALL_FLEET_HOSTS), zones)


def _watch(fleet, zones):
    """Return resident bytes and processor share of the first daemon."""
    stage = deployment.Deployment(fleet, zones)
    with contextlib.ExitStack() as stack:
        stack.callback(stage.end)
        stage.start()
        # The deployment starts only a few endpoints, since each listens on an
        # address of its own; the file applied here declares the whole fleet.
        path = stage.write_fleet('whole.yaml', fleet)
        result = stage.apply(path, '--wait')
        if result.returncode:
            raise RuntimeError(f'{len(fleet["hosts"])}: {result.stderr}')
        pid = next(iter(stage.daemons.values())).pid
        time.sleep(SETTLE_S)
        before_s = _processor_s(pid)
        time.sleep(WATCH_S)
        share = (_processor_s(pid) - before_s) / WATCH_S
        return _resident_bytes(pid), share


def _processor_s(pid):
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / _TICKS_PER_S


def _resident_bytes(pid):
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')
