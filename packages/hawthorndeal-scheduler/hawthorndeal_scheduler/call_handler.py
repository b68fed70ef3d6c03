"""Handles callers' calls, here or by passing them on."""

import asyncio

from hawthorndeal_daemon import web
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import ordering
from hawthorndeal_platform import peer_calls
from hawthorndeal_platform import tasks

from . import caller_access

# How often a call that waits checks whether the store still answers.
SILENCE_CHECK_S = 0.1


class CallHandler:
    """Handles the calls that arrive from callers and from other daemons.

    :param interface: a :class:`callers.CallersInterface`
    :param parts: shared components of the daemon
    :param relay: a :class:`relay.Relay`
    """

    def __init__(self, interface, parts, relay):
        self._interface = interface
        self._parts = parts
        self._relay = relay

    async def answer(self, call):
        """Return the answer to a call.

        :param call: a :class:`peer_calls.CallerCall`
        :rtype: peer_calls.CallerAnswer
        """
        try:
            return await self._answer_here_or_elsewhere(call)
        except errors.RequestFailed as failure:
            self._log_refusal(call, failure)
            return self._make_answer(
                failure.status,
                web.failure_body(failure),
                failure.retry_after_s,
            )

    async def _answer_here_or_elsewhere(self, call):
        if call.is_relayed:
            return await self._answer_here(call)
        now_s = self._parts.clock.monotonic_s
        deadline_s = now_s() + self._interface.timeout_s(call)
        here = asyncio.create_task(self._answer_here(call))
        may_be_handled = False
        try:
            if not await self._has_ended(here):
                # What was sent to the store may take effect, too: whoever
                # answers, it is the same job.
                try:
                    answer = await self._relay.pass_on(
                        call, deadline_s - now_s()
                    )
                except errors.AnswerLost:
                    answer, may_be_handled = None, True
                if answer is not None:
                    return answer
            return await here
        except caller_access.StoreUnreachable as failure:
            answer = None
            if self._may_others_answer():
                answer = await self._relay.pass_on(call, deadline_s - now_s())
            if answer is not None:
                return answer
            if may_be_handled:
                raise errors.AnswerLost('another daemon may have it') from None
            raise failure from None
        finally:
            here.cancel()
            here.add_done_callback(tasks.retrieve_error)

    def _may_others_answer(self):
        """Return whether other daemons may know or reach more than this one.

        A store that answers reads, but takes nothing, is slow for all.
        """
        parts = self._parts
        return (
            parts.log.reachability.is_silent
            or not parts.status_follower.is_loaded
            or parts.may_be_turned_away
            or parts.configuration_version < max(1, self._relay.seen_version)
        )

    async def _has_ended(self, task):
        """Wait until a task ends, or until the store falls silent.

        :returns: whether it has ended
        """
        while not task.done():
            if self._parts.log.reachability.is_silent:
                return False
            await asyncio.wait([task], timeout=SILENCE_CHECK_S)
        return True

    async def _answer_here(self, call):
        interface = self._interface
        min_version = max(call.min_version, self._relay.seen_version)
        interface.require_version(min_version)
        queue, job_id = interface.find_queue(call.host_name, call.path)
        access = interface.authorize(queue, call.key)
        spec_fields = {}
        if call.method == 'POST':
            spec = await interface.submit(access, job_id, call.body)
            spec_fields = _spec_fields(queue, spec)
            status, plain = 200, {'state': 'queued'}
        elif call.method == 'DELETE':
            is_found = await interface.cancel(access, job_id)
            status, plain = 200 if is_found else 410, {}
        elif not job_id:
            status, plain = 200, {'waiting': interface.waiting(queue)}
        else:
            status, plain = _state(await interface.find(access, job_id))
        if call.method != 'GET':
            self._log_accepted(
                call, queue, access, job_id, status, spec_fields
            )
        return self._make_answer(status, plain)

    def _make_answer(self, status, plain, retry_after_s=None):
        return peer_calls.CallerAnswer(
            status,
            plain,
            retry_after_s,
            self._parts.configuration_version,
        )

    def _log_accepted(self, call, queue, access, job_id, status, spec_fields):
        parts = self._parts
        parts.events.write(
            'job_accepted' if call.method == 'POST' else 'job_cancelled',
            job=job_id,
            queue=queue.name,
            workspace=access.workspace,
            status=status,
            version=parts.configuration_version,
            waiting=parts.board.waiting(queue.name),
            **spec_fields,
        )

    def _log_refusal(self, call, failure):
        parts = self._parts
        parts.metrics.note_refusal(failure.reason)
        read_s = parts.owner_view.last_read_s
        age_s = None
        if read_s is not None:
            age_s = round(parts.clock.monotonic_s() - read_s, 3)
        parts.events.write(
            'request_refused',
            method=call.method,
            path=call.path[:80],
            reason=failure.reason,
            detail=str(failure.detail)[:160],
            retry_after_s=failure.retry_after_s,
            read_age_s=age_s,
        )


def _spec_fields(queue, spec):
    return {
        'pool': queue.pool,
        'objective_s': round(ordering.objective_s(queue, spec), 3),
        'work_core_s': round(spec.finite_work_core_s(), 3),
        'is_lasting': any(step.is_lasting for step in spec.steps),
    }


def _state(status):
    if status is None:
        return 410, {}
    plain = {'state': status.state.value}
    if status.reason:
        plain['reason'] = status.reason
    return 200, plain
