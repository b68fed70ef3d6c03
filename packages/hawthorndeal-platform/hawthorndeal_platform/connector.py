"""Connector of HTTP clients whose calls may be given up at any time."""

import asyncio

import aiohttp
import attrs


class Connector(aiohttp.TCPConnector):
    """Opens connections to their end, also for calls that were given up.

    If the opening of a connection is cancelled, uvloop and the socket each
    close its descriptor. By the second time another connection may have it,
    which then is cut, or the process aborts. So the caller only stops to wait,
    and a connection that nobody waits for is closed once it is open.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self._opening = set()

    async def _create_connection(self, req, traces, timeout):
        opening = asyncio.create_task(
            super()._create_connection(
                req, traces, attrs.evolve(timeout, sock_connect=None)
            )
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)
        try:
            async with asyncio.timeout(timeout.sock_connect):
                return await asyncio.shield(opening)
        except (asyncio.CancelledError, TimeoutError):
            opening.add_done_callback(_close_unused)
            raise


def _close_unused(opening):
    """Close the connection of a call that was given up."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().close()
