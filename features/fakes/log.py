"""Fake of the platform's log service."""

import argparse

from aiohttp import web

from . import faults


class Streams:
    """Entries of all streams, with limited retention.

    :param retention: number of newest entries to keep in each stream
    """

    def __init__(self, retention):
        self._retention = retention
        self._entries = {}
        self._first_offsets = {}

    def append(self, stream, entries):
        """Append entries and return the offset of the first one."""
        stored = self._entries.setdefault(stream, [])
        first = self._first_offsets.setdefault(stream, 0)
        offset = first + len(stored)
        stored.extend(entries)
        excess = max(0, len(stored) - self._retention)
        del stored[:excess]
        self._first_offsets[stream] = first + excess
        return offset

    def read(self, stream, offset, limit):
        """Return the HTTP status and JSON body of a read."""
        first = self._first_offsets.get(stream, 0)
        stored = self._entries.get(stream, [])
        end = first + len(stored)
        if offset < first:
            return 410, {'offset': offset, 'first_offset': first}
        if offset > end:
            return 416, {'offset': offset, 'next_offset': end}
        page = stored[offset - first : offset - first + limit]
        numbered = list(enumerate(page, start=offset))
        next_offset = offset + len(page)
        return 200, {
            'entries': numbered,
            'next_offset': next_offset,
            'is_last': next_offset == end,
        }

    def truncate(self, stream, keep):
        """Delete all but the first entries, as a log that loses its end.

        :param keep: number of entries to keep
        """
        del self._entries.get(stream, [])[keep:]

    def expire(self, stream, first_offset):
        """Delete the entries before an offset, as retention does."""
        first = self._first_offsets.get(stream, 0)
        del self._entries[stream][: first_offset - first]
        self._first_offsets[stream] = first_offset


def make_app(streams):
    """Return the application that serves the log."""
    app = faults.make_app()
    counters = {'appends': 0, 'entries': 0, 'reads': 0}

    async def append(request):
        body = await request.json()
        counters['appends'] += 1
        counters['entries'] += len(body['entries'])
        first = streams.append(request.match_info['stream'], body['entries'])
        return web.json_response({'first_offset': first})

    async def read(request):
        counters['reads'] += 1
        status, answer = streams.read(
            request.match_info['stream'],
            int(request.query['offset']),
            int(request.query['limit']),
        )
        return web.json_response(answer, status=status)

    async def truncate(request):
        body = await request.json()
        streams.truncate(body['stream'], body['keep'])
        return web.json_response({})

    async def expire(request):
        body = await request.json()
        streams.expire(body['stream'], body['first_offset'])
        return web.json_response({})

    async def count(request):
        return web.json_response(counters)

    app.router.add_post('/v1/streams/{stream}', append)
    app.router.add_get('/v1/streams/{stream}', read)
    app.router.add_post('/admin/truncate', truncate)
    app.router.add_post('/admin/expire', expire)
    app.router.add_get('/admin/counters', count)
    return app


def main():
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--retention', type=int, default=1_000_000)
    options = parser.parse_args()
    web.run_app(
        make_app(Streams(options.retention)),
        host=options.host,
        port=options.port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
