"""Validate a declared fleet: names, references and budgets."""

import ipaddress
import math
import re

import attrs

from . import codec
from . import document as document_module
from . import errors
from . import index as index_module
from . import model

NAME_PATTERN = re.compile(r'[a-z0-9]([a-z0-9.-]{0,98}[a-z0-9])?')
MAX_PORT = 65535


def fleet_from_document(document, source):
    """Return the fleet that a plain document declares.

    :param document: plain data, section by section
    :param source: file name to report in problems
    :raises errors.InvalidFile: with all problems found
    """
    fleet = _structure(document, source)
    entries = (
        (section, name)
        for section in index_module.SECTIONS
        for name in getattr(fleet, section)
    )
    _raise_problems(fleet, index_module.build(fleet), entries, source)
    return fleet


def patch_fleet(fleet, index, result, patch, source):
    """Return the patched fleet and the changes made to it.

    Only patched entries are parsed, and only these and the entries that
    depend on them are validated.

    :param fleet: fleet before the patch, known to be valid
    :param index: index of that fleet; changed temporarily and restored
    :param result: plain document after the patch
    :param patch: merge patch that produced it
    :raises errors.InvalidFile: with all problems found
    """
    part = _structure(document_module.patched_part(result, patch), source)
    changes = _changes(fleet, part, patch)
    patched = _apply_changes(fleet, part, patch, changes)
    affected = _affected(index, changes)
    index.update(changes)
    try:
        affected |= _affected(index, changes)
        _raise_problems(patched, index, affected, source)
    finally:
        index.update([change.reverse() for change in reversed(changes)])
    return patched, changes


def _structure(document, source):
    problems = [
        errors.Problem(source, path, message)
        for path, message in _value_problems(document)
    ]
    if problems:
        raise errors.InvalidFile(problems)
    return codec.from_file(document, model.Fleet, source)


def _raise_problems(fleet, index, entries, source):
    problems = [
        errors.Problem(source, path, message)
        for section, name in entries
        for path, message in _entry_problems(fleet, index, section, name)
    ]
    if problems:
        problems.sort(key=lambda problem: (problem.path, problem.message))
        raise errors.InvalidFile(problems)


def _changes(fleet, part, patch):
    return [
        index_module.Change(section, name, old.get(name), new.get(name))
        for section, old, new, names in _patched_sections(fleet, part, patch)
        for name in names
        if old.get(name) != new.get(name)
    ]


def _patched_sections(fleet, part, patch):
    for section in index_module.SECTIONS:
        if section in patch:
            old = getattr(fleet, section)
            names = patch[section]
            if not isinstance(names, dict):
                names = old
            yield section, old, getattr(part, section), names


def _apply_changes(fleet, part, patch, changes):
    sections = {
        name: getattr(part, name)
        for name in patch
        if name not in index_module.SECTIONS and hasattr(part, name)
    }
    for change in changes:
        if change.section not in sections:
            sections[change.section] = dict(getattr(fleet, change.section))
        entries = sections[change.section]
        if change.new is None:
            del entries[change.name]
        else:
            entries[change.name] = change.new
    return attrs.evolve(fleet, **sections)


# Targets whose referring entries constrain each other.
_SHARED_TARGETS = ('racks', 'addresses', 'services')


def _affected(index, changes):
    found = {(change.section, change.name) for change in changes}
    targets = set(found)
    for change in changes:
        for entry in (change.old, change.new):
            targets.update(
                target
                for target in index_module.references(change.section, entry)
                if target[0] in _SHARED_TARGETS
            )
    for section, name in targets:
        found.update(index.all_referrers(section, name))
    return found


def _value_problems(value, path=()):
    # Null means deletion in a merge patch, so it is not allowed as a value.
    if value is None:
        yield '.'.join(path), 'has no value'
    elif isinstance(value, float) and not math.isfinite(value):
        yield '.'.join(path), f'{value} is not a finite number'
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from _value_problems(item, (*path, str(key)))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _value_problems(item, (*path, str(index)))


