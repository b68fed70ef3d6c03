"""Choose the endpoint that serves a request."""

import attrs

from . import health
from . import limits

STALL_S = 1.0
STALL_FACTOR = 10.0
DEFAULT_LATENCY_S = 0.001
MIN_PAUSE_S = 0.005
MAX_PAUSE_S = 1.0


@attrs.frozen
class Route:
    """A declared endpoint of a service.

    :ivar is_same_zone: whether it is in the zone of this entry host
    """

    name: str
    host: str
    is_same_zone: bool
    slots: int
    connections: int


@attrs.define
class EndpointLoad:
    """Local statistics of an endpoint, from this entry host's requests to it.

    :ivar waiting_since_s: time of its last answer, or of the first request
        after it was idle
    :ivar paused_until_s: time to try again after a refusal
    """

    limit: limits.ConcurrencyLimit
    health_record: health.EndpointHealth = attrs.Factory(health.EndpointHealth)
    in_flight: int = 0
    waiting_since_s: float = 0.0
    paused_until_s: float = float('-inf')

    def is_stalled(self, now_s):
        """Return whether the endpoint has stopped answering."""
        expected_s = STALL_FACTOR * (self.limit.latency_s or 0.0)
        return self.unanswered_s(now_s) > max(STALL_S, expected_s)

    def unanswered_s(self, now_s):
        """Return the time without an answer to the requests in flight."""
        return now_s - self.waiting_since_s if self.in_flight else 0.0

    def has_capacity(self, now_s):
        """Return whether another request may be sent to the endpoint."""
        if now_s < self.paused_until_s:
            return False
        if self.in_flight < limits.MIN_LIMIT:
            return True
        if self.health_record.is_on_probation or self.is_stalled(now_s):
            return False
        return self.in_flight < int(self.limit.value)

    def pause(self, now_s, rng):
        """Send no requests until a slot may have become free."""
        latency_s = self.limit.latency_s or 0.0
        pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, latency_s))
        self.paused_until_s = now_s + pause_s * (0.5 + rng.random())

    def expected_wait_s(self, now_s):
        """Return an estimate of the latency of another request."""
        latency_s = max(
            self.limit.latency_s or DEFAULT_LATENCY_S, self.unanswered_s(now_s)
        )
        # An endpoint that fails fast must not look like an idle one.
        success_share = max(0.05, 1.0 - self.health_record.failure_share)
        return (
            latency_s * (self.in_flight + 1) / self.limit.value / success_share
        )


@attrs.frozen
class Capacity:
    """Capacity of a service for requests from this entry host.

    :ivar max_in_flight: concurrent requests that endpoint limits allow
    :ivar routes: endpoints that may be tried
    """

    max_in_flight: int
    routes: int


