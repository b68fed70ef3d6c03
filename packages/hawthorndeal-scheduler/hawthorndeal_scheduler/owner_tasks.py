"""Background tasks of an owner, which end with its ownership term."""

import asyncio

PART_RESTART_S = 0.5


class OwnerTasks:
    """Runs tasks, and handles the errors that nobody expects in them.

    :param term: the ownership term; tasks aren't restarted after its end
    :param events: the decision log
    :param on_failed: called with the reason when a task fails without which
        the owner can't go on
    """

    def __init__(self, term, events, on_failed):
        self._term = term
        self._events = events
        self._on_failed = on_failed
        self._tasks = set()

    def spawn(self, coroutine):
        """Run a coroutine in the background, and return its task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @property
    def are_running(self):
        """Whether any task has not ended."""
        return bool(self._tasks)

    def cancel(self):
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def run_guarded(self, part):
        """Run a task, and give up the ownership if it raises."""
        try:
            await part.run()
        except Exception as error:
            self._log_failed(part, error)
            self._on_failed(f'a task of the owner failed: {error!r:.100}')

    async def run_restarting(self, part):
        """Run a task, and run it again if it raises.

        What made it fail would meet each successor as well, so that giving
        up the ownership would not help.
        """
        while not self._term.is_lost:
            try:
                await part.run()
                return
            except Exception as error:
                self._log_failed(part, error)
                await asyncio.sleep(PART_RESTART_S)

    def _log_failed(self, part, error):
        self._events.write(
            'owner_part_failed',
            part=type(part).__name__,
            why=repr(error)[:300],
        )