def _entry_problems(fleet, index, section, name):
    entry = getattr(fleet, section).get(name)
    if entry is None:
        return
    path = f'{section}.{name}'
    if not NAME_PATTERN.fullmatch(name):
        yield path, f'{name!r} is not a valid name'
    check = _CHECKS.get(section)
    if check is not None:
        yield from check(fleet, index, name, entry, path)


def _undeclared_problems(path, kind, name, known):
    if name not in known:
        yield path, f'{kind} {name!r} is not declared'


def _host_problems(fleet, index, name, host, path):
    yield from _undeclared_problems(
        f'{path}.pool', 'pool', host.pool, fleet.pools
    )
    yield from _undeclared_problems(
        f'{path}.zone', 'zone', host.zone, fleet.zones
    )
    # Comparing each host with the first suffices to find any difference.
    first = index.referrers('racks', host.rack, 'hosts')[0]
    zones = {fleet.hosts[first].zone, host.zone}
    if len(zones) > 1:
        yield (
            f'{path}.rack',
            f'rack {host.rack!r} is in zones {sorted(zones)}',
        )


def _service_problems(fleet, index, name, service, path):
    yield from _undeclared_problems(
        f'{path}.workspace', 'workspace', service.workspace, fleet.workspaces
    )
    yield from _undeclared_problems(
        f'{path}.pool', 'pool', service.pool, fleet.pools
    )


def _endpoint_problems(fleet, index, name, endpoint, path):
    yield from _undeclared_problems(
        f'{path}.service', 'service', endpoint.service, fleet.services
    )
    yield from _undeclared_problems(
        f'{path}.host', 'host', endpoint.host, fleet.hosts
    )
    if not is_address(endpoint.address):
        yield f'{path}.address', f'expected IP:PORT, got {endpoint.address!r}'
    owner = index.referrers('addresses', endpoint.address, 'endpoints')[0]
    if owner != name:
        yield (
            f'{path}.address',
            f'{endpoint.address!r} is also the address of {owner!r}',
        )


def is_address(text):
    """Return whether a text is ``IP:PORT``."""
    ip, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip.strip('[]'))
        return 0 < int(port) <= MAX_PORT
    except ValueError:
        return False


def _workspace_problems(fleet, index, name, workspace, path):
    for service, budget in workspace.budgets.items():
        size = len(index.referrers('services', service, 'endpoints'))
        yield from _budget_problems(
            fleet, name, service, budget, size, f'{path}.budgets.{service}'
        )


def _budget_problems(fleet, workspace, service, budget, size, path):
    if service not in fleet.services:
        yield path, f'service {service!r} is not declared'
        return
    owner = fleet.services[service].workspace
    if owner != workspace:
        yield path, f'service {service!r} belongs to workspace {owner!r}'
    if budget.max_unavailable >= max(size, 1):
        yield (
            f'{path}.max_unavailable',
            f'{budget.max_unavailable} of {size} executors '
            'leaves none available',
        )
    if budget.downtime_s > budget.window_s:
        yield (
            f'{path}.downtime_s',
            f'{budget.downtime_s} is longer than the window of '
            f'{budget.window_s}',
        )


def _wave_problems(fleet, index, name, wave, path):
    for pool in wave.pools:
        yield from _undeclared_problems(
            f'{path}.pools', 'pool', pool, fleet.pools
        )
    for host in wave.hosts:
        yield from _undeclared_problems(
            f'{path}.hosts', 'host', host, fleet.hosts
        )
    yield from _target_problems(fleet, wave, path)


def _target_problems(fleet, wave, path):
    if wave.action is model.WaveAction.MOVE:
        yield from _undeclared_problems(
            f'{path}.target_pool', 'pool', wave.target_pool, fleet.pools
        )
    elif wave.target_pool:
        yield (
            f'{path}.target_pool',
            f'{wave.target_pool!r} is not allowed in a reboot wave',
        )


_CHECKS = {
    'hosts': _host_problems,
    'services': _service_problems,
    'endpoints': _endpoint_problems,
    'workspaces': _workspace_problems,
    'waves': _wave_problems,
}
