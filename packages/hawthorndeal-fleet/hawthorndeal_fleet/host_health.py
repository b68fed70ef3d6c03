"""Judge which hosts to report as down or up again."""

import attrs

from . import records

# Reads of the lagging list that must agree before a host is suspected.
CONFIRMING_READS = 2


@attrs.define
class HostHealth:
    """Follow where the host list disagrees with the folded state.

    :ivar reporter: incarnation of this daemon
    """

    reporter: str
    _disagreements: dict[str, int] = attrs.Factory(dict)

    def suspect(self, state, statuses):
        """Return the hosts to probe after a new read of the list.

        :param statuses: platform status by host
        """
        self._disagreements = {
            host: self._disagreements.get(host, 0) + 1
            for host in state.fleet.hosts
            if _is_live(statuses, host) == (host in state.down_hosts)
            and not _is_expected(state, host)
        }
        return [
            host
            for host, reads in self._disagreements.items()
            if reads >= CONFIRMING_READS
        ]

    def judge(self, state, statuses, answers):
        """Return the reports that list and probes agree on.

        :param answers: whether each probed host answered; None where it has
            nothing to probe
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


def _is_expected(state, host):
    """Tell whether planned work accounts for the host being away."""
    found = state.disruptions.get(host)
    if found is None or host in state.down_hosts:
        return False
    if found.step is not records.Step.STOPPING:
        return False
    return state.log_time_s < found.stepped_s + found.expected_s