class Router:
    """Choose among the endpoints of a service by expected latency.

    The router reads the folded state. Its own data is local to this entry
    host: requests in flight, outcomes of exchanges, and the host list.

    :param zone: availability zone of this entry host
    """

    def __init__(self, zone):
        self._zone = zone
        self._loads = {}
        self._leaving_hosts = frozenset()
        self._lost_hosts = frozenset()
        self._fleet = None
        self._routes = {}

    def set_leaving_hosts(self, hosts):
        """Replace the set of hosts that the host list shows as leaving."""
        self._leaving_hosts = frozenset(hosts)

    def set_lost_hosts(self, hosts):
        """Replace the set of hosts that the host list shows as not live."""
        self._lost_hosts = frozenset(hosts)

    def choose(self, state, service, rng, now_s, excluded=()):
        """Return the name of an endpoint with free capacity, or None.

        Endpoints in the zone of this entry host are preferred. Of two random
        ones, the one with the lower expected latency is chosen.

        :param state: folded state
        :param rng: random number generator
        :param now_s: monotonic time, in seconds
        :param excluded: names of endpoints not to choose
        """
        routes = [
            route
            for route in self._candidate_routes(state, service, now_s)
            if route.name not in excluded
        ]
        healthy = [r for r in routes if self._looks_healthy(state, r, now_s)]
        free = [r for r in healthy or routes if self._has_capacity(r, now_s)]
        same_zone = [route for route in free if route.is_same_zone]
        return self._pick_of_two(same_zone or free, rng, now_s)

    def _pick_of_two(self, free, rng, now_s):
        if len(free) < 2:
            return free[0].name if free else None
        first = int(rng.random() * len(free))
        second = int(rng.random() * (len(free) - 1))
        one = free[first].name
        other = free[second + (second >= first)].name
        if self._wait_s(other, now_s) < self._wait_s(one, now_s):
            return other
        return one

    def _candidate_routes(self, state, service, now_s):
        return [
            route
            for route in self._routes_of(state, service)
            if not self._is_leaving(state, route, now_s)
        ]

    def _is_leaving(self, state, route, now_s):
        if route.host in state.disruptions:
            return True
        if route.host in self._leaving_hosts:
            return True
        load = self._loads.get(route.name)
        return load is not None and load.health_record.is_leaving(now_s)

    def _looks_healthy(self, state, route, now_s):
        if route.host in state.down_hosts or route.host in self._lost_hosts:
            return False
        load = self._loads.get(route.name)
        return load is None or not load.health_record.is_quarantined(now_s)

    def _has_capacity(self, route, now_s):
        load = self._loads.get(route.name)
        return load is None or load.has_capacity(now_s)

    def _wait_s(self, name, now_s):
        load = self._loads.get(name)
        return load.expected_wait_s(now_s) if load else 0.0

    def _routes_of(self, state, service):
        if state.fleet is not self._fleet:
            self._prune_removed(state.fleet)
        routes = self._routes.get(service)
        if routes is None:
            routes = self._routes[service] = self._make_routes(state, service)
        return routes

    def _prune_removed(self, fleet):
        self._fleet = fleet
        self._routes = {}
        self._loads = {
            name: load
            for name, load in self._loads.items()
            if name in fleet.endpoints or load.in_flight
        }

    def _make_routes(self, state, service):
        declared = state.fleet.services.get(service)
        return [
            self._make_route(state.fleet, name, declared)
            for name in state.endpoints_of(service)
        ]

    def _make_route(self, fleet, name, service):
        host = fleet.endpoints[name].host
        return Route(
            name=name,
            host=host,
            is_same_zone=fleet.hosts[host].zone == self._zone,
            slots=service.slots,
            connections=service.connections,
        )

    def has_route(self, state, service, now_s, excluded=()):
        """Return whether any endpoint may be tried, even if it is busy."""
        return any(
            route.name not in excluded
            for route in self._candidate_routes(state, service, now_s)
        )

    def capacity(self, state, service, now_s):
        """Return the capacity of a service for requests from here.

        :rtype: Capacity
        """
        known = self._candidate_routes(state, service, now_s)
        healthy = [r for r in known if self._looks_healthy(state, r, now_s)]
        max_in_flight = sum(
            self._limit_of(route) for route in healthy or known
        )
        return Capacity(max_in_flight=max(1, max_in_flight), routes=len(known))

    def _limit_of(self, route):
        load = self._loads.get(route.name)
        return int(load.limit.value) if load else 1

    def in_flight(self, name):
        """Return the number of requests in flight to an endpoint."""
        load = self._loads.get(name)
        return load.in_flight if load else 0

    def start(self, state, name, now_s):
        """Record a request that is about to be sent."""
        load = self._loads.get(name)
        ceiling = _ceiling(state, name)
        if load is None:
            load = EndpointLoad(limits.ConcurrencyLimit(ceiling))
            self._loads[name] = load
        if load.limit.ceiling != ceiling:
            load.limit.set_ceiling(ceiling)
        if not load.in_flight:
            load.waiting_since_s = now_s
        load.in_flight += 1

    def finish(self, name, outcome, now_s, rng, took_s=None):
        """Record the end of an exchange and update limit and health.

        :param outcome: a :class:`health.Outcome`
        :param took_s: latency, if it is an indicator of load
        """
        load = self._loads[name]
        if outcome is health.Outcome.ANSWERED and took_s is not None:
            load.limit.note_answered(load.in_flight, took_s, now_s)
        if outcome is health.Outcome.REFUSED:
            load.limit.note_refused(now_s)
            load.pause(now_s, rng)
        was_on_probation = load.health_record.is_on_probation
        load.health_record.note(outcome, now_s, rng)
        if load.health_record.is_on_probation and not was_on_probation:
            load.limit.reset()
        load.in_flight -= 1
        if outcome is not health.Outcome.CANCELLED:
            load.waiting_since_s = now_s

    def busy_hosts(self, state):
        """Return the number of requests in flight by host, where not zero."""
        busy = {}
        for name, load in self._loads.items():
            endpoint = state.fleet.endpoints.get(name)
            if endpoint is not None and load.in_flight:
                count = busy.get(endpoint.host, 0)
                busy[endpoint.host] = count + load.in_flight
        return busy


def _ceiling(state, name):
    # All entry hosts share the connections of an endpoint, and each request
    # occupies one.
    endpoint = state.fleet.endpoints.get(name)
    if endpoint is None:
        return 1
    service = state.fleet.services[endpoint.service]
    share = service.connections // max(1, len(state.members))
    return max(1, min(service.slots, share))
