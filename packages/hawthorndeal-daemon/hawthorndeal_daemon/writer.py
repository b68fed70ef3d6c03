"""Append records to the platform's log in batches."""

import asyncio
import uuid

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

from . import logs
from . import mailbox

MAX_QUEUED_APPENDS = 2000
MAX_BATCH_RECORDS = 200

_log = logs.get('writer')


@attrs.frozen
class AppendRequest:
    """Ask the writer to append one record.

    :ivar sent: future that is done once the append call returned or failed
    """

    data: dict
    sent: asyncio.Future


class Writer:
    """Append all records of a daemon and wait for the decisions on them.

    :param log: client of the platform's log
    :param follower: reads back the appended records
    :param incarnation: unique id of this daemon process
    :param clock: time source
    """

    name = 'writer'

    def __init__(self, log, follower, incarnation, clock):
        self._log = log
        self._follower = follower
        self._incarnation = incarnation
        self._clock = clock
        self._mailbox = mailbox.Mailbox(self.name, MAX_QUEUED_APPENDS)

    async def run(self):
        """Append queued records in batches until cancelled."""
        while True:
            batch = await self._mailbox.get_batch(MAX_BATCH_RECORDS)
            await self._append([item for item in batch if _is_awaited(item)])

    async def stop(self):
        """Do nothing: components that wait for a record stop first."""

    async def _append(self, batch):
        if not batch:
            return
        try:
            await self.append([item.data for item in batch])
        except errors.PlatformError as error:
            _log.warning('Append failed: %s', error)
            _fail(batch, error)
            return
        self._follower.wake()
        for item in batch:
            if not item.sent.done():
                item.sent.set_result(None)

    async def append(self, entries):
        """Append plain data to the current stream.

        :raises errors.PlatformUnavailable: nothing was appended
        :raises errors.OutcomeUnknown: the entries may have been appended
        """
        if self._follower.is_log_behind:
            # Records appended before the log's end is found would be lost.
            raise errors.PlatformUnavailable('the log was truncated')
        await self._log.append(self._follower.stream, entries)

    async def commit(self, body, timeout_s, writer=None, record_id=None):
        """Append a record and return the fold's decision on it.

        :param body: one of the classes of :mod:`records`
        :param timeout_s: maximum time to wait for the decision
        :param writer: originator of the record; None for this daemon
        :param record_id: id of a record that is sent again; None for a new id
        :raises errors.PlatformUnavailable: the record was not appended
        :raises errors.OutcomeUnknown: the record may have been appended
        :rtype: state.Decision
        """
        record = records.Record(
            record_id=record_id or uuid.uuid4().hex,
            writer=writer or self._incarnation,
            stamp_s=self._clock.now_s(),
            body=body,
        )
        decided = self._follower.expect_decision(record.record_id)
        try:
            # Unlike asyncio.wait_for, this never swallows a cancellation.
            async with asyncio.timeout(timeout_s):
                return await self._send_and_wait(record, decided)
        except asyncio.TimeoutError:
            raise errors.OutcomeUnknown(
                f'record {record.record_id} was not read back in time'
            ) from None
        finally:
            self._follower.discard_waiter(record.record_id)

    async def _send_and_wait(self, record, decided):
        sent = asyncio.get_running_loop().create_future()
        try:
            self._mailbox.put(AppendRequest(records.encode(record), sent))
        except mailbox.MailboxFull as error:
            raise errors.PlatformUnavailable(str(error)) from error
        try:
            await sent
        except errors.OutcomeUnknown:
            # The record may be in the log; only reading the log can tell.
            self._follower.wake()
        return await decided


def _is_awaited(item):
    return not item.sent.done()


def _fail(batch, error):
    for item in batch:
        if not item.sent.done():
            item.sent.set_exception(error)
