"""Requests permission from the advice service to run steps on executors."""

import asyncio

from hawthorndeal_fleet import errors

IDLE_CHECK_S = 0.02
RETRY_S = 0.2
# A call may take several times what its queue declares, and this long in any
# case.
MIN_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 5.0
TIMEOUT_FACTOR = 4.0
# When the answer to a call is overdue.
OVERDUE_S = 0.2
OVERDUE_FACTOR = 2.0
MAX_CALLS = 8


class AdviceRequester:
    """Task that requests advice on one step after the other.

    The service handles the calls of one daemon sequentially, so concurrent
    calls would gain nothing. The next call is made beside one whose answer is
    overdue, since it may be lost.

    :param parts: shared components of the daemon
    :param owner: its scheduler chooses the calls, and stores the tickets
    """

    def __init__(self, parts, owner):
        self._parts = parts
        self._owner = owner
        self._last_took_s = 0.0
        self._is_from_end = False
        self._calls = set()

    async def run(self):
        """Request advice until the ownership term ends."""
        if self._parts.advice is None:
            return
        try:
            while not self._owner.term.is_lost:
                await self._make_next_call()
        finally:
            for call in self._calls:
                call.cancel()

    async def _make_next_call(self):
        if len(self._calls) >= MAX_CALLS:
            await asyncio.wait(
                self._calls, return_when=asyncio.FIRST_COMPLETED
            )
        request = self._owner.scheduler.next_advice_request(
            self._owner.now_s(), self._is_from_end
        )
        if request is None:
            await asyncio.sleep(IDLE_CHECK_S)
            return
        call = asyncio.create_task(self._call(request))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        overdue_s = OVERDUE_S + OVERDUE_FACTOR * _declared_s(request)
        await asyncio.wait([call], timeout=overdue_s)
        self._choose_end(call.done() and call.result())
        if call.done() and not call.result():
            await asyncio.sleep(RETRY_S)

    def _choose_end(self, is_answered):
        """Decide from which end of the line the next step is taken.

        The steps at one end may never be answered. The other end gets the next
        call then, and further ones while these are answered.
        """
        if not is_answered:
            self._is_from_end = not self._is_from_end
        elif not self._calls:
            self._is_from_end = False

    async def _call(self, request):
        """Make a call; return whether it was answered."""
        try:
            await self._request_advice(request)
        except errors.PlatformError as error:
            self._note_failed(request, error)
            return False
        finally:
            self._owner.scheduler.advice.close(request)
        return True

    async def _request_advice(self, request):
        owner, step = self._owner, request.ready_step
        sent_s = owner.now_s()
        good = await self._parts.advice.advise(
            step.key, request.executor_ids, self._timeout_s(request)
        )
        self._last_took_s = owner.now_s() - sent_s
        owner.scheduler.note_advice(request, good, sent_s)
        owner.events.write(
            'advice_taken',
            job=step.key[0],
            step=step.key[2],
            asked=len(request.executor_ids),
            good=len(good),
            took_s=round(self._last_took_s, 3),
        )
        owner.wake()

    def _timeout_s(self, request):
        """Return how long to wait for the answer to a call.

        A service that is slow for all is given more time at each further call
        on a step, and by what its last answer took.
        """
        expected_s = max(_declared_s(request), self._last_took_s)
        wait_s = MIN_TIMEOUT_S + TIMEOUT_FACTOR * expected_s
        return min(MAX_TIMEOUT_S, wait_s * 2**request.failures)

    def _note_failed(self, request, error):
        owner, step = self._owner, request.ready_step
        owner.scheduler.advice.note_failed(request, owner.now_s())
        owner.events.write(
            'advice_failed',
            job=step.key[0],
            step=step.key[2],
            why=str(error)[:160],
        )


def _declared_s(request):
    """Return how long the answer to a call takes by its queue."""
    declared = request.queue.advice
    return declared.decision_s + declared.per_executor_s * len(
        request.executor_ids
    )
