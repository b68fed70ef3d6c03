"""Run asyncio code in virtual time: waits take no time at all."""

import asyncio

EPOCH_S = 1_800_000_000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jump to the next timer whenever nothing else is left to do."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 0.0

    def time(self):
        """Return the virtual time."""
        return self._virtual_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._virtual_s = max(self._virtual_s, self._scheduled[0].when())
        super()._run_once()


class VirtualClock:
    """Tell the time of one host in virtual time."""

    def __init__(self, loop):
        self._loop = loop
        self.wall_step_s = 0.0

    def now_s(self):
        """Return seconds since the epoch; they may jump."""
        return EPOCH_S + self._loop.time() + self.wall_step_s

    def monotonic_s(self):
        """Return steady seconds."""
        return self._loop.time()

    def boot_s(self):
        """Return seconds that also count a suspension."""
        return self._loop.time()


def run(coroutine_function, *arguments):
    """Run a coroutine to its end in a virtual time of its own."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine_function(*arguments))
