"""HTTP clients that map each failure to an exception type."""

import asyncio
import socket
import struct
import time

import aiohttp
import attrs

from hawthorndeal_fleet import errors

from . import connector
from . import strict_json

HTTP_GONE = 410
HTTP_RANGE_NOT_SATISFIABLE = 416
HTTP_ERROR = 400
HTTP_SERVER_ERROR = 500
# A connection without TCP acknowledgements for this long is closed.
USER_TIMEOUT_MS = 2000
MAX_CONNECTIONS_PER_HOST = 8
# Longest time of a call whose timeout begins again with each part.
MAX_TRANSFER_S = 120.0
# SO_LINGER with timeout 0: close() sends RST and discards unsent data, so that
# a call that was given up can't arrive later.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@attrs.frozen
class HttpResponse:
    """Status and body of one HTTP response.

    :ivar latency_s: time until the first part of the body arrived
    :ivar transfer_s: time from then until the last part arrived
    """

    status: int
    body: bytes
    latency_s: float = 0.0
    transfer_s: float = 0.0

    def json(self, path):
        """Return the decoded JSON body.

        :raises errors.OutcomeUnknown: if the body can't be decoded
        """
        try:
            return strict_json.loads(self.body)
        except ValueError as error:
            raise errors.OutcomeUnknown(f'{path}: {error!r}') from error

    def json_object(self, path):
        """Return the decoded JSON body, which has to be an object.

        :raises errors.OutcomeUnknown: if it is none
        """
        plain = self.json(path)
        if not isinstance(plain, dict):
            raise errors.OutcomeUnknown(
                f'{path}: expected an object, got a {type(plain).__name__}'
            )
        return plain

    def json_int(self, path, name):
        """Return an integer in the decoded JSON body.

        :raises errors.OutcomeUnknown: if there is none of this name
        """
        number = self.json_object(path).get(name)
        if not isinstance(number, int) or isinstance(number, bool):
            raise errors.OutcomeUnknown(
                f'{path}: {name} is a {type(number).__name__}'
            )
        return number


class HttpClient:
    """Send requests to any address, and return undecoded responses.

    Connections are reused. A connection whose request got no response is
    reset, so that delayed bytes of it can't take effect later.

    :param max_connections_per_host: further calls to a host wait
    :param connect_timeout_s: time limit of the connection alone; None for none
    :param reuses_connections: False to open one for each call, so that a call
        to a host that can't be reached is known not to have been sent
    """

    def __init__(
        self,
        max_connections_per_host=MAX_CONNECTIONS_PER_HOST,
        connect_timeout_s=None,
        reuses_connections=True,
    ):
        self._max_connections_per_host = max_connections_per_host
        self._connect_timeout_s = connect_timeout_s
        self._reuses_connections = reuses_connections
        self._session = None

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
        """Return the response to one request.

        :param body: bytes, or plain data to send as JSON
        :param is_idle_timeout: whether the timeout begins again with each
            part of the response, so that a long one may take longer
        :raises errors.PlatformUnavailable: nothing was sent
        :raises errors.OutcomeUnknown: the call may have taken effect
        """
        is_bytes = isinstance(body, bytes)
        sent_s = time.monotonic()
        try:
            async with self._get_session().request(
                method,
                url,
                data=body if is_bytes else None,
                json=None if is_bytes else body,
                params=params,
                headers=headers,
                timeout=self._client_timeout(timeout_s, is_idle_timeout),
            ) as response:
                return await _read_response(response, sent_s)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            # Raised before anything is sent, as are texts that can't be
            # encoded.
            aiohttp.InvalidURL,
            UnicodeError,
        ) as error:
            raise errors.PlatformUnavailable(f'{url}: {error}') from error
        except (aiohttp.ClientError, OSError) as error:
            raise errors.OutcomeUnknown(f'{url}: {error!r}') from error
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown(f'{url}: timed out') from error

    def _client_timeout(self, timeout_s, is_idle):
        if not is_idle:
            return aiohttp.ClientTimeout(
                total=timeout_s, sock_connect=self._connect_timeout_s
            )
        return aiohttp.ClientTimeout(
            total=MAX_TRANSFER_S, connect=timeout_s, sock_read=timeout_s
        )

    def _get_session(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=connector.Connector(
                    limit=0,
                    limit_per_host=self._max_connections_per_host,
                    socket_factory=_create_socket,
                    force_close=not self._reuses_connections,
                ),
                skip_auto_headers=('User-Agent', 'Accept-Encoding'),
            )
        return self._session

    async def close(self):
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


async def _read_response(response, sent_s):
    first_part = await response.content.readany()
    begun_s = time.monotonic()
    body = first_part + await response.read()
    return HttpResponse(
        response.status, body, begun_s - sent_s, time.monotonic() - begun_s
    )


def _create_socket(address_info):
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
    return sock


class Transport:
    """Call one service of the platform with JSON bodies.

    :param base_url: URL of the service
    :param timeout_s: time limit of one call
    """

    def __init__(self, base_url, timeout_s):
        self._base_url = base_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session = None

    async def call(self, method, path, body=None, params=None):
        """Return the decoded answer to one call.

        :raises errors.PlatformUnavailable: nothing was sent
        :raises errors.OutcomeUnknown: the call may have taken effect
        :raises errors.PlatformRefused: the platform rejected the call
        """
        session = self._get_session()
        try:
            async with session.request(
                method,
                self._base_url + path,
                json=body,
                params=params,
                timeout=self._timeout,
            ) as response:
                return await _decode_response(response, path)
        except aiohttp.ClientConnectorError as error:
            raise errors.PlatformUnavailable(f'{path}: {error}') from error
        except (aiohttp.ClientError, ValueError) as error:
            raise errors.OutcomeUnknown(f'{path}: {error!r}') from error
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown(f'{path}: timed out') from error

    def _get_session(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=connector.Connector(),
                skip_auto_headers=('User-Agent', 'Accept-Encoding'),
            )
        return self._session

    async def close(self):
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


async def _decode_response(response, path):
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
