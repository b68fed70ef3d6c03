"""What the project asks of a service that permits executors."""

import typing


class Advice(typing.Protocol):
    """Tell which executors may run a step; one call at a time."""

    async def advise(self, step_key, executor_ids):
        """Return the tickets of the executors that may run a step.

        :param step_key: job, occurrence and step
        :returns: ticket texts by executor
        :raises errors.PlatformError: it can't be told now
        """
