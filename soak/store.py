"""Stand-in of the platform's store: a log with keyed topics."""

import argparse
import asyncio
import base64
import collections
import contextlib
import json
import struct

from aiohttp import web

from . import events
from . import serving

ANSWER_S = 0.001
APPEND_S = 0.003
MAX_NEWEST = 500
MAX_NEWEST_BYTES = 1_000_000
REMEMBERED_APPENDS = 5
KEYED = 'keyed.'
# Topics that the operator and the executors write to.
FOREIGN = ('keyed.op', 'keyed.servers')
# Path at which the other stand-ins write keyed records.
PUT_PATH = '/put'
# Path that tells how often each call was made.
CALLS_PATH = '/calls'
LENGTH = struct.Struct('>I')
HEAD = struct.Struct('>QQ')


class _Fence:
    """What a partition knows of one producer."""

    def __init__(self):
        self.epoch = -1
        self.sequence = 0
        self.answers = collections.OrderedDict()


class _Partition:
    """One partition of a topic."""

    def __init__(self, is_keyed):
        self.is_keyed = is_keyed
        self.records = []
        self.newest = {}
        self.fences = collections.defaultdict(_Fence)
        self.lock = asyncio.Lock()
        self.appended = asyncio.Event()

    def add(self, contents):
        """Append records; return the offset of the first."""
        first = len(self.records)
        for content in contents:
            if self.is_keyed:
                size = content[0]
                key = content[1 : 1 + size].decode()
                self.newest[key] = len(self.records), content[1 + size :]
            self.records.append(content)
        self.appended.set()
        self.appended = asyncio.Event()
        return first


class Store:
    """A log that never loses what it has acknowledged.

    :ivar calls: number of calls by path
    """

    def __init__(self):
        self._partitions = {}
        self.calls = collections.Counter()

    def routes(self):
        """Return the routes to serve."""
        return [
            web.post('/-/log-append', self._append),
            web.get('/-/log-read', self._read),
            web.get('/-/log-newest', self._newest),
            web.post(PUT_PATH, self._put),
            web.get(CALLS_PATH, self._tell_calls),
        ]

    def partition(self, topic, number=0):
        """Return a partition, which is created on first use."""
        key = topic, number
        if key not in self._partitions:
            self._partitions[key] = _Partition(topic.startswith(KEYED))
        return self._partitions[key]

    async def _put(self, request):
        """Write keyed records as the operator or an executor does."""
        partition = self.partition(KEYED + request.query['topic'])
        partition.add(
            _keyed_content(key, value) for key, value in await request.json()
        )
        return web.json_response({})

    async def _tell_calls(self, request):
        return web.json_response(dict(self.calls))

    def _of(self, request):
        self.calls[request.path] += 1
        query = request.query
        return self.partition(query['topic'], int(query['part']))

    async def _append(self, request):
        body = await request.read()
        query = request.query
        if query['topic'] in FOREIGN:
            return web.json_response({}, status=403)
        partition = self._of(request)
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            status, answer = self._apply(partition, query, body)
        await asyncio.sleep(ANSWER_S)
        return web.json_response(answer, status=status)

    def _apply(self, partition, query, body):
        end = len(partition.records)
        fence, key = None, None
        if 'producer' in query:
            fence = partition.fences[query['producer']]
            epoch, sequence = int(query['epoch']), int(query['sequence'])
            key = epoch, sequence
            if epoch < fence.epoch:
                return 409, {'reason': 'fenced'}
            if key in fence.answers:
                return 200, fence.answers[key]
            if epoch == fence.epoch and sequence != fence.sequence + 1:
                expected = fence.sequence + 1
                return 409, {'reason': 'seq', 'sequence': expected}
        if 'at' in query and int(query['at']) != end:
            return 412, {'end': end}
        offset = partition.add(_split(body))
        answer = {'offset': offset, 'end': len(partition.records)}
        if fence is not None:
            fence.epoch, fence.sequence = key
            fence.answers[key] = answer
            while len(fence.answers) > REMEMBERED_APPENDS:
                fence.answers.popitem(last=False)
        return 200, answer

    async def _read(self, request):
        partition, query = self._of(request), request.query
        offset = int(query['from'])
        wait_s = int(query.get('wait-ms', 0)) / 1000
        if offset >= len(partition.records) and wait_s:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(partition.appended.wait(), wait_s)
        await asyncio.sleep(ANSWER_S)
        limit_bytes = int(query.get('max-kb', 1024)) * 1024
        parts = [HEAD.pack(len(partition.records), 0)]
        size_bytes = 0
        for content in partition.records[offset:]:
            size_bytes += len(content)
            if size_bytes > limit_bytes and len(parts) > 1:
                break
            parts.append(LENGTH.pack(len(content)) + content)
        return web.Response(body=b''.join(parts))

    async def _newest(self, request):
        partition, query = self._of(request), request.query
        await asyncio.sleep(ANSWER_S)
        after, items, size_bytes = query.get('after', ''), [], 0
        left = sorted(
            (key, *entry)
            for key, entry in partition.newest.items()
            if key > after and entry[1]
        )
        for key, offset, value in left:
            size_bytes += len(value)
            if len(items) == MAX_NEWEST or size_bytes > MAX_NEWEST_BYTES:
                break
            encoded = base64.b64encode(value).decode()
            items.append({'key': key, 'value': encoded, 'offset': offset})
        answer = {
            'items': items,
            'has-more': len(items) < len(left),
            'end': len(partition.records),
        }
        return web.json_response(answer)


def _keyed_content(key, value):
    name = key.encode()
    body = b'' if value is None else json.dumps(value).encode()
    return bytes([len(name)]) + name + body


def _split(body):
    contents, at = [], 0
    while at < len(body):
        (length,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        contents.append(body[at : at + length])
        at += length
    return contents


@contextlib.asynccontextmanager
async def _serve():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--events', required=True)
    recorder = events.Recorder(parser.parse_args().events)
    runner, address = await serving.serve(Store().routes())
    watch = asyncio.create_task(serving.watch_lateness(recorder, 'store'))
    yield address
    watch.cancel()
    await runner.cleanup()
    recorder.close()


if __name__ == '__main__':
    serving.run_process(_serve)
