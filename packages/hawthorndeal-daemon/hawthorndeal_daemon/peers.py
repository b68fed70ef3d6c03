"""Exchange digests with the other entry hosts."""

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

from . import logs

EXCHANGE_PATH = '/v1/peers/exchange'
ZONES_PATH = '/v1/peers/zones'
DUMP_KEPT_S = 2.0
# Of one exchange, in one direction.
HEADER_BYTES = 180
# Digests older than this many periods count as silence.
FRESH_PERIODS = 3
# Keeps the exchanges with other zones few, however many zones there are.
ZONE_SPACING_S = 0.16
# After so many periods of silence all members ask a zone themselves.
MISSED_PERIODS = 1.5

_log = logs.get('peers')


class Peers:
    """Tell peers how far this daemon is, and keep what they tell.

    :param follower: keeps the folded state
    :param router: knows what is in flight from here
    :param settings: the daemon's settings
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    :param rng: source of randomness
    :param metrics: counts what is noticed
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
        self._dumped = None
        self._told = {}
        self._zones = rollup.ZoneTable()
        self.bytes = {'sent': 0, 'received': 0}
        self.table = peer_digests.PeerTable()

    async def run(self):
        """Exchange digests on a jittered period until cancelled."""
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=self._settings.peer_period_s),
            headers={'Authorization': f'Bearer {self._settings.peer_token}'},
            skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Accept'),
        ) as session:
            while True:
                await self._exchange_all(session)
                jitter = 0.75 + self._rng.random() / 2
                await asyncio.sleep(self._settings.peer_period_s * jitter)

    async def stop(self):
        """Do nothing: an exchange may break off at any point."""

    async def _exchange_all(self, session):
        self.note(self.digest())
        self.table.retain_only(self._follower.state.members)
        near = [
            self._exchange(session, address) for address in self.near_peers()
        ]
        far = [
            self._exchange_zones(session, address)
            for address in self.far_peers()
        ]
        await asyncio.gather(*near, *far)

    def near_peers(self):
        """Return the addresses to exchange whole digests with.

        Those in the zone that were not heard in this period, and addresses
        in the settings of which no member is known.
        """
        members = self._follower.state.members.values()
        due_s = self._clock.monotonic_s() - self._settings.peer_period_s / 2
        zone = [
            member.address
            for member in members
            if member.zone == self._settings.zone
            and member.incarnation != self._incarnation
            and self._heard_s(member) < due_s
        ]
        known = {member.address for member in members}
        return zone + [a for a in self._settings.peers if a not in known]

    def _heard_s(self, member):
        heard = self.table.heard(member.incarnation)
        return heard.heard_s if heard else -math.inf

    def far_peers(self):
        """Return an address in each other zone to exchange sums with.

        One member of this zone does it for each other zone and hands on what
        it hears; where that fails, all do.
        """
        zones = collections.defaultdict(list)
        for member in self._follower.state.members.values():
            if member.zone != self._settings.zone:
                zones[member.zone].append(member.address)
        period_s = max(
            self._settings.peer_period_s, len(zones) * ZONE_SPACING_S
        )
        return [
            self._rng.choice(addresses)
            for zone, addresses in zones.items()
            if self._is_due(zone, period_s)
        ]

    def _is_due(self, zone, period_s):
        silent_s = self._clock.monotonic_s() - self._zones.heard_s(zone)
        is_mine = self._keeper_of(zone) == self._incarnation
        return silent_s > (0.75 if is_mine else MISSED_PERIODS) * period_s

    def _keeper_of(self, zone):
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
            session, address, EXCHANGE_PATH, self._offer(address)
        )
        if answer is None:
            # It may be another daemon by now, which knows nothing of ours.
            self._told.pop(address, None)
            return
        self._told[address] = (answer.known, answer.incarnation)
        self.take_in(answer)

    def _offer(self, address):
        known, peer = self._told.get(address, ('', ''))
        digest = self.digest()
        version = peer_digests.version_of(digest)
        return rollup.DigestMessage(
            incarnation=self._incarnation,
            version=version,
            known=self._version_heard(peer),
            digest=None if known == version else digest,
            zones=self._zones.updates_for(
                peer or address, self._clock.monotonic_s()
            ),
        )

    def _version_heard(self, incarnation):
        heard = self.table.heard(incarnation)
        return peer_digests.version_of(heard.digest) if heard else ''

    def answer(self, exchange):
        """Take in what a peer told and return what to tell it."""
        self.take_in(exchange)
        digest = self.digest()
        version = peer_digests.version_of(digest)
        return rollup.DigestMessage(
            incarnation=self._incarnation,
            version=version,
            known=self._version_heard(exchange.incarnation),
            digest=None if exchange.known == version else digest,
            zones=self._zones.updates_for(
                exchange.incarnation, self._clock.monotonic_s()
            ),
        )

    def take_in(self, exchange):
        """Keep what a peer told."""
        if exchange.digest is not None:
            self.note(exchange.digest)
        else:
            self.table.refresh(
                exchange.incarnation,
                exchange.version,
                self._clock.monotonic_s(),
            )
        for told in exchange.zones:
            self._take_in_zone(told)

    async def _exchange_zones(self, session, address):
        answer = await self._post(
            session, address, ZONES_PATH, self.zone_digest()
        )
        if answer is not None:
            self.take_in_zone(answer)

    def zone_digest(self):
        """Return the sum of this daemon's availability zone."""
        return rollup.aggregate_zone(
            self._follower.state,
            self.table,
            self.digest(),
            self._clock.monotonic_s(),
            FRESH_PERIODS * self._settings.peer_period_s,
        )

    def take_in_zone(self, told):
        """Keep what another zone's member tells of its zone."""
        self._zones.note(told, self._clock.monotonic_s())
        self._take_in_zone(told)

    def _take_in_zone(self, told):
        now_s = self._clock.monotonic_s()
        self._zones.refresh(told.zone, now_s)
        for digest in rollup.expand_zone(self._follower.state, told):
            self.table.note_relayed(digest, now_s - told.age_s)
        self._compare(told.teller, told.point)

    def answer_zone(self, told):
        """Take in another zone's digest and return this zone's."""
        self.take_in_zone(told)
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
            _log.warning('Ignored an answer of %s: %s', address, error)
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            _log.debug('No exchange with %s: %r', address, error)
        return None

    def count_bytes(self, direction, body):
        """Count what an exchange took, its headers included."""
        count = len(body) + HEADER_BYTES
        self.bytes[direction] += count
        self._metrics.count(f'peers.{direction}_bytes', count)

    def note(self, digest):
        """Keep a digest that was just heard."""
        self.table.note(digest, self._clock.monotonic_s())
        self._compare(digest.incarnation, digest.point)

    def _compare(self, incarnation, point):
        if not divergence.is_diverged(self._follower.state, point):
            return
        self._metrics.count('state.diverged')
        if incarnation not in self._diverged:
            self._diverged.add(incarnation)
            _log.error(
                'The state differs from that of %s at offset %d.',
                incarnation,
                point.next_offset,
            )

    def digest(self):
        """Return this daemon's digest as of now."""
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
        """Return how far the state is that a joiner can have from here."""
        state = self._follower.state
        return peer_digests.Summary(
            incarnation=self._incarnation,
            epoch=state.epoch,
            next_offset=state.next_offset,
            revision=state.revision,
        )

    def state_text(self):
        """Return the whole state as text, for a joiner.

        Joiners that come together get one text; they read on from there.
        """
        now_s = self._clock.monotonic_s()
        if self._dumped is None or self._dumped[0] < now_s - DUMP_KEPT_S:
            self._dumped = (now_s, checkpoint.dump(self._follower.state))
        return self._dumped[1]
