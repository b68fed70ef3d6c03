"""Hedged calls: further attempts while earlier ones are still unanswered.

When answers are lost, an early retry helps. When the callee is overloaded,
retries make the overload worse. Therefore the first attempt stays in flight,
the second is sent after a multiple of the typical latency, and the delay
before each further attempt grows.
"""

import asyncio
import time

import attrs

from hawthorndeal_fleet import errors

from . import tasks

# Delay before the second attempt, as a multiple of the typical latency.
TYPICAL_LATENCY_FACTOR = 6.0
MIN_DELAY_S = 0.25
MAX_DELAY_S = 2.0
# Growth of the delay from one attempt to the next. Each consecutive call
# without any answer lengthens the first delay of the next call by it, too.
DELAY_GROWTH = 1.4
# Weight of a sample below the typical latency.
DECREASE_WEIGHT = 0.3
INITIAL_LATENCY_S = 0.02


@attrs.define
class LatencyEstimate:
    """Estimate the typical latency of one callee.

    A higher sample replaces the estimate at once; lower samples reduce it
    gradually.

    :ivar min_delay_s: an answer is never overdue earlier
    :ivar answers: number of answers so far
    """

    min_delay_s: float = MIN_DELAY_S
    _typical_s: float = INITIAL_LATENCY_S
    _consecutive_timeouts: int = 0
    answers: int = attrs.field(default=0, init=False)

    @property
    def delay_s(self):
        """Return the time after which an answer is overdue.

        It grows with each call that wasn't answered, since the callee may have
        become slower.
        """
        growth = DELAY_GROWTH**self._consecutive_timeouts
        return min(MAX_DELAY_S, self.usual_delay_s * growth)

    @property
    def usual_delay_s(self):
        """Return that time without regard to unanswered calls."""
        delay_s = self._typical_s * TYPICAL_LATENCY_FACTOR
        return min(MAX_DELAY_S, max(self.min_delay_s, delay_s))

    def record_timeout(self):
        """Record a call without an answer; the callee may have become slow."""
        self._consecutive_timeouts += 1

    def reset_timeouts(self):
        """Record an answer whose latency is not known."""
        self._consecutive_timeouts = 0
        self.answers += 1

    def record_latency(self, took_s):
        """Record the latency of an answer."""
        self.reset_timeouts()
        if took_s > self._typical_s:
            self._typical_s = took_s
        else:
            self._typical_s += (took_s - self._typical_s) * DECREASE_WEIGHT


async def call(
    send,
    latency,
    timeout_s,
    now_s=time.monotonic,
    min_delay_s=0.0,
    reachability=None,
):
    """Return the first answer to a call that may be sent several times.

    :param send: sends the call once; the call must be idempotent
    :param latency: latency estimate of the callee
    :param timeout_s: time limit over all attempts
    :param now_s: returns the monotonic time
    :param min_delay_s: delay before the second attempt at least; another
        attempt doesn't help if all answers of the callee take long
    :param reachability: a :class:`reachability.Reachability` of the callee;
        another attempt is sent at once when it answers after a silence
    :raises errors.OutcomeUnknown: at least one attempt may have arrived
    :raises errors.PlatformUnavailable: no attempt was accepted
    """
    hedged = _HedgedCall(send, latency, now_s, reachability)
    end_s = now_s() + timeout_s
    delay_s = max(min_delay_s, latency.delay_s)
    try:
        while now_s() < end_s:
            hedged.send_attempt()
            answered = await hedged.wait(min(end_s, now_s() + delay_s))
            if answered is not None:
                return answered.result()
            delay_s *= DELAY_GROWTH
    finally:
        hedged.cancel_all()
    latency.record_timeout()
    raise errors.OutcomeUnknown(f'no answer in {timeout_s} s')


