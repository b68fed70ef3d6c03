"""Stand-in for the HTTP client of the store's adapter, over a narrow link.

It answers reads from an in-memory store in the format of the platform.
"""

import base64
import json
import struct

import attrs

from fakes import links
from hawthorndeal_fleet import errors
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import transport
from hawthorndeal_site import store as store_adapter


class StoreHttp:
    """Answers the reads of one daemon; see :class:`transport.HttpClient`.

    :param store: a :class:`keyed_store.KeyedStore`
    :param link: link between the daemon and the store
    """

    def __init__(self, store, link):
        self._store = store
        self._link = link

    async def send(
        self,
        method,
        url,
        timeout_s,
        body=None,
        params=None,
        headers=None,
        is_idle_timeout=False,
    ):
        """Return the response to one request."""
        path = url.partition('/-/')[2]
        partition = _partition(params)
        if path == 'log-read':
            offset = int(params['from'])
            wait_s = int(params['wait-ms']) / 1000
            limit_bytes = int(params['max-kb']) * 1024

            async def wait():
                await self._store.wait_for_read(partition, offset, wait_s)

            def answer():
                return _page(self._store, partition, offset, limit_bytes)

        else:
            wait = None

            def answer():
                return _newest(self._store, partition, params.get('after', ''))

        timing = links.Timing()
        response = await self._link.call(
            answer,
            wait,
            timeout_s,
            links.REQUEST_BYTES,
            lambda response: len(response.body),
            is_idle_timeout,
            timing,
        )
        latency_s, transfer_s = timing.times_s()
        return attrs.evolve(
            response, latency_s=latency_s, transfer_s=transfer_s
        )


def _partition(params):
    topic = params['topic'].removeprefix(store_adapter.TOPIC_PREFIX)
    return keyed_log.Partition(topic, int(params['part']))


def _page(store, partition, offset, limit_bytes):
    try:
        page = store.read(partition, offset, limit_bytes)
    except errors.OffsetExpired as error:
        body = json.dumps({'first-offset': error.first_offset}).encode()
        return transport.HttpResponse(410, body)
    header = struct.pack('>QQ', page.end, 0)
    body = b''.join(map(store_adapter.encode_record, page.records))
    return transport.HttpResponse(200, header + body)


def _newest(store, partition, after_key):
    page = store.newest(partition, after_key)
    items = [
        {
            'key': record.key,
            'value': base64.b64encode(record.value).decode(),
            'offset': record.offset,
        }
        for record in page.records
    ]
    plain = {
        'items': items,
        'has-more': bool(page.next_key),
        'end': page.end,
    }
    return transport.HttpResponse(200, json.dumps(plain).encode())
