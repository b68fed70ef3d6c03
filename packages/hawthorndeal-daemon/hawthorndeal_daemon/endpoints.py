"""HTTP client for endpoints."""

import asyncio
import socket

import aiohttp
import attrs
import yarl

from hawthorndeal_fleet import calls
from hawthorndeal_fleet import errors
from hawthorndeal_platform import connector

REQUEST_ID_HEADER = 'Hd-Request-Id'
WORKSPACE_HEADER = 'Hd-Workspace'
DEADLINE_HEADER = 'Hd-Deadline-S'
NOT_RUN_HEADER = 'Hd-Not-Run'
LEAVING = 'leaving'
CONNECT_TIMEOUT_S = 0.25
IDLE_TIMEOUT_S = 5.0
# Longest gap between two chunks of an answer, whatever the deadline.
PROGRESS_TIMEOUT_S = 5.0
# A channel is retired when an interactive request waits this long and no
# connection of the channel delivers an answer meanwhile.
SILENCE_TIMEOUT_S = 2.0
USER_TIMEOUT_MS = 5000
KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def make_socket(address_info):
    """Return a socket that detects the loss of its peer."""
    family, kind, protocol, _, _ = address_info
    new_socket = socket.socket(family, kind, protocol)
    for level, option, value in _SOCKET_OPTIONS:
        new_socket.setsockopt(level, option, value)
    return new_socket


@attrs.define(eq=False)
class _Channel:
    """Connections to one endpoint that are retired together.

    :ivar last_answer_s: event loop time of the last complete answer
    """

    address: str
    session: aiohttp.ClientSession
    in_flight: int = 0
    last_answer_s: float = 0.0
    is_retired: bool = False
    _urls: dict = attrs.Factory(dict)

    def url(self, service):
        """Return the URL for requests of a service, parsed once."""
        url = self._urls.get(service)
        if url is None:
            url = yarl.URL(f'http://{self.address}/run/{service}')
            self._urls[service] = url
        return url


