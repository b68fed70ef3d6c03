"""Interface for starting, stopping and polling runs on executors."""

import typing

import attrs

from hawthorndeal_fleet import errors

# The outcome of a call to an executor is unknown after this time without an
# answer.
CALL_TIMEOUT_S = 0.4


class ExecutorGone(errors.PlatformError):
    """Raised when the called incarnation of a host has ended."""

    reason = 'executor_gone'


class ExecutorFenced(errors.PlatformError):
    """Raised when the executor has already seen a newer epoch."""

    reason = 'executor_fenced'


@attrs.frozen
class Target:
    """Identify the executor that a call is addressed to.

    :ivar executor_id: the incarnation that must answer
    """

    executor_id: str
    address: str


@attrs.frozen
class StartOrder:
    """Describe a run that an executor is to start.

    :ivar deadline_s: latest start, on the executor's clock; the executor
        refuses a later one
    :ivar ticket: permission from the advice service, where one is needed
    """

    task_id: typing.Any
    number: int
    payload: str
    deadline_s: float
    epoch: int
    checkpoint: str = ''
    ticket: str = ''


class Executors(typing.Protocol):
    """Run tasks on executors.

    A call without an answer may have taken effect, and may still do so
    seconds later.
    """

    async def start(self, target, order):
        """Start a run, and return the answer and the executor's clock.

        :returns: a ``StartAnswer`` and the clock in seconds, or None in place
            of a clock that the executor didn't report
        """

    async def stop(self, target, task_id, number, epoch):
        """Stop a run.

        Once the call is answered, the run can no longer start.

        :raises ExecutorGone: that incarnation has ended
        :raises errors.PlatformError: the call may not have arrived
        """

    async def poll(self, target, epoch, last_recorded_end, deadline_s, wait_s):
        """Renew the lease of all runs on an executor, and list the runs.

        :param last_recorded_end: the executor may forget ends up to and
            including this one
        :param deadline_s: end of the lease, on the executor's clock; None
            leaves the lease unchanged
        :param wait_s: how long the executor may hold the answer until a run
            ends
        :rtype: an ``ExecutorPoll``
        :raises ExecutorGone: that incarnation has ended
        :raises ExecutorFenced: a newer owner has called the executor
        """

    async def set_pace(self, target, task_id, number, percent, epoch):
        """Limit a run to a percentage of its full speed."""
