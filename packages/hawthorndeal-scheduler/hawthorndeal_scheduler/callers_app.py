"""HTTP applications of a scheduling daemon: callers, readiness, metrics."""

import asyncio
import math
import time

import sanic
from sanic import response

from hawthorndeal_daemon import web
from hawthorndeal_fleet import errors
from hawthorndeal_platform import peer_calls
from hawthorndeal_platform import strict_json

from . import peer_client


def make_app(interface, handler, parts):
    """Return the application that serves callers.

    :param interface: a :class:`callers.CallersInterface`
    :param handler: a :class:`call_handler.CallHandler`
    """
    app = web.make_app('callers', parts.settings.max_body_bytes)
    metrics = parts.metrics

    @app.route('/<path:path>', methods=['GET', 'POST', 'DELETE'])
    async def serve(request, path):
        begun_s = time.monotonic()
        if interface.is_draining:
            request.stream.keep_alive = False
        try:
            answer = await answer_request(
                request, handler, interface.key_header
            )
        except asyncio.CancelledError:
            _log_aborted_request(request, time.monotonic() - begun_s, parts)
            raise
        took_s = time.monotonic() - begun_s
        metrics.note_request(request.method, answer.status, took_s)
        return answer

    @app.exception(Exception)
    async def fail(request, error):
        failure = _failure_of(error)
        parts.events.write(
            'request_failed', path=request.path[:80], why=repr(error)[:200]
        )
        return web.failure_response(failure)

    return app


async def answer_request(request, handler, key_header):
    """Return the response to one request of a caller.

    :param request: the request, with its whole body
    :param handler: a :class:`call_handler.CallHandler`
    :param key_header: name of the header that carries a key
    """
    call = peer_calls.CallerCall(
        request.method,
        request.headers.get('host', ''),
        request.path,
        request.headers.get(key_header),
        request.body,
    )
    answer = await handler.answer(call)
    headers = {}
    if answer.retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(answer.retry_after_s))
    return response.json(answer.plain, answer.status, headers=headers)


def _log_aborted_request(request, took_s, parts):
    parts.events.write(
        'request_cut',
        method=request.method,
        path=request.path[:80],
        took_s=round(took_s, 3),
        why='the client disconnected or the daemon shut down',
    )


def _failure_of(error):
    if isinstance(error, errors.RequestFailed):
        return error
    if isinstance(error, sanic.exceptions.PayloadTooLarge):
        return errors.RequestTooLarge(str(error))
    if isinstance(error, sanic.exceptions.SanicException):
        return errors.BadRequest(str(error))
    return errors.AnswerLost(f'{type(error).__name__}: {error}')


def make_relay_app(interface, handler, parts):
    """Return the application that answers the calls of other daemons.

    :param interface: a :class:`callers.CallersInterface`
    :param handler: a :class:`call_handler.CallHandler`
    """
    # A call takes up to twice its body's size as a JSON text.
    app = web.make_app('relay', 4 * parts.settings.max_body_bytes)

    @app.post(peer_client.PATH)
    async def answer(request):
        is_meant = (
            request.headers.get(peer_client.NAME_HEADER)
            == parts.settings.daemon
        )
        if interface.is_draining or not is_meant:
            return response.json({}, peer_client.NOT_HANDLED_STATUS)
        try:
            call = peer_client.decode_call(strict_json.loads(request.body))
        except ValueError:
            return response.json({}, 400)
        answered = await handler.answer(call)
        return response.json(peer_client.encode_answer(answered))

    return app


def make_readiness_app(interface):
    """Return the application that serves the readiness check."""
    app = web.make_app('readiness', 1024)

    @app.get('/<path:path>')
    async def ready(request, path):
        status = 200 if interface.is_ready else 503
        return response.json({'is_ready': interface.is_ready}, status)

    return app


def make_metrics_app(metrics):
    """Return the application that serves metrics in the text format."""
    app = web.make_app('metrics', 1024)

    @app.get('/<path:path>')
    async def expose(request, path):
        return response.raw(
            metrics.exposition(), content_type=metrics.content_type
        )

    return app
