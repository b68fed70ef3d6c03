"""Follow the platform's log and fold its records into the state."""

import asyncio
import collections

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

from . import logs

_log = logs.get('follower')


def stream_name(base, epoch):
    """Return the name of the stream that holds an epoch's records."""
    return f'{base}.{epoch}' if epoch else base


class Follower:
    """Read the log in order and own the state folded from it.

    Other components only read the state. Its offset and its revision never
    decrease.

    :param log: client of the platform's log
    :param settings: the daemon's settings
    :param clock: time source
    :param incarnation: unique id of this daemon process; None for a reader
        that doesn't join
    :param loader: loads the state from a peer or a checkpoint; None for a
        reader that starts from the log alone
    """

    name = 'follower'

    def __init__(self, log, settings, clock, incarnation=None, loader=None):
        self._log = log
        self._base_stream = settings.platform.stream
        self._poll_s = settings.log_poll_s
        self._clock = clock
        self._incarnation = incarnation
        self._loader = loader
        self._wakeup = asyncio.Event()
        self._decision_futures = {}
        self._logged_codes = collections.Counter()
        self.state = state_module.State()
        self.last_contact_s = None
        self.longest_outage_s = 0.0
        self.behind_since_s = None
        self.is_sponsored = False

    @property
    def stream(self):
        """Return the current stream, for reading and appending records."""
        return stream_name(self._base_stream, self.state.epoch)

    @property
    def is_ready(self):
        """Return whether this daemon may route by its configuration.

        Other daemons wait only for acknowledgements of members, so a daemon
        that has not yet read back its own DaemonJoined record must not
        route.
        """
        state = self.state
        is_known = state.rule_level <= records.RULE_LEVEL
        is_member = (
            self._incarnation is None
            or self._incarnation in state.members
            or self.is_sponsored
        )
        return state.revision > 0 and is_known and is_member

    @property
    def is_log_behind(self):
        """Return whether the log ends before an offset already read."""
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
            self._record_log_behind(error)
            return True
        except errors.PlatformError as error:
            _log.warning('Failed to read the log: %s', error)
            return True
        if self.state is not state:
            # The state was replaced during the read; discard the page.
            return False
        self._record_contact()
        for entry in page.entries:
            self._fold(entry)
        return page.is_last

    async def _recover(self, error):
        _log.warning('Records expired before they were read: %s', error)
        self._record_contact()
        await self.reload(self.state.epoch_offset + error.first_offset)

    def _record_log_behind(self, error):
        if self.behind_since_s is None:
            _log.error('The log was truncated: %s', error)
            self.behind_since_s = self._clock.monotonic_s()

    def _record_contact(self):
        now_s = self._clock.monotonic_s()
        if self.last_contact_s is not None:
            self.longest_outage_s = max(
                self.longest_outage_s, now_s - self.last_contact_s
            )
        self.last_contact_s = now_s
        self.behind_since_s = None

    async def reload(self, needed_offset):
        """Load the state of a peer or a checkpoint if it is newer.

        :param needed_offset: the first offset that can still be read
        :returns: whether the state was replaced
        """
        if self._loader is None:
            return False
        state = await self._loader.load(self.state, needed_offset)
        return state is not None and self.replace(state)

    def replace(self, state):
        """Adopt a state if it is newer; return whether it was adopted."""
        if not _is_newer(state, self.state):
            return False
        _log.info('Loaded a newer state; next offset: %d', state.next_offset)
        self.state = state
        self.behind_since_s = None
        for record_id in [*self._decision_futures]:
            if record_id in state.recent:
                self._resolve(state.recent[record_id])
        return True

    def _fold(self, entry):
        offset = self.state.epoch_offset + entry.offset
        decision = fold.fold(self.state, offset, entry.data)
        if decision.code and decision.code != fold.REPEATED:
            self._log_refusal(offset, decision)
        self._resolve(decision)

    def _log_refusal(self, offset, decision):
        # Logged once per code: other writers to the log could otherwise
        # flood this host's log output.
        self._logged_codes[decision.code] += 1
        if self._logged_codes[decision.code] == 1:
            _log.warning(
                'Rejected the record at offset %d: %s: %s '
                '(logged once per code)',
                offset,
                decision.code,
                decision.reason,
            )

    def _resolve(self, decision):
        waiter = self._decision_futures.pop(decision.record_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)

    async def _pause(self):
        try:
            # Unlike asyncio.wait_for, this never swallows a cancellation.
            async with asyncio.timeout(self._poll_s):
                await self._wakeup.wait()
        except asyncio.TimeoutError:
            return
        finally:
            self._wakeup.clear()

    def wake(self):
        """Read the log now instead of at the next poll."""
        self._wakeup.set()

    def expect_decision(self, record_id):
        """Return a future that resolves to the decision on a record."""
        future = asyncio.get_running_loop().create_future()
        self._decision_futures[record_id] = future
        return future

    def discard_waiter(self, record_id):
        """Discard the future of a record's decision."""
        self._decision_futures.pop(record_id, None)


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
