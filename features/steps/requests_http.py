"""Steps that send raw HTTP to the callers' interface of an entry host."""

import asyncio
import json
import socket
import time

from behave import given
from behave import then
from behave import when

from hawthorndeal_daemon import callers
from hawthorndeal_daemon import control
from hawthorndeal_daemon import web
from stage import request_bench
from steps import requests_faults

MAX_BODY_BYTES = 10_000
MAX_HELD_BYTES = 20_000
READ_TIMEOUT_S = 4.0


class _NoMetrics:
    def count(self, name):
        """Ignore the event."""


async def _serve(context, name, make, max_connections=1000):
    port = _free_port()
    server = web.WebServer(name, make, f'127.0.0.1:{port}', max_connections)
    context.port = port
    task = asyncio.create_task(server.run())
    context.add_cleanup(lambda: context.runner.run(_end(task)))
    async with asyncio.timeout(READ_TIMEOUT_S):
        while not await _is_open(port):
            await asyncio.sleep(0.02)
            assert not task.done(), task


def _free_port():
    with socket.create_server(('127.0.0.1', 0)) as server:
        return server.getsockname()[1]


async def _is_open(port):
    try:
        _, writer = await asyncio.open_connection('127.0.0.1', port)
    except OSError:
        return False
    writer.close()
    return True