class _HedgedCall:
    """The attempts of one call that are in flight."""

    def __init__(self, send, latency, now_s, reachability):
        self._send = send
        self._latency = latency
        self._now_s = now_s
        self._reachability = reachability
        self._return = None
        self._attempts = set()
        # Whether a failed attempt may have arrived.
        self._is_unknown = False

    def send_attempt(self):
        """Start another attempt."""
        self._attempts.add(asyncio.create_task(self._send_timed()))

    async def _send_timed(self):
        sent_s = self._now_s()
        answer = await self._send()
        self._latency.record_latency(self._now_s() - sent_s)
        if self._reachability is not None:
            self._reachability.note_answer()
        return answer

    async def wait(self, until_s):
        """Return the attempt that settles the call, or None.

        None means that another attempt is due: at the time limit, or since the
        callee answers other calls again.

        :raises errors.OutcomeUnknown: no attempt can settle the call any more
        """
        while self._now_s() < until_s:
            done = await self._wait_for_any(until_s - self._now_s())
            answered = self._select_result(done)
            if answered is not None:
                return answered
            if self._has_returned():
                return None
        return None

    async def _wait_for_any(self, timeout_s):
        """Wait for an attempt, or for the return of the callee.

        :returns: the attempts that have ended
        """
        if self._reachability is not None and self._return is None:
            self._return = self._reachability.wait_task()
        awaited = self._attempts | ({self._return} - {None})
        if not awaited:
            await asyncio.sleep(timeout_s)
            return set()
        done, _ = await asyncio.wait(
            awaited,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._attempts -= done
        return done - {self._return}

    def _has_returned(self):
        """Return whether the callee has answered others after a silence."""
        if self._return is None or not self._return.done():
            return False
        self._return = None
        return True

    def _select_result(self, done):
        known = [attempt for attempt in done if not _is_unknown(attempt)]
        self._is_unknown |= len(known) < len(done)
        # A success takes precedence over an error that arrived with it.
        known.sort(key=lambda attempt: attempt.exception() is not None)
        if not known or not _is_unavailable(known[0]):
            return known[0] if known else None
        # An attempt that was not accepted settles only itself: others may
        # have arrived.
        if self._attempts:
            return None
        if self._is_unknown:
            raise errors.OutcomeUnknown(
                f'one copy may have arrived: {known[0].exception()}'
            )
        return known[0]

    def cancel_all(self):
        """Cancel the attempts in flight."""
        if self._return is not None:
            self._return.cancel()
        for attempt in self._attempts:
            attempt.cancel()
            attempt.add_done_callback(tasks.retrieve_error)


async def read(send, latency, wait_s, reachability=None):
    """Return a page of records from a long poll.

    :param send: sends the call, given the longest silence of the callee;
        returns the page and the time until the answer began
    :param latency: latency estimate of the callee's reads
    :param wait_s: how long the callee may wait for records
    :param reachability: a :class:`reachability.Reachability` of the callee;
        the call is sent again when it answers others after a silence
    :raises errors.OutcomeUnknown: no answer arrived in time
    """
    answers = latency.answers
    try:
        page, began_after_s = await _send_read(
            lambda: send(wait_s + latency.delay_s), reachability
        )
    except errors.OutcomeUnknown:
        # Answers to others meanwhile show that the callee is not slower.
        if latency.answers == answers:
            latency.record_timeout()
        raise
    if reachability is not None:
        reachability.note_answer()
    if not page.records:
        latency.record_latency(max(0.0, began_after_s - wait_s))
    elif not wait_s:
        latency.record_latency(began_after_s)
    else:
        # The callee answered as soon as a record existed, so the elapsed
        # time includes an unknown wait.
        latency.reset_timeouts()
    return page


async def _send_read(send, reachability):
    """Return the answer to a read, which is sent twice at most."""
    if reachability is None:
        return await send()
    attempts = [asyncio.create_task(send())]
    returned = reachability.wait_task()
    try:
        await asyncio.wait(
            [*attempts, returned], return_when=asyncio.FIRST_COMPLETED
        )
        if not attempts[0].done():
            attempts.append(asyncio.create_task(send()))
        return await _first_success(attempts)
    finally:
        returned.cancel()
        for attempt in attempts:
            attempt.cancel()
            attempt.add_done_callback(tasks.retrieve_error)


async def _first_success(attempts):
    """Return the first result, or raise the error of the last attempt."""
    pending = set(attempts)
    while len(pending) > 1:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for attempt in done:
            if attempt.exception() is None:
                return attempt.result()
    return await (pending or set(attempts[-1:])).pop()


def _is_unknown(attempt):
    return isinstance(attempt.exception(), errors.OutcomeUnknown)


def _is_unavailable(attempt):
    return isinstance(attempt.exception(), errors.PlatformUnavailable)
