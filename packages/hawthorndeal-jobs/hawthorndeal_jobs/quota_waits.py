"""Steps that wait for the quota of their workspace.

A workspace that sends several times its quota may have hundreds of ready
steps. They are not considered by scheduling cycles until the workspace may use
what the first of them needs, so they add nothing to the time of a cycle.
"""

import attrs

from . import specs


@attrs.define
class _Waiting:
    """The steps of one workspace.

    :ivar needed: what the workspace has to be able to use
    :ivar steps: the steps by number
    """

    needed: specs.Resources
    steps: dict = attrs.Factory(dict)


class QuotaWaits:
    """The steps of each workspace that wait for its quota."""

    def __init__(self):
        self._by_workspace = {}

    def __contains__(self, ready_step):
        waiting = self._by_workspace.get(ready_step.occurrence.job.workspace)
        return waiting is not None and ready_step.number in waiting.steps

    @property
    def workspaces(self):
        """Names of the workspaces with such steps."""
        return list(self._by_workspace)

    def add(self, ready_step, needed):
        """Add a step.

        :param needed: what the workspace has to be able to use
        """
        workspace = ready_step.occurrence.job.workspace
        waiting = self._by_workspace.setdefault(workspace, _Waiting(needed))
        waiting.steps[ready_step.number] = ready_step

    def discard(self, ready_step):
        """Remove a step, if it is known."""
        workspace = ready_step.occurrence.job.workspace
        waiting = self._by_workspace.get(workspace)
        if waiting is None:
            return
        waiting.steps.pop(ready_step.number, None)
        if not waiting.steps:
            del self._by_workspace[workspace]

    def needed(self, workspace):
        """Return what a workspace has to be able to use; None without steps.

        :rtype: specs.Resources | None
        """
        waiting = self._by_workspace.get(workspace)
        return waiting.needed if waiting is not None else None

    def pop(self, workspace):
        """Remove and return the steps of a workspace."""
        waiting = self._by_workspace.pop(workspace, None)
        return list(waiting.steps.values()) if waiting is not None else []

    def count(self, workspace):
        """Return how many steps of a workspace wait."""
        waiting = self._by_workspace.get(workspace)
        return len(waiting.steps) if waiting is not None else 0
