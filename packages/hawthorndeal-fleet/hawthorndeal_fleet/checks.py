"""Check a declared fleet as a whole: references, names and budgets."""

import collections
import ipaddress
import itertools
import re

from . import codec
from . import errors
from . import model

NAME_PATTERN = re.compile(r'[a-z0-9]([a-z0-9.-]{0,98}[a-z0-9])?')
MAX_PORT = 65535


def fleet_from_document(document, source):
    """Return the fleet that a plain document declares.

    :param document: plain data, section by section
    :param source: the file's name, for the problems
    :raises errors.InvalidFile: with every problem found
    """
    nulls = _null_problems(document, source)
    if nulls:
        raise errors.InvalidFile(nulls)
    fleet = codec.from_file(document, model.Fleet, source)
    problems = [
        errors.Problem(source, path, message)
        for path, message in _all_problems(fleet)
    ]
    if problems:
        raise errors.InvalidFile(problems)
    return fleet


def _null_problems(document, source):
    # Merge patches use null to delete, so it can't be a value as well.
    return [
        errors.Problem(source, path, 'has no value')
        for path in _null_paths(document, ())
    ]


def _null_paths(value, path):
    if value is None:
        return ['.'.join(path)]
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        items = ()
    return list(
        itertools.chain.from_iterable(
            _null_paths(item, (*path, str(key))) for key, item in items
        )
    )


def _all_problems(fleet):
    return itertools.chain(
        _name_problems(fleet),
        _host_problems(fleet),
        _service_problems(fleet),
        _endpoint_problems(fleet),
        _workspace_problems(fleet),
        _wave_problems(fleet),
    )


def _name_problems(fleet):
    sections = {
        'zones': fleet.zones,
        'pools': fleet.pools,
        'hosts': fleet.hosts,
        'services': fleet.services,
        'endpoints': fleet.endpoints,
        'workspaces': fleet.workspaces,
        'waves': fleet.waves,
    }
    for section, entries in sections.items():
        for name in entries:
            if not NAME_PATTERN.fullmatch(name):
                yield f'{section}.{name}', f'{name!r} is not a valid name'


def _unknown(path, kind, name, known):
    if name not in known:
        yield path, f'{kind} {name!r} is not declared'


def _host_problems(fleet):
    for name, host in fleet.hosts.items():
        path = f'hosts.{name}'
        yield from _unknown(f'{path}.pool', 'pool', host.pool, fleet.pools)
        yield from _unknown(f'{path}.zone', 'zone', host.zone, fleet.zones)
    yield from _rack_problems(fleet)


def _rack_problems(fleet):
    zones_by_rack = collections.defaultdict(set)
    for host in fleet.hosts.values():
        zones_by_rack[host.rack].add(host.zone)
    for name, host in fleet.hosts.items():
        zones = zones_by_rack[host.rack]
        if len(zones) > 1:
            yield (
                f'hosts.{name}.rack',
                f'rack {host.rack!r} is in zones {sorted(zones)}',
            )


def _service_problems(fleet):
    for name, service in fleet.services.items():
        path = f'services.{name}'
        yield from _unknown(
            f'{path}.workspace',
            'workspace',
            service.workspace,
            fleet.workspaces,
        )
        yield from _unknown(f'{path}.pool', 'pool', service.pool, fleet.pools)


def _endpoint_problems(fleet):
    owners = {}
    for name, endpoint in fleet.endpoints.items():
        path = f'endpoints.{name}'
        yield from _unknown(
            f'{path}.service', 'service', endpoint.service, fleet.services
        )
        yield from _unknown(f'{path}.host', 'host', endpoint.host, fleet.hosts)
        if not is_address(endpoint.address):
            yield (
                f'{path}.address',
                f'expected IP:PORT, got {endpoint.address!r}',
            )
        owner = owners.setdefault(endpoint.address, name)
        if owner != name:
            yield (
                f'{path}.address',
                f'{endpoint.address!r} is the address of {owner!r} too',
            )


def is_address(text):
    """Tell whether a text is ``IP:PORT`` with an IP number."""
    ip, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip.strip('[]'))
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _workspace_problems(fleet):
    sizes = collections.Counter(
        endpoint.service for endpoint in fleet.endpoints.values()
    )
    for name, workspace in fleet.workspaces.items():
        for service, budget in workspace.budgets.items():
            path = f'workspaces.{name}.budgets.{service}'
            yield from _budget_problems(
                fleet, name, service, budget, sizes, path
            )


def _budget_problems(fleet, workspace, service, budget, sizes, path):
    if service not in fleet.services:
        yield path, f'service {service!r} is not declared'
        return
    owner = fleet.services[service].workspace
    if owner != workspace:
        yield path, f'service {service!r} belongs to workspace {owner!r}'
    if budget.max_unavailable >= max(sizes[service], 1):
        yield (
            f'{path}.max_unavailable',
            f'{budget.max_unavailable} of {sizes[service]} executors '
            'leaves none available',
        )
    if budget.downtime_s > budget.window_s:
        yield (
            f'{path}.downtime_s',
            f'{budget.downtime_s} is longer than the window of '
            f'{budget.window_s}',
        )


def _wave_problems(fleet):
    for name, wave in fleet.waves.items():
        path = f'waves.{name}'
        for pool in wave.pools:
            yield from _unknown(f'{path}.pools', 'pool', pool, fleet.pools)
        for host in wave.hosts:
            yield from _unknown(f'{path}.hosts', 'host', host, fleet.hosts)
        yield from _target_problems(fleet, wave, path)


def _target_problems(fleet, wave, path):
    if wave.action is model.WaveAction.MOVE:
        yield from _unknown(
            f'{path}.target_pool', 'pool', wave.target_pool, fleet.pools
        )
    elif wave.target_pool:
        yield (
            f'{path}.target_pool',
            f'{wave.target_pool!r} has no use in a reboot wave',
        )
