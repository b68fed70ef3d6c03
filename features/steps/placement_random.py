"""Steps that let random events meet placers in one process."""

import asyncio

from behave import then
from behave import when

from fakes import placers
from hawthorndeal_fleet import job_records
import hypothesis
from hypothesis import strategies

END_TURNS_S = 1500.0


class _Story:
    """Draw events against one bench."""

    def __init__(self, draw):
        self._draw = draw
        self.bench = placers.Bench(daemons=('d1', 'd2', 'd3'))
        self._jobs = 0
        self._events = [
            self._submit,
            self._submit,
            self._cancel,
            self._pause,
            self._silence,
            self._lose,
            self._crash,
            self._log,
            self._double,
        ]

    async def tell(self, events):
        """Let events happen, then let the faults be over."""
        for _ in range(events):
            self._draw(strategies.sampled_from(self._events))()
            await self.bench.run(self._draw(strategies.integers(0, 8)), 0.5)
        self._mend()
        await self.bench.run(END_TURNS_S, 3.0)

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

    def _daemon(self):
        names = sorted(self.bench.daemons)
        return self.bench.daemons[self._draw(strategies.sampled_from(names))]

    def _pause(self):
        daemon = self._daemon()
        daemon.is_paused = not daemon.is_paused

    def _host(self):
        return self._draw(
            strategies.sampled_from(sorted(self.bench.fleet.hosts))
        )

    def _silence(self):
        self.bench.workers.unresponsive_hosts ^= {self._host()}

    def _lose(self):
        verbs = ['start', 'stop', 'checkpoint', 'throttle', 'resume', 'renew']
        self.bench.workers.faults.clear()
        self.bench.workers.lose_answer(
            self._draw(strategies.sampled_from(verbs))
        )

    def _crash(self):
        self.bench.workers.crash(self._host())

    def _log(self):
        self.bench.log.is_down = not self.bench.log.is_down

    def _double(self):
        self.bench.log.duplicates_appends = (
            not self.bench.log.duplicates_appends
        )
        self.bench.log.lost_answers = 2

    def _mend(self):
        self.bench.log.is_down = False
        self.bench.workers.unresponsive_hosts.clear()
        for daemon in self.bench.daemons.values():
            daemon.is_paused = False


@when('{count:d} random events meet 3 placers with seed {seed:d}')
def interleave(context, count, seed):
    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=4,
        deadline=None,
        database=None,
        # A failure names its seed; making it smaller takes minutes.
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.data())
    def explore(data):
        story = _Story(data.draw)
        asyncio.run(story.tell(count))
        context.left.append(dict(story.bench.observer_state.jobs))

    context.left = []
    explore()


@then('every job ends once the faults are over')
def check_explored(context):
    assert context.left
    assert not any(context.left), context.left
