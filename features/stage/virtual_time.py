"""Run asyncio code in virtual time, in which sleeps return at once."""

import asyncio

EPOCH_S = 1_800_000_000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that advances to the next timer when it is idle."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 0.0

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._virtual_s = max(self._virtual_s, self._scheduled[0].when())
        super()._run_once()


class VirtualClock:
    """Clock of one host in virtual time.

    :ivar wall_step_s: error of the wall clock
    :ivar suspended_s: how long the host has been suspended
    """

    def __init__(self, loop):
        self._loop = loop
        self.wall_step_s = 0.0
        self.suspended_s = 0.0

    def now_s(self):
        """Return the wall clock time, which may jump."""
        return EPOCH_S + self._loop.time() + self.wall_step_s

    def monotonic_s(self):
        """Return monotonic time."""
        return self._loop.time()

    def boot_s(self):
        """Return monotonic time that includes time in suspend."""
        return self._loop.time() + self.suspended_s


def run(coroutine_function, *arguments):
    """Run a coroutine function to completion on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine_function(*arguments))
