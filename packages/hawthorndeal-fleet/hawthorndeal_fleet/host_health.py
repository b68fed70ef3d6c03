"""Decide which hosts to report as down or up."""

import attrs

from . import records

# Consecutive reads of the host list, which lags behind, that must disagree
# with the state before a host is suspected.
CONFIRMING_READS = 2


@attrs.define
class HostHealth:
    """Track where the platform's host list disagrees with the folded state.

    :ivar reporter: incarnation of this daemon
    """

    reporter: str
    _disagreements: dict[str, int] = attrs.Factory(dict)

    def hosts_to_probe(self, state, statuses):
        """Return the hosts to probe after a new read of the host list.

        :param statuses: platform status by host
        """
        self._disagreements = {
            host: self._disagreements.get(host, 0) + 1
            for host in state.fleet.hosts
            if _is_live(statuses, host) == (host in state.down_hosts)
            and not _is_planned_downtime(state, host)
        }
        return [
            host
            for host, reads in self._disagreements.items()
            if reads >= CONFIRMING_READS
        ]

    def agreed_reports(self, state, statuses, answers):
        """Return the reports on which the host list and the probes agree.

        :param answers: whether each probed host answered; None if it has no
            endpoint to probe
        """
        return [
            records.HostReported(
                host=host,
                is_up=_is_live(statuses, host),
                reporter=self.reporter,
            )
            for host, has_answered in answers.items()
            if has_answered in (None, _is_live(statuses, host))
            and _is_live(statuses, host) == (host in state.down_hosts)
        ]


def _is_live(statuses, host):
    status = statuses.get(host)
    return status is not None and status.is_live


def _is_planned_downtime(state, host):
    """Return whether a disruption explains that the host is unavailable."""
    found = state.disruptions.get(host)
    if found is None or host in state.down_hosts:
        return False
    if found.step is not records.Step.STOPPING:
        return False
    return state.log_time_s < found.stepped_s + found.expected_s
