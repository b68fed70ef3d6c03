"""Keep account of the time that executors are missing."""

from . import budget
from . import state as state_module

MIN_KEPT_S = 24 * 3600.0
# The share of the newest observation in the average of planned work.
NEWEST_SHARE = 0.25


def report_host(body, state, offset):
    """Note that a host failed or works again.

    Only a member may tell, since others have no evidence of their own.
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
    """Charge a host from now on; once, also where two reasons meet."""
    state.away_since_s.setdefault(host, state.log_time_s)


def finish(state, host):
    """Stop charging a host that is neither down nor worked on."""
    if host in state.disruptions or host in state.down_hosts:
        return
    start_s = state.away_since_s.pop(host, None)
    if start_s is None:
        return
    for service, executors in budget.executors_on(state, host).items():
        _keep(state, service, start_s, executors)


def _keep(state, service, start_s, executors):
    bought = budget.budget_of(state.fleet, service)
    if bought is None:
        return
    horizon_s = state.log_time_s - max(bought.window_s, MIN_KEPT_S)
    outage = state_module.Outage(start_s, state.log_time_s, executors)
    known = state.outages.get(service, [])
    state.outages[service] = [
        kept for kept in (*known, outage) if kept.end_s > horizon_s
    ]


def observe_planned(state, found):
    """Take the time that planned work took into its average."""
    took_s = state.log_time_s - found.granted_s
    name = found.action.value
    known_s = state.away_s.get(name, took_s)
    state.away_s[name] = known_s + NEWEST_SHARE * (took_s - known_s)


def expected_s(state, wave):
    """Return how long the next host of a wave is expected to be away."""
    return state.away_s.get(wave.action.value, wave.expected_s)


def forget_undeclared(state):
    """Drop what was kept of hosts and services that are gone."""
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
