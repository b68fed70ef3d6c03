"""Requests permission from the advice service to run steps on executors."""

import asyncio

from hawthorndeal_fleet import errors

IDLE_CHECK_S = 0.02
RETRY_S = 0.2
# Requests for more executors take longer than they gain.
MAX_EXECUTORS = 30


class AdviceRequester:
    """Task that requests advice on one step at a time.

    The service handles the calls of one daemon sequentially, so concurrent
    requests would gain nothing.

    :param parts: shared components of the daemon
    :param owner: its scheduler stores the tickets
    """

    def __init__(self, parts, owner):
        self._parts = parts
        self._owner = owner

    async def run(self):
        """Request advice until the ownership term ends."""
        if self._parts.advice is None:
            return
        while not self._owner.term.is_lost:
            waiting = self._owner.scheduler.steps_awaiting_advice(
                self._owner.now_s()
            )
            if not waiting:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            waiting.sort(key=lambda item: item[0].objective_s)
            try:
                await self._request_advice(*waiting[0])
            except errors.PlatformError as error:
                self._owner.events.write('advice_failed', why=str(error)[:160])
                await asyncio.sleep(RETRY_S)

    async def _request_advice(self, ready_step, queue):
        owner = self._owner
        sent_s = owner.now_s()
        executor_ids = self._candidates(queue.pool)
        good = await self._parts.advice.advise(ready_step.key, executor_ids)
        scheduler = owner.scheduler
        validity_s = queue.advice.validity_s
        scheduler.tickets.note(ready_step.key, good, validity_s, sent_s)
        scheduler.steps.pools_to_schedule.add(queue.pool)
        owner.events.write(
            'advice_taken',
            job=ready_step.key[0],
            step=ready_step.key[2],
            asked=len(executor_ids),
            good=len(good),
            took_s=round(owner.now_s() - sent_s, 3),
        )
        owner.wake()

    def _candidates(self, pool):
        known = self._owner.scheduler.executors_in(pool)
        known.sort(key=lambda executor: -executor.free.cpu_millicores)
        return [executor.executor_id for executor in known[:MAX_EXECUTORS]]
