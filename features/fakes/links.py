"""Simulated network link between a daemon and the services it calls."""

import asyncio

import attrs

from hawthorndeal_fleet import errors

DEFAULT_LATENCY_S = 0.001
CALL_TIMEOUT_S = 1.0
LATE_DELAY_RANGE_S = (2.0, 6.0)


@attrs.define(eq=False)
class Link:
    """Delivers the calls of one daemon, with latency and faults.

    :ivar is_cut: whether the link is down
    :ivar lost_share: probability that a call takes effect and its response
        is lost
    :ivar late_share: probability that a call times out and takes effect
        seconds later
    :ivar unreachable: ids of executors that can't be reached
    """

    rng: object
    is_cut: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0
    latency_s: float = DEFAULT_LATENCY_S
    unreachable: set = attrs.Factory(set)

    async def call(
        self, operation, wait_remote=None, timeout_s=CALL_TIMEOUT_S
    ):
        """Run an operation at the remote end and return its result.

        :param operation: synchronous function that is run remotely
        :param wait_remote: coroutine function, awaited at the remote end
            before the operation
        :param timeout_s: how long the daemon waits for the response
        :raises errors.OutcomeUnknown: on a timeout
        """
        await asyncio.sleep(self.latency_s)
        if self.is_cut:
            await self._time_out(timeout_s)
        if self.late_share and self.rng.random() < self.late_share:
            delay_s = self.rng.uniform(*LATE_DELAY_RANGE_S)
            asyncio.get_running_loop().call_later(
                delay_s, _run_ignoring_errors, operation
            )
            await self._time_out(timeout_s)
        if wait_remote is not None:
            await self._wait_remotely(wait_remote, operation, timeout_s)
        if self.is_cut:
            await self._time_out(timeout_s)
        result = operation()
        if self.lost_share and self.rng.random() < self.lost_share:
            await self._time_out(timeout_s)
        await asyncio.sleep(self.latency_s)
        if self.is_cut:
            await self._time_out(timeout_s)
        return result

    async def _wait_remotely(self, wait_remote, operation, timeout_s):
        remote_task = asyncio.create_task(wait_remote())
        try:
            await asyncio.wait([remote_task], timeout=timeout_s)
        finally:
            if not remote_task.done():
                # The remote end completes the call even if the caller has
                # timed out or was cancelled.
                remote_task.add_done_callback(
                    lambda _: _run_ignoring_errors(operation)
                )
        if not remote_task.done():
            raise errors.OutcomeUnknown('timed out')

    async def _time_out(self, timeout_s):
        await asyncio.sleep(timeout_s)
        raise errors.OutcomeUnknown('timed out')


def _run_ignoring_errors(operation):
    try:
        operation()
    except errors.HawthorndealError:
        return
