"""Poll the platform's host list and report hosts that go down or recover."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import host_health

from . import logs
from . import settings as settings_module

PROBE_TIMEOUT_S = 1.0
MAX_PROBES = 20
REPORT_TIMEOUT_S = 5.0
MAX_LIST_AGE_S = 30.0

_log = logs.get('host-watch')


class HostWatch:
    """Read the platform's list of hosts periodically.

    The list lags behind the state of the hosts.

    :param hosts: client of the platform's host API
    :param router: updated with leaving and lost hosts
    :param follower: holds the folded state
    :param writer: appends reports to the log
    :param settings: the daemon's settings
    :param incarnation: unique id of this daemon process
    :param clock: time source
    """

    name = 'host-watch'

    def __init__(
        self, hosts, router, follower, writer, settings, incarnation, clock
    ):
        self._hosts = hosts
        self._router = router
        self._follower = follower
        self._writer = writer
        self._period_s = settings.host_list_period_s
        self._clock = clock
        self._health = host_health.HostHealth(incarnation)
        self._listed = frozenset()
        self._last_read_s = None

    async def run(self):
        """Read the list periodically until cancelled."""
        while True:
            await self._read_once()
            await asyncio.sleep(self._period_s)

    async def stop(self):
        """Do nothing: reading may stop at any point."""

    def listed(self):
        """Return the listed hosts, or None without a recent list."""
        if self._last_read_s is None:
            return None
        age_s = self._clock.monotonic_s() - self._last_read_s
        return self._listed if age_s <= MAX_LIST_AGE_S else None

    async def _read_once(self):
        try:
            statuses = await self._hosts.list()
        except (errors.PlatformError, errors.InvalidRecord) as error:
            _log.warning('Failed to read the host list: %s', error)
            return
        self._listed = frozenset(statuses)
        self._last_read_s = self._clock.monotonic_s()
        self._router.set_leaving_hosts(
            name for name, status in statuses.items() if status.is_leaving
        )
        self._router.set_lost_hosts(
            name for name, status in statuses.items() if not status.is_live
        )
        await self._report(statuses)

    async def _report(self, statuses):
        state = self._follower.state
        probed_hosts = self._health.hosts_to_probe(state, statuses)[
            :MAX_PROBES
        ]
        answers = await asyncio.gather(
            *(self._probe(state, host) for host in probed_hosts)
        )
        reports = self._health.agreed_reports(
            state, statuses, dict(zip(probed_hosts, answers))
        )
        await asyncio.gather(*(self._append(report) for report in reports))

    async def _probe(self, state, host):
        """Return whether any endpoint of a host accepts connections.

        None for a host without endpoints.
        """
        addresses = [
            state.fleet.endpoints[name].address
            for name in state.index.referrers('hosts', host, 'endpoints')
        ]
        if not addresses:
            return None
        results = await asyncio.gather(*(_can_connect(a) for a in addresses))
        return any(results)

    async def _append(self, report):
        try:
            decision = await self._writer.commit(report, REPORT_TIMEOUT_S)
        except errors.PlatformError as error:
            _log.warning('Failed to report %s: %s', report.host, error)
            return
        _log.info(
            'Reported %s as %s: %s',
            report.host,
            'up' if report.is_up else 'down',
            'accepted.' if decision.is_accepted else decision.reason,
        )


async def _can_connect(address):
    ip, port = settings_module.split_address(address)
    try:
        _, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), PROBE_TIMEOUT_S
        )
    except (OSError, asyncio.TimeoutError):
        return False
    writer.close()
    return True
