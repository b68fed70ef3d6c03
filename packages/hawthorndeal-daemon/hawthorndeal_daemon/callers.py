"""HTTP interface for callers, and readiness for the load balancer."""

import asyncio
import math

import sanic
from sanic import response

from hawthorndeal_fleet import calls
from hawthorndeal_fleet import errors

from . import body_memory
from . import jobs_interface
from . import logs
from . import web

REQUEST_ID_HEADER = 'hd-request-id'
WORKSPACE_HEADER = 'hd-workspace'
DEADLINE_HEADER = 'hd-deadline-s'
IDEMPOTENT_HEADER = 'hd-idempotent'
URGENCY_HEADER = 'hd-urgency'
TICKET_HEADER = 'hd-ticket'
OUTCOME_HEADER = 'Hd-Outcome'
ENDPOINT_HEADER = 'Hd-Endpoint'
MAX_ID_CHARS = 200

_log = logs.get('callers')

_BOOLEANS = {'true': True, 'false': False}
_URGENCIES = {urgency.value: urgency for urgency in calls.Urgency}


def make_app(dispatcher, follower, writer, settings, metrics, clock):
    """Return the application that serves callers."""
    app = web.make_app('callers', settings.max_body_bytes)
    body_budget = body_memory.BodyBudget(settings.max_held_bytes)
    if settings.platform.workers_url:
        jobs_interface.add_routes(app, follower, writer, dispatcher, clock)

    @app.post('/v1/services/<service:str>/requests', stream=True)
    async def serve(request, service):
        _close_while_draining(request)
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        held = body_memory.BodyReservation(body_budget)
        try:
            body = await _receive(request, settings.max_body_bytes, held)
            call = parse_request(request, service, body)
            answer = await dispatcher.serve(call)
        except errors.RequestFailed as failure:
            metrics.count(f'requests.{failure.outcome}.{failure.reason}')
            return web.failure_response(failure, request_id)
        finally:
            held.release()
        metrics.count('requests.answered')
        return make_response(answer, request_id)

    @app.post('/v1/tickets')
    async def issue(request):
        return response.json({'ticket': str(dispatcher.issue_ticket())})

    @app.get('/ready')
    async def ready(request):
        _close_while_draining(request)
        is_ready = follower.is_ready and not dispatcher.is_draining
        return response.json(
            {'is_ready': is_ready}, status=200 if is_ready else 503
        )

    def _close_while_draining(request):
        # The caller has to reconnect, and the load balancer sends it to
        # another entry host.
        if dispatcher.is_draining:
            request.stream.keep_alive = False

    @app.exception(Exception)
    async def fail(request, error):
        failure = _failure_of(error, settings)
        metrics.count(f'requests.{failure.outcome}.{failure.reason}')
        return web.failure_response(failure)

    return app


def _failure_of(error, settings):
    if isinstance(error, sanic.exceptions.PayloadTooLarge):
        return _too_large(settings.max_body_bytes)
    if not isinstance(error, sanic.exceptions.SanicException):
        # The request may have been sent before the error: its outcome is
        # unknown.
        _log.error('Unhandled error in a request.', exc_info=error)
        return errors.RequestFailed(type(error).__name__)
    failure = errors.BadRequest(str(error)[:MAX_ID_CHARS])
    failure.status = error.status_code or failure.status
    return failure


async def _receive(request, max_bytes, held):
    # Sanic limits the reading of a body by RESPONSE_TIMEOUT only, which also
    # limits the time to an answer and is therefore long.
    try:
        async with asyncio.timeout(web.REQUEST_TIMEOUT_S):
            return await _read_body(request, max_bytes, held)
    except asyncio.TimeoutError:
        request.stream.keep_alive = False
        raise errors.RequestTooSlow(
            f'the request was incomplete after {web.REQUEST_TIMEOUT_S} s'
        ) from None


async def _read_body(request, max_bytes, held):
    chunks = []
    size_bytes = 0
    async for chunk in request.stream:
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            request.stream.keep_alive = False
            raise _too_large(max_bytes)
        _grow_reservation(request, held, len(chunk))
        chunks.append(chunk)
    return b''.join(chunks)


def _grow_reservation(request, held, size_bytes):
    try:
        held.add(size_bytes)
    except errors.Overloaded:
        request.stream.keep_alive = False
        raise


def _too_large(max_bytes):
    return errors.RequestTooLarge(f'the request exceeds {max_bytes} bytes')


def parse_request(request, service, body):
    """Return the request that an HTTP request describes."""
    headers = request.headers
    return calls.Request(
        workspace=_text_header(headers, WORKSPACE_HEADER),
        service=service,
        request_id=_text_header(headers, REQUEST_ID_HEADER),
        deadline_s=_number_header(headers, DEADLINE_HEADER),
        is_idempotent=_choice_header(
            headers, IDEMPOTENT_HEADER, _BOOLEANS, 'false'
        ),
        urgency=_choice_header(
            headers,
            URGENCY_HEADER,
            _URGENCIES,
            calls.Urgency.INTERACTIVE.value,
        ),
        body=body,
        ticket=headers.get(TICKET_HEADER, '')[:MAX_ID_CHARS],
    )


def _text_header(headers, name):
    value = headers.get(name, '')
    if not 0 < len(value) <= MAX_ID_CHARS or not value.isprintable():
        raise errors.BadRequest(f'header {name}: invalid value {value!r:.80}')
    return value


def _number_header(headers, name):
    text = headers.get(name, '')
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise errors.BadRequest(
            f'header {name}: expected seconds since the epoch, got '
            f'{text!r:.80}'
        )
    return number


def _choice_header(headers, name, choices, default):
    value = headers.get(name, default)
    if value not in choices:
        raise errors.BadRequest(
            f'header {name}: expected one of {sorted(choices)}, got '
            f'{value!r:.80}'
        )
    return choices[value]


def make_response(answer, request_id):
    """Return the HTTP response for an endpoint's answer."""
    encoding = {}
    if answer.content_encoding:
        encoding['Content-Encoding'] = answer.content_encoding
    return response.raw(
        answer.body,
        status=answer.status,
        headers={
            OUTCOME_HEADER: 'answered',
            ENDPOINT_HEADER: answer.endpoint,
            REQUEST_ID_HEADER: request_id,
            **encoding,
        },
        content_type=answer.content_type or 'application/octet-stream',
    )
