"""Report the daemon's own state as gauges, periodically."""

import asyncio
import pathlib
import resource
import time

_STATM = pathlib.Path('/proc/self/statm')


class Gauges:
    """Send gauges periodically, also while the daemon is idle.

    :param follower: holds the folded state
    :param metrics: metrics client
    :param settings: the daemon's settings
    :param clock: time source
    """

    name = 'gauges'

    def __init__(self, follower, metrics, settings, clock):
        self._follower = follower
        self._metrics = metrics
        self._period_s = settings.metrics_period_s
        self._clock = clock
        self._processor_s = time.process_time()

    async def run(self):
        """Send gauges periodically until cancelled."""
        started_s = self._clock.monotonic_s()
        while True:
            self._send(started_s)
            await asyncio.sleep(self._period_s)

    async def stop(self):
        """Do nothing: sending may stop at any point."""

    def _send(self, started_s):
        state = self._follower.state
        metrics = self._metrics
        metrics.gauge('ready', int(self._follower.is_ready))
        metrics.gauge('revision', state.revision)
        metrics.gauge('next_offset', state.next_offset)
        metrics.gauge('members', len(state.members))
        metrics.gauge('disruptions', len(state.disruptions))
        metrics.gauge('down_hosts', len(state.down_hosts))
        metrics.gauge('invalid_records', state.invalid_records)
        metrics.gauge('log.silent_s', self._log_silent_s(started_s))
        metrics.gauge('process.processor_share', self._processor_share())
        metrics.gauge('process.resident_bytes', _resident_bytes())

    def _log_silent_s(self, started_s):
        last_s = self._follower.last_contact_s
        heard_s = started_s if last_s is None else last_s
        return round(self._clock.monotonic_s() - heard_s, 3)

    def _processor_share(self):
        before_s, self._processor_s = self._processor_s, time.process_time()
        return round((self._processor_s - before_s) / self._period_s, 4)


def _resident_bytes():
    pages = int(_STATM.read_text().split()[1])
    return pages * resource.getpagesize()
