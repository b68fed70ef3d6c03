"""Run asyncio code in virtual time, in which sleeps return at once."""

import asyncio
import contextvars

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


# The process that code runs in; None outside any that can be paused.
_process = contextvars.ContextVar('process', default=None)


class Process:
    """Code that can be paused together, as by SIGSTOP.

    :param loop: the :class:`PausableLoop` that runs it
    """

    def __init__(self, loop):
        self._loop = loop
        self._held = []
        self.is_paused = False

    def context(self):
        """Return a context for the tasks of this process."""
        context = contextvars.copy_context()
        context.run(_process.set, self)
        return context

    def hold(self, run):
        """Let a callback run once the process goes on."""
        self._held.append(run)

    def pause(self):
        """Run nothing of the process before it goes on."""
        self.is_paused = True

    def go_on(self):
        """Run what has become due in the meantime, in its order."""
        self.is_paused = False
        held, self._held = self._held, []
        for run in held:
            self._loop.call_soon(run)


class PausableLoop(VirtualLoop):
    """An event loop that can pause the callbacks of single processes."""

    def call_soon(self, callback, *args, context=None):
        """Schedule a callback; see :class:`asyncio.loop`."""
        return self._schedule(super().call_soon, callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        """Schedule a callback; see :class:`asyncio.loop`."""

        def schedule(run, context):
            return super(PausableLoop, self).call_at(
                when, run, context=context
            )

        return self._schedule(schedule, callback, args, context)

    def _schedule(self, schedule, callback, args, context):
        handle = None

        def run():
            process = _process.get()
            if process is not None and process.is_paused:
                process.hold(run_held)
            else:
                callback(*args)

        def run_held():
            if not handle.cancelled():
                handle._context.run(run)

        handle = schedule(run, context=context)
        return handle


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


def run(coroutine_function, *arguments, loop_factory=VirtualLoop):
    """Run a coroutine function to completion on a new virtual loop."""
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(coroutine_function(*arguments))
