"""Place jobs on workers and renew the leases of their tasks."""

import asyncio
import functools

from hawthorndeal_fleet import placement_actions as actions
from hawthorndeal_fleet import placement_planner

from . import action_runner
from . import logs

RENEWAL_PERIOD_S = 5.0
ESTIMATE_PERIOD_S = 5.0
# Blocked pools are retried on this period, since hosts recover, quotas are
# freed and probes become due without a change to the pool's jobs.
BLOCKED_RETRY_S = 1.0
MAX_RUNNING = 100

_log = logs.get('placer')


def no_maintenance_starts(state, now_s):
    """Return an empty estimate of maintenance start times."""
    return {}


class Placer:
    """Place jobs and manage the tasks whose leases this daemon holds.

    :param follower: holds the folded state
    :param writer: appends records to the log
    :param workers: client of the platform's worker API
    :param settings: the daemon's settings
    :param incarnation: unique id of this daemon process
    :param clock: time source
    :param maintenance_starts: returns when the maintenance of each host is
        expected to start
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
        maintenance_starts=no_maintenance_starts,
    ):
        self._follower = follower
        self._period_s = settings.placement_period_s
        self._incarnation = incarnation
        self._clock = clock
        self._estimate_maintenance_starts = maintenance_starts
        self._running_work = {}
        self._reserved_choices = {}
        self._runner = action_runner.ActionRunner(
            follower,
            writer,
            workers,
            incarnation,
            clock,
            self._running_work.__contains__,
        )
        self._next_renewal_s = 0.0
        self._blocked = {}
        self._unblock_s = 0.0
        self._next_estimate_s = 0.0
        self._cached_maintenance_starts = {}

    @property
    def _state(self):
        return self._follower.state

    async def run(self):
        """Plan and start actions periodically until cancelled."""
        try:
            while True:
                await self.tick()
                await asyncio.sleep(self._period_s)
        finally:
            for task in self._running_work.values():
                task.cancel()

    async def stop(self):
        """Do nothing: another daemon takes over the jobs."""

    async def tick(self):
        """Start the actions that are due; they may outlast this tick."""
        self._start_work('reports', self._runner.read_reports())
        observation = self._make_observation()
        planned = [
            *placement_planner.plan(self._state, observation),
            *self._renewals(observation),
        ]
        for job_id in list(self._runner.pending_reports):
            self._start_work(job_id, self._runner.record_report(job_id))
        for action in planned:
            if isinstance(action, actions.Blocked):
                self._blocked[action.pool] = action.changes
                continue
            coroutine = self._runner.execute(action)
            self._start_work(_work_key(action), coroutine, _choice(action))

    def _start_work(self, key, coroutine, choice=None):
        if key in self._running_work or len(self._running_work) >= MAX_RUNNING:
            coroutine.close()
            return
        if choice is not None:
            self._reserved_choices[key] = choice
        task = asyncio.create_task(coroutine)
        self._running_work[key] = task
        task.add_done_callback(functools.partial(self._finish_work, key))

    def _finish_work(self, key, task):
        del self._running_work[key]
        self._reserved_choices.pop(key, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error('%s failed', key, exc_info=task.exception())

    def _make_observation(self):
        now_s = self._clock.monotonic_s()
        if now_s >= self._unblock_s:
            self._unblock_s = now_s + BLOCKED_RETRY_S
            self._blocked = {}
        return placement_planner.Observation(
            own_incarnation=self._incarnation,
            now_s=self._clock.now_s(),
            busy=self._running_work,
            avoided=self._runner.worker_reachability.avoided(),
            reserved=dict(self._reserved_choices),
            renewed_until_s=self._runner.renewed_until_s,
            unreachable_s=self._runner.worker_reachability.unreachable_s(),
            blocked=self._blocked,
            limit=MAX_RUNNING - len(self._running_work),
            maintenance_starts=self._expected_maintenance_starts(now_s),
        )

    def _expected_maintenance_starts(self, now_s):
        # Cached: the estimate iterates over all hosts and changes slowly.
        if now_s >= self._next_estimate_s:
            self._next_estimate_s = now_s + ESTIMATE_PERIOD_S
            self._cached_maintenance_starts = (
                self._estimate_maintenance_starts(
                    self._state, self._state.log_time_s
                )
            )
        return self._cached_maintenance_starts

    def _renewals(self, observation):
        now_s = self._clock.monotonic_s()
        if now_s < self._next_renewal_s:
            return []
        self._next_renewal_s = now_s + RENEWAL_PERIOD_S
        self._runner.drop_stale()
        return placement_planner.renewals(self._state, observation)


def _choice(action):
    return action.choice if isinstance(action, actions.Place) else None


def _work_key(action):
    """Return the key that at most one running action may have."""
    if isinstance(action, actions.Place):
        return action.choice.job_id
    if isinstance(action, actions.JobAction):
        return action.job_id
    if isinstance(action, actions.TakeOver):
        return f'take {action.pool}/{action.lost}'
    if isinstance(action, actions.RenewHolder):
        return 'holder'
    return action.host
