"""Metrics client that sends statsd datagrams."""

import statsd

PREFIX = 'hawthorndeal'


class Metrics:
    """Send counters, gauges and timings; lost datagrams are tolerated.

    :param settings: host and port of the statsd server
    :param daemon: name of this entry host, part of every metric's name
    """

    def __init__(self, settings, daemon):
        self._client = statsd.StatsClient(
            settings.host,
            settings.port,
            prefix=f'{PREFIX}.{daemon.replace(".", "_")}',
        )

    def count(self, name, value=1):
        """Add to a counter."""
        self._client.incr(name, value)

    def gauge(self, name, value):
        """Set a gauge."""
        self._client.gauge(name, value)

    def time_s(self, name, took_s):
        """Record a duration given in seconds."""
        self._client.timing(name, took_s * 1000.0)

    def close(self):
        """Close the socket."""
        self._client.close()
