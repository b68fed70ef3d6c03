"""Stand-in of the platform's store: a log with keyed topics."""

import asyncio
import base64
import collections
import contextlib
import json
import struct

from aiohttp import web

LENGTH = struct.Struct('>I')
HEAD = struct.Struct('>QQ')
APPEND_S = 0.003
ANSWER_S = 0.001
MAX_ITEMS = 500
MAX_BYTES = 1_000_000
REMEMBERED = 5
# Limits of a record, and of the records of one call.
MAX_RECORD_BYTES = 262144
MAX_REQUEST_BYTES = 2097152
# Topics that only the operator and the executors may write to.
FOREIGN = ('keyed.op', 'keyed.servers')


class _Fence:
    def __init__(self):
        self.epoch, self.sequence = -1, 0
        self.answers = collections.OrderedDict()


class _Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.fences = collections.defaultdict(_Fence)
        self.lock = asyncio.Lock()
        self.appended = asyncio.Event()

    def add(self, contents):
        """Append records; return the offset of the first."""
        first = len(self.records)
        for content in contents:
            key = content[1 : 1 + content[0]].decode()
            self.newest[key] = len(self.records), content[1 + content[0] :]
            self.records.append(content)
        self.appended.set()
        self.appended = asyncio.Event()
        return first


class Store:
    """A log that loses nothing that it has acknowledged."""

    def __init__(self):
        self._partitions = collections.defaultdict(_Partition)
        # Topics and sizes of records that were too large.
        self.refused = []

    def routes(self):
        """Return the routes to serve."""
        return [
            web.post('/-/log-append', self._append),
            web.get('/-/log-read', self._read),
            web.get('/-/log-newest', self._newest),
        ]

    def put(self, topic, key, value):
        """Write a record as the operator or an executor does."""
        body = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        content = bytes([len(name)]) + name + body
        self._partitions[f'keyed.{topic}', 0].add([content])

    def value(self, topic, key):
        """Return the newest value of a key as JSON, or None."""
        found = self._partitions[f'keyed.{topic}', 0].newest.get(key)
        return json.loads(found[1]) if found and found[1] else None

    def _of(self, query):
        return self._partitions[query['topic'], int(query['part'])]

    async def _append(self, request):
        body, query = await request.read(), request.query
        if query['topic'] in FOREIGN:
            return web.json_response({}, status=403)
        contents = _split(body)
        largest = max(map(len, contents), default=0)
        if largest > MAX_RECORD_BYTES or len(body) > MAX_REQUEST_BYTES:
            self.refused.append((query['topic'], largest))
            return web.json_response({'reason': 'too large'}, status=400)
        partition = self._of(query)
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            status, answer = _apply(partition, query, body)
        await asyncio.sleep(ANSWER_S)
        return web.json_response(answer, status=status)

    async def _read(self, request):
        partition, query = self._of(request.query), request.query
        offset = int(query['from'])
        wait_s = int(query.get('wait-ms', 0)) / 1000
        if offset >= len(partition.records) and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(partition.appended.wait(), wait_s)
        await asyncio.sleep(ANSWER_S)
        limit, size = int(query.get('max-kb', 1024)) * 1024, 0
        parts = [HEAD.pack(len(partition.records), 0)]
        for content in partition.records[offset:]:
            size += len(content)
            if size > limit and len(parts) > 1:
                break
            parts.append(LENGTH.pack(len(content)) + content)
        return web.Response(body=b''.join(parts))

    async def _newest(self, request):
        partition = self._of(request.query)
        after, items, size = request.query.get('after', ''), [], 0
        await asyncio.sleep(ANSWER_S)
        left = sorted(
            (key, *entry)
            for key, entry in partition.newest.items()
            if key > after and entry[1]
        )
        for key, offset, value in left:
            size += len(value)
            if len(items) == MAX_ITEMS or (items and size > MAX_BYTES):
                break
            encoded = base64.b64encode(value).decode()
            items.append({'key': key, 'value': encoded, 'offset': offset})
        return web.json_response(
            {
                'items': items,
                'has-more': len(items) < len(left),
                'end': len(partition.records),
            }
        )


def _apply(partition, query, body):
    end, fence, key = len(partition.records), None, None
    if 'producer' in query:
        fence = partition.fences[query['producer']]
        key = int(query['epoch']), int(query['sequence'])
        if key[0] < fence.epoch:
            return 409, {'reason': 'fenced'}
        if key in fence.answers:
            return 200, fence.answers[key]
        if key[0] == fence.epoch and key[1] != fence.sequence + 1:
            return 409, {'reason': 'seq', 'sequence': fence.sequence + 1}
    if 'at' in query and int(query['at']) != end:
        return 412, {'end': end}
    offset = partition.add(_split(body))
    answer = {'offset': offset, 'end': len(partition.records)}
    if fence is not None:
        fence.epoch, fence.sequence = key
        fence.answers[key] = answer
        while len(fence.answers) > REMEMBERED:
            fence.answers.popitem(last=False)
    return 200, answer


def _split(body):
    contents, at = [], 0
    while at < len(body):
        (length,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        contents.append(body[at : at + length])
        at += length
    return contents
