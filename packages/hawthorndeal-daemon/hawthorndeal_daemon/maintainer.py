"""Execute planned maintenance steps through the log and the platform."""

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
LOG_CONTACT_TIMEOUT_S = 5.0
# Upper bound on the share of a CPU core spent planning disruption requests;
# each plan considers every waiting host.
MAX_PLANNING_CPU_SHARE = 0.01

_log = logs.get('maintainer')


class Maintainer:
    """Perform maintenance on the hosts whose disruptions this daemon holds.

    :param follower: holds the folded state
    :param writer: appends records to the log
    :param peers: the latest digests of the other entry hosts
    :param hosts: client of the platform's host API
    :param watch: holds the platform's list of hosts
    :param settings: the daemon's settings
    :param incarnation: unique id of this daemon process
    :param clock: time source
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
        self._next_request_plan_s = self._started_s
        self._tick_lock = asyncio.Lock()
        self._is_stopping = False
        self.wait_reasons = {}

    async def run(self):
        """Run maintenance steps periodically until cancelled."""
        while not self._is_stopping:
            await self.tick()
            await asyncio.sleep(self._period_s)

    async def stop(self):
        """Wait for the current tick and start no more.

        The DaemonLeft record transfers this daemon's disruptions to another
        daemon immediately, so no platform call may be in flight by then.
        """
        self._is_stopping = True
        async with self._tick_lock:
            pass

    async def tick(self):
        """Run the maintenance steps that are due now."""
        async with self._tick_lock:
            if not self._is_stopping:
                await self._take_steps()

    async def _take_steps(self):
        self._peers.note(self._peers.digest())
        await self._renew_permission()
        state = self._follower.state
        observation = self._make_observation(await self._read_statuses(state))
        actions = maintenance.plan_steps(state, observation)
        actions += self._plan_requests(state, observation)
        self.wait_reasons = {
            action.host: action.reason
            for action in actions
            if isinstance(action, maintenance.Wait)
        }
        await asyncio.gather(*(self._execute(action) for action in actions))

    def _plan_requests(self, state, observation):
        started_s = self._clock.monotonic_s()
        if started_s < self._next_request_plan_s:
            return []
        requests = maintenance.plan_requests(state, observation)
        now_s = self._clock.monotonic_s()
        self._next_request_plan_s = (
            now_s + (now_s - started_s) / MAX_PLANNING_CPU_SHARE
        )
        return requests

    def explain(self):
        """Return the wait reason or the progress of each host, by name."""
        reasons = maintenance.explain(
            self._follower.state, self._make_observation({})
        )
        return {**reasons, **self.wait_reasons}

    async def _renew_permission(self):
        needs_renewal = self._permission.needs_renewal(
            self._clock.monotonic_s()
        )
        if not needs_renewal or not self._held_hosts():
            return
        try:
            await self._commit(
                records.PermissionRenewed(holder=self._incarnation)
            )
        except errors.PlatformError as error:
            _log.warning(
                'Failed to renew the maintenance permission: %s', error
            )

    def _held_hosts(self):
        return [
            disruption.host
            for disruption in self._follower.state.disruptions.values()
            if disruption.holder == self._incarnation
        ]

    async def _read_statuses(self, state):
        held = [
            host
            for host in self._held_hosts()
            if state.disruptions[host].step is not records.Step.GRANTED
        ]
        statuses = await asyncio.gather(*(self._read_status(h) for h in held))
        return {h: s for h, s in zip(held, statuses) if s is not None}

    def _make_observation(self, statuses):
        state = self._follower.state
        now_s = max(state.log_time_s, self._clock.now_s())
        is_connected = self._update_connection()
        return maintenance.Observation(
            own_incarnation=self._incarnation,
            view=self._peer_view(),
            hosts=statuses,
            work=waves.PlacedWork(state, now_s),
            now_s=now_s,
            is_permitted=self._permission.is_valid(self._clock.monotonic_s()),
            is_connected=is_connected,
            policy=self._policy,
        )

    def _peer_view(self):
        return acknowledgements.PeerView(
            peers=self._peers.table,
            now_s=self._clock.monotonic_s(),
            started_s=self._started_s,
            outage_ended_s=self._outage_ended_s,
            listed=self._watch.listed(),
        )

    def _update_connection(self):
        contact_s = self._follower.last_contact_s
        now_s = self._clock.monotonic_s()
        is_connected = (
            contact_s is not None
            and now_s - contact_s <= LOG_CONTACT_TIMEOUT_S
        )
        if is_connected and not self._was_connected:
            self._outage_ended_s = now_s
        self._was_connected = is_connected
        return is_connected

    async def _read_status(self, host):
        try:
            return await self._hosts.get(host)
        except (errors.PlatformError, errors.InvalidRecord) as error:
            _log.warning('Failed to read the status of %s: %s', host, error)
            return None

    async def _execute(self, action):
        try:
            await self._dispatch(action)
        except errors.PlatformError as error:
            _log.warning(
                'Maintenance step on %s failed: %s', action.host, error
            )
            self.wait_reasons[action.host] = str(error)

    @functools.singledispatchmethod
    async def _dispatch(self, action):
        raise TypeError(f'unsupported action: {action!r}')

    @_dispatch.register
    async def _wait(self, action: maintenance.Wait):
        _log.debug(
            'Maintenance of %s is waiting: %s', action.host, action.reason
        )

    @_dispatch.register
    async def _request(self, action: maintenance.RequestDisruption):
        decision = await self._commit(
            records.DisruptionAsked(
                host=action.host, wave=action.wave, holder=self._incarnation
            )
        )
        if not decision.is_accepted:
            self.wait_reasons[action.host] = decision.reason

    @_dispatch.register
    async def _take_over(self, action: maintenance.TakeOver):
        await self._commit(
            records.DisruptionTaken(
                host=action.host,
                grant_offset=self._grant_offset(action.host),
                holder=self._incarnation,
            )
        )

    @_dispatch.register
    async def _record_step(self, action: maintenance.Record):
        await self._commit(
            records.DisruptionStepped(
                host=action.host,
                grant_offset=self._grant_offset(action.host),
                step=action.step,
                holder=self._incarnation,
                boot_id=action.boot_id,
            )
        )

    @_dispatch.register
    async def _drain(self, action: maintenance.Drain):
        await self._hosts.drain(action.host, self._call_deadline_s(action))

    @_dispatch.register
    async def _reboot(self, action: maintenance.Reboot):
        await self._hosts.reboot(
            action.host, action.boot_id, self._call_deadline_s(action)
        )

    @_dispatch.register
    async def _move(self, action: maintenance.Move):
        await self._hosts.move(
            action.host, action.pool, self._call_deadline_s(action)
        )

    @_dispatch.register
    async def _restore(self, action: maintenance.Restore):
        await self._hosts.restore(action.host, self._call_deadline_s(action))

    @_dispatch.register
    async def _end(self, action: maintenance.End):
        if action.reason:
            _log.info(
                'Ending the disruption of %s: %s', action.host, action.reason
            )
        await self._commit(
            records.DisruptionEnded(
                host=action.host,
                grant_offset=self._grant_offset(action.host),
                holder=self._incarnation,
                is_complete=action.is_complete,
            )
        )

    def _call_deadline_s(self, action):
        """Return the deadline of a platform call that starts now.

        :raises errors.PermissionLapsed: the permission is no longer valid
        """
        if not self._permission.is_valid(self._clock.monotonic_s()):
            raise errors.PermissionLapsed(action.host)
        return self._clock.now_s() + permission.CALL_DEADLINE_S

    def _grant_offset(self, host):
        return self._follower.state.disruptions[host].grant_offset

    async def _commit(self, body):
        sent_s = self._clock.monotonic_s()
        decision = await self._writer.commit(body, COMMIT_TIMEOUT_S)
        if decision.is_accepted:
            self._permission.confirm(sent_s)
        _log.info(
            'Record %s for %s: %s',
            decision.kind,
            getattr(body, 'host', 'this daemon'),
            'accepted.' if decision.is_accepted else decision.reason,
        )
        return decision
