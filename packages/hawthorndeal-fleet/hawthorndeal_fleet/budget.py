"""Compute whether budgets allow a host to be taken away."""

import collections

from . import model


def refuse_disruption(state, host):
    """Return why the budgets don't allow to take a host away, or None.

    Hosts that are down and hosts being worked on count as missing, and the
    failure that a workspace asked to survive must still fit in.
    """
    missing_hosts = {host, *state.disruptions, *state.down_hosts}
    services = sorted(
        {
            endpoint.service
            for endpoint in state.fleet.endpoints.values()
            if endpoint.host == host
        }
    )
    refusals = (
        _refuse_service(state.fleet, service, missing_hosts)
        for service in services
    )
    return next((refusal for refusal in refusals if refusal), None)


def budget_of(fleet, service):
    """Return the budget bought for a service, or None."""
    workspace = fleet.services[service].workspace
    return fleet.workspaces[workspace].budgets.get(service)


def _refuse_service(fleet, service, missing_hosts):
    budget = budget_of(fleet, service)
    if budget is None:
        return None
    hosts = [
        endpoint.host
        for endpoint in fleet.endpoints.values()
        if endpoint.service == service
    ]
    missing = sum(1 for host in hosts if host in missing_hosts)
    reserve = _reserve(fleet, hosts, missing_hosts, budget.survive)
    if missing + reserve <= budget.max_unavailable:
        return None
    return (
        f'service {service!r} would miss {missing} executors with {reserve} '
        f'in reserve, its budget is {budget.max_unavailable}'
    )


def _reserve(fleet, hosts, missing_hosts, survive):
    if survive is model.Survive.NONE:
        return 0
    available = [host for host in hosts if host not in missing_hosts]
    if survive is model.Survive.RACK:
        domains = [fleet.hosts[host].rack for host in available]
    else:
        domains = available
    return max(collections.Counter(domains).values(), default=0)
