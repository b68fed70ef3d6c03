"""Faults that a stand-in can be told to show."""

import asyncio
import enum

from aiohttp import web
import attrs

FROZEN_S = 3600.0


class Mode(enum.Enum):
    """Name what happens to a call."""

    OK = 'ok'
    REFUSE = 'refuse'
    ABORT_BEFORE = 'abort_before'
    ABORT_AFTER = 'abort_after'
    TWICE = 'twice'
    SLOW = 'slow'
    FROZEN = 'frozen'


@attrs.define
class Fault:
    """Show a fault for a number of calls, forever where it is negative.

    :ivar methods: HTTP methods it applies to; all where empty
    :ivar delay_s: how slow is slow
    """

    mode: Mode = Mode.OK
    calls: int = -1
    methods: tuple = ()
    delay_s: float = 1.0

    def take(self, method):
        """Return the mode for the next call."""
        if not self.calls or (self.methods and method not in self.methods):
            return Mode.OK
        self.calls -= 1
        return self.mode


FAULT_KEY = web.AppKey('fault', Fault)


@web.middleware
async def middleware(request, handler):
    """Apply the fault in force, but not to the calls that set it."""
    if request.path.startswith('/admin/'):
        return await handler(request)
    fault = request.app[FAULT_KEY]
    mode = fault.take(request.method)
    if mode is Mode.REFUSE:
        return web.json_response({'reason': 'down'}, status=503)
    if mode is Mode.ABORT_BEFORE:
        return _abort(request)
    if mode in (Mode.SLOW, Mode.FROZEN):
        await asyncio.sleep(fault.delay_s if mode is Mode.SLOW else FROZEN_S)
    if mode is Mode.TWICE:
        await handler(request)
    answer = await handler(request)
    return _abort(request) if mode is Mode.ABORT_AFTER else answer


def _abort(request):
    request.transport.abort()
    return web.Response()


async def set_fault(request):
    """Take the fault to show from now on."""
    body = await request.json()
    fault = request.app[FAULT_KEY]
    fault.mode = Mode(body.get('mode', 'ok'))
    fault.calls = body.get('calls', -1)
    fault.methods = tuple(body.get('methods', ()))
    fault.delay_s = body.get('delay_s', 1.0)
    return web.json_response({})


def make_app():
    """Return an application that shows faults."""
    app = web.Application(
        middlewares=[middleware], client_max_size=64 * 1024 * 1024
    )
    app[FAULT_KEY] = Fault()
    app.router.add_post('/admin/fault', set_fault)
    return app
