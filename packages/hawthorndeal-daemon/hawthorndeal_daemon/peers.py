"""Exchange state digests with the other entry hosts."""

import asyncio
import collections
import hashlib
import math

import aiohttp

from hawthorndeal_fleet import checkpoint
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import divergence
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import peer_digests
from hawthorndeal_fleet import rollup
from hawthorndeal_platform import connector

from . import logs

EXCHANGE_PATH = '/v1/peers/exchange'
ZONES_PATH = '/v1/peers/zones'
STATE_TEXT_CACHE_S = 2.0
# HTTP headers of one exchange, in one direction.
HTTP_HEADER_BYTES = 180
# A peer whose digest is older than this many periods counts as silent.
FRESH_PERIODS = 3
# Minimum spacing of the exchanges with other zones, which bounds their rate
# however many zones there are.
ZONE_EXCHANGE_SPACING_S = 0.16
# After this many periods without news of a zone, every member of this zone
# contacts it itself instead of leaving that to the delegate.
DELEGATE_TIMEOUT_PERIODS = 1.5

_log = logs.get('peers')


class Peers:
    """Send this daemon's digest to its peers and store theirs.

    :param follower: holds the folded state
    :param router: counts the requests in flight from this daemon
    :param settings: the daemon's settings
    :param incarnation: unique id of this daemon process
    :param clock: time source
    :param rng: source of randomness
    :param metrics: receives byte and divergence counters
    """

    name = 'peers'

    def __init__(
        self, follower, router, settings, incarnation, clock, rng, metrics
    ):
        self._follower = follower
        self._router = router
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._diverged = set()
        self._cached_state_text = None
        self._acknowledged_versions = {}
        self._zones = rollup.ZoneTable()
        self.bytes = {'sent': 0, 'received': 0}
        self.table = peer_digests.PeerTable()

    async def run(self):
        """Exchange digests on a jittered period until cancelled."""
        async with aiohttp.ClientSession(
            connector=connector.Connector(),
            timeout=aiohttp.ClientTimeout(total=self._settings.peer_period_s),
            headers={'Authorization': f'Bearer {self._settings.peer_token}'},
            skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
        ) as session:
            while True:
                await self._exchange_all(session)
                jitter = 0.75 + self._rng.random() / 2
                await asyncio.sleep(self._settings.peer_period_s * jitter)

    async def stop(self):
        """Do nothing: an exchange may be interrupted at any point."""

    async def _exchange_all(self, session):
        self.note(self.digest())
        self.table.retain_only(self._follower.state.members)
        in_zone = [
            self._exchange(session, address)
            for address in self.in_zone_peers()
        ]
        cross_zone = [
            self._exchange_zones(session, address)
            for address in self.cross_zone_peers()
        ]
        await asyncio.gather(*in_zone, *cross_zone)

    def in_zone_peers(self):
        """Return the addresses to exchange full digests with.

        These are the members of this zone not heard from in this period and
        the configured addresses that belong to no known member.
        """
        members = self._follower.state.members.values()
        due_s = self._clock.monotonic_s() - self._settings.peer_period_s / 2
        zone = [
            member.address
            for member in members
            if member.zone == self._settings.zone
            and member.incarnation != self._incarnation
            and self._last_heard_s(member) < due_s
        ]
        known = {member.address for member in members}
        return zone + [a for a in self._settings.peers if a not in known]

    def _last_heard_s(self, member):
        heard = self.table.heard(member.incarnation)
        return heard.heard_s if heard else -math.inf

    def cross_zone_peers(self):
        """Return one address in each other zone that is due for an exchange.

        For each other zone, one member of this zone is the delegate, which
        exchanges aggregated digests and relays them to its neighbours. If
        it fails to, all members contact the zone.
        """
        zones = collections.defaultdict(list)
        for member in self._follower.state.members.values():
            if member.zone != self._settings.zone:
                zones[member.zone].append(member.address)
        period_s = max(
            self._settings.peer_period_s, len(zones) * ZONE_EXCHANGE_SPACING_S
        )
        return [
            self._rng.choice(addresses)
            for zone, addresses in zones.items()
            if self._is_exchange_due(zone, period_s)
        ]

    def _is_exchange_due(self, zone, period_s):
        silent_s = self._clock.monotonic_s() - self._zones.heard_s(zone)
        is_delegate = self._delegate_for(zone) == self._incarnation
        return (
            silent_s
            > (0.75 if is_delegate else DELEGATE_TIMEOUT_PERIODS) * period_s
        )

    def _delegate_for(self, zone):
        members = rollup.zone_members(
            self._follower.state, self._settings.zone
        )
        names = [member.incarnation for member in members]
        return max(
            names,
            key=lambda name: hashlib.blake2b(
                f'{name}/{zone}'.encode()
            ).digest(),
            default=self._incarnation,
        )

    async def _exchange(self, session, address):
        answer = await self._post(
            session, address, EXCHANGE_PATH, self._make_message(address)
        )
        if answer is None:
            # The address may belong to another daemon by now, which has no
            # digest of this one.
            self._acknowledged_versions.pop(address, None)
            return
        self._acknowledged_versions[address] = (
            answer.known,
            answer.incarnation,
        )
        self.apply_message(answer)

    def _make_message(self, address):
        known, peer = self._acknowledged_versions.get(address, ('', ''))
        digest = self.digest()
        version = peer_digests.version_of(digest)
        return rollup.DigestMessage(
            incarnation=self._incarnation,
            version=version,
            known=self._heard_version(peer),
            digest=None if known == version else digest,
            zones=self._zones.updates_for(
                peer or address, self._clock.monotonic_s()
            ),
        )

    def _heard_version(self, incarnation):
        heard = self.table.heard(incarnation)
        return peer_digests.version_of(heard.digest) if heard else ''

    def answer(self, exchange):
        """Apply a message of a peer and return the message to answer with."""
        self.apply_message(exchange)
        digest = self.digest()
        version = peer_digests.version_of(digest)
        return rollup.DigestMessage(
            incarnation=self._incarnation,
            version=version,
            known=self._heard_version(exchange.incarnation),
            digest=None if exchange.known == version else digest,
            zones=self._zones.updates_for(
                exchange.incarnation, self._clock.monotonic_s()
            ),
        )

    def apply_message(self, exchange):
        """Store the digests in a message of a peer."""
        if exchange.digest is not None:
            self.note(exchange.digest)
        else:
            self.table.refresh(
                exchange.incarnation,
                exchange.version,
                self._clock.monotonic_s(),
            )
        for remote_digest in exchange.zones:
            self._apply_zone_digest(remote_digest)

    async def _exchange_zones(self, session, address):
        answer = await self._post(
            session, address, ZONES_PATH, self.zone_digest()
        )
        if answer is not None:
            self.apply_zone_digest(answer)

    def zone_digest(self):
        """Return the aggregated digest of this availability zone."""
        return rollup.aggregate_zone(
            self._follower.state,
            self.table,
            self.digest(),
            self._clock.monotonic_s(),
            FRESH_PERIODS * self._settings.peer_period_s,
        )

    def apply_zone_digest(self, remote_digest):
        """Store the aggregated digest of another zone."""
        self._zones.note(remote_digest, self._clock.monotonic_s())
        self._apply_zone_digest(remote_digest)

    def _apply_zone_digest(self, remote_digest):
        now_s = self._clock.monotonic_s()
        self._zones.refresh(remote_digest.zone, now_s)
        for digest in rollup.expand_zone(self._follower.state, remote_digest):
            self.table.note_relayed(digest, now_s - remote_digest.age_s)
        self._compare(remote_digest.teller, remote_digest.point)

    def answer_zone(self, remote_digest):
        """Store another zone's digest and return this zone's."""
        self.apply_zone_digest(remote_digest)
        return self.zone_digest()

    async def _post(self, session, address, path, message):
        body = codec.canonical(codec.to_compact(message))
        self.count_bytes('sent', body)
        try:
            async with session.post(
                f'http://{address}{path}', data=body
            ) as answer:
                text = await answer.text()
                if answer.status != 200:
                    return None
                self.count_bytes('received', text)
                return codec.from_text(text, type(message))
        except errors.InvalidRecord as error:
            _log.warning('Invalid response from peer %s: %s', address, error)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            _log.debug('Exchange with peer %s failed: %r', address, error)
        return None

    def count_bytes(self, direction, body):
        """Count the bytes of a message, including its HTTP headers."""
        count = len(body) + HTTP_HEADER_BYTES
        self.bytes[direction] += count
        self._metrics.count(f'peers.{direction}_bytes', count)

    def note(self, digest):
        """Store a digest that was just received."""
        self.table.note(digest, self._clock.monotonic_s())
        self._compare(digest.incarnation, digest.point)

    def _compare(self, incarnation, point):
        if not divergence.is_diverged(self._follower.state, point):
            return
        self._metrics.count('state.diverged')
        if incarnation not in self._diverged:
            self._diverged.add(incarnation)
            _log.error(
                'State diverged from that of %s at offset %d',
                incarnation,
                point.next_offset,
            )

    def digest(self):
        """Return this daemon's current digest."""
        state = self._follower.state
        busy = self._router.busy_hosts(state)
        return peer_digests.PeerDigest(
            daemon=self._settings.daemon,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            next_offset=state.next_offset,
            revision=state.revision,
            busy_hosts={
                host: count
                for host, count in busy.items()
                if host in state.disruptions
            },
            point=divergence.state_point(state),
            is_log_behind=self._follower.is_log_behind,
        )

    def summary(self):
        """Return the position of the state that a joining daemon can load."""
        state = self._follower.state
        return peer_digests.Summary(
            incarnation=self._incarnation,
            epoch=state.epoch,
            next_offset=state.next_offset,
            revision=state.revision,
        )

    def state_text(self):
        """Return the full serialized state for a joining daemon.

        The text is cached for daemons that join at the same time; they read
        the records after it from the log.
        """
        now_s = self._clock.monotonic_s()
        if (
            self._cached_state_text is None
            or self._cached_state_text[0] < now_s - STATE_TEXT_CACHE_S
        ):
            self._cached_state_text = (
                now_s,
                checkpoint.dump(self._follower.state),
            )
        return self._cached_state_text[1]
