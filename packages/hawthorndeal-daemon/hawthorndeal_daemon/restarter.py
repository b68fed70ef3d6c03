"""Start a new log epoch, or join one, after the log was truncated."""

import asyncio
import itertools
import uuid

from hawthorndeal_fleet import epochs
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

from . import follower as follower_module
from . import logs

CHECK_S = 1.0
PEER_TIMEOUT_PERIODS = 4

_log = logs.get('restarter')


class LogRestarter:
    """Move a daemon to the next epoch of the log and keep its state.

    :param log: client of the platform's log
    :param follower: holds the folded state
    :param checkpointer: writes checkpoints
    :param peers: holds the latest digests of the other daemons
    :param settings: the daemon's settings
    :param incarnation: unique id of this daemon process
    :param clock: time source
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
        self.needs_replacement = False

    async def run(self):
        """Check for a log restart periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            await self.check()

    async def stop(self):
        """Do nothing: another daemon can start the epoch as well."""

    async def check(self):
        """Join the next epoch if there is one, or start it if needed."""
        others = self._other_candidates()
        has_later_epoch = any(
            o.epoch > self._follower.state.epoch for o in others
        )
        if not (self._follower.is_log_behind or has_later_epoch):
            return
        try:
            await self._change_epoch(others)
        except errors.PlatformError as error:
            _log.warning('Failed to restart the log: %s', error)

    def _other_candidates(self):
        period_s = self._settings.peer_period_s
        since_s = self._clock.monotonic_s() - PEER_TIMEOUT_PERIODS * period_s
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

    async def _change_epoch(self, others):
        epoch, restart_record = await self._find_restart(others)
        if restart_record is not None:
            await self._join_epoch(restart_record)
        elif self._has_waited() and epochs.may_begin_epoch(
            self._own_candidate(), others, self._member_count()
        ):
            await self._start_epoch(epoch)

    def _member_count(self):
        return len(self._follower.state.members)

    def _own_candidate(self):
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

    def _epoch_stream(self, epoch):
        return follower_module.stream_name(
            self._settings.platform.stream, epoch
        )

    async def _find_restart(self, others):
        """Return the next epoch and its first record, or None without one.

        Abandoned epochs are skipped.
        """
        for epoch in itertools.count(self._follower.state.epoch + 1):
            restart_record = await self._read_restart(epoch)
            if restart_record is None or not epochs.is_abandoned(
                restart_record,
                self._own_candidate(),
                others,
                self._member_count(),
            ):
                return epoch, restart_record

    async def _read_restart(self, epoch):
        try:
            page = await self._log.read(self._epoch_stream(epoch), 0)
        except errors.OffsetExpired:
            # The epoch started so long ago that its first records expired;
            # load the state instead.
            await self._follower.reload(0)
            raise
        bodies = (_decode_restart(entry.data) for entry in page.entries)
        return next((b for b in bodies if b and b.epoch == epoch), None)

    async def _join_epoch(self, restart_record):
        state = self._follower.state
        if restart_record.next_offset > state.next_offset:
            await self._follower.reload(restart_record.next_offset)
        elif (restart_record.next_offset, restart_record.digest) == (
            state.next_offset,
            state.digest,
        ):
            self._follower.replace(
                epochs.with_epoch(state, restart_record.epoch)
            )
        elif not self.needs_replacement:
            # The state never moves backwards, so an operator has to replace
            # this daemon.
            self.needs_replacement = True
            _log.error(
                'The log was restarted at offset %d, but the next offset of '
                'this daemon is %d; replace this daemon, which keeps serving '
                'its own state',
                restart_record.next_offset,
                state.next_offset,
            )

    async def _start_epoch(self, epoch):
        state = epochs.with_epoch(self._follower.state, epoch)
        await self._checkpointer.write_now(state)
        body = records.LogRestarted(
            epoch=state.epoch,
            next_offset=state.epoch_offset,
            digest=state.digest,
        )
        await self._log.append(self._epoch_stream(epoch), [self._encode(body)])
        _log.warning('Started epoch %d of the log', state.epoch)

    def _encode(self, body):
        return records.encode(
            records.Record(
                record_id=uuid.uuid4().hex,
                writer=self._incarnation,
                stamp_s=self._clock.now_s(),
                body=body,
            )
        )


def _decode_restart(data):
    try:
        body = records.decode(data).body
    except errors.InvalidRecord:
        return None
    return body if isinstance(body, records.LogRestarted) else None
