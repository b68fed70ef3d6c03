"""Limit what the tasks of each workspace use at once, over all executors.

A run counts from when it is planned until it has certainly ended: also while
its start is unanswered, while it is being stopped, and on an executor that
can't be reached, until its lease has expired.
"""

import collections
import typing

import attrs

from . import specs

_NOTHING = specs.Resources()


class Allotments(typing.Protocol):
    """How much of each workspace's quota this partition may use."""

    def limit(self, workspace):
        """Return the limit of a workspace, or None if it has none.

        :rtype: specs.Resources | None
        """


@attrs.frozen
class WholeQuotas:
    """Allotments where one partition holds all jobs.

    :ivar workspaces: the declared workspaces by name
    """

    workspaces: dict

    def limit(self, workspace):
        """Return the limit of a workspace, or None if it has none."""
        declared = self.workspaces.get(workspace)
        return declared.quota if declared is not None else None


class QuotaLedger:
    """Counts what the runs of each workspace use.

    :ivar allotments: the limits in force
    """

    def __init__(self):
        self.allotments = WholeQuotas({})
        self._used = collections.defaultdict(specs.Resources)
        self._runs = collections.Counter()
        self._lasting_runs = collections.Counter()
        self._lasting_used = collections.defaultdict(specs.Resources)
        # Workspaces of which a run has ended since they were asked for, and
        # those of which a long-running task's has.
        self._freed = set()
        self._freed_by_lasting = set()

    def add(self, workspace, step):
        """Count a run of a declared step."""
        if workspace:
            self._used[workspace] += step.request
            self._runs[workspace] += 1
            if step.is_lasting:
                self._lasting_runs[workspace] += 1
                self._lasting_used[workspace] += step.request

    def remove(self, workspace, step):
        """Stop counting a run that has ended."""
        if not workspace:
            return
        self._used[workspace] -= step.request
        self._runs[workspace] -= 1
        self._freed.add(workspace)
        if step.is_lasting:
            self._lasting_runs[workspace] -= 1
            self._lasting_used[workspace] -= step.request
            self._freed_by_lasting.add(workspace)

    def used(self, workspace):
        """Return what the runs of a workspace use."""
        return self._used.get(workspace, _NOTHING)

    def admits(self, workspace, request, count=1):
        """Return whether a workspace may start more tasks.

        What needs more than the quota may always run alone: its job was
        accepted under a larger quota, and would wait for ever otherwise.

        :param request: what each of the tasks uses
        :param count: number of tasks that start together
        """
        limit = self.allotments.limit(workspace)
        if limit is None or not self._runs[workspace]:
            return True
        wanted = self.used(workspace) + request.times(count)
        return is_within(wanted, limit)

    def may_admit_later(self, workspace, request, count=1):
        """Return whether tasks will be admitted once other runs have ended.

        Long-running tasks don't end by themselves. What needs more than they
        leave of the quota is admitted only once nothing else runs.
        """
        limit = self.allotments.limit(workspace)
        if limit is None or not self._lasting_runs[workspace]:
            return True
        wanted = self._lasting_used[workspace] + request.times(count)
        return is_within(wanted, limit)

    def pop_freed(self):
        """Return the workspaces of which a run has ended since the last call.

        :rtype: set[str]
        """
        freed, self._freed = self._freed, set()
        return freed

    def pop_freed_by_lasting(self):
        """Return those of them in which a long-running task has ended.

        :rtype: set[str]
        """
        freed, self._freed_by_lasting = self._freed_by_lasting, set()
        return freed


def is_within(used, limit):
    """Return whether an amount keeps to a limit; 0 is no limit."""
    return all(
        not most or amount <= most
        for amount, most in zip(attrs.astuple(used), attrs.astuple(limit))
    )


def never_fits(limit, spec):
    """Return what of a job can never run under a limit, or an empty string.

    :param limit: the quota of the job's workspace
    :param spec: the declared job
    """
    for index, step in enumerate(spec.steps):
        count = step.count if step.is_gang else 1
        needed = step.request.times(count)
        if not is_within(needed, limit):
            kind = 'gang' if step.is_gang else 'task'
            return f'a {kind} of step {index} needs {_describe(needed)}'
    return ''


def _describe(resources):
    return (
        f'{resources.cpu_millicores} millicores, {resources.memory_mb} MB'
        f' and {resources.gpus} GPUs'
    )
