"""Account for the time during which executors are unavailable."""

from . import budget
from . import state as state_module

MIN_RETENTION_S = 24 * 3600.0
# Weight of the newest observation in the moving average of planned outages.
NEWEST_WEIGHT = 0.25


def report_host(body, state, offset):
    """Record that a host failed or recovered.

    Only members may report it, since others have no evidence of their own.
    """
    if body.host not in state.fleet.hosts:
        return f'host {body.host!r} is not declared'
    if body.reporter not in state.members:
        return f'{body.reporter!r} is not a member'
    if body.is_up:
        state.down_hosts.discard(body.host)
        finish(state, body.host)
    else:
        state.down_hosts.add(body.host)
        begin(state, body.host)
    return None


def begin(state, host):
    """Start the outage of a host, unless one has already started.

    Downtime is charged only once if a host is both down and disrupted.
    """
    state.away_since_s.setdefault(host, state.log_time_s)


def finish(state, host):
    """End the outage of a host that is neither down nor under disruption."""
    if host in state.disruptions or host in state.down_hosts:
        return
    start_s = state.away_since_s.pop(host, None)
    if start_s is None:
        return
    for service, executors in budget.executors_on(state, host).items():
        _keep_outage(state, service, start_s, executors)


def _keep_outage(state, service, start_s, executors):
    service_budget = budget.budget_of(state.fleet, service)
    if service_budget is None:
        return
    cutoff_s = state.log_time_s - max(service_budget.window_s, MIN_RETENTION_S)
    outage = state_module.Outage(start_s, state.log_time_s, executors)
    known = state.outages.get(service, [])
    state.outages[service] = [
        kept for kept in (*known, outage) if kept.end_s > cutoff_s
    ]


def update_average_duration(state, found):
    """Update the moving average of how long planned work takes."""
    took_s = state.log_time_s - found.granted_s
    name = found.action.value
    known_s = state.away_s.get(name, took_s)
    state.away_s[name] = known_s + NEWEST_WEIGHT * (took_s - known_s)


def expected_s(state, wave):
    """Return how long a wave's next host is expected to be unavailable."""
    return state.away_s.get(wave.action.value, wave.expected_s)


def forget_undeclared(state):
    """Remove data of hosts and services that are no longer declared."""
    hosts = state.fleet.hosts
    state.down_hosts = {h for h in state.down_hosts if h in hosts}
    state.away_since_s = {
        host: start_s
        for host, start_s in state.away_since_s.items()
        if host in hosts
    }
    state.outages = {
        service: outages
        for service, outages in state.outages.items()
        if service in state.fleet.services
    }
