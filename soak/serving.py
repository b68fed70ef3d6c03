"""Serving of HTTP on loopback, and processes that do so."""

import asyncio
import contextlib
import sys

from aiohttp import web
import uvloop

from . import events

HOST = '127.0.0.1'
MAX_BODY_BYTES = 1 << 23
LATE_PERIOD_S = 0.1
# Shorter delays of an event loop aren't recorded.
MIN_LATE_S = 0.25


async def make_runner(routes):
    """Return a runner that serves routes on no port so far."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.add_routes(routes)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
    await runner.setup()
    return runner


async def listen(runner):
    """Serve on another free port; return the site and the port."""
    site = web.TCPSite(runner, HOST, 0, backlog=512)
    await site.start()
    return site, site._server.sockets[0].getsockname()[1]


async def serve(routes):
    """Serve routes on a free port; return the runner and its address."""
    runner = await make_runner(routes)
    _, port = await listen(runner)
    return runner, f'{HOST}:{port}'


async def watch_lateness(recorder, name):
    """Record when this event loop was held up.

    :param name: name of the process
    """
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + LATE_PERIOD_S
        await asyncio.sleep(LATE_PERIOD_S)
        late_s = loop.time() - due_s
        if late_s >= MIN_LATE_S:
            recorder.write(events.Kind.LATE, name, late_s=round(late_s, 3))


def run_process(main):
    """Run a process until its standard input is closed.

    It is closed when the process that has started this one ends, so that none
    is left behind.

    :param main: coroutine function of an asynchronous context manager, which
        gives the address to print
    """
    with (
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        contextlib.suppress(KeyboardInterrupt),
    ):
        runner.run(_run_until_closed(main))


async def _run_until_closed(main):
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    async with main() as address:
        print(address, flush=True)
        await reader.read()
