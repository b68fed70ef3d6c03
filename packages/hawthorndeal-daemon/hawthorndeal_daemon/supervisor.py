"""Supervision of tasks: ordered start, restarts, stop in reverse order."""

import asyncio
import itertools
import typing

from hawthorndeal_fleet import errors

from . import logs

FIRST_BACK_OFF_S = 0.1
MAX_BACK_OFF_S = 10.0
MAX_RESTARTS = 8
RESTART_WINDOW_S = 60.0
# A task that hasn't ended by then is cancelled again.
CANCEL_PERIOD_S = 0.5

_log = logs.get('supervisor')


class TooManyRestarts(errors.HawthorndealError):
    """Raised when a child fails too often."""

    reason = 'too_many_restarts'


class Child(typing.Protocol):
    """Interface of a task that a supervisor runs."""

    name: str

    async def run(self):
        """Run until cancelled; the task owns its sockets and its state."""

    async def stop(self):
        """Finish work in progress, before the task is cancelled."""


class Supervisor:
    """Run children, restart those that fail, and escalate repeated failures.

    A supervisor can be a child of another one, so that they form a tree.

    :param name: name for the parent supervisor and the log
    :param children: started in this order and stopped in reverse order
    :param clock: source of monotonic time
    """

    def __init__(self, name, children, clock):
        self.name = name
        self._children = tuple(children)
        self._clock = clock
        self._tasks = ()

    async def run(self):
        """Run the children until cancelled.

        :raises TooManyRestarts: if a child fails too often
        """
        self._tasks = tuple(
            asyncio.create_task(
                self._run_with_restarts(child), name=child.name
            )
            for child in self._children
        )
        try:
            done, _ = await asyncio.wait(
                self._tasks, return_when=asyncio.FIRST_EXCEPTION
            )
            # A stopped child is cancelled, which is not a failure.
            for task in itertools.filterfalse(asyncio.Task.cancelled, done):
                task.result()
        finally:
            await self.stop()

    async def stop(self):
        """Stop the children in reverse order."""
        tasks, self._tasks = self._tasks, ()
        for child, task in reversed(list(zip(self._children, tasks))):
            if not task.done():
                await child.stop()
            await _cancel(task)
            _log.info('Task %s stopped.', child.name)

    async def _run_with_restarts(self, child):
        failure_times_s = []
        while True:
            try:
                await child.run()
                return
            except Exception as error:
                _log.exception('Task %s failed.', child.name)
                now_s = self._clock.monotonic_s()
                failure_times_s = _recent(failure_times_s, now_s)
                if len(failure_times_s) > MAX_RESTARTS:
                    raise TooManyRestarts(child.name) from error
                await asyncio.sleep(_back_off_s(len(failure_times_s)))


async def _cancel(task):
    """Cancel a task and wait for its end.

    A cancellation that meets the end of a wait of the task is lost: see
    ``asyncio.wait_for`` of Python 3.11.
    """
    while not task.done():
        task.cancel()
        await asyncio.wait({task}, timeout=CANCEL_PERIOD_S)
    # Otherwise asyncio logs that the exception was never retrieved.
    if not task.cancelled():
        task.exception()


def _recent(failure_times_s, now_s):
    return [
        failed_at_s
        for failed_at_s in (*failure_times_s, now_s)
        if failed_at_s > now_s - RESTART_WINDOW_S
    ]


def _back_off_s(failures):
    return min(MAX_BACK_OFF_S, FIRST_BACK_OFF_S * 2 ** (failures - 1))
