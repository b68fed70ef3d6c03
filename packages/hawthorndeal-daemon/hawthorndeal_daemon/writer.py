"""Append records to the platform's log, several in one call."""

import asyncio
import uuid

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

from . import logs
from . import mailbox

MAX_WAITING = 2000
MAX_BATCH = 200

_log = logs.get('writer')


@attrs.frozen
class Append:
    """Ask the writer to append one record.

    :ivar sent: future that tells whether the append was answered
    """

    data: dict
    sent: asyncio.Future


class Writer:
    """Own the appends of a daemon.

    :param log: the platform's log
    :param follower: reads back what was appended
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    """

    name = 'writer'

    def __init__(self, log, follower, incarnation, clock):
        self._log = log
        self._follower = follower
        self._incarnation = incarnation
        self._clock = clock
        self._mailbox = mailbox.Mailbox(self.name, MAX_WAITING)

    async def run(self):
        """Append what comes in until cancelled."""
        while True:
            batch = await self._mailbox.get_batch(MAX_BATCH)
            await self._append([item for item in batch if _is_wanted(item)])

    async def stop(self):
        """Do nothing: whoever waits for a record stops first."""

    async def _append(self, batch):
        if not batch:
            return
        try:
            await self.append([item.data for item in batch])
        except errors.PlatformError as error:
            _log.warning('Append failed: %s', error)
            _fail(batch, error)
            return
        self._follower.poke()
        for item in batch:
            if not item.sent.done():
                item.sent.set_result(None)

    async def append(self, entries):
        """Append plain data to the stream in force.

        :raises errors.PlatformUnavailable: nothing was appended
        :raises errors.OutcomeUnknown: the entries may have been appended
        """
        if self._follower.is_log_behind:
            # What is appended before the log's end is found would be lost.
            raise errors.PlatformUnavailable('the log lost its end')
        await self._log.append(self._follower.stream, entries)

    async def commit(self, body, timeout_s, writer=None, record_id=None):
        """Append a record and return the fold's decision on it.

        :param body: one of the classes of :mod:`records`
        :param timeout_s: longest time to wait for the decision
        :param writer: who asks, where it isn't the daemon itself
        :param record_id: identity of a repeated record
        :raises errors.PlatformUnavailable: it was certainly not appended
        :raises errors.OutcomeUnknown: it may have been appended
        :rtype: state.Decision
        """
        record = records.Record(
            record_id=record_id or uuid.uuid4().hex,
            writer=writer or self._incarnation,
            stamp_s=self._clock.now_s(),
            body=body,
        )
        decided = self._follower.expect(record.record_id)
        try:
            # Unlike wait_for, this never loses a cancellation.
            async with asyncio.timeout(timeout_s):
                return await self._send_and_wait(record, decided)
        except asyncio.TimeoutError:
            raise errors.OutcomeUnknown(
                f'record {record.record_id} was not read back in time'
            ) from None
        finally:
            self._follower.give_up(record.record_id)

    async def _send_and_wait(self, record, decided):
        sent = asyncio.get_running_loop().create_future()
        try:
            self._mailbox.put(Append(records.encode(record), sent))
        except mailbox.MailboxFull as error:
            raise errors.PlatformUnavailable(str(error)) from error
        try:
            await sent
        except errors.OutcomeUnknown:
            # The record may stand in the log; only reading on can tell.
            self._follower.poke()
        return await decided


def _is_wanted(item):
    return not item.sent.done()


def _fail(batch, error):
    for item in batch:
        if not item.sent.done():
            item.sent.set_exception(error)
