"""Write state checkpoints to the log before the records expire there."""

import asyncio

from hawthorndeal_fleet import checkpoint
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

from . import loader
from . import logs

# The checkpoint interval is a random share of the log's retention, drawn anew
# each time, so that usually one daemon writes and the others see its
# checkpoint before their own is due.
MIN_RETENTION_SHARE = 0.25
MAX_RETENTION_SHARE = 0.5
OUTAGE_RETENTION_SHARE = 0.5
CHECK_S = 1.0
COMMIT_TIMEOUT_S = 10.0

_log = logs.get('checkpointer')


class Checkpointer:
    """Write a checkpoint when the latest known one is old.

    Concurrent checkpoints of several daemons are harmless.

    :param log: client of the platform's log
    :param follower: holds the folded state
    :param writer: appends records to the log
    :param settings: the daemon's settings
    :param clock: time source
    :param rng: source of randomness
    """

    name = 'checkpointer'

    def __init__(self, log, follower, writer, settings, clock, rng):
        self._log = log
        self._follower = follower
        self._writer = writer
        self._stream = settings.platform.stream + loader.CHECKPOINT_SUFFIX
        self._retention_s = settings.log_retention_s
        self._clock = clock
        self._rng = rng
        self._known_checkpoint = None
        self._due_s = 0.0

    async def run(self):
        """Write checkpoints when due until cancelled."""
        self._schedule_next()
        while True:
            await asyncio.sleep(CHECK_S)
            await self.check()

    async def stop(self):
        """Do nothing: readers skip an incomplete checkpoint."""

    async def check(self):
        """Write a checkpoint if one is due."""
        if self._known_checkpoint != self._follower.state.checkpoint:
            self._schedule_next()
        if self._is_outage_over():
            self._follower.longest_outage_s = 0.0
            self._due_s = self._clock.monotonic_s()
        if self._follower.is_ready and self._is_due():
            await self._write()

    def _is_due(self):
        return self._clock.monotonic_s() >= self._due_s

    def _is_outage_over(self):
        longest_s = OUTAGE_RETENTION_SHARE * self._retention_s
        return self._follower.longest_outage_s > longest_s

    def _schedule_next(self):
        self._known_checkpoint = self._follower.state.checkpoint
        share = self._rng.uniform(MIN_RETENTION_SHARE, MAX_RETENTION_SHARE)
        self._due_s = self._clock.monotonic_s() + share * self._retention_s

    async def _write(self):
        try:
            next_offset = await self.write_now()
            await self._writer.commit(
                records.CheckpointWritten(next_offset), COMMIT_TIMEOUT_S
            )
        except errors.PlatformError as error:
            _log.warning('Failed to write a checkpoint: %s', error)
            self._due_s = self._clock.monotonic_s() + self._rng.uniform(1, 5)
            return
        self._schedule_next()

    async def write_now(self, state=None):
        """Write a checkpoint and return the first offset not covered by it.

        :param state: the state to write; None for the follower's state
        :raises errors.PlatformError: the checkpoint can't be written
        """
        state = state or self._follower.state
        next_offset = state.next_offset
        for part in checkpoint.split(state, checkpoint.dump(state)):
            await self._log.append(self._stream, [part])
        _log.info('Wrote a checkpoint; next offset: %d', next_offset)
        return next_offset
