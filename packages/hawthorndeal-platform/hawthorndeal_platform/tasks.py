"""Helpers for asyncio tasks."""


def retrieve_error(task):
    """Retrieve the error of a task that nobody waits for any more.

    Otherwise asyncio logs that it was never retrieved.
    """
    if not task.cancelled():
        task.exception()
