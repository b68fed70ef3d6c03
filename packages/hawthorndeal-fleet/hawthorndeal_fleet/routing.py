"""Choose the endpoint that serves a request."""

import attrs


@attrs.define
class Load:
    """Count what this entry host has running at an endpoint."""

    in_flight: int = 0


class Router:
    """Choose among the endpoints of a service by their load.

    It reads the folded state and keeps only what this entry host knows
    itself: what it has in flight, and what the host list says is leaving.

    :param zone: the availability zone of this entry host
    """

    def __init__(self, zone):
        self._zone = zone
        self._loads = {}
        self._leaving_hosts = frozenset()

    def note_leaving(self, hosts):
        """Replace the hosts that the host list says are leaving."""
        self._leaving_hosts = frozenset(hosts)

    def choose(self, state, service, rng, excluded=()):
        """Return the name of an endpoint with a free slot, or None.

        :param state: the folded state
        :param rng: source of randomness
        :param excluded: endpoints tried already
        """
        usable = [
            name
            for name in state.endpoints_of(service)
            if name not in excluded and self._is_usable(state, name)
        ]
        near = [name for name in usable if self._is_near(state, name)]
        free = self._free(state, near) or self._free(state, usable)
        if not free:
            return None
        pair = [rng.choice(free), rng.choice(free)]
        return min(pair, key=self.in_flight)

    def _is_usable(self, state, name):
        host = state.fleet.endpoints[name].host
        return (
            host not in state.disruptions
            and host not in state.down_hosts
            and host not in self._leaving_hosts
        )

    def _is_near(self, state, name):
        host = state.fleet.endpoints[name].host
        return state.fleet.hosts[host].zone == self._zone

    def _free(self, state, names):
        return [
            name
            for name in names
            if self.in_flight(name) < self._slots(state, name)
        ]

    def _slots(self, state, name):
        service = state.fleet.endpoints[name].service
        return state.fleet.services[service].slots

    def in_flight(self, name):
        """Return how many requests run at an endpoint from here."""
        load = self._loads.get(name)
        return load.in_flight if load else 0

    def start(self, name):
        """Count a request that is about to be sent."""
        self._loads.setdefault(name, Load()).in_flight += 1

    def finish(self, name):
        """Count a request whose connection is done with."""
        self._loads[name].in_flight -= 1
        if not self._loads[name].in_flight:
            del self._loads[name]

    def busy_hosts(self, state):
        """Return requests in flight by host, for hosts that have any."""
        busy = {}
        for name, load in self._loads.items():
            endpoint = state.fleet.endpoints.get(name)
            if endpoint is not None:
                count = busy.get(endpoint.host, 0)
                busy[endpoint.host] = count + load.in_flight
        return busy
