"""HTTP API for callers: submits, queries, cancels and counts jobs."""

import asyncio
import math
import time

import sanic
from sanic import response

from hawthorndeal_daemon import web
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal

APPEND_TIMEOUT_S = 2.0
# No append is started with less time left before shutdown.
MIN_APPEND_TIMEOUT_S = 0.05
CATCH_UP_TIMEOUT_S = 0.4
# Maximum age of the last read for a missing job to be reported as unknown.
MAX_READ_AGE_S = 1.5
# The store counts as unavailable when no read was answered for this long.
MAX_ANSWER_AGE_S = 1.2
RETRY_AFTER_S = 1


class CallersInterface:
    """Answers callers from the replica, and appends their submissions.

    :param parts: shared components of the daemon
    :param formats: decodes request bodies
    """

    def __init__(self, parts, formats):
        self._parts = parts
        self._formats = formats
        self._drain_deadline_s = math.inf

    @property
    def is_draining(self):
        """Return whether the daemon is shutting down."""
        return self._drain_deadline_s < math.inf

    def begin_draining(self, deadline_s):
        """Report not ready, and answer all requests by a deadline.

        :param deadline_s: on the daemon's monotonic clock
        """
        self._drain_deadline_s = deadline_s

    def _cap_timeout(self, timeout_s):
        left_s = self._drain_deadline_s - self._parts.clock.monotonic_s()
        return min(timeout_s, left_s)

    @property
    def is_ready(self):
        """Return whether the balancer should route callers here."""
        parts = self._parts
        return (
            not self.is_draining
            and parts.configuration_reader.configuration is not None
            and parts.jobs_follower.is_loaded
            and not self._is_store_unavailable()
        )

    def _is_store_unavailable(self):
        last_s = self._parts.jobs_reader.owner_view.last_read_done_s
        now_s = self._parts.clock.monotonic_s()
        return last_s is None or now_s - last_s > MAX_ANSWER_AGE_S

    def _is_fresh(self):
        last_s = self._parts.jobs_reader.owner_view.last_read_s
        now_s = self._parts.clock.monotonic_s()
        return last_s is not None and now_s - last_s <= MAX_READ_AGE_S

    def find_queue(self, host_name, path):
        """Return the queue of a request, and the rest of its path.

        :raises errors.NotReady: while there is no configuration
        :raises errors.UnknownService: if no queue matches
        """
        configuration = self._parts.configuration_reader.configuration
        if configuration is None:
            raise errors.NotReady('no configuration yet', RETRY_AFTER_S)
        queue = configuration.find_queue(host_name.lower(), path)
        if queue is None:
            raise errors.UnknownService(f'no queue at {host_name}{path:.80}')
        return queue, path[len(queue.path_prefix) :]

    async def submit(self, queue, job_id, body):
        """Accept a job.

        :raises errors.RequestFailed: if it is not accepted
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
        if self._is_store_unavailable() or not parts.jobs_follower.is_loaded:
            raise errors.NotReady('the store is away', RETRY_AFTER_S)
        submission = journal.Submission(
            queue.name, queue.pool, parts.clock.now_s(), spec
        )
        record = journal.submission_record(job_id, submission)
        await self._append(record)

    async def _append(self, record):
        timeout_s = self._cap_timeout(APPEND_TIMEOUT_S)
        if timeout_s < MIN_APPEND_TIMEOUT_S:
            raise errors.ShuttingDown('this daemon stops', RETRY_AFTER_S)
        try:
            await self._parts.submitter.append(record, timeout_s)
        except errors.PlatformUnavailable as error:
            raise errors.NotReady(
                'the store takes nothing now', RETRY_AFTER_S
            ) from error
        except errors.PlatformError as error:
            # The record may have been stored; only a retry can tell.
            raise errors.AnswerLost(str(error)[:200]) from error

    def _find(self, queue, job_id):
        job = self._parts.jobs_reader.replica.jobs.get(job_id)
        return job if job is not None and job.queue == queue.name else None

    async def find(self, queue, job_id):
        """Return a job, or None if it doesn't exist.

        :raises errors.NotReady: if the replica may be stale
        """
        job = self._find(queue, job_id)
        if job is not None:
            return job
        follower = self._parts.jobs_follower
        await follower.wait_for_read(
            max(0.0, self._cap_timeout(CATCH_UP_TIMEOUT_S))
        )
        job = self._find(queue, job_id)
        if job is None and not (follower.is_loaded and self._is_fresh()):
            raise errors.NotReady('jobs can not be read now', RETRY_AFTER_S)
        return job

    async def cancel(self, queue, job_id):
        """Cancel a job; return whether it exists."""
        job = await self.find(queue, job_id)
        if job is None:
            return False
        if not (job.is_cancelled or job.reported_state.is_final):
            await self._append(journal.cancel_record(job_id))
            self._parts.note_cancelled(job)
        return True

    def waiting(self, queue):
        """Return the number of jobs of a queue that have not begun."""
        return self._parts.jobs_reader.replica.waiting(queue.name)


class JobConflict(errors.NotRun):
    """Raised when a job id is already in use for a different job."""

    reason = 'job_conflict'
    status = 409


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
            answer = await _serve(request, interface, parts)
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


async def _serve(request, interface, parts):
    host_name = request.headers.get('host', '')
    try:
        queue, job_id = interface.find_queue(host_name, request.path)
        if request.method == 'POST':
            await interface.submit(queue, job_id, request.body)
            answer = response.json({'state': 'queued'})
        elif request.method == 'DELETE':
            is_found = await interface.cancel(queue, job_id)
            answer = response.json({}, 200 if is_found else 410)
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
    return response.json({'state': job.reported_state.value})


def _log_aborted_request(request, took_s, parts):
    parts.events.write(
        'request_cut',
        method=request.method,
        path=request.path[:80],
        took_s=round(took_s, 3),
        why='the client disconnected or the daemon shut down',
    )


def _log_refusal(request, failure, parts):
    read_s = parts.jobs_reader.owner_view.last_read_s
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
