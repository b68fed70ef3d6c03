"""Share the starts that a scheduling cycle may plan among the steps."""

import math

import attrs


@attrs.define
class StartShares:
    """What is left of the starts of one scheduling cycle.

    A step that fits is planned whole. One that doesn't gets half of what is
    left, so that others aren't kept waiting until all its tasks have started.
    A gang that doesn't fit keeps others back until it does, or until nothing
    else is in flight.

    :ivar left: number of starts, or infinity
    :ivar is_idle: whether no other start is in flight or planned
    :ivar is_sharing: whether wide steps leave starts to others
    :ivar held_gang: key of the gang that keeps others back, or None
    """

    left: float = math.inf
    is_idle: bool = True
    is_sharing: bool = True
    held_gang: tuple | None = None

    def is_wide(self, ready_step):
        """Return whether a step needs more starts than are left."""
        return len(ready_step.pending) > self.left

    def limit(self, ready_step):
        """Return how many tasks of a step may be planned."""
        if self.is_sharing and self.is_wide(ready_step):
            return math.ceil(self.left / 2)
        return self.left

    def admits_gang(self, ready_step):
        """Return whether a gang may be planned; hold others back if not."""
        if self.is_idle or not self.is_wide(ready_step):
            return True
        self.held_gang = ready_step.key
        self.left = 0
        return False

    def take(self, count):
        """Record that starts were planned."""
        self.left = max(0, self.left - count)
        self.is_idle = self.is_idle and not count
