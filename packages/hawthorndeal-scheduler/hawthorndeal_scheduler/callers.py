"""The interface for callers: submit, ask, cancel and count jobs."""

import asyncio
import math
import time

import sanic
from sanic import response

from hawthorndeal_daemon import web
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal

APPEND_TIMEOUT_S = 2.0
# With less time left until the daemon ends, an append isn't begun.
LEAST_APPEND_S = 0.05
CATCH_UP_S = 0.4
# Age of the last reading up to which an absent job is surely unknown.
FRESH_S = 1.5
# The store counts as away when no reading was answered for so long.
STORE_AWAY_S = 1.2
RETRY_AFTER_S = 1


class CallersInterface:
    """Answer callers from the replica, and append what they hand in.

    :param parts: what the daemon works with
    :param formats: decodes what callers send
    """

    def __init__(self, parts, formats):
        self._parts = parts
        self._formats = formats
        self._closes_s = math.inf

    @property
    def is_draining(self):
        """Tell whether the daemon is leaving."""
        return self._closes_s < math.inf

    def begin_closing(self, closes_s):
        """Answer everything by then, and be ready for nobody new.

        :param closes_s: on the daemon's steady clock
        """
        self._closes_s = closes_s

    def _limit(self, timeout_s):
        left_s = self._closes_s - self._parts.clock.monotonic_s()
        return min(timeout_s, left_s)

    @property
    def is_ready(self):
        """Tell whether new callers should come here."""
        parts = self._parts
        return (
            not self.is_draining
            and parts.configuration_reader.configuration is not None
            and parts.jobs_follower.is_loaded
            and not self._is_store_away()
        )

    def _is_store_away(self):
        last_s = self._parts.jobs_reader.owner_view.last_answer_s
        now_s = self._parts.clock.monotonic_s()
        return last_s is None or now_s - last_s > STORE_AWAY_S

    def _is_fresh(self):
        last_s = self._parts.jobs_reader.owner_view.last_read_s
        now_s = self._parts.clock.monotonic_s()
        return last_s is not None and now_s - last_s <= FRESH_S

    def find_queue(self, host_name, path):
        """Return the queue that a request is for, and what follows.

        :raises errors.NotReady: while there is no configuration
        :raises errors.UnknownService: when no queue is there
        """
        configuration = self._parts.configuration_reader.configuration
        if configuration is None:
            raise errors.NotReady('no configuration yet', RETRY_AFTER_S)
        queue = configuration.find_queue(host_name.lower(), path)
        if queue is None:
            raise errors.UnknownService(f'no queue at {host_name}{path:.80}')
        return queue, path[len(queue.path_prefix) :]

    async def submit(self, queue, job_id, body):
        """Accept a job, or say why not.

        :raises errors.RequestFailed: with the reason
        """
        if not self._formats.is_job_id(job_id):
            raise errors.BadRequest(f'{job_id!r:.40} is not a job id')
        try:
            spec = self._formats.decode_job(body)
        except ValueError as error:
            raise errors.BadRequest(str(error)[:200]) from error
        parts = self._parts
        known = self._find(queue, job_id)
        if known is not None:
            if known.spec != spec:
                raise JobConflict(f'job {job_id} was submitted differently')
            return
        if self._is_store_away() or not parts.jobs_follower.is_loaded:
            raise errors.NotReady('the store is away', RETRY_AFTER_S)
        submission = journal.Submission(
            queue.name, queue.pool, parts.clock.now_s(), spec
        )
        record = journal.submission_record(job_id, submission)
        await self._append(record)

    async def _append(self, record):
        timeout_s = self._limit(APPEND_TIMEOUT_S)
        if timeout_s < LEAST_APPEND_S:
            raise errors.ShuttingDown('this daemon stops', RETRY_AFTER_S)
        try:
            await self._parts.submitter.append(record, timeout_s)
        except errors.PlatformUnavailable as error:
            raise errors.NotReady(
                'the store takes nothing now', RETRY_AFTER_S
            ) from error
        except errors.PlatformError as error:
            # It may be stored all the same: only a repeat can tell.
            raise errors.AnswerLost(str(error)[:200]) from error

    def _find(self, queue, job_id):
        job = self._parts.jobs_reader.replica.jobs.get(job_id)
        return job if job is not None and job.queue == queue.name else None

    async def find(self, queue, job_id):
        """Return a job, or None where it surely isn't there.

        :raises errors.NotReady: when that can't be told
        """
        job = self._find(queue, job_id)
        if job is not None:
            return job
        follower = self._parts.jobs_follower
        await follower.catch_up(max(0.0, self._limit(CATCH_UP_S)))
        job = self._find(queue, job_id)
        if job is None and not (follower.is_loaded and self._is_fresh()):
            raise errors.NotReady('jobs can not be read now', RETRY_AFTER_S)
        return job

    async def cancel(self, queue, job_id):
        """Cancel a job; return whether there is such a job."""
        job = await self.find(queue, job_id)
        if job is None:
            return False
        if not (job.is_cancelled or job.shown.is_final):
            await self._append(journal.cancel_record(job_id))
            self._parts.note_cancelled(job)
        return True

    def waiting(self, queue):
        """Return how many jobs of a queue have not begun."""
        return self._parts.jobs_reader.replica.waiting(queue.name)


