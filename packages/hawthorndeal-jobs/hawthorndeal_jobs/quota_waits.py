"""Steps that wait for the quota of their workspace.

A workspace that sends several times its quota may have hundreds of ready
steps. They are not considered by scheduling cycles until the workspace may use
what the first of them needs, so they add nothing to the time of a cycle.

A step may need more than the workspace's long-running tasks leave of the
quota, or, where the quota was lowered, more than all of it. That it will be
admitted can't be awaited while those tasks run, so it keeps no other one
waiting.
"""

import attrs

from . import specs


@attrs.define
class _Waiting:
    """The steps of one workspace.

    :ivar needed: what the workspace has to be able to use; None without steps
    :ivar steps: the steps by number
    :ivar oversized: steps that can't be admitted while the long-running tasks
        of the workspace run, by number
    """

    needed: specs.Resources | None = None
    steps: dict = attrs.Factory(dict)
    oversized: dict = attrs.Factory(dict)


class QuotaWaits:
    """The steps of each workspace that wait for its quota."""

    def __init__(self):
        self._by_workspace = {}

    def __contains__(self, ready_step):
        waiting = self._by_workspace.get(ready_step.occurrence.job.workspace)
        return waiting is not None and (
            ready_step.number in waiting.steps
            or ready_step.number in waiting.oversized
        )

    @property
    def workspaces(self):
        """Names of the workspaces with such steps."""
        return list(self._by_workspace)

    def add(self, ready_step, needed):
        """Add a step.

        :param needed: what the workspace has to be able to use
        """
        waiting = self._waiting_of(ready_step)
        if waiting.needed is None:
            waiting.needed = needed
        waiting.steps[ready_step.number] = ready_step

    def add_oversized(self, ready_step):
        """Add a step that keeps no other one waiting."""
        waiting = self._waiting_of(ready_step)
        waiting.oversized[ready_step.number] = ready_step

    def _waiting_of(self, ready_step):
        workspace = ready_step.occurrence.job.workspace
        return self._by_workspace.setdefault(workspace, _Waiting())

    def discard(self, ready_step):
        """Remove a step, if it is known.

        :returns: whether others had to wait for it
        """
        workspace = ready_step.occurrence.job.workspace
        waiting = self._by_workspace.get(workspace)
        if waiting is None:
            return False
        was_first = ready_step.number == next(iter(waiting.steps), None)
        waiting.steps.pop(ready_step.number, None)
        waiting.oversized.pop(ready_step.number, None)
        if not waiting.steps:
            waiting.needed = None
        if not waiting.steps and not waiting.oversized:
            del self._by_workspace[workspace]
        return was_first

    def needed(self, workspace):
        """Return what a workspace has to be able to use.

        None if no step waits that others have to wait for.

        :rtype: specs.Resources | None
        """
        waiting = self._by_workspace.get(workspace)
        return waiting.needed if waiting is not None else None

    def pop(self, workspace):
        """Remove and return the steps of a workspace."""
        waiting = self._by_workspace.pop(workspace, None)
        if waiting is None:
            return []
        return [*waiting.steps.values(), *waiting.oversized.values()]

    def has_oversized(self, workspace):
        """Return whether a step of a workspace keeps no other one waiting."""
        waiting = self._by_workspace.get(workspace)
        return waiting is not None and bool(waiting.oversized)

    def count(self, workspace):
        """Return how many steps of a workspace wait."""
        waiting = self._by_workspace.get(workspace)
        if waiting is None:
            return 0
        return len(waiting.steps) + len(waiting.oversized)
