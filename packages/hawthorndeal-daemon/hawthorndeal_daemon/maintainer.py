"""Carry out what the maintenance decisions ask for."""

import asyncio
import functools

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import maintenance
from hawthorndeal_fleet import records

from . import logs

COMMIT_TIMEOUT_S = 5.0

_log = logs.get('maintainer')


class Maintainer:
    """Work on the hosts whose disruptions this daemon holds.

    :param follower: keeps the folded state
    :param writer: appends steps
    :param peers: what other entry hosts acknowledge
    :param hosts: the platform's hosts
    :param settings: the daemon's settings
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    """

    name = 'maintainer'

    def __init__(
        self, follower, writer, peers, hosts, settings, incarnation, clock
    ):
        self._follower = follower
        self._writer = writer
        self._peers = peers
        self._hosts = hosts
        self._period_s = settings.maintenance_period_s
        self._incarnation = incarnation
        self._clock = clock
        self.waits = {}

    async def run(self):
        """Take the next steps on a period until cancelled."""
        while True:
            await self._tick()
            await asyncio.sleep(self._period_s)

    async def stop(self):
        """Do nothing: another daemon carries a step on."""

    async def _tick(self):
        self._peers.note(self._peers.digest())
        acts = maintenance.plan(self._follower.state, await self._observe())
        self.waits = {
            act.host: act.reason
            for act in acts
            if isinstance(act, maintenance.Wait)
        }
        await asyncio.gather(*(self._carry_out(act) for act in acts))

    async def _observe(self):
        held = [
            disruption.host
            for disruption in self._follower.state.disruptions.values()
            if disruption.holder == self._incarnation
        ]
        statuses = await asyncio.gather(*(self._status(h) for h in held))
        return maintenance.Observation(
            me=self._incarnation,
            now_s=self._clock.monotonic_s(),
            peers=self._peers.table,
            hosts={h: s for h, s in zip(held, statuses) if s is not None},
        )

    async def _status(self, host):
        try:
            return await self._hosts.get(host)
        except (errors.PlatformError, errors.InvalidRecord) as error:
            _log.warning('No status of %s: %s', host, error)
            return None

    async def _carry_out(self, act):
        try:
            await self._do(act)
        except errors.PlatformError as error:
            _log.warning('%s: %s', act.host, error)
            self.waits[act.host] = str(error)

    @functools.singledispatchmethod
    async def _do(self, act):
        raise TypeError(f'no way to do {act!r}')

    @_do.register
    async def _wait(self, act: maintenance.Wait):
        _log.debug('%s waits: %s', act.host, act.reason)

    @_do.register
    async def _ask(self, act: maintenance.Ask):
        decision = await self._commit(
            records.DisruptionAsked(
                host=act.host, wave=act.wave, holder=self._incarnation
            )
        )
        if not decision.is_accepted:
            self.waits[act.host] = decision.reason

    @_do.register
    async def _take(self, act: maintenance.Take):
        await self._commit(
            records.DisruptionTaken(
                host=act.host,
                grant_offset=self._grant(act.host),
                holder=self._incarnation,
            )
        )

    @_do.register
    async def _record(self, act: maintenance.Record):
        await self._commit(
            records.DisruptionStepped(
                host=act.host,
                grant_offset=self._grant(act.host),
                step=act.step,
                holder=self._incarnation,
                boot_id=act.boot_id,
            )
        )

    @_do.register
    async def _drain(self, act: maintenance.Drain):
        await self._hosts.drain(act.host)

    @_do.register
    async def _reboot(self, act: maintenance.Reboot):
        await self._hosts.reboot(act.host, act.boot_id)

    @_do.register
    async def _move(self, act: maintenance.Move):
        await self._hosts.move(act.host, act.pool)

    @_do.register
    async def _end(self, act: maintenance.End):
        await self._hosts.restore(act.host)
        await self._commit(
            records.DisruptionEnded(
                host=act.host,
                grant_offset=self._grant(act.host),
                holder=self._incarnation,
            )
        )

    def _grant(self, host):
        return self._follower.state.disruptions[host].grant_offset

    async def _commit(self, body):
        decision = await self._writer.commit(body, COMMIT_TIMEOUT_S)
        _log.info(
            '%s of %s: %s',
            decision.kind,
            body.host,
            'accepted.' if decision.is_accepted else decision.reason,
        )
        return decision
