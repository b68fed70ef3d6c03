"""Hold requests until an endpoint has room for them."""

import asyncio
import functools

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import health
from hawthorndeal_fleet import scheduling


LOOK_AGAIN_S = 0.01


class Gate:
    """Let requests wait for what the scheduler decides.

    :param follower: keeps the folded state
    :param router: chooses endpoints
    :param clock: tells the time
    :param rng: source of randomness
    """

    def __init__(self, follower, router, clock, rng):
        self._follower = follower
        self._clock = clock
        self._scheduler = scheduling.Scheduler(router, rng)
        self._granted = {}
        self._timers = {}

    def check(self, request, left_s):
        """Refuse a request that can't be served in time.

        :param left_s: seconds left to the deadline
        :raises errors.NotRun: with the time to come back after
        """
        now_s = self._clock.monotonic_s()
        waiting = admission.Waiting(request.urgency, now_s + left_s)
        self._scheduler.check(
            self._follower.state, request.service, waiting, now_s
        )

    async def enter(self, request, left_s, excluded=()):
        """Return the endpoint that a request goes to now.

        :param left_s: seconds left to the deadline
        :param excluded: endpoints not to take
        :raises errors.NotRun: when it is given up
        """
        now_s = self._clock.monotonic_s()
        waiting = admission.Waiting(
            request.urgency, now_s + left_s, tuple(excluded)
        )
        name = self._scheduler.enter(
            self._follower.state, request.service, waiting, now_s
        )
        return name or await self._wait(request.service, waiting)

    async def _wait(self, service, waiting):
        queue = self._scheduler.queue(service)
        granted = asyncio.get_running_loop().create_future()
        self._granted[id(waiting)] = granted
        wait_s = queue.latest_start_s(waiting) - self._clock.monotonic_s()
        self._start_waiting(service)
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                return await granted
        except asyncio.TimeoutError:
            self._return_grant(service, waiting, granted)
            raise errors.Overloaded(
                f'no room at an endpoint of {service!r} in time',
                retry_after_s=scheduling.COME_BACK_S,
            ) from None
        except asyncio.CancelledError:
            self._return_grant(service, waiting, granted)
            raise
        finally:
            del self._granted[id(waiting)]
            queue.remove(waiting)

    def _return_grant(self, service, waiting, granted):
        # A grant may come in the moment in which the wait ends.
        if granted.done() and not granted.cancelled():
            self.leave(
                service,
                waiting.urgency,
                granted.result(),
                health.Outcome.CANCELLED,
            )

    def _start_waiting(self, service):
        while True:
            started = self._scheduler.start_next(
                self._follower.state, service, self._clock.monotonic_s()
            )
            if started is None:
                break
            waiting, name = started
            granted = self._granted[id(waiting)]
            if granted.done():
                self.leave(
                    service, waiting.urgency, name, health.Outcome.CANCELLED
                )
            else:
                granted.set_result(name)
        self._look_again(service)

    def _look_again(self, service):
        # Endpoints also get room by time alone, after a pause.
        if service in self._timers or not self._scheduler.queue(service):
            return
        self._timers[service] = asyncio.get_running_loop().call_later(
            LOOK_AGAIN_S, functools.partial(self._on_timer, service)
        )

    def _on_timer(self, service):
        del self._timers[service]
        self._start_waiting(service)

    def leave(self, service, urgency, name, outcome, took_s=None):
        """Take back an endpoint, and start whoever waits for it.

        :param outcome: how the exchange ended, a :class:`health.Outcome`
        :param took_s: time to the answer, in seconds, where it came
        """
        self._scheduler.leave(
            service,
            urgency,
            name,
            outcome,
            self._clock.monotonic_s(),
            took_s,
        )
        self._start_waiting(service)
