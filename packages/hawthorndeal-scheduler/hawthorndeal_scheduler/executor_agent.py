"""Speak to one executor for the owner of its partition."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import executors as executors_module
from hawthorndeal_jobs import suspicion
from hawthorndeal_platform import executor_orders

from . import run_orders

_Phase = executors_module.RunPhase

LOOK_WAIT_S = 1.0
# While tasks run that end by themselves: an answer that is lost hides all
# ends until its time is up.
BUSY_LOOK_WAIT_S = 0.25
# While it isn't known whether a task runs.
UNSURE_LOOK_WAIT_S = 0.05
# Looks in a row that must fail for an executor to count as unreachable.
LOST_AFTER = 2
# Ends come in groups: one look then serves several.
LOOK_PAUSE_S = 0.03
RETRY_S = 0.2
# A look that brings the same ends again is put off until they are stored.
RECORD_WAIT_S = 0.3


class ExecutorAgent:
    """Be a task that renews an executor's lease and looks at its runs.

    :param executor: the executor, as the scheduler knows it
    :param owner: takes in what is found, and knows the tenure
    """

    def __init__(self, executor, owner):
        self._executor = executor
        self._owner = owner
        self._work = asyncio.Event()
        self._recorded = asyncio.Event()
        self._failures = 0
        self._is_lost = False

    def hurry(self):
        """Look at the executor soon."""
        self._work.set()

    def note_recorded(self):
        """Note that ends of this executor were stored."""
        self._recorded.set()

    async def run(self):
        """Look until the executor's life or the tenure is over."""
        while not self._owner.tenure.is_lost:
            if not self._needs_look():
                self._work.clear()
                await self._work.wait()
            try:
                await self._look()
            except executor_orders.ExecutorGone:
                self._owner.end_executor(self._executor, 'another life')
                return
            except executor_orders.ExecutorFenced:
                self._owner.lose('an executor has seen a newer owner')
                return
            except errors.PlatformError as error:
                self._failures += 1
                if self._failures < LOST_AFTER:
                    continue
                self._note_lost(error)
                await asyncio.sleep(RETRY_S)
                if self._owner.check_lapse(self._executor):
                    return

    def _needs_look(self):
        return self._executor.runs or not self._executor.is_fenced

    async def _look(self):
        executor, owner = self._executor, self._owner
        now_s = owner.now_s()
        if not owner.may_renew_leases():
            await asyncio.sleep(RETRY_S)
            return
        deadline_s = None
        # A look that is not answered may renew the lease all the same: only
        # one without a lease lets an unreachable executor's runs lapse.
        if executor.clock_s is not None and not self._is_lost:
            deadline_s = executor.give_lease(owner.lease_s, now_s)
        look = await owner.executors.look(
            run_orders.target_of(executor),
            owner.epoch,
            executor.last_recorded_end,
            deadline_s,
            self._wait_s(),
        )
        self._note_regained()
        self._recorded.clear()
        over = owner.take_look(executor, look)
        if over:
            await self._wait_recorded()
        else:
            await asyncio.sleep(LOOK_PAUSE_S)

    def _wait_s(self):
        """Return how long the executor may wait for an end to tell."""
        executor = self._executor
        if self._failures or not executor.is_fenced:
            return 0.0
        runs = executor.runs.values()
        if any(run.phase is _Phase.UNKNOWN for run in runs):
            return UNSURE_LOOK_WAIT_S
        if all(run.step.is_lasting for run in runs):
            return LOOK_WAIT_S
        return BUSY_LOOK_WAIT_S

    async def _wait_recorded(self):
        await asyncio.sleep(LOOK_PAUSE_S)
        executor = self._executor
        if executor.last_recorded_end >= executor.last_processed_end:
            return
        try:
            await asyncio.wait_for(self._recorded.wait(), RECORD_WAIT_S)
        except asyncio.TimeoutError:
            return

    def _note_lost(self, error):
        if not self._is_lost:
            self._owner.events.write(
                'executor_unreachable',
                executor=self._executor.executor_id,
                runs=len(self._executor.runs),
                why=str(error)[:160],
            )
        self._is_lost = True
        suspicion.suspend(self._executor, self._owner.now_s())

    def _note_regained(self):
        if self._is_lost:
            self._owner.events.write(
                'executor_reached', executor=self._executor.executor_id
            )
        self._failures = 0
        self._is_lost = False
