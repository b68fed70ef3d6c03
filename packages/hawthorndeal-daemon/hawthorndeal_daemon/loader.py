"""Load the state for a daemon that can't fold it from the log alone."""

import asyncio

import aiohttp

from hawthorndeal_fleet import checkpoint
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import peer_digests
from hawthorndeal_fleet import statecodec
from hawthorndeal_platform import connector

from . import logs

STATE_PATH = '/v1/peers/state'
SUMMARY_PATH = '/v1/peers/summary'
CHECKPOINT_SUFFIX = '.checkpoints'
# Limits the memory of a page, whose entries are large checkpoint parts.
PARTS_PER_PAGE = 4
PEER_TIMEOUT_S = 5.0

_log = logs.get('loader')


class Loader:
    """Load the newest state of a peer, or else the newest checkpoint.

    :param log: client of the platform's log
    :param settings: the daemon's settings
    """

    def __init__(self, log, settings):
        self._log = log
        self._stream = settings.platform.stream + CHECKPOINT_SUFFIX
        self._peers = settings.peers
        self._token = settings.peer_token
        self.sponsor = None

    async def load(self, known, needed_offset):
        """Return a state newer than the known one, or None.

        :param known: the current state
        :param needed_offset: minimum next offset of a peer's state
        """
        state = await self._from_peers(known, needed_offset)
        if state is None:
            state = await self._from_checkpoint()
        return state

    async def _from_peers(self, known, needed_offset):
        async with aiohttp.ClientSession(
            connector=connector.Connector(),
            timeout=aiohttp.ClientTimeout(total=PEER_TIMEOUT_S),
            headers={'Authorization': f'Bearer {self._token}'},
        ) as session:
            summaries = await asyncio.gather(
                *(self._summary(session, peer) for peer in self._peers)
            )
            candidates = [
                (summary.rank, peer, summary)
                for peer, summary in zip(self._peers, summaries)
                if summary is not None
                and summary.rank > (known.epoch, known.next_offset)
                and summary.next_offset >= needed_offset
            ]
            for _, peer, summary in sorted(candidates, reverse=True):
                text = await self._get(session, peer, STATE_PATH)
                state = await _parse(text)
                if state is not None:
                    self.sponsor = summary.incarnation
                    return state
        return None

    async def _summary(self, session, peer):
        text = await self._get(session, peer, SUMMARY_PATH)
        try:
            return text and codec.from_text(text, peer_digests.Summary)
        except errors.InvalidRecord as error:
            _log.warning('Invalid summary from peer %s: %s', peer, error)
            return None

    async def _get(self, session, peer, path):
        try:
            async with session.get(f'http://{peer}{path}') as answer:
                return await answer.text() if answer.status == 200 else None
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            _log.info('Request to peer %s failed: %r', peer, error)
            return None

    async def _from_checkpoint(self):
        assembler = checkpoint.PartAssembler()
        try:
            await self._collect(assembler)
        except errors.PlatformError as error:
            _log.warning('Failed to read checkpoints: %s', error)
        return await _parse(assembler.text)

    async def _collect(self, assembler):
        offset = 0
        is_last = False
        while not is_last:
            try:
                page = await self._log.read(
                    self._stream, offset, PARTS_PER_PAGE
                )
            except errors.OffsetExpired as error:
                offset = error.first_offset
                continue
            for entry in page.entries:
                assembler.add(entry.data)
            offset = page.next_offset
            is_last = page.is_last


async def _parse(text):
    if not text:
        return None
    try:
        # In a thread: parsing the state of a large fleet would block the
        # event loop long enough to delay callers.
        return await asyncio.to_thread(checkpoint.load, text)
    except statecodec.InvalidCheckpoint as error:
        _log.error('Ignoring an invalid checkpoint: %s', error)
        return None
