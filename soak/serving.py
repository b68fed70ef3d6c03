"""Serving of HTTP on loopback, and processes that do so."""

import asyncio
import contextlib
import sys

from aiohttp import web
import uvloop

HOST = '127.0.0.1'
MAX_BODY_BYTES = 1 << 23


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
