"""Call the platform over HTTP with JSON, giving each failure a type."""

import asyncio
import json
import socket
import struct

import aiohttp
import attrs

from hawthorndeal_fleet import errors

HTTP_GONE = 410
HTTP_RANGE_NOT_SATISFIABLE = 416
HTTP_ERROR = 400
HTTP_SERVER_ERROR = 500
# A connection that gets no acknowledgement for this long is dead.
USER_TIMEOUT_MS = 2000
MAX_CONNECTIONS_PER_HOST = 8
# Closing resets, so that nothing cut off on the way arrives later.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen
class Answer:
    """Hold one answer as it came."""

    status: int
    body: bytes

    def json(self, path):
        """Return the body as plain data.

        :raises errors.OutcomeUnknown: when it can't be read
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise errors.OutcomeUnknown(f'{path}: {error!r}') from error


class Exchange:
    """Send calls to any address, and return answers as they come.

    Connections are kept. One whose call was not answered is reset, so that
    bytes held up on the way can't take effect later.
    """

    def __init__(self):
        self._session = None

    async def send(
        self, method, url, timeout_s, body=None, params=None, headers=None
    ):
        """Return the answer to one call.

        :param body: bytes, or plain data that is sent as JSON
        :raises errors.PlatformUnavailable: nothing was sent
        :raises errors.OutcomeUnknown: the call may have taken effect
        """
        is_bytes = isinstance(body, bytes)
        try:
            async with self._open().request(
                method,
                url,
                data=body if is_bytes else None,
                json=None if is_bytes else body,
                params=params,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return Answer(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            raise errors.PlatformUnavailable(f'{url}: {error}') from error
        except (aiohttp.ClientError, OSError) as error:
            raise errors.OutcomeUnknown(f'{url}: {error!r}') from error
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown(f'{url}: timed out') from error

    def _open(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    limit_per_host=MAX_CONNECTIONS_PER_HOST,
                    socket_factory=_make_socket,
                ),
                skip_auto_headers=('User-Agent', 'Accept-Encoding'),
            )
        return self._session

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


def _make_socket(address_info):
    family, kind, protocol, *_ = address_info
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return made


class Transport:
    """Call one service of the platform.

    :param base_url: where the service is
    :param timeout_s: longest time for one call
    """

    def __init__(self, base_url, timeout_s):
        self._base_url = base_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session = None

    async def call(self, method, path, body=None, params=None):
        """Return the JSON answer of one call.

        :raises errors.PlatformUnavailable: nothing was sent
        :raises errors.OutcomeUnknown: the call may have taken effect
        :raises errors.PlatformRefused: the platform said no
        """
        session = self._open()
        try:
            async with session.request(
                method,
                self._base_url + path,
                json=body,
                params=params,
                timeout=self._timeout,
            ) as response:
                return await _read(response, path)
        except aiohttp.ClientConnectorError as error:
            raise errors.PlatformUnavailable(f'{path}: {error}') from error
        except (aiohttp.ClientError, ValueError) as error:
            raise errors.OutcomeUnknown(f'{path}: {error!r}') from error
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown(f'{path}: timed out') from error

    def _open(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                skip_auto_headers=('User-Agent', 'Accept-Encoding')
            )
        return self._session

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


async def _read(response, path):
    try:
        answer = await response.json(content_type=None)
    except RecursionError as error:
        raise errors.AnswerTooDeep(path) from error
    if response.status < HTTP_ERROR:
        return answer
    if response.status == HTTP_GONE:
        raise errors.OffsetExpired(answer['offset'], answer['first_offset'])
    if response.status == HTTP_RANGE_NOT_SATISFIABLE:
        raise errors.OffsetBeyondEnd(answer['offset'], answer['next_offset'])
    if response.status >= HTTP_SERVER_ERROR:
        raise errors.OutcomeUnknown(f'{path}: status {response.status}')
    raise errors.PlatformRefused(
        f'{path}: status {response.status}: {answer!r:.200}'
    )
