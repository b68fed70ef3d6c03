"""Follow the platform's log and keep the folded state."""

import asyncio
import collections

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

from . import logs

_log = logs.get('follower')


def stream_of(base, epoch):
    """Return the name of the stream that an epoch's records stand on."""
    return f'{base}.{epoch}' if epoch else base


class Follower:
    """Read the log in order and fold it; everyone else only reads.

    Neither the offset nor the revision of its state ever falls.

    :param log: the platform's log
    :param settings: the daemon's settings
    :param clock: tells the time
    :param incarnation: identity of this start of the daemon; None for a
        reader that takes no part
    :param loader: brings the state of a peer or a checkpoint, or None
    """

    name = 'follower'

    def __init__(self, log, settings, clock, incarnation=None, loader=None):
        self._log = log
        self._base_stream = settings.platform.stream
        self._poll_s = settings.log_poll_s
        self._clock = clock
        self._incarnation = incarnation
        self._loader = loader
        self._poked = asyncio.Event()
        self._waiting = {}
        self._logged_codes = collections.Counter()
        self.state = state_module.State()
        self.last_contact_s = None
        self.outage_s = 0.0
        self.behind_since_s = None
        self.is_ward = False

    @property
    def stream(self):
        """Return the stream that records are read from and appended to."""
        return stream_of(self._base_stream, self.state.epoch)

    @property
    def is_ready(self):
        """Tell whether there is a configuration to vouch for.

        Others wait for the word of joined daemons only, so that one that has
        not read its own join back must not route.
        """
        state = self.state
        is_known = state.rule_level <= records.RULE_LEVEL
        is_member = (
            self._incarnation is None
            or self._incarnation in state.members
            or self.is_ward
        )
        return state.revision > 0 and is_known and is_member

    @property
    def is_log_behind(self):
        """Tell whether the log ends before what was read from it."""
        return self.behind_since_s is not None

    async def run(self):
        """Follow the log until cancelled."""
        if not self.state.next_offset:
            await self.reload(0)
        while True:
            is_last = await self.read_once()
            if is_last:
                await self._pause()

    async def stop(self):
        """Do nothing: reading may stop at any point."""

    async def read_once(self):
        """Read and fold one page; return whether to wait before the next."""
        state = self.state
        offset = state.next_offset - state.epoch_offset
        try:
            page = await self._log.read(self.stream, offset)
        except errors.OffsetExpired as error:
            await self._recover(error)
            return True
        except errors.OffsetBeyondEnd as error:
            self._note_behind(error)
            return True
        except errors.PlatformError as error:
            _log.warning('The log can not be read: %s', error)
            return True
        if self.state is not state:
            # Replaced while the log was read: the page is of no use.
            return False
        self._note_contact()
        for entry in page.entries:
            self._fold(entry)
        return page.is_last

    async def _recover(self, error):
        _log.warning('Fell behind the log: %s', error)
        self._note_contact()
        await self.reload(self.state.epoch_offset + error.first_offset)

    def _note_behind(self, error):
        if self.behind_since_s is None:
            _log.error('The log lost its end: %s', error)
            self.behind_since_s = self._clock.monotonic_s()

    def _note_contact(self):
        now_s = self._clock.monotonic_s()
        if self.last_contact_s is not None:
            self.outage_s = max(self.outage_s, now_s - self.last_contact_s)
        self.last_contact_s = now_s
        self.behind_since_s = None

    async def reload(self, needed_offset):
        """Take over the state of a peer or a checkpoint, if it is newer.

        :param needed_offset: the first offset that can still be read
        :returns: whether the state was replaced
        """
        if self._loader is None:
            return False
        state = await self._loader.load(self.state, needed_offset)
        return state is not None and self.replace(state)

    def replace(self, state):
        """Take over a newer state; return whether it was."""
        if not _is_newer(state, self.state):
            return False
        _log.info('Took over the state before offset %d.', state.next_offset)
        self.state = state
        self.behind_since_s = None
        for record_id in [*self._waiting]:
            if record_id in state.recent:
                self._tell(state.recent[record_id])
        return True

    def _fold(self, entry):
        offset = self.state.epoch_offset + entry.offset
        decision = fold.fold(self.state, offset, entry.data)
        if decision.code and decision.code != fold.REPEATED:
            self._log_refusal(offset, decision)
        self._tell(decision)

    def _log_refusal(self, offset, decision):
        # Foreign writers could fill the log of a host otherwise.
        self._logged_codes[decision.code] += 1
        if self._logged_codes[decision.code] == 1:
            _log.warning(
                'Refused offset %d: %s: %s (told once for each code)',
                offset,
                decision.code,
                decision.reason,
            )

    def _tell(self, decision):
        waiter = self._waiting.pop(decision.record_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)

    async def _pause(self):
        try:
            # Unlike wait_for, this never loses a cancellation.
            async with asyncio.timeout(self._poll_s):
                await self._poked.wait()
        except asyncio.TimeoutError:
            return
        finally:
            self._poked.clear()

    def poke(self):
        """Have the log read at once."""
        self._poked.set()

    def expect(self, record_id):
        """Return a future for the decision on a record."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[record_id] = future
        return future

    def give_up(self, record_id):
        """Stop waiting for the decision on a record."""
        self._waiting.pop(record_id, None)


def _is_newer(state, known):
    is_later = (state.epoch, state.next_offset) > (
        known.epoch,
        known.next_offset,
    )
    return (
        is_later
        and state.next_offset >= known.next_offset
        and state.revision >= known.revision
    )
