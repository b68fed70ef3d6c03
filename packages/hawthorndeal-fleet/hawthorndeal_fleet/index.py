"""Reverse index of the references between the entries of a fleet."""

import bisect
import collections
import itertools

import attrs

from . import model

SECTIONS = tuple(
    field.name
    for field in attrs.fields(model.Fleet)
    if getattr(field.default, 'factory', None) is dict
)


def _host_references(host):
    return ('pools', host.pool), ('zones', host.zone), ('racks', host.rack)


def _service_references(service):
    return ('workspaces', service.workspace), ('pools', service.pool)


def _endpoint_references(endpoint):
    return (
        ('services', endpoint.service),
        ('hosts', endpoint.host),
        ('addresses', endpoint.address),
    )


def _workspace_references(workspace):
    return [('services', service) for service in workspace.budgets]


def _wave_references(wave):
    pools = [('pools', pool) for pool in (*wave.pools, wave.target_pool)]
    return pools + [('hosts', host) for host in wave.hosts]


_REFERENCES = {
    'hosts': _host_references,
    'services': _service_references,
    'endpoints': _endpoint_references,
    'workspaces': _workspace_references,
    'waves': _wave_references,
}


def references(section, entry):
    """Return the pairs of section and name that an entry refers to.

    Racks and addresses are treated as sections, since entries that share one
    have to be validated together.
    """
    find = _REFERENCES.get(section)
    return set(find(entry)) if find and entry is not None else set()


@attrs.frozen
class Change:
    """Describe an entry before and after a patch; None if it is absent."""

    section: str
    name: str
    old: object
    new: object

    def reverse(self):
        """Return the inverse of this change."""
        return attrs.evolve(self, old=self.new, new=self.old)


class Index:
    """Map each entry to the sorted names of the entries that refer to it.

    Sorting makes the order independent of the sequence of changes by which a
    daemon reached its state.
    """

    def __init__(self):
        self._referrers = collections.defaultdict(list)

    def referrers(self, section, name, source):
        """Return the names in a section that refer to an entry.

        The returned list belongs to the index and must not be modified.

        :param source: the section of the referring entries
        """
        return self._referrers.get((section, name, source), [])

    def all_referrers(self, section, name):
        """Return the section and name of every entry that refers to one."""
        return [
            (source, referrer)
            for source in _REFERENCES
            for referrer in self.referrers(section, name, source)
        ]

    def update(self, changes):
        """Update the index for changed entries."""
        for change in changes:
            self._remove(change)
            self._add(change)

    def _remove(self, change):
        for section, name in references(change.section, change.old):
            key = (section, name, change.section)
            names = self._referrers[key]
            del names[bisect.bisect_left(names, change.name)]
            if not names:
                del self._referrers[key]

    def _add(self, change):
        for section, name in references(change.section, change.new):
            key = (section, name, change.section)
            bisect.insort(self._referrers[key], change.name)


def build(fleet):
    """Return the index of a whole fleet."""
    index = Index()
    index.update(
        itertools.chain.from_iterable(
            (
                Change(section, name, None, entry)
                for name, entry in sorted(getattr(fleet, section).items())
            )
            for section in SECTIONS
        )
    )
    return index
