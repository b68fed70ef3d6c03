"""Ask the advice service which executors may run the steps that wait."""

import asyncio

from hawthorndeal_fleet import errors

IDLE_S = 0.02
RETRY_S = 0.2
# Asking about more takes longer than it gains.
MAX_EXECUTORS = 30


class AdviceAsker:
    """Be a task that asks about one step at a time.

    The service takes the calls of one daemon in turn, so that asking about
    several steps at once would gain nothing.

    :param parts: what an owner works with
    :param owner: whose scheduler holds the tickets
    """

    def __init__(self, parts, owner):
        self._parts = parts
        self._owner = owner

    async def run(self):
        """Ask until the tenure is over."""
        if self._parts.advice is None:
            return
        while not self._owner.tenure.is_lost:
            waiting = self._owner.scheduler.unadvised(self._owner.now_s())
            if not waiting:
                await asyncio.sleep(IDLE_S)
                continue
            waiting.sort(key=lambda pair: pair[0].objective_s)
            try:
                await self._ask(*waiting[0])
            except errors.PlatformError as error:
                self._owner.events.write('advice_failed', why=str(error)[:160])
                await asyncio.sleep(RETRY_S)

    async def _ask(self, open_step, queue):
        owner = self._owner
        asked_s = owner.now_s()
        names = self._candidates(queue.pool)
        good = await self._parts.advice.advise(open_step.key, names)
        scheduler = owner.scheduler
        validity_s = queue.advice.validity_s
        scheduler.tickets.note(open_step.key, good, validity_s, asked_s)
        scheduler.steps.stale_pools.add(queue.pool)
        owner.events.write(
            'advice_taken',
            job=open_step.key[0],
            step=open_step.key[2],
            asked=len(names),
            good=len(good),
            took_s=round(owner.now_s() - asked_s, 3),
        )
        owner.wake()

    def _candidates(self, pool):
        known = self._owner.scheduler.executors_of(pool)
        known.sort(key=lambda executor: -executor.free.cpu_millicores)
        return [executor.executor_id for executor in known[:MAX_EXECUTORS]]
