"""Steps that inject random events into placers in one process."""

import asyncio

from behave import then
from behave import when

from fakes import placers
from hawthorndeal_fleet import job_records
import hypothesis
from hypothesis import strategies

RECOVERY_S = 1500.0


class _RandomRun:
    """Random sequence of events on one bench."""

    def __init__(self, draw):
        self._draw = draw
        self.bench = placers.Bench(daemons=('d1', 'd2', 'd3'))
        self._jobs = 0
        self._events = [
            self._submit,
            self._submit,
            self._cancel,
            self._toggle_pause,
            self._toggle_unresponsive,
            self._lose_response,
            self._crash_worker,
            self._toggle_log,
            self._toggle_duplicates,
        ]

    async def execute(self, events):
        """Run random events, then clear all faults and let the jobs end."""
        for _ in range(events):
            self._draw(strategies.sampled_from(self._events))()
            await self.bench.run(self._draw(strategies.integers(0, 8)), 0.5)
        self._clear_faults()
        await self.bench.run(RECOVERY_S, 3.0)

    def _submit(self):
        self._jobs += 1
        self.bench.log.is_down = False
        self.bench.submit(
            f'j{self._jobs}',
            run_s=self._draw(strategies.sampled_from([5.0, 40.0, 200.0])),
            cpu_cores=self._draw(strategies.sampled_from([1.0, 3.0, 8.0])),
            pool=self._draw(strategies.sampled_from(['p', 'q'])),
            urgency=self._draw(
                strategies.sampled_from(job_records.JobUrgency)
            ),
            is_checkpointable=self._draw(strategies.booleans()),
        )

    def _cancel(self):
        known = sorted(self.bench.observer_state.jobs)
        if known:
            self.bench.log.is_down = False
            self.bench.cancel(self._draw(strategies.sampled_from(known)))

    def _draw_daemon(self):
        names = sorted(self.bench.daemons)
        return self.bench.daemons[self._draw(strategies.sampled_from(names))]

    def _toggle_pause(self):
        daemon = self._draw_daemon()
        daemon.is_paused = not daemon.is_paused

    def _draw_host(self):
        return self._draw(
            strategies.sampled_from(sorted(self.bench.fleet.hosts))
        )

    def _toggle_unresponsive(self):
        self.bench.workers.unresponsive_hosts ^= {self._draw_host()}

    def _lose_response(self):
        verbs = ['start', 'stop', 'checkpoint', 'throttle', 'resume', 'renew']
        self.bench.workers.faults.clear()
        self.bench.workers.lose_answer(
            self._draw(strategies.sampled_from(verbs))
        )

    def _crash_worker(self):
        self.bench.workers.crash(self._draw_host())

    def _toggle_log(self):
        self.bench.log.is_down = not self.bench.log.is_down

    def _toggle_duplicates(self):
        self.bench.log.duplicates_appends = (
            not self.bench.log.duplicates_appends
        )
        self.bench.log.lost_answers = 2

    def _clear_faults(self):
        self.bench.log.is_down = False
        self.bench.workers.unresponsive_hosts.clear()
        for daemon in self.bench.daemons.values():
            daemon.is_paused = False


@when('{count:d} random events occur with 3 placers and seed {seed:d}')
def run_random_events(context, count, seed):
    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=4,
        deadline=None,
        database=None,
        # A failure reports its seed; shrinking it takes minutes.
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.data())
    def explore(data):
        random_run = _RandomRun(data.draw)
        asyncio.run(random_run.execute(count))
        context.remaining_jobs.append(
            dict(random_run.bench.observer_state.jobs)
        )

    context.remaining_jobs = []
    explore()


@then('every job ends once the faults are over')
def check_explored(context):
    assert context.remaining_jobs
    assert not any(context.remaining_jobs), context.remaining_jobs
