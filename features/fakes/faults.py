"""Fault injection for fake HTTP services."""

import asyncio
import enum

from aiohttp import web
import attrs

FREEZE_DURATION_S = 3600.0


class Mode(enum.Enum):
    """What happens to a call.

    ``ABORT_BEFORE`` and ``ABORT_AFTER`` drop the connection before or after
    the call takes effect.
    """

    OK = 'ok'
    REFUSE = 'refuse'
    ABORT_BEFORE = 'abort_before'
    ABORT_AFTER = 'abort_after'
    DUPLICATE = 'twice'
    SLOW = 'slow'
    FROZEN = 'frozen'


@attrs.define
class Fault:
    """A fault that is injected into calls.

    :ivar calls: number of calls that it affects; unlimited if negative
    :ivar methods: HTTP methods that it affects; all if empty
    :ivar delay_s: delay of each call in mode ``SLOW``
    """

    mode: Mode = Mode.OK
    calls: int = -1
    methods: tuple = ()
    delay_s: float = 1.0

    def next_mode(self, method):
        """Return the mode for the next call, and count the call."""
        if not self.calls or (self.methods and method not in self.methods):
            return Mode.OK
        self.calls -= 1
        return self.mode


FAULT_KEY = web.AppKey('fault', Fault)


@web.middleware
async def middleware(request, handler):
    """Inject the current fault, except into ``/admin/`` calls."""
    if request.path.startswith('/admin/'):
        return await handler(request)
    fault = request.app[FAULT_KEY]
    mode = fault.next_mode(request.method)
    if mode is Mode.REFUSE:
        return web.json_response({'reason': 'down'}, status=503)
    if mode is Mode.ABORT_BEFORE:
        return _abort(request)
    if mode in (Mode.SLOW, Mode.FROZEN):
        await asyncio.sleep(
            fault.delay_s if mode is Mode.SLOW else FREEZE_DURATION_S
        )
    if mode is Mode.DUPLICATE:
        await handler(request)
    response = await handler(request)
    return _abort(request) if mode is Mode.ABORT_AFTER else response


def _abort(request):
    request.transport.abort()
    return web.Response()


async def set_fault(request):
    """Handle a request that sets the fault to inject."""
    body = await request.json()
    fault = request.app[FAULT_KEY]
    fault.mode = Mode(body.get('mode', 'ok'))
    fault.calls = body.get('calls', -1)
    fault.methods = tuple(body.get('methods', ()))
    fault.delay_s = body.get('delay_s', 1.0)
    return web.json_response({})


def make_app():
    """Return an application with fault injection."""
    app = web.Application(
        middlewares=[middleware], client_max_size=64 * 1024 * 1024
    )
    app[FAULT_KEY] = Fault()
    app.router.add_post('/admin/fault', set_fault)
    return app
