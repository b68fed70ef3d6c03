"""Steps that check how supervisors start, restart and stop children."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

from hawthorndeal_daemon import supervisor

TIMEOUT_S = 5.0


class SteppingClock:
    """Clock that advances by 1 ms at each reading, without waiting."""

    def __init__(self):
        self._now_s = 0.0

    def monotonic_s(self):
        """Return the previous reading plus 1 ms."""
        self._now_s += 0.001
        return self._now_s


class Child:
    """Fail a given number of times, then run until cancelled.

    :param stops: list that receives the name of each stopped child
    """

    def __init__(self, name='child', failures=0, stops=None):
        self.name = name
        self.starts = 0
        self.is_working = asyncio.Event()
        self._failures = failures
        self._stops = stops

    async def run(self):
        """Fail, or run until cancelled."""
        self.starts += 1
        if self.starts <= self._failures:
            raise OSError(f'failure {self.starts}')
        self.is_working.set()
        await asyncio.Event().wait()

    async def stop(self):
        """Record the name."""
        if self._stops is not None:
            self._stops.append(self.name)


@given('a supervisor over a child that fails {failures:d} times')
def make_supervisor(context, failures):
    context.child = Child(failures=failures)
    context.root = supervisor.Supervisor(
        'root', [context.child], SteppingClock()
    )


@given('a nested supervisor over a child that fails {failures:d} times')
def make_nested_supervisor(context, failures):
    supervisor_clock = SteppingClock()
    # The scenario does not test the back-off, so it runs without one.
    first_back_off_s = supervisor.FIRST_BACK_OFF_S
    context.add_cleanup(
        setattr, supervisor, 'FIRST_BACK_OFF_S', first_back_off_s
    )
    supervisor.FIRST_BACK_OFF_S = 0.0
    inner = supervisor.Supervisor(
        'inner', [Child(failures=failures)], supervisor_clock
    )
    context.root = supervisor.Supervisor('root', [inner], supervisor_clock)


@given('a supervisor over the children "{a}", "{b}" and "{c}"')
def make_supervisor_of_three(context, a, b, c):
    context.stops = []
    context.children = [Child(n, stops=context.stops) for n in (a, b, c)]
    context.child = context.children[-1]
    context.root = supervisor.Supervisor(
        'root', context.children, SteppingClock()
    )


async def _run_and_stop(root, child):
    running = asyncio.create_task(root.run())
    await asyncio.wait_for(child.is_working.wait(), TIMEOUT_S)
    await root.stop()
    await asyncio.wait_for(running, TIMEOUT_S)


@when('it runs until the child works')
@when('it runs and is stopped')
def run_and_stop(context):
    begun_s = time.monotonic()
    asyncio.run(_run_and_stop(context.root, context.child))
    context.stop_took_s = time.monotonic() - begun_s


@when('the root supervisor runs until it fails')
def run_to_end(context):
    async def run():
        await asyncio.wait_for(context.root.run(), TIMEOUT_S)

    try:
        asyncio.run(run())
        context.failure = None
    except Exception as error:
        context.failure = error


@then('the child was started {count:d} times')
def check_starts(context, count):
    assert context.child.starts == count, context.child.starts


@then('the root supervisor fails with {reason:w}')
def check_failure(context, reason):
    failure = context.failure
    assert getattr(failure, 'reason', None) == reason, repr(failure)


@then('they were stopped in the order "{names}"')
def check_stops(context, names):
    assert context.stops == names.split(), context.stops


class DeafChild(Child):
    """Lose the first cancellation, as a wait that ends meanwhile does."""

    async def run(self):
        """Run until cancelled twice."""
        self.is_working.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            asyncio.current_task().uncancel()
        await asyncio.Event().wait()


@given('a supervisor over a child that loses its first cancellation')
def make_deaf_supervisor(context):
    context.child = DeafChild()
    context.children = [context.child]
    context.root = supervisor.Supervisor(
        'root', context.children, SteppingClock()
    )


@then('it has ended within {limit_s:g} seconds')
def check_ended(context, limit_s):
    assert context.stop_took_s <= limit_s, context.stop_took_s
