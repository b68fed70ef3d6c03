"""Tells the calls that wait for a callee when it answers again."""

import asyncio
import time

# Time without an answer that is usual beside the callee's latency: a reader
# waits about as long for new records.
QUIET_S = 0.35


class Reachability:
    """Whether a callee answers, as seen by all calls to it.

    A call that was sent while the callee was away may go unanswered for good,
    and a caller that failed several times waits before the next try. Both go
    on as soon as any other call is answered.

    :param latency: a :class:`hedging.LatencyEstimate` of the callee; one that
        is slow is not silent
    :param now_s: returns the monotonic time
    """

    def __init__(self, latency, now_s=time.monotonic):
        self._latency = latency
        self._now_s = now_s
        self._last_answer_s = now_s()
        self._has_returned = asyncio.Event()

    @property
    def silence_s(self):
        """Return how long ago the last call was answered."""
        return self._now_s() - self._last_answer_s

    @property
    def is_silent(self):
        """Return whether no call was answered of late."""
        return self.silence_s > QUIET_S + self._latency.usual_delay_s

    def note_answer(self):
        """Record that a call was answered."""
        was_silent = self.is_silent
        self._last_answer_s = self._now_s()
        if was_silent:
            self._has_returned.set()
            self._has_returned = asyncio.Event()

    def wait_task(self):
        """Return a task that ends when the callee answers after a silence."""
        return asyncio.create_task(self._has_returned.wait())

    async def pause(self, timeout_s):
        """Wait for a time, or until the callee answers after a silence."""
        try:
            await asyncio.wait_for(self._has_returned.wait(), timeout_s)
        except asyncio.TimeoutError:
            return
