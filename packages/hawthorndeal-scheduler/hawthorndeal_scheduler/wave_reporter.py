"""Reports the progress of maintenance waves to operators."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_platform import keyed_log

RETRY_S = 0.3


class WaveReporter:
    """Sends reports beside the work on hosts, until they are taken.

    The reports of a wave are sent in order. While they are not taken, waves
    and moves go on.

    :param reports: takes the reports; see :class:`parts.Adapter`
    :param spawn: runs a coroutine until the ownership term ends
    :param events: the decision log
    """

    def __init__(self, reports, spawn, events):
        self._reports = reports
        self._spawn = spawn
        self._events = events
        self._tasks = {}

    def report(self, number, is_completed):
        """Report a wave as running or completed; return whether it is done."""
        key = number, is_completed
        if key not in self._tasks:
            before = self._tasks.get((number, False))
            self._tasks[key] = self._spawn(self._send(*key, before))
        return self._tasks[key].done()

    async def _send(self, number, is_completed, before):
        if before is not None:
            await before
        while True:
            try:
                await self._reports.report_wave(number, is_completed)
                return
            except errors.PlatformError as error:
                self._events.write(
                    'wave_not_reported', wave=number, why=str(error)[:160]
                )
                if isinstance(error, keyed_log.RecordsRefused):
                    return
            await asyncio.sleep(RETRY_S)
