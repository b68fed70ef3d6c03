"""Start tasks in order, restart those that fail, stop them in reverse."""

import asyncio
import itertools
import typing

from hawthorndeal_fleet import errors

from . import logs

FIRST_BACK_OFF_S = 0.1
MAX_BACK_OFF_S = 10.0
MAX_RESTARTS = 8
RESTART_WINDOW_S = 60.0

_log = logs.get('supervisor')


class TooManyRestarts(errors.HawthorndealError):
    """Report a child that keeps failing."""

    reason = 'too_many_restarts'


class Child(typing.Protocol):
    """Be a task that owns its sockets and its state."""

    name: str

    async def run(self):
        """Work until cancelled."""

    async def stop(self):
        """Finish what is begun, before the task is cancelled."""


class Supervisor:
    """Keep children running; a failure it can't mend goes up.

    It is a child itself, so that supervisors form a tree.

    :param name: for its own supervisor and the log
    :param children: started in this order and stopped in reverse
    :param clock: tells the time
    """

    def __init__(self, name, children, clock):
        self.name = name
        self._children = tuple(children)
        self._clock = clock
        self._tasks = ()

    async def run(self):
        """Run the children until cancelled.

        :raises TooManyRestarts: when a child keeps failing
        """
        self._tasks = tuple(
            asyncio.create_task(self._keep(child), name=child.name)
            for child in self._children
        )
        try:
            done, _ = await asyncio.wait(
                self._tasks, return_when=asyncio.FIRST_EXCEPTION
            )
            # Children that were stopped are cancelled, which is no failure.
            for task in itertools.filterfalse(asyncio.Task.cancelled, done):
                task.result()
        finally:
            await self.stop()

    async def stop(self):
        """Stop the children, the last one first."""
        tasks, self._tasks = self._tasks, ()
        for child, task in reversed(list(zip(self._children, tasks))):
            if not task.done():
                await child.stop()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            _log.info('%s stopped.', child.name)

    async def _keep(self, child):
        failures_s = []
        while True:
            try:
                await child.run()
                return
            except Exception as error:
                _log.exception('%s failed.', child.name)
                now_s = self._clock.monotonic_s()
                failures_s = _recent(failures_s, now_s)
                if len(failures_s) > MAX_RESTARTS:
                    raise TooManyRestarts(child.name) from error
                await asyncio.sleep(_back_off_s(len(failures_s)))


def _recent(failures_s, now_s):
    return [
        then_s
        for then_s in (*failures_s, now_s)
        if then_s > now_s - RESTART_WINDOW_S
    ]


def _back_off_s(failures):
    return min(MAX_BACK_OFF_S, FIRST_BACK_OFF_S * 2 ** (failures - 1))
