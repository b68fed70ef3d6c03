"""Follow the platform's log and keep the folded state."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import state as state_module

from . import logs

_log = logs.get('follower')


class Follower:
    """Read the log in order and fold it; everyone else only reads.

    :param log: the platform's log
    :param settings: the daemon's settings
    :param clock: tells the time
    """

    name = 'follower'

    def __init__(self, log, settings, clock):
        self._log = log
        self._stream = settings.platform.stream
        self._poll_s = settings.log_poll_s
        self._clock = clock
        self._poked = asyncio.Event()
        self._waiting = {}
        self.state = state_module.State()
        self.last_contact_s = None

    @property
    def is_ready(self):
        """Tell whether there is a configuration to vouch for."""
        return self.state.revision > 0

    async def run(self):
        """Follow the log until cancelled."""
        while True:
            is_last = await self._read_once()
            if is_last:
                await self._pause()

    async def stop(self):
        """Do nothing: reading may stop at any point."""

    async def _read_once(self):
        try:
            page = await self._log.read(self._stream, self.state.next_offset)
        except errors.PlatformError as error:
            _log.warning('The log can not be read: %s', error)
            return True
        self.last_contact_s = self._clock.monotonic_s()
        for entry in page.entries:
            self._fold(entry)
        return page.is_last

    def _fold(self, entry):
        decision = fold.fold(self.state, entry.offset, entry.data)
        if not decision.is_accepted:
            _log.info('Refused offset %d: %s', entry.offset, decision.reason)
        waiter = self._waiting.pop(decision.record_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)

    async def _pause(self):
        try:
            await asyncio.wait_for(self._poked.wait(), self._poll_s)
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