async def _end(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@given('an entry host that serves callers')
@requests_faults.on_bench
async def serve_callers(context, max_connections=1000):
    context.add_cleanup(
        setattr, web, 'REQUEST_TIMEOUT_S', web.REQUEST_TIMEOUT_S
    )
    web.REQUEST_TIMEOUT_S = 1
    entry = context.entry
    options = request_bench.make_settings(
        max_body_bytes=MAX_BODY_BYTES, max_held_bytes=MAX_HELD_BYTES
    )
    await _serve(
        context,
        'callers-test',
        lambda: callers.make_app(
            entry.dispatcher,
            entry.follower,
            entry.writer,
            options,
            _NoMetrics(),
            entry.clock,
        ),
        max_connections,
    )


@given('an entry host that serves {count:d} connections of callers')
def serve_limited(context, count):
    serve_callers(context, count)


@given('an entry host that serves operators')
@requests_faults.on_bench
async def serve_operators(context):
    options = request_bench.make_settings(
        operator_tokens={'ops': 'x'}, peer_token='y'
    )
    entry = context.entry
    await _serve(
        context,
        'control-test',
        lambda: control.make_app(
            entry.follower, entry.writer, None, None, options
        ),
    )


def _request(
    path='/v1/services/checker/requests',
    method='POST',
    body=b'x',
    length=None,
    **changes,
):
    headers = {
        'Host': 'h',
        'Content-Length': str(len(body) if length is None else length),
        'Hd-Workspace': 'w',
        'Hd-Request-Id': 'id',
        'Hd-Deadline-S': f'{time.time() + 2.0:.3f}',
        'Hd-Idempotent': 'true',
    }
    for name, value in changes.items():
        headers[name.replace('_', '-')] = value
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{k}: {v}' for k, v in headers.items() if v is not None]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def _chunked():
    chunk = b'1000\r\n' + b'x' * 4096 + b'\r\n'
    head = _request(body=b'', Content_Length=None, Transfer_Encoding='chunked')
    return head + chunk * 10 + b'0\r\n\r\n'


_INPUTS = {
    'no workspace': lambda: _request(Hd_Workspace=None),
    'an unknown workspace': lambda: _request(Hd_Workspace='other'),
    'an unknown service': lambda: _request('/v1/services/none/requests'),
    'a deadline of nan': lambda: _request(Hd_Deadline_S='nan'),
    'a deadline of inf': lambda: _request(Hd_Deadline_S='inf'),
    'a deadline of -1': lambda: _request(Hd_Deadline_S='-1'),
    'a deadline of 1e300': lambda: _request(Hd_Deadline_S='1e300'),
    'a deadline of tomorrow': lambda: _request(Hd_Deadline_S='tomorrow'),
    'a deadline of 10^9 s': lambda: _request(
        Hd_Deadline_S=str(time.time() + 1e9)
    ),
    'idempotent maybe': lambda: _request(Hd_Idempotent='maybe'),
    'urgency extreme': lambda: _request(Hd_Urgency='extreme'),
    'an id of 300 characters': lambda: _request(Hd_Request_Id='i' * 300),
    'a body over the limit': lambda: _request(body=b'x' * 20_000),
    'a chunked body over the limit': _chunked,
    'a header of 100 kB': lambda: _request(Hd_Request_Id='i' * 100_000),
    'not HTTP at all': lambda: b'\x16\x03\x01\x02\x00\x01\r\n\r\n',
    'an invalid content length': lambda: _request(length='minus one'),
    'the path of operators': lambda: _request('/v1/applies'),
    'the path of peers': lambda: _request('/v1/peers/exchange'),
    'the wrong method': lambda: _request(method='DELETE'),
    'an incomplete head': lambda: _request()[:40],
    'an incomplete body': lambda: _request(length=5000),
}


async def _exchange(context, data):
    reader, writer = await asyncio.open_connection('127.0.0.1', context.port)
    try:
        writer.write(data)
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await _read_answer(reader)
    finally:
        writer.close()


async def _read_answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    length = next(
        line.partition(': ')[2]
        for line in head.split('\r\n')
        if line.startswith('content-length')
    )
    return int(head.split()[1]), await reader.readexactly(int(length))


@then('each of these is answered not_run and other requests are still served')
@requests_faults.on_bench
async def check_invalid(context):
    mismatches = []
    for row in context.table:
        answered = None
        try:
            answered = status, body = await _exchange(
                context, _INPUTS[row['sent']]()
            )
            answer = json.loads(body)
            got = (str(status), answer['reason'], answer['outcome'])
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as error:
            got = repr(error), answered
        if got != (row['status'], row['reason'], 'not_run'):
            mismatches.append((row['sent'], got))
        good = await _exchange(context, _request())
        assert good == (200, b'x'), (row['sent'], good)
    assert not mismatches, mismatches


@when('each of two callers has sent {size:d} bytes of a larger body')
@requests_faults.on_bench
async def send_partial_bodies(context, size):
    part = _request(body=b'x' * size, length=MAX_BODY_BYTES)
    context.partial_uploads = [
        asyncio.create_task(_exchange(context, part)) for _ in range(2)
    ]
    await asyncio.sleep(0.1)


@then('a request with {size:d} bytes is told {reason:w}')
@requests_faults.on_bench
async def check_refused(context, size, reason):
    _, body = await _exchange(context, _request(body=b'x' * size))
    answer = json.loads(body)
    assert (answer['outcome'], answer['reason']) == ('not_run', reason), answer
    assert answer['retry_after_s'] > 0, answer


@when('those two callers have been told {reason:w}')
@requests_faults.on_bench
async def await_partial_uploads(context, reason):
    for status, body in await asyncio.gather(*context.partial_uploads):
        assert json.loads(body)['reason'] == reason, (status, body)


@then('a request with {size:d} bytes is answered')
@requests_faults.on_bench
async def check_size(context, size):
    got = await _exchange(context, _request(body=b'x' * size))
    assert got == (200, b'x' * size), got[0]


@when('{count:d} idle connections are open')
@requests_faults.on_bench
async def open_idle(context, count):
    # Lets the server close the connections of the readiness checks first.
    await asyncio.sleep(0.1)
    context.idle = [
        await asyncio.open_connection('127.0.0.1', context.port)
        for _ in range(count)
    ]
    await asyncio.sleep(0.05)


@then('one more is told {reason:w}')
@requests_faults.on_bench
async def check_next_connection(context, reason):
    status, body = await _exchange(context, _request())
    assert (status, json.loads(body)['reason']) == (503, reason), body


@when('one of them closes')
@requests_faults.on_bench
async def close_one(context):
    context.idle[0][1].close()
    await asyncio.sleep(0.05)


@then('a request is answered')
@requests_faults.on_bench
async def check_answered(context):
    assert await _exchange(context, _request()) == (200, b'x')


@when(
    'a caller sends a request with idempotent {idempotent:w} and disconnects'
)
@requests_faults.on_bench
async def disconnect(context, idempotent):
    near = context.bench.near
    near.delay_s = 0.5
    _, writer = await asyncio.open_connection('127.0.0.1', context.port)
    writer.write(_request(Hd_Idempotent=idempotent))
    await request_bench.wait_for(lambda: near.runs['id'])
    writer.close()


@then('the work at the endpoint is cancelled')
@requests_faults.on_bench
async def check_cancelled(context):
    near = context.bench.near
    await request_bench.wait_for(
        lambda: not context.entry.dispatcher._running, 0.4
    )
    assert not near.finished['id'], near.finished


@then('the work at the endpoint is finished')
@requests_faults.on_bench
async def check_finished(context):
    near = context.bench.near
    await asyncio.sleep(0.1)
    assert near.open and context.entry.dispatcher._running
    await request_bench.wait_for(lambda: near.finished['id'])
    await request_bench.wait_for(lambda: not context.entry.dispatcher._running)
    assert near.connections == 1, near.connections


@then("a caller's request there is told {status:d}")
@requests_faults.on_bench
async def check_status(context, status):
    got, _ = await _exchange(context, _request())
    assert got == status, got
