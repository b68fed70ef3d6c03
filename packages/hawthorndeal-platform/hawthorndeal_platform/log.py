"""The platform's log over HTTP with JSON."""

from . import protocols

PAGE_ENTRIES = 1000


class HttpLog:
    """Append to and read from the log; see :class:`protocols.Log`.

    :param transport: the connection to the log service
    """

    def __init__(self, transport):
        self._transport = transport

    async def append(self, stream, entries):
        """Append plain data and return the offset of the first."""
        answer = await self._transport.call(
            'POST', f'/v1/streams/{stream}', {'entries': list(entries)}
        )
        return answer['first_offset']

    async def read(self, stream, offset):
        """Return the page at an offset; an empty page at the end."""
        answer = await self._transport.call(
            'GET',
            f'/v1/streams/{stream}',
            params={'offset': str(offset), 'limit': str(PAGE_ENTRIES)},
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
