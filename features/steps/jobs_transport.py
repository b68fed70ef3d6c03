"""Steps for the HTTP client of the adapters, over real sockets."""

import asyncio
import contextlib
import socket
import time

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_platform import transport

PARTS = 6
PART = b'x' * 1000
HEAD = f'HTTP/1.1 200 OK\r\nContent-Length: {PARTS * len(PART)}\r\n\r\n'


@attrs.frozen
class _Server:
    """Writes parts of one response, then closes or falls silent."""

    parts: int
    gap_s: float
    is_stopping: bool
    served: asyncio.Event = attrs.Factory(asyncio.Event)

    async def serve(self, reader, writer):
        """Serve one connection until the client closes it."""
        with contextlib.suppress(ConnectionError):
            await self._write(reader, writer)
        writer.close()
        self.served.set()

    async def _write(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        if self.parts:
            writer.write(HEAD.encode())
        for number in range(self.parts):
            if number:
                await asyncio.sleep(self.gap_s)
            writer.write(PART)
            await writer.drain()
        if self.is_stopping:
            await reader.read()


@given(
    'a server that writes {parts:d} of 6 parts {gap_s:g} s apart, '
    'then {then:w}'
)
def make_server(context, parts, gap_s, then):
    context.server = _Server(parts, gap_s, then == 'stops')


@when('it is called with {kind} timeout of {timeout_s:g} s')
def call_server(context, kind, timeout_s):
    context.response = asyncio.run(
        _call(context, kind == 'an idle', timeout_s)
    )


async def _call(context, is_idle_timeout, timeout_s):
    listening = await asyncio.start_server(context.server.serve, '127.0.0.1')
    host, port = listening.sockets[0].getsockname()
    client = transport.HttpClient()
    begun_s = time.monotonic()
    try:
        return await client.send(
            'GET',
            f'http://{host}:{port}/',
            timeout_s,
            is_idle_timeout=is_idle_timeout,
        )
    except errors.OutcomeUnknown:
        return None
    finally:
        context.took_s = time.monotonic() - begun_s
        await client.close()
        await context.server.served.wait()
        listening.close()


@then('the call has {outcome:w} after {least_s:g} to {most_s:g} seconds')
def check_call_outcome(context, outcome, least_s, most_s):
    response = context.response
    assert (response is not None) is (outcome == 'succeeded'), response
    assert response is None or response.body == PARTS * PART
    assert least_s <= context.took_s <= most_s, context.took_s


@then(
    'the response began within {most_s:g} s, and took {least_s:g} to '
    '{longest_s:g} s from then on'
)
def check_times(context, most_s, least_s, longest_s):
    response = context.response
    assert 0 < response.latency_s <= most_s, response.latency_s
    assert least_s <= response.transfer_s <= longest_s, response.transfer_s


@given('a server that takes no more connections')
def make_full_server(context):
    server = socket.socket()
    server.bind(('127.0.0.1', 0))
    server.listen(0)
    context.add_cleanup(server.close)
    context.address = server.getsockname()
    # The kernel completes a few connections before it drops further ones.
    for _ in range(3):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex(context.address)
        context.add_cleanup(waiting.close)


@when('it is called by a client that connects within {timeout_s:g} s')
def call_full_server(context, timeout_s):
    client = transport.HttpClient(
        connect_timeout_s=timeout_s, reuses_connections=False
    )
    host, port = context.address

    async def call():
        begun_s = time.monotonic()
        try:
            await client.send('POST', f'http://{host}:{port}/', 2.0, {})
        except errors.PlatformError as error:
            return error, time.monotonic() - begun_s
        finally:
            await client.close()

    context.error, context.took_s = asyncio.run(call())


@then('the call is told as not sent within {limit_s:g} s')
def check_not_sent(context, limit_s):
    assert isinstance(context.error, errors.PlatformUnavailable), context.error
    assert context.took_s <= limit_s, context.took_s
