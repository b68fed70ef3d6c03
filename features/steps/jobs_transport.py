"""Steps for the HTTP client of the adapters, over real sockets."""

import asyncio
import contextlib
import json
import re
import socket
import struct
import subprocess
import sys
import time

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import transport
from hawthorndeal_site import store as store_adapter

PARTS = 6
READ_WAIT_S = 0.3
APPEND_PAUSE_S = 0.05
PROCESS_TIMEOUT_S = 60.0
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


@attrs.frozen
class _PartlySilentStore:
    """Store that answers no calls to its first partitions."""

    silent: int

    async def serve(self, reader, writer):
        """Serve the calls of one connection until the client closes it."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._serve_call(reader, writer)
        writer.close()

    async def _serve_call(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        length = re.search(r'Content-Length: (\d+)', head)
        await reader.readexactly(int(length[1]) if length else 0)
        if int(re.search(r'part=(\d+)', head)[1]) < self.silent:
            await reader.read()
            return
        body = json.dumps({'offset': 0}).encode()
        if 'log-read' in head:
            await asyncio.sleep(READ_WAIT_S)
            body = struct.pack('>QQ', 0, 0)
        answer = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(answer.encode() + body)
        await writer.drain()


@given('a store whose partitions 0 to {last:d} of {count:d} answer nothing')
def make_store(context, last, count):
    context.silent, context.count = last + 1, count


@when(
    'a daemon reads all partitions, and appends twice to each silent one, for '
    '{seconds:g} s'
)
def use_store(context, seconds):
    context.took_s = asyncio.run(_use_store(context, seconds))


async def _use_store(context, seconds):
    server = _PartlySilentStore(context.silent)
    listening = await asyncio.start_server(server.serve, '127.0.0.1')
    host, port = listening.sockets[0].getsockname()
    client = store_adapter.make_client(context.count, 0)
    log = store_adapter.Store(client, f'{host}:{port}')
    partitions = [keyed_log.Partition('x', n) for n in range(context.count)]
    silent = partitions[: context.silent]
    busy = [asyncio.create_task(_read(log, p)) for p in partitions]
    busy += [asyncio.create_task(_append(log, p)) for p in silent * 2]
    took_s = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        begun_s = time.monotonic()
        await log.append(partitions[9], [])
        took_s.append(time.monotonic() - begun_s)
        await asyncio.sleep(APPEND_PAUSE_S)
    for task in busy:
        task.cancel()
    await client.close()
    listening.close()
    return took_s


async def _read(log, partition):
    while True:
        with contextlib.suppress(errors.PlatformError):
            await log.read(partition, 0, READ_WAIT_S)


async def _append(log, partition):
    with contextlib.suppress(errors.PlatformError):
        await log.append(partition, [])


@then('appends to partition 9 are answered within {limit_s:g} s meanwhile')
def check_appends(context, limit_s):
    assert max(context.took_s) <= limit_s, max(context.took_s)


@when('a process gives up calls while their connections are being opened')
def run_cancelling_process(context):
    context.process = subprocess.run(
        [sys.executable, '-m', 'stage.cancelled_connections'],
        capture_output=True,
        timeout=PROCESS_TIMEOUT_S,
    )


@then('it ends with 0, since all other calls got their own answers')
def check_process(context):
    process = context.process
    assert process.returncode == 0, (process.returncode, process.stderr[-800:])
