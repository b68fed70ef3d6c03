"""Asks a log that answers nothing whether it is back."""

import asyncio
import itertools

from hawthorndeal_fleet import errors

PROBE_PERIOD_S = 0.2


class LogProbe:
    """Task that sends small reads while no call to the log is answered.

    Other reads wait for their answers longer after each silence, since the log
    may only be slow.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partitions: partitions whose ends are read in turn
    """

    name = 'log probe'

    def __init__(self, log, partitions):
        self._log = log
        self._partitions = itertools.cycle(partitions)
        self._probes = set()

    async def run(self):
        """Send probes until cancelled."""
        try:
            while True:
                await asyncio.sleep(PROBE_PERIOD_S)
                if self._log.reachability.is_silent:
                    self._begin_probe()
        finally:
            for probe in self._probes:
                probe.cancel()

    def _begin_probe(self):
        probe = asyncio.create_task(self._probe())
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self):
        try:
            await self._log.end(next(self._partitions), 0)
        except errors.PlatformError:
            # The next probe is sent anyway.
            return

    async def stop(self):
        """Do nothing; a probe may be cancelled at any point."""
