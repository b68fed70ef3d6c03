"""Exchange digests with the other entry hosts."""

import asyncio

import aiohttp

from hawthorndeal_fleet import checkpoint
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import history
from hawthorndeal_fleet import membership

from . import logs

EXCHANGE_PATH = '/v1/peers/exchange'
DUMP_KEPT_S = 2.0

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
        self.table = membership.PeerTable()

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
        self.table.forget_all_but(self._follower.state.members)
        await asyncio.gather(
            *(self._exchange(session, peer) for peer in self._settings.peers)
        )

    async def _exchange(self, session, peer):
        try:
            async with session.post(
                f'http://{peer}{EXCHANGE_PATH}',
                json=codec.to_plain(self.digest()),
            ) as answer:
                if answer.status == 200:
                    self._take_in(await answer.json())
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as e:
            _log.debug('No exchange with %s: %r', peer, e)

    def _take_in(self, data):
        try:
            self.note(codec.from_plain(data, membership.PeerDigest))
        except errors.InvalidRecord as error:
            _log.warning('Ignored a digest: %s', error)

    def note(self, digest):
        """Keep a digest that was just heard."""
        self.table.note(digest, self._clock.monotonic_s())
        if history.is_diverged(self._follower.state, digest):
            self._shout(digest)

    def _shout(self, digest):
        self._metrics.count('state.diverged')
        if digest.incarnation not in self._diverged:
            self._diverged.add(digest.incarnation)
            _log.error(
                'The state differs from that of %s at offset %d.',
                digest.daemon,
                digest.next_offset,
            )

    def digest(self):
        """Return this daemon's digest as of now."""
        state = self._follower.state
        busy = self._router.busy_hosts(state)
        mark = state.marks[-1] if state.marks else None
        return membership.PeerDigest(
            daemon=self._settings.daemon,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            next_offset=state.next_offset,
            revision=state.revision,
            fingerprint=format(state.fingerprint, 'x'),
            busy_hosts={
                host: count
                for host, count in busy.items()
                if host in state.disruptions
            },
            epoch=state.epoch,
            digest=state.digest,
            mark_offset=mark.next_offset if mark else 0,
            mark_digest=mark.digest if mark else '',
            is_log_behind=self._follower.is_log_behind,
        )

    def summary(self):
        """Return how far the state is that a joiner can have from here."""
        state = self._follower.state
        return membership.Summary(
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