class JobConflict(errors.NotRun):
    """Report an id that was used for another job."""

    reason = 'job_conflict'
    status = 409


def make_app(interface, parts):
    """Return the application that callers reach."""
    app = web.make_app('callers', parts.settings.max_body_bytes)
    metrics = parts.metrics

    @app.route('/<path:path>', methods=['GET', 'POST', 'DELETE'])
    async def serve(request, path):
        begun_s = time.monotonic()
        if interface.is_draining:
            request.stream.keep_alive = False
        try:
            answer = await _serve(request, interface, parts)
        except asyncio.CancelledError:
            _log_cut(request, time.monotonic() - begun_s, parts)
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


async def _serve(request, interface, parts):
    host_name = request.headers.get('host', '')
    try:
        queue, job_id = interface.find_queue(host_name, request.path)
        if request.method == 'POST':
            await interface.submit(queue, job_id, request.body)
            answer = response.json({'state': 'queued'})
        elif request.method == 'DELETE':
            is_there = await interface.cancel(queue, job_id)
            answer = response.json({}, 200 if is_there else 410)
        elif not job_id:
            answer = response.json({'waiting': interface.waiting(queue)})
        else:
            answer = _state_answer(await interface.find(queue, job_id))
    except errors.RequestFailed as failure:
        _log_refusal(request, failure, parts)
        return web.failure_response(failure)
    if request.method != 'GET':
        parts.events.write(
            'job_accepted' if request.method == 'POST' else 'job_cancelled',
            job=job_id,
            queue=queue.name,
            status=answer.status,
            version=parts.configuration_reader.configuration.version,
            waiting=interface.waiting(queue),
        )
    return answer


def _state_answer(job):
    if job is None:
        return response.json({}, 410)
    return response.json({'state': job.shown.value})


def _log_cut(request, took_s, parts):
    parts.events.write(
        'request_cut',
        method=request.method,
        path=request.path[:80],
        took_s=round(took_s, 3),
        why='the caller left, or the daemon ended',
    )


def _log_refusal(request, failure, parts):
    view = parts.jobs_reader.owner_view
    parts.events.write(
        'request_refused',
        method=request.method,
        path=request.path[:80],
        reason=failure.reason,
        detail=str(failure.detail)[:160],
        retry_after_s=failure.retry_after_s,
        read_age_s=round(
            parts.clock.monotonic_s() - (view.last_read_s or 0.0), 3
        ),
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
    """Return the application that the balancer asks."""
    app = web.make_app('readiness', 1024)

    @app.get('/<path:path>')
    async def ready(request, path):
        status = 200 if interface.is_ready else 503
        return response.json({'is_ready': interface.is_ready}, status)

    return app


def make_metrics_app(metrics):
    """Return the application that serves metrics as text."""
    app = web.make_app('metrics', 1024)

    @app.get('/<path:path>')
    async def expose(request, path):
        return response.raw(
            metrics.exposition(), content_type=metrics.content_type
        )

    return app
