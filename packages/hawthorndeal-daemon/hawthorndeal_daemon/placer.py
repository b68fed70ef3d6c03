"""Place jobs on workers, and keep the leases of their tasks."""

import asyncio
import functools

from hawthorndeal_fleet import placement_actions as actions
from hawthorndeal_fleet import placement_planner

from . import act_runner
from . import logs

RENEWAL_PERIOD_S = 5.0
TURNS_PERIOD_S = 5.0
# Hosts come back, quotas get free and probes fall due without a change.
BLOCKED_S = 1.0
MAX_RUNNING = 100

_log = logs.get('placer')


def no_turns(state, now_s):
    """Return no expected turns of hosts."""
    return {}


class Placer:
    """Place jobs, and care for the tasks whose leases this daemon holds.

    :param follower: keeps the folded state
    :param writer: appends records
    :param workers: the platform's workers
    :param settings: the daemon's settings
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    :param turns: returns when hosts are expected to be worked on
    """

    name = 'placer'

    def __init__(
        self,
        follower,
        writer,
        workers,
        settings,
        incarnation,
        clock,
        maintenance_starts=no_turns,
    ):
        self._follower = follower
        self._period_s = settings.placement_period_s
        self._me = incarnation
        self._clock = clock
        self._turns = maintenance_starts
        self._running = {}
        self._choices = {}
        self._runner = act_runner.ActRunner(
            follower,
            writer,
            workers,
            incarnation,
            clock,
            self._running.__contains__,
        )
        self._next_renewal_s = 0.0
        self._blocked = {}
        self._unblock_s = 0.0
        self._next_turns_s = 0.0
        self._known_turns = {}

    @property
    def _state(self):
        return self._follower.state

    async def run(self):
        """Act on a period until cancelled."""
        try:
            while True:
                await self.tick()
                await asyncio.sleep(self._period_s)
        finally:
            for task in self._running.values():
                task.cancel()

    async def stop(self):
        """Do nothing: another daemon takes the jobs."""

    async def tick(self):
        """Begin what there is to do now; it goes on beside later ticks."""
        self._begin('reports', self._runner.read_reports())
        observation = self._look()
        found = [
            *placement_planner.plan(self._state, observation),
            *self._renewals(observation),
        ]
        for job_id in list(self._runner.news):
            self._begin(job_id, self._runner.settle_news(job_id))
        for act in found:
            if isinstance(act, actions.Blocked):
                self._blocked[act.pool] = act.changes
                continue
            work = self._runner.carry_out(act)
            self._begin(_key(act), work, _choice(act))

    def _begin(self, key, work, choice=None):
        if key in self._running or len(self._running) >= MAX_RUNNING:
            work.close()
            return
        if choice is not None:
            self._choices[key] = choice
        task = asyncio.create_task(work)
        self._running[key] = task
        task.add_done_callback(functools.partial(self._finish, key))

    def _finish(self, key, task):
        del self._running[key]
        self._choices.pop(key, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error('%s failed.', key, exc_info=task.exception())

    def _look(self):
        now_s = self._clock.monotonic_s()
        if now_s >= self._unblock_s:
            self._unblock_s = now_s + BLOCKED_S
            self._blocked = {}
        return placement_planner.Observation(
            own_incarnation=self._me,
            now_s=self._clock.now_s(),
            busy=self._running,
            avoided=self._runner.reach.avoided(),
            reserved=dict(self._choices),
            renewed_until_s=self._runner.renewed_until_s,
            unreachable_s=self._runner.reach.unreachable_s(),
            blocked=self._blocked,
            limit=MAX_RUNNING - len(self._running),
            maintenance_starts=self._expected_turns(now_s),
        )

    def _expected_turns(self, now_s):
        # They go through all hosts, and change slowly.
        if now_s >= self._next_turns_s:
            self._next_turns_s = now_s + TURNS_PERIOD_S
            self._known_turns = self._turns(
                self._state, self._state.log_time_s
            )
        return self._known_turns

    def _renewals(self, observation):
        now_s = self._clock.monotonic_s()
        if now_s < self._next_renewal_s:
            return []
        self._next_renewal_s = now_s + RENEWAL_PERIOD_S
        self._runner.forget_old()
        return placement_planner.renewals(self._state, observation)


def _choice(act):
    return act.choice if isinstance(act, actions.Place) else None


def _key(act):
    """Return what an act is about, so that no two acts run on it at once."""
    if isinstance(act, actions.Place):
        return act.choice.job_id
    if isinstance(act, actions.JobAction):
        return act.job_id
    if isinstance(act, actions.TakeOver):
        return f'take {act.pool}/{act.lost}'
    if isinstance(act, actions.RenewHolder):
        return 'holder'
    return act.host
