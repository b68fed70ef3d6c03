"""One event loop for all steps."""

import asyncio

# Queues stay bound to the loop that first waited on them.
_RUNNER = asyncio.Runner()


def run(awaitable):
    """Run one step of a scenario to its end."""
    return _RUNNER.run(awaitable)
