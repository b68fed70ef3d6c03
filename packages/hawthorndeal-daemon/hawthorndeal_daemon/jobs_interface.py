"""HTTP interface for jobs: submit, cancel and read them."""

import math

import attrs
from sanic import response

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import placement

WORKSPACE_HEADER = 'hd-workspace'
COMMIT_TIMEOUT_S = 5.0
MAX_ID_CHARS = 200
RETRY_AFTER_S = 1.0

_TOO_MANY_JOBS = job_records.JobRefusal.TOO_MANY.value


def add_routes(app, follower, writer, dispatcher, clock):
    """Add the routes for jobs to the callers' application."""

    @app.post('/v1/jobs')
    async def submit(request):
        if dispatcher.is_draining:
            return _answer(503, 'not_run', 'the entry host is shutting down')
        try:
            body = _parse(request, clock.now_s())
        except errors.InvalidRecord as error:
            return _answer(400, 'not_run', str(error))
        return await _commit(writer, body, _submission_response)

    @app.get('/v1/jobs/<job_id:str>')
    async def read(request, job_id):
        found = describe(follower.state, job_id, _workspace(request))
        if found is None:
            return _answer(404, 'unknown', f'unknown job {job_id!r}')
        return response.json(found)

    @app.delete('/v1/jobs/<job_id:str>')
    async def cancel(request, job_id):
        body = job_records.JobCancelled(job_id, _workspace(request))

        def make_response(decision):
            found = describe(follower.state, job_id, body.workspace)
            if not decision.is_accepted or found is None:
                return _answer(404, 'unknown', decision.reason)
            # 202 unless the job has ended: until then it may still run.
            return response.json(
                found, status=200 if _has_ended(found) else 202
            )

        return await _commit(writer, body, make_response)


def _parse(request, now_s):
    body = request.json
    if not isinstance(body, dict):
        raise errors.InvalidRecord('expected a JSON object')
    job = codec.from_plain(
        {'submitted_s': now_s, **body}, job_records.JobSubmitted
    )
    if not 0 < len(job.job_id) <= MAX_ID_CHARS or '/' in job.job_id:
        raise errors.InvalidRecord(f'job_id: invalid value {job.job_id!r:.80}')
    if not math.isfinite(job.submitted_s):
        raise errors.InvalidRecord(
            f'submitted_s: not a finite number: {job.submitted_s}'
        )
    return job


def _workspace(request):
    return request.headers.get(WORKSPACE_HEADER, '')


async def _commit(writer, body, make_response):
    try:
        decision = await writer.commit(body, COMMIT_TIMEOUT_S)
    except errors.PlatformUnavailable as error:
        return _answer(503, 'not_run', str(error), RETRY_AFTER_S)
    except errors.PlatformError as error:
        # Retrying with the same id is safe: a repeated record has no effect.
        return _answer(504, 'unknown', str(error), RETRY_AFTER_S)
    return make_response(decision)


def _submission_response(decision):
    if decision.is_accepted:
        return response.json(
            {'outcome': 'accepted', 'offset': decision.offset}, status=202
        )
    is_busy = decision.reason.startswith(_TOO_MANY_JOBS)
    status = 429 if is_busy else 422
    retry_delay_s = RETRY_AFTER_S if is_busy else None
    return _answer(status, 'not_run', decision.reason, retry_delay_s)


def _answer(status, outcome, detail, retry_after_s=None):
    headers = {}
    if retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(retry_after_s))
    return response.json(
        {'outcome': outcome, 'detail': detail}, status=status, headers=headers
    )


def _has_ended(found):
    return 'outcome' in found


def describe(state, job_id, workspace=None):
    """Return the status of a job, or None if it is unknown.

    :param workspace: workspace that must own the job; any if None
    """
    known = state.jobs.get(job_id) or state.ended_jobs.get(job_id)
    if known is None or workspace not in (None, known.workspace):
        return None
    if job_id in state.jobs:
        return {
            'job_id': job_id,
            'workspace': known.workspace,
            'pool': known.pool,
            'status': 'stopping' if known.is_cancelled else known.status.value,
            'host': known.host,
            'reasons': _reasons(state, known),
        }
    return {'job_id': job_id, **codec.to_plain(attrs.asdict(known))}


def _reasons(state, job):
    return placement.explain(state, job) if job.is_queued else []
