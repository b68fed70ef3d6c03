"""HTTP client of the platform's log, with JSON bodies."""

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import plaindata

from . import protocols

PAGE_ENTRIES = 1000


class HttpLog:
    """Append to and read from the log; see :class:`protocols.Log`.

    :param transport: the connection to the log service
    """

    def __init__(self, transport):
        self._transport = transport

    async def append(self, stream, entries):
        """Append entries of plain data, and return the first offset."""
        answer = await self._transport.call(
            'POST', f'/v1/streams/{stream}', {'entries': list(entries)}
        )
        return answer['first_offset']

    async def read(self, stream, offset, limit=PAGE_ENTRIES):
        """Return the page at an offset, empty at the end of the stream."""
        try:
            return await self._read(stream, offset, limit)
        except errors.AnswerTooDeep:
            return await self._read_one(stream, offset)

    async def _read_one(self, stream, offset):
        # Reads a single entry, so that one nested too deep, written by another
        # program, doesn't block the rest of its page.
        try:
            return await self._read(stream, offset, 1)
        except errors.AnswerTooDeep:
            entry = protocols.Entry(offset, plaindata.too_deep_placeholder())
            return protocols.Page((entry,), offset + 1, False)

    async def _read(self, stream, offset, limit):
        answer = await self._transport.call(
            'GET',
            f'/v1/streams/{stream}',
            params={'offset': str(offset), 'limit': str(limit)},
        )
        entries = tuple(
            protocols.Entry(offset=number, data=data)
            for number, data in answer['entries']
        )
        return protocols.Page(
            entries=entries,
            next_offset=answer['next_offset'],
            is_last=answer['is_last'],
        )
