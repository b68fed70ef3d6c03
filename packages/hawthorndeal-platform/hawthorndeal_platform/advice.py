"""Interface of the service that permits executors to run steps."""

import typing


class AdviceService(typing.Protocol):
    """Look up which executors may run a step; takes one call at a time."""

    async def advise(self, step_key, executor_ids, timeout_s):
        """Return tickets for the executors that may run a step.

        :param step_key: job, occurrence and step
        :param executor_ids: the executors to ask about; an answer takes the
            longer, the more there are
        :returns: ticket strings keyed by executor id
        :raises errors.PlatformError: the service has no answer at present
        """
