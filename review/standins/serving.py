"""Serve aiohttp handlers on a free port of the loopback address."""

from aiohttp import web

HOST = '127.0.0.1'


async def serve(routes):
    """Serve routes on a free port; return the runner and its address."""
    app = web.Application(client_max_size=1 << 23)
    app.add_routes(routes)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    return runner, f'{HOST}:{port}'
