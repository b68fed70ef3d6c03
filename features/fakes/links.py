"""Simulated network link between a daemon and the services it calls."""

import asyncio

import attrs

from hawthorndeal_fleet import errors

DEFAULT_LATENCY_S = 0.001
CALL_TIMEOUT_S = 1.0
LATE_DELAY_RANGE_S = (2.0, 6.0)
# Concurrent transfers over a narrow link alternate after this many bytes.
CHUNK_BYTES = 16384
# Size of a request or response without records.
REQUEST_BYTES = 200


class Timing:
    """When the parts of a response arrived."""

    def __init__(self):
        self._now_s = asyncio.get_running_loop().time
        self._sent_s = self._now_s()
        self._began_s = None

    def note_part(self):
        """Record the arrival of a part."""
        if self._began_s is None:
            self._began_s = self._now_s()

    def times_s(self):
        """Return the time until the response began, and from then on."""
        return self._began_s - self._sent_s, self._now_s() - self._began_s


@attrs.define(eq=False)
class Direction:
    """One direction of a link with a limited rate.

    :ivar bytes_per_s: bytes that it carries, in each second
    """

    bytes_per_s: float
    _busy_until_s: float = 0.0

    async def transfer(self, size_bytes, note_progress):
        """Carry a message, one chunk after another.

        :param note_progress: called after each chunk
        """
        now_s = asyncio.get_running_loop().time
        while size_bytes > 0:
            chunk_bytes = min(CHUNK_BYTES, size_bytes)
            begin_s = max(now_s(), self._busy_until_s)
            self._busy_until_s = begin_s + chunk_bytes / self.bytes_per_s
            await asyncio.sleep(self._busy_until_s - now_s())
            size_bytes -= chunk_bytes
            note_progress()


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
    _upstream: Direction | None = None
    _downstream: Direction | None = None

    def narrow(self, bytes_per_s):
        """Limit what the link carries in each direction."""
        self._upstream = Direction(bytes_per_s)
        self._downstream = Direction(bytes_per_s)

    async def call(
        self,
        operation,
        wait_remote=None,
        timeout_s=CALL_TIMEOUT_S,
        sent_bytes=0,
        response_bytes=None,
        is_idle_timeout=False,
        timing=None,
    ):
        """Run an operation at the remote end and return its result.

        :param operation: synchronous function that is run remotely
        :param wait_remote: coroutine function, awaited at the remote end
            before the operation
        :param timeout_s: how long the daemon waits for the response
        :param sent_bytes: size of the request
        :param response_bytes: callable that returns the size of the response
        :param is_idle_timeout: whether the timeout begins again with each
            part of the response
        :param timing: records when the parts of the response arrive
        :raises errors.OutcomeUnknown: on a timeout
        """
        timing = timing or Timing()
        if self._upstream is None:
            result = await self._call(operation, wait_remote, timeout_s)
            timing.note_part()
            return result
        call = _NarrowCall(
            self,
            operation,
            wait_remote,
            timeout_s,
            sent_bytes,
            response_bytes,
            timing,
        )
        return await call.run(is_idle_timeout)

    async def _call(self, operation, wait_remote, timeout_s):
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

    async def send(self, size_bytes, note_progress):
        """Carry a request, if the link is narrow."""
        await self._upstream.transfer(size_bytes, note_progress)

    async def receive(self, size_bytes, note_progress):
        """Carry a response, if the link is narrow."""
        await self._downstream.transfer(size_bytes, note_progress)


class _NarrowCall:
    """One call over a narrow link.

    A call that timed out is closed at once: the rest of its request or
    response isn't carried.
    """

    def __init__(
        self,
        link,
        operation,
        wait_remote,
        timeout_s,
        sent_bytes,
        response_bytes,
        timing,
    ):
        self._link = link
        self._operation = operation
        self._wait_remote = wait_remote
        self._timeout_s = timeout_s
        self._sent_bytes = sent_bytes
        self._response_bytes = response_bytes
        self._timing = timing
        self._now_s = asyncio.get_running_loop().time
        self._last_progress_s = self._now_s()

    async def run(self, is_idle_timeout):
        """Return the result of the call.

        :raises errors.OutcomeUnknown: on a timeout
        """
        begun_s = self._now_s()
        exchange = asyncio.create_task(self._exchange())
        try:
            while not exchange.done():
                since_s = self._last_progress_s if is_idle_timeout else begun_s
                left_s = since_s + self._timeout_s - self._now_s()
                if left_s <= 0:
                    raise errors.OutcomeUnknown('timed out')
                await asyncio.wait([exchange], timeout=left_s)
        finally:
            exchange.cancel()
        return exchange.result()

    def _note_progress(self):
        if not self._link.is_cut:
            self._last_progress_s = self._now_s()

    async def _exchange(self):
        await self._link.send(self._sent_bytes, self._note_progress)
        result = await self._link._call(
            self._operation, self._wait_remote, self._timeout_s
        )
        if self._response_bytes is not None:
            size_bytes = self._response_bytes(result)
            await self._link.receive(size_bytes, self._note_part)
        return result

    def _note_part(self):
        self._timing.note_part()
        self._note_progress()


def _run_ignoring_errors(operation):
    try:
        operation()
    except errors.HawthorndealError:
        return
