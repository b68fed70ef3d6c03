"""Logs the work that waits though there is room, and what keeps it."""

import asyncio
import collections

# Interval at which waiting work is looked at.
PERIOD_S = 1.0
# An interval that took this much longer shows that the daemon was held up.
LATE_S = 0.3
# Lines for single steps at each look; the oldest are named.
MAX_LINES = 8


class StandingLog:
    """Task that logs the work that waits though there is room.

    :param parts: shared components of the daemon
    :param owner: its scheduler knows what waits
    """

    name = 'log of standing work'

    def __init__(self, parts, owner):
        self._parts = parts
        self._owner = owner
        self._min_s = parts.settings.standing_notice_ms / 1000

    async def run(self):
        """Look at what waits until the ownership term ends."""
        if not self._min_s:
            return
        while not self._owner.term.is_lost:
            before_s = self._owner.now_s()
            await asyncio.sleep(PERIOD_S)
            now_s = self._owner.now_s()
            self._note_late(now_s - before_s - PERIOD_S)
            self._look(now_s)

    def _note_late(self, late_s):
        if late_s > LATE_S:
            self._parts.events.write('loop_late', late_s=round(late_s, 3))

    def _look(self, now_s):
        found = self._owner.scheduler.standing.find(now_s, self._min_s)
        self._parts.metrics.set_gauge('steps_standing', len(found))
        if not found:
            return
        found.sort(key=lambda step: step.since_s)
        for step in found[:MAX_LINES]:
            self._parts.events.write(
                'step_standing',
                job=step.job_id,
                step=step.step,
                queue=step.queue,
                pool=step.pool,
                workspace=step.workspace,
                obstacle=step.obstacle,
                tasks=step.tasks,
                is_lasting=step.is_lasting,
                waited_s=round(now_s - step.since_s, 2),
                closed=step.closed,
            )
        groups = collections.Counter(
            f'{step.pool} {step.obstacle}' for step in found
        )
        self._parts.events.write(
            'steps_standing',
            steps=len(found),
            by_pool=dict(groups),
            window=self._owner.start_window,
            in_flight=self._owner.starts_in_flight,
            halted=self._owner.halted_why,
            cycle_age_s=round(now_s - self._owner.cycle_begun_s, 3),
        )
