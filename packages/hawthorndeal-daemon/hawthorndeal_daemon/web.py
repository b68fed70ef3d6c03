"""Serve sanic applications on the daemon's own event loop."""

import asyncio
import math

import sanic
from sanic import response

from . import connection_limit
from . import settings as settings_module

KEEP_ALIVE_S = 30
# Time in which a request has to arrive completely, however slowly it is sent.
REQUEST_TIMEOUT_S = 10
MAX_CONNECTIONS = 1000


def make_app(name, max_body_bytes):
    """Return an application with JSON errors and no access log."""
    app = sanic.Sanic(name, configure_logging=False)
    app.config.ACCESS_LOG = False
    app.config.FALLBACK_ERROR_FORMAT = 'json'
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_S
    app.config.REQUEST_TIMEOUT = REQUEST_TIMEOUT_S
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.RESPONSE_TIMEOUT = 24 * 3600
    app.config.MOTD = False
    # Touch-up rewrites handlers once for all applications of a process and
    # fails for the second application.
    app.config.TOUCHUP = False
    return app


def failure_response(failure, request_id=''):
    """Return the HTTP response that describes a failure."""
    headers = {}
    if failure.retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(failure.retry_after_s))
    return response.json(
        failure_body(failure, request_id),
        status=failure.status,
        headers=headers,
    )


def failure_body(failure, request_id=''):
    """Return the body that describes a failure, as plain data."""
    return {
        'outcome': failure.outcome,
        'reason': failure.reason,
        'detail': failure.detail,
        'request_id': request_id,
        'retry_after_s': failure.retry_after_s,
    }


class WebServer:
    """Task that serves an application on one listening socket.

    :param name: the task's name
    :param app_factory: returns the application; called at each start, since
        an application can't be started twice
    :param address: address to listen on, as ``IP:PORT``
    :param max_connections: connections served at once; more are refused
    """

    def __init__(
        self, name, app_factory, address, max_connections=MAX_CONNECTIONS
    ):
        self._max_connections = max_connections
        self.name = name
        self._app_factory = app_factory
        self._host, self._port = settings_module.split_address(address)

    async def run(self):
        """Serve until cancelled."""
        app = self._app_factory()
        try:
            await self._serve(app)
        finally:
            sanic.Sanic.unregister_app(app)

    async def _serve(self, app):
        server = await app.create_server(
            host=self._host,
            port=self._port,
            return_asyncio_server=True,
            protocol=connection_limit.limited_protocol(self._max_connections),
        )
        try:
            await server.startup()
            await server.start_serving()
            await asyncio.Event().wait()
        finally:
            server.close()
            await server.wait_closed()

    async def stop(self):
        """Do nothing: requests are drained before this task is stopped."""
