"""Tell which tasks no host of the fleet can run.

The load: a job that asks for more than any host has, or for a label that none
has. It waits for good, so no pool needs hosts for it, and no other job waits
for its work to be done.
"""

import attrs

from . import specs


@attrs.define
class FleetRoom:
    """The most that a host of the fleet has been known to have.

    Hosts keep their kind when they move, and when they are maintained.

    :ivar capacity: the most of each resource
    :ivar labels: the labels of all executors
    :ivar hosts: number of hosts
    """

    capacity: specs.Resources = specs.Resources()
    labels: set[str] = attrs.Factory(set)
    hosts: int = 0

    def note_executor(self, entry):
        """Record what an executor has."""
        self.capacity = self.capacity.at_least(entry.capacity)
        self.labels.update(entry.labels)

    def may_hold(self, step):
        """Return whether the tasks of a declared step may ever run.

        True while nothing is known of the fleet.
        """
        if self.capacity == specs.Resources():
            return True
        if step.required_label and step.required_label not in self.labels:
            return False
        if not step.reserved.is_within(self.capacity):
            return False
        return not step.is_gang or self._may_hold_gang(step)

    def _may_hold_gang(self, step):
        if not self.hosts:
            return True
        whole = self.capacity.times(self.hosts)
        return step.reserved.times(step.count).is_within(whole)
