"""Tells the calls that wait for a callee when it answers again."""

import asyncio
import time

# Answers further apart than this end a silence. Longer than a read of one
# follower waits for records, so that a callee that is merely quiet has none.
MIN_SILENCE_S = 0.6


class Reachability:
    """Whether a callee answers, as seen by all calls to it.

    A call that was sent while the callee was away may go unanswered for good,
    and a caller that failed several times waits before the next try. Both go
    on as soon as any other call is answered.

    :param now_s: returns the monotonic time
    """

    def __init__(self, now_s=time.monotonic):
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
        return self.silence_s > MIN_SILENCE_S

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
