"""What the project asks of executors."""

import typing

import attrs

from hawthorndeal_fleet import errors

# A call to an executor that is not answered by then counts as unknown.
CALL_TIMEOUT_S = 0.4


class ExecutorGone(errors.PlatformError):
    """Report a call to a life of a host that has ended."""

    reason = 'executor_gone'


class ExecutorFenced(errors.PlatformError):
    """Report a call with an epoch older than the executor has seen."""

    reason = 'executor_fenced'


@attrs.frozen
class Target:
    """Name the executor that a call is meant for.

    :ivar executor_id: the life that must answer
    """

    executor_id: str
    address: str


@attrs.frozen
class StartOrder:
    """Hold what an executor needs to begin a run.

    :ivar deadline_s: on the executor's clock; begun later it is refused
    :ivar ticket: permission of the advice service, where one is needed
    """

    task_id: typing.Any
    number: int
    payload: str
    deadline_s: float
    epoch: int
    checkpoint: str = ''
    ticket: str = ''


class Executors(typing.Protocol):
    """Have executors run tasks.

    A call that is not answered may have been carried out, and may still be
    carried out seconds later.
    """

    async def start(self, target, order):
        """Order a run, and return a pair of answer and clock.

        :returns: a ``StartAnswer`` and the executor's clock, in seconds;
            None where it didn't tell
        """

    async def stop(self, target, task_id, number, epoch):
        """Order the end of a run.

        Once answered, the run can't begin any more.

        :raises ExecutorGone: that life is over
        :raises errors.PlatformError: it is not known to have arrived
        """

    async def look(self, target, epoch, last_end, deadline_s, wait_s):
        """Renew the lease of everything on an executor, and look at it.

        :param last_end: ends up to this one may be forgotten
        :param deadline_s: end of the lease, on the executor's clock; None
            leaves it
        :param wait_s: how long the answer may wait for an end
        :rtype: a ``Look``
        :raises ExecutorGone: that life is over
        :raises ExecutorFenced: a newer owner has been there
        """

    async def pace(self, target, task_id, number, percent, epoch):
        """Have a run work at a share of its speed."""
