"""HTTP applications of a scheduling daemon: callers, readiness, metrics."""

import asyncio
import time

import sanic
from sanic import response

from hawthorndeal_daemon import web
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import ordering


def make_app(interface, parts):
    """Return the application that serves callers."""
    app = web.make_app('callers', parts.settings.max_body_bytes)
    metrics = parts.metrics

    @app.route('/<path:path>', methods=['GET', 'POST', 'DELETE'])
    async def serve(request, path):
        begun_s = time.monotonic()
        if interface.is_draining:
            request.stream.keep_alive = False
        try:
            answer = await answer_request(request, interface, parts)
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


async def answer_request(request, interface, parts):
    """Return the response to one request of a caller.

    :param request: the request, with its whole body
    :param interface: a :class:`callers.CallersInterface`
    :param parts: shared components of the daemon
    """
    host_name = request.headers.get('host', '')
    spec_fields = {}
    try:
        queue, job_id = interface.find_queue(host_name, request.path)
        access = interface.authorize(
            queue, request.headers.get(interface.key_header)
        )
        if request.method == 'POST':
            spec = await interface.submit(access, job_id, request.body)
            spec_fields = _spec_fields(queue, spec)
            answer = response.json({'state': 'queued'})
        elif request.method == 'DELETE':
            is_found = await interface.cancel(access, job_id)
            answer = response.json({}, 200 if is_found else 410)
        elif not job_id:
            answer = response.json({'waiting': interface.waiting(queue)})
        else:
            answer = _state_answer(await interface.find(access, job_id))
    except errors.RequestFailed as failure:
        _log_refusal(request, failure, parts)
        return web.failure_response(failure)
    if request.method != 'GET':
        parts.events.write(
            'job_accepted' if request.method == 'POST' else 'job_cancelled',
            job=job_id,
            queue=queue.name,
            workspace=access.workspace,
            status=answer.status,
            version=parts.configuration_reader.configuration.version,
            waiting=parts.board.waiting(queue.name),
            **spec_fields,
        )
    return answer


def _spec_fields(queue, spec):
    return {
        'pool': queue.pool,
        'objective_s': round(ordering.objective_s(queue, spec), 3),
        'work_core_s': round(spec.finite_work_core_s(), 3),
        'is_lasting': any(step.is_lasting for step in spec.steps),
    }


def _state_answer(status):
    if status is None:
        return response.json({}, 410)
    answer = {'state': status.state.value}
    if status.reason:
        answer['reason'] = status.reason
    return response.json(answer)


def _log_aborted_request(request, took_s, parts):
    parts.events.write(
        'request_cut',
        method=request.method,
        path=request.path[:80],
        took_s=round(took_s, 3),
        why='the client disconnected or the daemon shut down',
    )


def _log_refusal(request, failure, parts):
    parts.metrics.note_refusal(failure.reason)
    read_s = parts.owner_view.last_read_s
    age_s = None
    if read_s is not None:
        age_s = round(parts.clock.monotonic_s() - read_s, 3)
    parts.events.write(
        'request_refused',
        method=request.method,
        path=request.path[:80],
        reason=failure.reason,
        detail=str(failure.detail)[:160],
        retry_after_s=failure.retry_after_s,
        read_age_s=age_s,
    )


def _failure_of(error):
    if isinstance(error, errors.RequestFailed):
        return error
    if isinstance(error, sanic.exceptions.PayloadTooLarge):
        return errors.RequestTooLarge(str(error))
    if isinstance(error, sanic.exceptions.SanicException):
        return errors.BadRequest(str(error))
    return errors.AnswerLost(f'{type(error).__name__}: {error}')


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
