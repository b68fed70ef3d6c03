"""One event loop that all steps share."""

import asyncio

# An asyncio.Queue stays bound to the loop that first waited on it.
_RUNNER = asyncio.Runner()


def run(awaitable):
    """Run an awaitable to completion on the shared loop."""
    return _RUNNER.run(awaitable)
