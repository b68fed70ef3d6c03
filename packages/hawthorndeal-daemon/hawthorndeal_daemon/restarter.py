"""Begin the log anew, or follow whoever did, after it lost its end."""

import asyncio
import itertools
import uuid

from hawthorndeal_fleet import epochs
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

from . import follower as follower_module
from . import logs

CHECK_S = 1.0
HEARD_PERIODS = 4

_log = logs.get('restarter')


class Restarter:
    """Move a daemon to the log's next epoch without losing its state.

    :param log: the platform's log
    :param follower: keeps the folded state
    :param checkpointer: writes checkpoints
    :param peers: knows what the others tell
    :param settings: the daemon's settings
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    """

    name = 'restarter'

    def __init__(
        self, log, follower, checkpointer, peers, settings, incarnation, clock
    ):
        self._log = log
        self._follower = follower
        self._checkpointer = checkpointer
        self._peers = peers
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self.is_stranded = False

    async def run(self):
        """Look after the epoch until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            await self.check()

    async def stop(self):
        """Do nothing: another daemon can begin the epoch as well."""

    async def check(self):
        """Move on to the next epoch if there is one, or begin it."""
        others = self._others()
        is_left = any(o.epoch > self._follower.state.epoch for o in others)
        if not (self._follower.is_log_behind or is_left):
            return
        try:
            await self._move(others)
        except errors.PlatformError as error:
            _log.warning('The log can not be begun anew: %s', error)

    def _others(self):
        period_s = self._settings.peer_period_s
        since_s = self._clock.monotonic_s() - HEARD_PERIODS * period_s
        return [
            epochs.Candidate(
                digest.point.epoch,
                digest.next_offset,
                digest.incarnation,
                digest.is_log_behind,
            )
            for digest in self._peers.table.heard_since(since_s)
            if digest.incarnation != self._incarnation
        ]

    async def _move(self, others):
        epoch, begun = await self._find_begin(others)
        if begun is not None:
            await self._follow(begun)
        elif self._has_waited() and epochs.may_begin_epoch(
            self._standing(), others, self._members()
        ):
            await self._begin(epoch)

    def _members(self):
        return len(self._follower.state.members)

    def _standing(self):
        state = self._follower.state
        return epochs.Candidate(
            state.epoch,
            state.next_offset,
            self._incarnation,
            self._follower.is_log_behind and state.revision > 0,
        )

    def _has_waited(self):
        since_s = self._follower.behind_since_s
        waited_s = self._settings.log_restart_wait_s
        return (
            since_s is not None
            and self._clock.monotonic_s() >= since_s + waited_s
        )

    def _stream(self, epoch):
        return follower_module.stream_of(self._settings.platform.stream, epoch)

    async def _find_begin(self, others):
        """Return the next epoch and the record that began it, or None."""
        for epoch in itertools.count(self._follower.state.epoch + 1):
            begun = await self._read_begin(epoch)
            if begun is None or not epochs.is_abandoned(
                begun, self._standing(), others, self._members()
            ):
                return epoch, begun

    async def _read_begin(self, epoch):
        try:
            page = await self._log.read(self._stream(epoch), 0)
        except errors.OffsetExpired:
            # It was begun long ago; what came since has to be fetched.
            await self._follower.reload(0)
            raise
        bodies = (_body(entry.data) for entry in page.entries)
        return next((b for b in bodies if b and b.epoch == epoch), None)

    async def _follow(self, begun):
        state = self._follower.state
        if begun.next_offset > state.next_offset:
            await self._follower.reload(begun.next_offset)
        elif (begun.next_offset, begun.digest) == (
            state.next_offset,
            state.digest,
        ):
            self._follower.replace(epochs.with_epoch(state, begun.epoch))
        elif not self.is_stranded:
            # Going back is ruled out, so an operator has to replace it.
            self.is_stranded = True
            _log.error(
                'The log was begun anew before offset %d, this daemon is at '
                '%d. It serves on by its own state; replace it.',
                begun.next_offset,
                state.next_offset,
            )

    async def _begin(self, epoch):
        state = epochs.with_epoch(self._follower.state, epoch)
        await self._checkpointer.write_now(state)
        body = records.LogRestarted(
            epoch=state.epoch,
            next_offset=state.epoch_offset,
            digest=state.digest,
        )
        await self._log.append(self._stream(epoch), [self._encode(body)])
        _log.warning('Began epoch %d of the log.', state.epoch)

    def _encode(self, body):
        return records.encode(
            records.Record(
                record_id=uuid.uuid4().hex,
                writer=self._incarnation,
                stamp_s=self._clock.now_s(),
                body=body,
            )
        )


def _body(data):
    try:
        body = records.decode(data).body
    except errors.InvalidRecord:
        return None
    return body if isinstance(body, records.LogRestarted) else None
