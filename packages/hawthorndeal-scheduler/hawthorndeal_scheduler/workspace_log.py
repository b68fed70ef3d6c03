"""Logs which workspaces wait for their quota, and counts them."""

import attrs

# A workspace at its quota may wait and go on many times a second.
LOG_PERIOD_S = 1.0


class WorkspaceLog:
    """Logs the workspaces whose steps wait for their quota.

    :param events: the decision log
    :param metrics: holds the gauge of such workspaces
    """

    def __init__(self, events, metrics):
        self._events = events
        self._metrics = metrics
        self._logged_s = {}

    def update(self, scheduler, now_s):
        """Process the state after a scheduling cycle."""
        waits = scheduler.steps.quota_waits
        self._metrics.set_gauge('workspaces_limited', len(waits.workspaces))
        for workspace in waits.workspaces:
            logged_s = self._logged_s.get(workspace)
            if logged_s is not None and now_s - logged_s < LOG_PERIOD_S:
                continue
            self._logged_s[workspace] = now_s
            self._events.write(
                'workspace_limited',
                workspace=workspace,
                waiting_steps=waits.count(workspace),
                used=attrs.asdict(scheduler.quotas.used(workspace)),
                limit=attrs.asdict(
                    scheduler.quotas.allotments.limit(workspace)
                ),
            )
