"""Agent that polls one executor on behalf of the partition's owner."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import placement
from hawthorndeal_jobs import run_state
from hawthorndeal_platform import executor_orders

from . import run_orders

_Phase = run_state.RunPhase

POLL_WAIT_S = 1.0
# Applies while tasks run that end by themselves: a lost answer delays the
# detection of all ends until the wait is over.
BUSY_POLL_WAIT_S = 0.25
# Applies when it has just become unknown whether a run has started. Grows with
# that time, since a full link makes many starts unknown at once.
UNKNOWN_RUN_POLL_WAIT_S = 0.05
UNKNOWN_RUN_POLL_WAIT_SHARE = 0.5
# Applies while an executor runs a suspect of a crash, or is held for one.
APART_POLL_WAIT_S = 0.1
# Consecutive failed polls after which an executor counts as unreachable.
UNREACHABLE_FAILURES = 2
# Runs tend to end in groups, which one poll then reports together.
POLL_PAUSE_S = 0.03
RETRY_S = 0.2
# Delays the next poll until the ends are stored, as it would only repeat them.
STORE_WAIT_S = 0.3


class ExecutorAgent:
    """Task that renews the lease of an executor and polls its runs.

    :param executor: the scheduler's record of the executor
    :param owner: its tracker processes the answers, and its term permits the
        renewal of leases
    """

    def __init__(self, executor, owner):
        self._executor = executor
        self._owner = owner
        self._poll_requested = asyncio.Event()
        self._ends_stored = asyncio.Event()
        self._failures = 0
        self._is_unreachable = False
        # Up to which end, and of which incarnation, a poll has told the
        # executor to forget.
        self._forgotten = 0, 0

    def poll_soon(self):
        """Request an early poll."""
        self._poll_requested.set()

    def note_ends_stored(self):
        """Record that ends of runs on this executor were stored."""
        self._ends_stored.set()

    async def run(self):
        """Poll until the executor or the ownership term has ended."""
        while not self._owner.term.is_lost:
            if not self._needs_poll():
                self._poll_requested.clear()
                await self._poll_requested.wait()
            if await self.poll_once():
                return

    async def poll_once(self):
        """Poll the executor.

        :returns: whether nothing is left to poll
        """
        owner, incarnation = self._owner, self._executor.incarnation
        try:
            await self._poll()
        except executor_orders.ExecutorGone:
            return owner.tracker.note_gone(self._executor, incarnation)
        except executor_orders.ExecutorFenced:
            owner.lose_ownership('an executor has seen a newer epoch')
            return True
        except Exception as error:
            # An unexpected error, too, concerns this executor only.
            return await self._has_ended_after(error)
        return False

    async def _has_ended_after(self, error):
        """Return whether the executor has ended, after a poll that failed."""
        if not isinstance(error, errors.PlatformError):
            self._owner.events.write(
                'poll_failed',
                executor=self._executor.executor_id,
                why=repr(error)[:300],
            )
            await asyncio.sleep(RETRY_S)
        self._failures += 1
        self._executor.note_unanswered(self._owner.now_s())
        self._owner.tracker.note_unanswered_poll()
        if self._failures < UNREACHABLE_FAILURES:
            return False
        self._note_unreachable(error)
        await asyncio.sleep(RETRY_S)
        return self._owner.tracker.check_lease_expiry(self._executor)

    def _needs_poll(self):
        executor = self._executor
        return executor.runs or not executor.incarnation.is_fenced

    async def _poll(self):
        executor, owner = self._executor, self._owner
        now_s = owner.now_s()
        if not owner.may_renew_leases():
            await asyncio.sleep(RETRY_S)
            return
        incarnation = executor.incarnation
        grant = None
        # A poll may renew the lease even if its answer is lost, so polls of an
        # unreachable executor carry none: otherwise its runs never lapse.
        if incarnation.clock_s is not None and not self._is_unreachable:
            grant = incarnation.grant_lease(owner.lease_s, now_s)
        is_answered = False
        try:
            ended_runs = await self._send_poll(grant)
            is_answered = executor.incarnation is incarnation
        except (errors.PlatformUnavailable, executor_orders.ExecutorGone):
            is_answered = True
            raise
        finally:
            if grant is not None:
                incarnation.end_grant(grant, is_answered)
        if ended_runs:
            await self._wait_for_ends_stored()
        else:
            await asyncio.sleep(POLL_PAUSE_S)

    async def _send_poll(self, grant):
        """Poll the executor, and return the runs that ended.

        :param grant: the lease that the poll carries, or None
        """
        executor, owner = self._executor, self._owner
        born_ms = executor.incarnation.born_ms
        end_to_forget = self._end_to_forget()
        poll = await owner.executors.poll(
            run_orders.target_of(executor),
            owner.epoch,
            end_to_forget,
            grant.deadline_s if grant is not None else None,
            self._poll_wait_s(end_to_forget),
        )
        self._note_reached()
        if end_to_forget:
            self._forgotten = born_ms, end_to_forget
        self._ends_stored.clear()
        return owner.tracker.handle_poll(executor, poll)

    def _end_to_forget(self):
        """Return up to which end the executor may forget ends.

        Another incarnation with the same id may answer, which counts its ends
        anew: it would forget ends that no poll has told. So nothing is to be
        forgotten after a failed poll, and each end only once where executors
        tell incarnations apart.
        """
        incarnation = self._executor.incarnation
        recorded = incarnation.born_ms, incarnation.last_recorded_end
        if self._failures or (
            incarnation.born_ms and recorded == self._forgotten
        ):
            return 0
        return incarnation.last_recorded_end

    def _poll_wait_s(self, end_to_forget):
        """Return how long the executor may hold a poll open for an end.

        A poll that tells it to forget ends isn't held open where incarnations
        share an id, as the next one may begin meanwhile.
        """
        executor = self._executor
        if self._failures or not executor.incarnation.is_fenced:
            return 0.0
        if executor.shares_id and end_to_forget:
            return 0.0
        wait_s = poll_wait_s(executor.runs.values(), self._owner.now_s())
        if placement.is_apart(executor, self._owner.now_s()):
            # Suspects of crashes wait until the runs are known to last.
            return min(wait_s, APART_POLL_WAIT_S)
        return wait_s

    async def _wait_for_ends_stored(self):
        await asyncio.sleep(POLL_PAUSE_S)
        incarnation = self._executor.incarnation
        if incarnation.last_recorded_end >= incarnation.last_processed_end:
            return
        try:
            await asyncio.wait_for(self._ends_stored.wait(), STORE_WAIT_S)
        except asyncio.TimeoutError:
            return

    def _note_unreachable(self, error):
        if not self._is_unreachable:
            self._owner.events.write(
                'executor_unreachable',
                executor=self._executor.executor_id,
                runs=len(self._executor.runs),
                why=str(error)[:160],
            )
        self._is_unreachable = True
        owner = self._owner
        owner.scheduler.health.record_unavailable(
            self._executor, owner.now_s()
        )

    def _note_reached(self):
        if self._is_unreachable:
            self._owner.events.write(
                'executor_reached', executor=self._executor.executor_id
            )
        self._failures = 0
        self._is_unreachable = False


def poll_wait_s(runs, now_s):
    """Return how long a poll of an executor with these runs may wait."""
    unknown_s = [
        now_s - run.phase_changed_s
        for run in runs
        if run.phase is _Phase.UNKNOWN
    ]
    if unknown_s:
        wait_s = UNKNOWN_RUN_POLL_WAIT_SHARE * max(unknown_s)
        return min(BUSY_POLL_WAIT_S, max(UNKNOWN_RUN_POLL_WAIT_S, wait_s))
    if all(run.step.is_lasting for run in runs):
        return POLL_WAIT_S
    return BUSY_POLL_WAIT_S
