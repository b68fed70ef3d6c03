"""Queueing of requests until an endpoint has capacity."""

import asyncio
import functools

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import health
from hawthorndeal_fleet import scheduling

# Endpoints also regain capacity without an event, when a pause that follows
# a refusal ends.
POLL_INTERVAL_S = 0.01


class Gate:
    """Asynchronous interface to the scheduler of requests.

    :param follower: log follower that holds the folded state
    :param router: selects endpoints
    :param clock: source of monotonic time
    :param rng: random number generator
    """

    def __init__(self, follower, router, clock, rng):
        self._follower = follower
        self._clock = clock
        self._scheduler = scheduling.Scheduler(router, rng)
        self._granted = {}
        self._timers = {}

    def check(self, request, remaining_s):
        """Check that a request can be served before its deadline.

        :param remaining_s: time to the deadline, in seconds
        :raises errors.NotRun: if it can't, with the time to retry after
        """
        now_s = self._clock.monotonic_s()
        waiting = admission.WaitingRequest(
            request.urgency, now_s + remaining_s
        )
        self._scheduler.check(
            self._follower.state, request.service, waiting, now_s
        )

    async def acquire_endpoint(self, request, remaining_s, excluded=()):
        """Wait for an endpoint with capacity and return its name.

        :param remaining_s: time to the deadline, in seconds
        :param excluded: names of endpoints not to use
        :raises errors.NotRun: if none has capacity in time
        """
        now_s = self._clock.monotonic_s()
        waiting = admission.WaitingRequest(
            request.urgency, now_s + remaining_s, tuple(excluded)
        )
        name = self._scheduler.enter(
            self._follower.state, request.service, waiting, now_s
        )
        return name or await self._wait_for_endpoint(request.service, waiting)

    async def _wait_for_endpoint(self, service, waiting):
        queue = self._scheduler.queue(service)
        granted = asyncio.get_running_loop().create_future()
        self._granted[id(waiting)] = granted
        wait_s = queue.latest_start_s(waiting) - self._clock.monotonic_s()
        self._dispatch_waiting(service)
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                return await granted
        except asyncio.TimeoutError:
            self._release_unused_grant(service, waiting, granted)
            raise errors.Overloaded(
                f'no endpoint of {service!r} had capacity in time',
                retry_after_s=scheduling.RETRY_AFTER_S,
            ) from None
        except asyncio.CancelledError:
            self._release_unused_grant(service, waiting, granted)
            raise
        finally:
            del self._granted[id(waiting)]
            queue.remove(waiting)

    def _release_unused_grant(self, service, waiting, granted):
        # The grant may arrive while the wait times out or is cancelled.
        if granted.done() and not granted.cancelled():
            self.release_endpoint(
                service,
                waiting.urgency,
                granted.result(),
                health.Outcome.CANCELLED,
            )

    def _dispatch_waiting(self, service):
        while True:
            started = self._scheduler.start_next(
                self._follower.state, service, self._clock.monotonic_s()
            )
            if started is None:
                break
            waiting, name = started
            granted = self._granted[id(waiting)]
            if granted.done():
                self.release_endpoint(
                    service, waiting.urgency, name, health.Outcome.CANCELLED
                )
            else:
                granted.set_result(name)
        self._schedule_poll(service)

    def _schedule_poll(self, service):
        if service in self._timers or not self._scheduler.queue(service):
            return
        self._timers[service] = asyncio.get_running_loop().call_later(
            POLL_INTERVAL_S, functools.partial(self._on_timer, service)
        )

    def _on_timer(self, service):
        del self._timers[service]
        self._dispatch_waiting(service)

    def release_endpoint(self, service, urgency, name, outcome, took_s=None):
        """Release an endpoint and start requests that wait for capacity.

        :param outcome: result of the exchange, a :class:`health.Outcome`
        :param took_s: response time in seconds, if there was an answer
        """
        self._scheduler.leave(
            service,
            urgency,
            name,
            outcome,
            self._clock.monotonic_s(),
            took_s,
        )
        self._dispatch_waiting(service)
