"""Keep the router told of the hosts that are leaving."""

import asyncio

from hawthorndeal_fleet import errors

from . import logs

_log = logs.get('host-watch')


class HostWatch:
    """Read the platform's lagging list of hosts on a period.

    :param hosts: the platform's hosts
    :param router: told of leaving hosts
    :param settings: the daemon's settings
    """

    name = 'host-watch'

    def __init__(self, hosts, router, settings):
        self._hosts = hosts
        self._router = router
        self._period_s = settings.host_list_period_s

    async def run(self):
        """Read the list until cancelled."""
        while True:
            await self._read_once()
            await asyncio.sleep(self._period_s)

    async def stop(self):
        """Do nothing: reading may stop at any point."""

    async def _read_once(self):
        try:
            statuses = await self._hosts.list()
        except (errors.PlatformError, errors.InvalidRecord) as error:
            _log.warning('The host list can not be read: %s', error)
            return
        self._router.note_leaving(
            name
            for name, status in statuses.items()
            if status.is_leaving or not status.is_live
        )
