"""Write the whole state to the log before its records expire there."""

import asyncio

from hawthorndeal_fleet import checkpoint
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

from . import loader
from . import logs

# Drawn anew each time, so that mostly one daemon writes and others see it.
MIN_RETENTION_SHARE = 0.25
MAX_RETENTION_SHARE = 0.5
OUTAGE_RETENTION_SHARE = 0.5
CHECK_S = 1.0
COMMIT_TIMEOUT_S = 10.0

_log = logs.get('checkpointer')


class Checkpointer:
    """Write a checkpoint when the last one that is known has grown old.

    Two daemons may write one each; that does no harm.

    :param log: the platform's log
    :param follower: keeps the folded state
    :param writer: appends records
    :param settings: the daemon's settings
    :param clock: tells the time
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
        self._known = None
        self._due_s = 0.0

    async def run(self):
        """Write checkpoints until cancelled."""
        self._plan()
        while True:
            await asyncio.sleep(CHECK_S)
            await self.check()

    async def stop(self):
        """Do nothing: a checkpoint that is cut off is left out."""

    async def check(self):
        """Write a checkpoint if one is due."""
        if self._known != self._follower.state.checkpoint:
            self._plan()
        if self._is_outage_over():
            self._follower.outage_s = 0.0
            self._due_s = self._clock.monotonic_s()
        if self._follower.is_ready and self._is_due():
            await self._write()

    def _is_due(self):
        return self._clock.monotonic_s() >= self._due_s

    def _is_outage_over(self):
        longest_s = OUTAGE_RETENTION_SHARE * self._retention_s
        return self._follower.outage_s > longest_s

    def _plan(self):
        self._known = self._follower.state.checkpoint
        share = self._rng.uniform(MIN_RETENTION_SHARE, MAX_RETENTION_SHARE)
        self._due_s = self._clock.monotonic_s() + share * self._retention_s

    async def _write(self):
        try:
            next_offset = await self.write_now()
            await self._writer.commit(
                records.CheckpointWritten(next_offset), COMMIT_TIMEOUT_S
            )
        except errors.PlatformError as error:
            _log.warning('No checkpoint written: %s', error)
            self._due_s = self._clock.monotonic_s() + self._rng.uniform(1, 5)
            return
        self._plan()

    async def write_now(self, state=None):
        """Write a checkpoint and return the first offset not in it.

        :param state: the state to write; the follower's where None
        :raises errors.PlatformError: when it can't be written
        """
        state = state or self._follower.state
        next_offset = state.next_offset
        for part in checkpoint.split(state, checkpoint.dump(state)):
            await self._log.append(self._stream, [part])
        _log.info('Wrote a checkpoint before offset %d.', next_offset)
        return next_offset
