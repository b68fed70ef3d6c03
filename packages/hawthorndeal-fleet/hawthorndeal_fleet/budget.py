"""Compute whether availability budgets allow a host to be unavailable."""

import collections

from . import model
from . import records

_STEPS_FROM_STOPPING = (records.Step.STOPPING, records.Step.HEALTHY)


def executors_on(state, host):
    """Return the number of executors on a host, by service."""
    counts = {}
    for name in state.endpoints_on(host):
        service = state.fleet.endpoints[name].service
        counts[service] = counts.get(service, 0) + 1
    return counts


def hosts_of(state, service):
    """Return the host of every executor of a service."""
    endpoints = state.fleet.endpoints
    return [endpoints[name].host for name in state.endpoints_of(service)]


def budget_of(fleet, service):
    """Return the availability budget of a service, or None."""
    workspace = fleet.services[service].workspace
    return fleet.workspaces[workspace].budgets.get(service)


def spent_s(state, service):
    """Return the executor seconds of downtime in the window up to now."""
    service_budget = budget_of(state.fleet, service)
    start_s = state.log_time_s - service_budget.window_s
    ended_s = sum(
        outage.executors
        * max(0.0, outage.end_s - max(outage.start_s, start_s))
        for outage in state.outages.get(service, ())
    )
    ongoing_s = sum(
        state.log_time_s - max(state.away_since_s[host], start_s)
        for host in hosts_of(state, service)
        if host in state.away_since_s
    )
    return ended_s + ongoing_s


def committed_s(state, service):
    """Return the downtime still expected from disruptions under way.

    It is measured in executor seconds.
    """
    return sum(
        _remaining_s(state, state.disruptions[host])
        for host in hosts_of(state, service)
        if host in state.disruptions
    )


def _remaining_s(state, found):
    elapsed_s = state.log_time_s - found.granted_s
    return max(0.0, found.expected_s - elapsed_s)


class _ServiceHeadroom:
    """Track how many more executors of a service may become unavailable.

    :param state: the folded state
    :param service: a service with a budget
    :param missing_hosts: hosts that count as unavailable
    """

    def __init__(self, state, service, missing_hosts):
        self._state = state
        self._service = service
        self._budget = budget_of(state.fleet, service)
        hosts = hosts_of(state, service)
        self._missing = sum(1 for host in hosts if host in missing_hosts)
        self._available = collections.Counter(
            self._domain(host) for host in hosts if host not in missing_hosts
        )
        self._left_s = self._window_left_s()

    def _domain(self, host):
        if self._budget.survive is model.Survive.RACK:
            return self._state.fleet.hosts[host].rack
        return host

    def _window_left_s(self):
        if not self._budget.window_s:
            return float('inf')
        return (
            self._budget.downtime_s
            - spent_s(self._state, self._service)
            - committed_s(self._state, self._service)
        )

    def _failure_reserve(self, host, executors):
        if self._budget.survive is model.Survive.NONE:
            return 0
        own_domain = self._domain(host)
        return max(
            (
                count - executors if domain == own_domain else count
                for domain, count in self._available.items()
            ),
            default=0,
        )

    def refuse(self, host, executors, expected_s):
        """Return why the service can't lose a host's executors, or None."""
        missing = self._missing + executors
        reserve = self._failure_reserve(host, executors)
        if missing + reserve > self._budget.max_unavailable:
            return (
                f'service {self._service!r} would miss {missing} executors '
                f'with {reserve} in reserve, its budget is '
                f'{self._budget.max_unavailable}'
            )
        if executors * expected_s > self._left_s:
            return (
                f'service {self._service!r} has {max(self._left_s, 0.0):.0f} '
                f's of downtime left in its window, {host!r} would need '
                f'{executors * expected_s:.0f} s'
            )
        return None

    def take(self, host, executors, expected_s):
        """Count a host's executors as unavailable from now on."""
        self._missing += executors
        self._available[self._domain(host)] -= executors
        self._left_s -= executors * expected_s


class Allowance:
    """Check hosts against the budgets, each one in addition to those before.

    Hosts that are down or under disruption count as unavailable, and capacity
    is reserved for the failure that the workspace's budget has to survive.

    :param state: the folded state
    :param missing_hosts: hosts that count as unavailable instead of these
    """

    def __init__(self, state, missing_hosts=None):
        self._state = state
        self._missing_hosts = missing_hosts
        if missing_hosts is None:
            self._missing_hosts = {*state.disruptions, *state.down_hosts}
        self._headrooms = {}

    def _headroom(self, service):
        if service not in self._headrooms:
            is_budgeted = budget_of(self._state.fleet, service) is not None
            self._headrooms[service] = (
                _ServiceHeadroom(self._state, service, self._missing_hosts)
                if is_budgeted
                else None
            )
        return self._headrooms[service]

    def _budgeted(self, host):
        headrooms = (
            (self._headroom(service), executors)
            for service, executors in executors_on(self._state, host).items()
        )
        return [pair for pair in headrooms if pair[0] is not None]

    def refuse(self, host, expected_s=0.0):
        """Return why a host can't become unavailable, or None.

        :param expected_s: how long it is expected to be unavailable
        """
        if host in self._missing_hosts:
            return f'host {host!r} is already unavailable'
        refusals = (
            room.refuse(host, executors, expected_s)
            for room, executors in self._budgeted(host)
        )
        return next((refusal for refusal in refusals if refusal), None)

    def take(self, host, expected_s=0.0):
        """Count a host as unavailable if allowed; return why not, or None."""
        refusal = self.refuse(host, expected_s)
        if refusal is None:
            for room, executors in self._budgeted(host):
                room.take(host, executors, expected_s)
        return refusal


def refuse_disruption(state, host, expected_s=0.0):
    """Return why the budgets don't allow a disruption of a host, or None."""
    if host in state.down_hosts:
        return f'host {host!r} is reported down'
    return Allowance(state).refuse(host, expected_s)


def refuse_stop(state, host):
    """Return why a granted host may no longer be stopped, or None.

    Failures since the grant may have used up the budget. Older grants take
    precedence over newer ones.
    """
    own_offset = state.disruptions[host].grant_offset
    missing = {
        found.host
        for found in state.disruptions.values()
        if found.grant_offset < own_offset
        or found.step in _STEPS_FROM_STOPPING
    }
    return Allowance(state, (missing | state.down_hosts) - {host}).refuse(host)


def disruptable_executors(state, service):
    """Return how many executors may be disrupted at once.

    This is the budget less the reserve for the failure to survive.
    """
    service_budget = budget_of(state.fleet, service)
    hosts = hosts_of(state, service)
    if service_budget.survive is model.Survive.NONE:
        return service_budget.max_unavailable
    domains = collections.Counter(
        state.fleet.hosts[host].rack
        if service_budget.survive is model.Survive.RACK
        else host
        for host in hosts
    )
    return service_budget.max_unavailable - max(domains.values(), default=0)
