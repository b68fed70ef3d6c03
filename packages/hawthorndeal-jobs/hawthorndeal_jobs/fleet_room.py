"""Determine which tasks no host of the fleet can run.

A job may ask for more than any host has, or for a label that no host has. It
waits until such a host is added. Until then no pool needs hosts for it, and no
other job has to wait for it.
"""

import attrs

from . import specs


@attrs.define
class FleetRoom:
    """The most that a host of the fleet has been known to have.

    The list of hosts also tells what those on standby have, which have no
    executors. Hosts keep their kind when they move, and when they are
    maintained.

    :ivar capacity: the most of each resource
    :ivar labels: the labels of all hosts
    :ivar hosts: number of hosts
    :ivar is_known: whether the capacity of each host is known
    """

    capacity: specs.Resources = specs.Resources()
    labels: set[str] = attrs.Factory(set)
    hosts: int = 0
    is_known: bool = False

    def note_hosts(self, entries):
        """Record what all hosts have.

        :param entries: each host's :class:`host_orders.HostEntry`
        """
        capacities = [entry.capacity for entry in entries]
        self.hosts = len(capacities)
        self.is_known = bool(capacities) and None not in capacities
        for entry in entries:
            self.note_room(entry.capacity or specs.Resources(), entry.labels)

    def note_room(self, capacity, labels):
        """Record what a host or an executor has."""
        self.capacity = self.capacity.at_least(capacity)
        self.labels.update(labels)

    def may_hold(self, step):
        """Return whether the tasks of a declared step may ever run.

        True unless each host is known.
        """
        if not self.is_known:
            return True
        if step.required_label and step.required_label not in self.labels:
            return False
        if not step.reserved.is_within(self.capacity):
            return False
        if not step.is_gang:
            return True
        whole = self.capacity.times(self.hosts)
        return step.reserved.times(step.count).is_within(whole)
