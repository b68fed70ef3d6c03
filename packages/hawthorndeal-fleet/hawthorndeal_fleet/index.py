"""Find the entries of a fleet that refer to an entry, without a search."""

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


def _of_host(host):
    return ('pools', host.pool), ('zones', host.zone), ('racks', host.rack)


def _of_service(service):
    return ('workspaces', service.workspace), ('pools', service.pool)


def _of_endpoint(endpoint):
    return (
        ('services', endpoint.service),
        ('hosts', endpoint.host),
        ('addresses', endpoint.address),
    )


def _of_workspace(workspace):
    return [('services', service) for service in workspace.budgets]


def _of_wave(wave):
    pools = [('pools', pool) for pool in (*wave.pools, wave.target_pool)]
    return pools + [('hosts', host) for host in wave.hosts]


_REFERENCES = {
    'hosts': _of_host,
    'services': _of_service,
    'endpoints': _of_endpoint,
    'workspaces': _of_workspace,
    'waves': _of_wave,
}


def references(section, entry):
    """Return the pairs of section and name that an entry refers to.

    Racks and addresses count as sections: entries that share one are checked
    together.
    """
    find = _REFERENCES.get(section)
    return set(find(entry)) if find and entry is not None else set()


@attrs.frozen
class Change:
    """Describe one entry before and after a patch; None where absent."""

    section: str
    name: str
    old: object
    new: object

    def reverse(self):
        """Return the change that undoes this one."""
        return attrs.evolve(self, old=self.new, new=self.old)


class Index:
    """Keep, for each entry, the sorted names of the entries that refer to it.

    Names are sorted, so that the order never tells by which path a daemon
    came to its state.
    """

    def __init__(self):
        self._users = collections.defaultdict(list)

    def users(self, section, name, source):
        """Return the names in a section that refer to an entry.

        The list is the index's own and must not be changed.

        :param source: the section to look in
        """
        return self._users.get((section, name, source), [])

    def all_users(self, section, name):
        """Return pairs of section and name that refer to an entry."""
        return [
            (source, user)
            for source in _REFERENCES
            for user in self.users(section, name, source)
        ]

    def update(self, changes):
        """Follow changed entries."""
        for change in changes:
            self._remove(change)
            self._add(change)

    def _remove(self, change):
        for section, name in references(change.section, change.old):
            key = (section, name, change.section)
            names = self._users[key]
            del names[bisect.bisect_left(names, change.name)]
            if not names:
                del self._users[key]

    def _add(self, change):
        for section, name in references(change.section, change.new):
            key = (section, name, change.section)
            bisect.insort(self._users[key], change.name)


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