class EndpointClient:
    """HTTP client that owns the connections to endpoints.

    A connection carries one request at a time and is closed if that request
    ends in anything but a complete answer. When one connection of a channel
    appears dead, the whole channel is retired: none of its connections is
    used for further requests.

    :param max_answer_bytes: maximum size of an answer's body
    :param clock: source of wall-clock time
    """

    def __init__(self, max_answer_bytes, clock):
        self._max_answer_bytes = max_answer_bytes
        self._clock = clock
        self._channels = {}
        self._retired = set()

    async def send(self, request, name, address, timeout_s):
        """Send a request to an endpoint and return its complete answer.

        :param request: the caller's request
        :param name: the endpoint's name
        :param address: the endpoint's address
        :param timeout_s: time to the deadline, in seconds
        :rtype: calls.Answer
        :raises errors.NoEndpoint: if no byte was sent
        :raises errors.EndpointRefused: if the endpoint did not run it
        :raises errors.UnknownOutcome: if it may have run
        """
        channel = self._channel(name, address)
        channel.in_flight += 1
        silence_timer = self._start_silence_timer(request, name, channel)
        try:
            answer = await self._exchange(request, name, channel, timeout_s)
            channel.last_answer_s = asyncio.get_running_loop().time()
            return answer
        except errors.UnknownOutcome:
            self._retire(name, channel)
            raise
        finally:
            if silence_timer is not None:
                silence_timer.cancel()
            await self._release(channel)

    async def is_refusing(self, address):
        """Return whether nothing listens at an address.

        An endpoint that is only cut off refuses no connection.
        """
        ip, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError, asyncio.TimeoutError):
            return False
        writer.transport.abort()
        return False

    def _channel(self, name, address):
        channel = self._channels.get(name)
        if channel is None or channel.address != address:
            if channel is not None:
                self._retire(name, channel)
            channel = _Channel(address, _open_session(self._clock))
            self._channels[name] = channel
        return channel

    def _start_silence_timer(self, request, name, channel):
        if request.urgency is not calls.Urgency.INTERACTIVE:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(
            SILENCE_TIMEOUT_S,
            self._retire_if_silent,
            name,
            channel,
            loop.time(),
        )

    def _retire_if_silent(self, name, channel, sent_s):
        # If other requests were answered since, this request is slow and the
        # connections work.
        if channel.last_answer_s < sent_s:
            self._retire(name, channel)

    def _retire(self, name, channel):
        if channel.is_retired:
            return
        channel.is_retired = True
        self._retired.add(channel)
        if self._channels.get(name) is channel:
            del self._channels[name]

    async def _release(self, channel):
        channel.in_flight -= 1
        if channel.is_retired and not channel.in_flight:
            self._retired.discard(channel)
            await channel.session.close()

    async def _exchange(self, request, name, channel, timeout_s):
        try:
            async with channel.session.post(
                channel.url(request.service),
                data=request.body,
                headers={
                    REQUEST_ID_HEADER: request.request_id,
                    WORKSPACE_HEADER: request.workspace,
                    DEADLINE_HEADER: f'{request.deadline_s:.3f}',
                },
                # Following a redirect would run the request a second time.
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                return await self._read_answer(response, request, name)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.NoEndpoint(f'{name}: {error}') from error
        except asyncio.TimeoutError as error:
            raise errors.AnswerLate(
                f'{name}: no answer before the deadline'
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise errors.ConnectionBroken(f'{name}: {error!r:.200}') from error
        except ValueError as error:
            raise errors.AnswerLost(f'{name}: {error!r:.200}') from error

    async def _read_answer(self, response, request, name):
        echoed = response.headers.get(REQUEST_ID_HEADER, request.request_id)
        if echoed != request.request_id:
            raise _answer_lost(
                response, f'{name}: the answer is for request {echoed!r:.80}'
            )
        body = await self._read_body(response, name)
        if NOT_RUN_HEADER in response.headers:
            raise _refusal(response, name)
        return calls.Answer(
            status=response.status,
            body=body,
            content_type=response.headers.get('Content-Type', ''),
            content_encoding=response.headers.get('Content-Encoding', ''),
            endpoint=name,
        )

    async def _read_body(self, response, name):
        if not _is_delimited(response):
            raise _answer_lost(response, f'{name}: the answer has no length')
        if (response.content_length or 0) > self._max_answer_bytes:
            raise self._too_long(response, name)
        chunks = []
        size_bytes = 0
        while not response.content.at_eof():
            chunk = await _read_chunk(response, name)
            size_bytes += len(chunk)
            if size_bytes > self._max_answer_bytes:
                raise self._too_long(response, name)
            chunks.append(chunk)
        return b''.join(chunks)

    def _too_long(self, response, name):
        return _answer_lost(
            response,
            f'{name}: the answer exceeds {self._max_answer_bytes} bytes',
        )

    async def close(self):
        """Close the connections."""
        for channel in (*self._channels.values(), *self._retired):
            await channel.session.close()


class _DeadlineConnector(connector.Connector):
    """Connector that fails requests whose deadline has passed.

    The daemon may have been paused while it connected, and a claim is valid
    only until the deadline.
    """

    def __init__(self, clock, **options):
        super().__init__(**options)
        self._clock = clock

    async def connect(self, req, traces, timeout):
        """Return a connection; the request is written to it at once."""
        connection = await super().connect(req, traces, timeout)
        overdue_s = self._clock.now_s() - float(req.headers[DEADLINE_HEADER])
        if overdue_s >= 0:
            connection.close()
            raise errors.DeadlinePassed(
                f'connected {overdue_s:.3f} s after the deadline'
            )
        return connection


def _open_session(clock):
    return aiohttp.ClientSession(
        connector=_DeadlineConnector(
            clock,
            limit=0,
            keepalive_timeout=IDLE_TIMEOUT_S,
            socket_factory=make_socket,
        ),
        # Cookies of one caller's answer must not be sent for another caller.
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept-Encoding'),
    )


def _answer_lost(response, detail):
    response.close()
    return errors.AnswerLost(detail)


def _refusal(response, name):
    if response.headers[NOT_RUN_HEADER] == LEAVING:
        return errors.EndpointLeaving(f'{name} is shutting down')
    return errors.EndpointRefused(
        f'{name}: refused with status {response.status}'
    )


def _is_delimited(response):
    # A body that is delimited by the end of the connection can't be told from
    # a truncated one.
    return (
        response.status in (204, 304)
        or 'Content-Length' in response.headers
        or 'chunked' in response.headers.get('Transfer-Encoding', '').lower()
    )


async def _read_chunk(response, name):
    # Most answers have arrived completely by now and need no timeout.
    chunk = response.content.read_nowait()
    if chunk:
        return chunk
    try:
        async with asyncio.timeout(PROGRESS_TIMEOUT_S):
            return await response.content.readany()
    except asyncio.TimeoutError:
        raise _answer_lost(response, f'{name}: the answer stalled') from None
