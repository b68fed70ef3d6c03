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
    """

    _typical_s: float = INITIAL_LATENCY_S
    _consecutive_timeouts: int = 0

    @property
    def delay_s(self):
        """Return the time after which an answer is overdue."""
        delay_s = max(MIN_DELAY_S, self._typical_s * TYPICAL_LATENCY_FACTOR)
        return min(
            MAX_DELAY_S, delay_s * DELAY_GROWTH**self._consecutive_timeouts
        )

    def record_timeout(self):
        """Record a call without an answer; the callee may have become slow."""
        self._consecutive_timeouts += 1

    def reset_timeouts(self):
        """Record an answer whose latency is not known."""
        self._consecutive_timeouts = 0

    def record_latency(self, took_s):
        """Record the latency of an answer."""
        self.reset_timeouts()
        if took_s > self._typical_s:
            self._typical_s = took_s
        else:
            self._typical_s += (took_s - self._typical_s) * DECREASE_WEIGHT


async def call(
    send, latency, timeout_s, now_s=time.monotonic, min_delay_s=0.0
):
    """Return the first answer to a call that may be sent several times.

    :param send: sends the call once; the call must be idempotent
    :param latency: latency estimate of the callee
    :param timeout_s: time limit over all attempts
    :param now_s: returns the monotonic time
    :param min_delay_s: delay before the second attempt at least; another
        attempt doesn't help if all answers of the callee take long
    :raises errors.OutcomeUnknown: at least one attempt may have arrived
    :raises errors.PlatformUnavailable: no attempt was accepted
    """
    hedged = _HedgedCall(send, latency, now_s)
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

    def __init__(self, send, latency, now_s):
        self._send = send
        self._latency = latency
        self._now_s = now_s
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
        return answer

    async def wait(self, until_s):
        """Return the attempt that settles the call, or None at the time limit.

        :raises errors.OutcomeUnknown: no attempt can settle the call any more
        """
        while self._attempts and self._now_s() < until_s:
            done, self._attempts = await asyncio.wait(
                self._attempts,
                timeout=until_s - self._now_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answered = self._select_result(done)
            if answered is not None:
                return answered
        await asyncio.sleep(max(0.0, until_s - self._now_s()))
        return None

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
        for attempt in self._attempts:
            attempt.cancel()
            attempt.add_done_callback(_retrieve_error)


async def read(send, latency, wait_s):
    """Return a page of records from a long poll.

    :param send: sends the call, given the longest silence of the callee;
        returns the page and the time until the answer began
    :param latency: latency estimate of the callee's reads
    :param wait_s: how long the callee may wait for records
    :raises errors.OutcomeUnknown: no answer arrived in time
    """
    try:
        page, began_after_s = await send(wait_s + latency.delay_s)
    except errors.OutcomeUnknown:
        latency.record_timeout()
        raise
    if not page.records:
        latency.record_latency(max(0.0, began_after_s - wait_s))
    elif not wait_s:
        latency.record_latency(began_after_s)
    else:
        # The callee answered as soon as a record existed, so the elapsed
        # time includes an unknown wait.
        latency.reset_timeouts()
    return page


def _is_unknown(attempt):
    return isinstance(attempt.exception(), errors.OutcomeUnknown)


def _is_unavailable(attempt):
    return isinstance(attempt.exception(), errors.PlatformUnavailable)


def _retrieve_error(attempt):
    # Otherwise asyncio logs that the exception was never retrieved.
    if not attempt.cancelled():
        attempt.exception()
