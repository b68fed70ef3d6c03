"""Carry out what the maintenance decisions ask for."""

import asyncio
import functools

from hawthorndeal_fleet import acknowledgements
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import maintenance
from hawthorndeal_fleet import permission
from hawthorndeal_fleet import records
from hawthorndeal_fleet import waves

from . import logs

COMMIT_TIMEOUT_S = 5.0
MAX_LOG_SILENCE_S = 5.0
# A plan over all waiting hosts may use this share of a core.
MAX_PLAN_SHARE = 0.01

_log = logs.get('maintainer')


class Maintainer:
    """Work on the hosts whose disruptions this daemon holds.

    :param follower: keeps the folded state
    :param writer: appends steps
    :param peers: what other entry hosts acknowledge
    :param hosts: the platform's hosts
    :param watch: keeps the platform's list of hosts
    :param settings: the daemon's settings
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    :param policy: chooses the hosts of a wave
    """

    name = 'maintainer'

    def __init__(
        self,
        follower,
        writer,
        peers,
        hosts,
        watch,
        settings,
        incarnation,
        clock,
        policy=waves.DEFAULT_POLICY,
    ):
        self._follower = follower
        self._writer = writer
        self._peers = peers
        self._hosts = hosts
        self._watch = watch
        self._period_s = settings.maintenance_period_s
        self._incarnation = incarnation
        self._clock = clock
        self._policy = policy
        self._permission = permission.Permission()
        self._started_s = clock.monotonic_s()
        self._outage_ended_s = self._started_s
        self._was_connected = False
        self._next_asks_s = self._started_s
        self._ticking = asyncio.Lock()
        self._is_stopping = False
        self.waits = {}

    async def run(self):
        """Take the next steps on a period until cancelled."""
        while not self._is_stopping:
            await self.tick()
            await asyncio.sleep(self._period_s)

    async def stop(self):
        """Begin no more steps; another daemon carries them on.

        The record that tells of the daemon's leaving hands its work over at
        once, so no call may still be under way then.
        """
        self._is_stopping = True
        async with self._ticking:
            pass

    async def tick(self):
        """Take the next steps once."""
        async with self._ticking:
            if not self._is_stopping:
                await self._take_steps()

    async def _take_steps(self):
        self._peers.note(self._peers.digest())
        await self._renew()
        state = self._follower.state
        observation = self._observation(await self._statuses(state))
        actions = maintenance.plan_steps(state, observation)
        actions += self._plan_asks(state, observation)
        self.waits = {
            act.host: act.reason
            for act in actions
            if isinstance(act, maintenance.Wait)
        }
        await asyncio.gather(*(self._carry_out(act) for act in actions))

    def _plan_asks(self, state, observation):
        started_s = self._clock.monotonic_s()
        if started_s < self._next_asks_s:
            return []
        asks = maintenance.plan_requests(state, observation)
        now_s = self._clock.monotonic_s()
        self._next_asks_s = now_s + (now_s - started_s) / MAX_PLAN_SHARE
        return asks

    def explain(self):
        """Return why hosts wait or how far they are, by host."""
        reasons = maintenance.explain(
            self._follower.state, self._observation({})
        )
        return {**reasons, **self.waits}

    async def _renew(self):
        needs_renewal = self._permission.needs_renewal(
            self._clock.monotonic_s()
        )
        if not needs_renewal or not self._held():
            return
        try:
            await self._commit(
                records.PermissionRenewed(holder=self._incarnation)
            )
        except errors.PlatformError as error:
            _log.warning('Permission not renewed: %s', error)

    def _held(self):
        return [
            found.host
            for found in self._follower.state.disruptions.values()
            if found.holder == self._incarnation
        ]

    async def _statuses(self, state):
        held = [
            host
            for host in self._held()
            if state.disruptions[host].step is not records.Step.GRANTED
        ]
        statuses = await asyncio.gather(*(self._status(h) for h in held))
        return {h: s for h, s in zip(held, statuses) if s is not None}

    def _observation(self, statuses):
        state = self._follower.state
        now_s = max(state.log_time_s, self._clock.now_s())
        is_connected = self._note_contact()
        return maintenance.Observation(
            own_incarnation=self._incarnation,
            view=self._view(),
            hosts=statuses,
            work=waves.PlacedWork(state, now_s),
            now_s=now_s,
            is_permitted=self._permission.is_valid(self._clock.monotonic_s()),
            is_connected=is_connected,
            policy=self._policy,
        )

    def _view(self):
        return acknowledgements.PeerView(
            peers=self._peers.table,
            now_s=self._clock.monotonic_s(),
            started_s=self._started_s,
            outage_ended_s=self._outage_ended_s,
            listed=self._watch.listed(),
        )

    def _note_contact(self):
        contact_s = self._follower.last_contact_s
        now_s = self._clock.monotonic_s()
        is_connected = (
            contact_s is not None and now_s - contact_s <= MAX_LOG_SILENCE_S
        )
        if is_connected and not self._was_connected:
            self._outage_ended_s = now_s
        self._was_connected = is_connected
        return is_connected

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
    async def _ask(self, act: maintenance.RequestDisruption):
        decision = await self._commit(
            records.DisruptionAsked(
                host=act.host, wave=act.wave, holder=self._incarnation
            )
        )
        if not decision.is_accepted:
            self.waits[act.host] = decision.reason

    @_do.register
    async def _take(self, act: maintenance.TakeOver):
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
        await self._hosts.drain(act.host, self._call_deadline_s(act))

    @_do.register
    async def _reboot(self, act: maintenance.Reboot):
        await self._hosts.reboot(
            act.host, act.boot_id, self._call_deadline_s(act)
        )

    @_do.register
    async def _move(self, act: maintenance.Move):
        await self._hosts.move(act.host, act.pool, self._call_deadline_s(act))

    @_do.register
    async def _restore(self, act: maintenance.Restore):
        await self._hosts.restore(act.host, self._call_deadline_s(act))

    @_do.register
    async def _end(self, act: maintenance.End):
        if act.reason:
            _log.info('%s is given back: %s', act.host, act.reason)
        await self._commit(
            records.DisruptionEnded(
                host=act.host,
                grant_offset=self._grant(act.host),
                holder=self._incarnation,
                is_complete=act.is_complete,
            )
        )

    def _call_deadline_s(self, act):
        """Return the deadline of a call that is allowed now.

        :raises errors.PermissionLapsed: when it is not allowed any more
        """
        if not self._permission.is_valid(self._clock.monotonic_s()):
            raise errors.PermissionLapsed(act.host)
        return self._clock.now_s() + permission.CALL_DEADLINE_S

    def _grant(self, host):
        return self._follower.state.disruptions[host].grant_offset

    async def _commit(self, body):
        sent_s = self._clock.monotonic_s()
        decision = await self._writer.commit(body, COMMIT_TIMEOUT_S)
        if decision.is_accepted:
            self._permission.confirm(sent_s)
        _log.info(
            '%s of %s: %s',
            decision.kind,
            getattr(body, 'host', 'this daemon'),
            'accepted.' if decision.is_accepted else decision.reason,
        )
        return decision
