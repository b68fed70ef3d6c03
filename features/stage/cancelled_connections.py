"""Program that gives up calls while their connections are being opened.

It ends with 0 if all other calls got their own answers. It is a process of its
own, since the fault that it looks for aborts the process.
"""

import asyncio
import itertools
import sys

import uvloop

from hawthorndeal_platform import transport

STEADY_CALLERS = 4
CALLS_PER_CALLER = 12
CALLS_PER_ROUND = 20
# Steps of the event loop after which a call is given up.
MAX_STEPS = 14
TIMEOUT_S = 5.0
BACKLOG = 4096


async def _serve(reader, writer):
    """Answer each call with its path."""
    try:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            body = head.split()[1]
            size = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(size.encode() + body)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def _give_up(client, url, steps):
    """Call, and give up after some steps of the event loop."""
    call = asyncio.create_task(client.send('GET', url, TIMEOUT_S))
    for _ in range(steps):
        await asyncio.sleep(0)
    call.cancel()
    await asyncio.wait([call])


async def _call_steadily(url, name):
    """Return the number of calls that didn't get their own answer."""
    client = transport.HttpClient(1, reuses_connections=False)
    wrong = 0
    for number in range(CALLS_PER_CALLER):
        path = f'/{name}/{number}'
        answer = await client.send('GET', url + path, TIMEOUT_S)
        wrong += answer.body != path.encode()
    await client.close()
    return wrong


async def _run():
    server = await asyncio.start_server(_serve, '127.0.0.1', backlog=BACKLOG)
    host, port = server.sockets[0].getsockname()
    url = f'http://{host}:{port}'
    client = transport.HttpClient(10 * CALLS_PER_ROUND)
    steady = asyncio.gather(
        *(_call_steadily(url, name) for name in range(STEADY_CALLERS))
    )
    steps = itertools.cycle(range(MAX_STEPS))
    while not steady.done():
        await asyncio.gather(
            *(
                _give_up(client, f'{url}/{number}', next(steps))
                for number in range(CALLS_PER_ROUND)
            )
        )
    await client.close()
    server.close()
    return sum(steady.result())


if __name__ == '__main__':
    sys.exit(uvloop.run(_run()))
