"""Handles callers' calls, here or by passing them on."""

import asyncio

from hawthorndeal_daemon import web
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import ordering
from hawthorndeal_platform import peer_calls
from hawthorndeal_platform import tasks

from . import call_effect
from . import caller_access

# How often a call that waits checks whether the store still answers.
SILENCE_CHECK_S = 0.1
FIRST_CHECK_S = 0.01


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
        effect = call_effect.CallEffect(call.may_be_stored)
        try:
            return await self._answer_here_or_elsewhere(call, effect)
        except errors.RequestFailed as failure:
            failure = _told_failure(call, effect, failure)
            self._log_refusal(call, failure)
            return self._make_answer(
                failure.status,
                web.failure_body(failure),
                failure.retry_after_s,
            )

    async def _answer_here_or_elsewhere(self, call, effect):
        if call.is_relayed:
            return await self._answer_here(call, effect)
        deadline_s = self._parts.clock.monotonic_s()
        deadline_s += self._interface.timeout_s(call)
        holding = self._hold_beside_silence(effect)
        here = asyncio.create_task(self._answer_here(call, effect))
        try:
            if not await self._has_ended(here):
                answer = await self._answer_elsewhere(call, effect, deadline_s)
                if answer is not None:
                    return answer
                effect.release()
            return await here
        except caller_access.StoreUnreachable:
            answer = None
            if self._may_others_answer():
                answer = await self._answer_elsewhere(call, effect, deadline_s)
            if answer is None:
                raise
            return answer
        finally:
            if holding is not None:
                holding.cancel()
            here.cancel()
            here.add_done_callback(tasks.retrieve_error)

    def _hold_beside_silence(self, effect):
        """Let this daemon store nothing while the store is silent.

        :returns: the task that ends when the store answers, or None
        """
        reachability = self._parts.log.reachability
        if not reachability.is_silent:
            return None
        effect.hold()
        holding = reachability.wait_task()
        holding.add_done_callback(lambda _: effect.release())
        return holding

    async def _answer_elsewhere(self, call, effect, deadline_s):
        """Return another daemon's answer, or None if there is none.

        Whoever answers, it is the same job. So an answer that the call has
        taken effect is true for all attempts, and a refusal only for the
        daemon that gives it.

        :raises errors.AnswerLost: if it is refused, but may have taken effect
        """
        was_possible = effect.is_possible
        answer = await self._pass_on(call, effect, deadline_s)
        if _hides_effect(call, effect, answer) and not was_possible:
            # An attempt of this daemon has begun meanwhile, which the others
            # didn't know of.
            answer = await self._pass_on(call, effect, deadline_s)
        if _hides_effect(call, effect, answer):
            raise errors.AnswerLost(
                f'another daemon refused with status {answer.status} what may '
                f'have been stored',
                answer.retry_after_s,
            )
        effect.is_refused = answer is not None and answer.is_refusal
        return answer

    async def _pass_on(self, call, effect, deadline_s):
        left_s = deadline_s - self._parts.clock.monotonic_s()
        try:
            return await self._relay.pass_on(call, effect, left_s)
        except errors.AnswerLost:
            return None

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
        # What needs no store is answered here, also beside a silent one.
        await asyncio.wait([task], timeout=FIRST_CHECK_S)
        while not task.done():
            if self._parts.log.reachability.is_silent:
                return False
            await asyncio.wait([task], timeout=SILENCE_CHECK_S)
        return True

    async def _answer_here(self, call, effect):
        interface = self._interface
        min_version = max(call.min_version, self._relay.seen_version)
        interface.require_version(min_version)
        queue, job_id = interface.find_queue(call.host_name, call.path)
        access = interface.authorize(queue, call.key, effect)
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
        if not call.is_read:
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


def _hides_effect(call, effect, answer):
    """Return whether an answer denies what may have taken effect."""
    return (
        answer is not None
        and answer.is_refusal
        and not call.is_read
        and effect.is_possible
    )


def _told_failure(call, effect, failure):
    """Return the failure that the caller is told."""
    is_refusal = isinstance(failure, errors.NotRun)
    if call.is_read or not is_refusal or not effect.is_possible:
        return failure
    return errors.AnswerLost(
        f'refused, but may have been stored: {failure.detail}',
        failure.retry_after_s,
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
