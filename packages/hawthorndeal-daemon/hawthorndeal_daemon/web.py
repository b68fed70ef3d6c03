"""Serve a sanic application inside the daemon's own loop."""

import asyncio
import math

import sanic
from sanic import response

from . import connections
from . import settings as settings_module

KEEP_ALIVE_S = 30
# A request must have come whole by then, however slowly it is sent.
REQUEST_TIMEOUT_S = 10
MAX_CONNECTIONS = 1000


def make_app(name, max_body_bytes):
    """Return an application that answers plainly and logs no access."""
    app = sanic.Sanic(name, configure_logging=False)
    app.config.ACCESS_LOG = False
    app.config.FALLBACK_ERROR_FORMAT = 'json'
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_S
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.RESPONSE_TIMEOUT = 24 * 3600
    app.config.MOTD = False
    # It rewrites handlers once for all applications of a process, which
    # fails for the second one.
    app.config.TOUCHUP = False
    return app


def failure_response(failure, request_id=''):
    """Return the answer that tells a typed failure."""
    headers = {}
    if failure.retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(failure.retry_after_s))
    return response.json(
        {
            'outcome': failure.outcome,
            'reason': failure.reason,
            'detail': failure.detail,
            'request_id': request_id,
            'retry_after_s': failure.retry_after_s,
        },
        status=failure.status,
        headers=headers,
    )


class WebServer:
    """Be a task that owns one listening socket.

    :param name: the task's name
    :param make: returns the application; called at each start, since an
        application can't be started twice
    :param address: where it listens, as ``IP:PORT``
    :param max_connections: served at once; others are refused
    """

    def __init__(self, name, make, address, max_connections=MAX_CONNECTIONS):
        self._max_connections = max_connections
        self.name = name
        self._make = make
        self._host, self._port = settings_module.split_address(address)

    async def run(self):
        """Serve until cancelled."""
        app = self._make()
        try:
            await self._serve(app)
        finally:
            sanic.Sanic.unregister_app(app)

    async def _serve(self, app):
        server = await app.create_server(
            host=self._host,
            port=self._port,
            return_asyncio_server=True,
            protocol=connections.limited_protocol(self._max_connections),
        )
        try:
            await server.startup()
            await server.start_serving()
            await asyncio.Event().wait()
        finally:
            server.close()
            await server.wait_closed()

    async def stop(self):
        """Do nothing: whoever answers finishes before this is stopped."""
