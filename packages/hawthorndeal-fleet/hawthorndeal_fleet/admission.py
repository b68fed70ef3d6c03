"""Admission control: queue, order and refuse requests of a service.

Each service has its own queue. A request that can't be answered before its
deadline is refused on arrival.
"""

import math

import attrs

from . import calls
from . import errors

MAX_WAITING = 256
LONG_MIN_SHARE = 0.2
LONG_MAX_SHARE = 0.75
# How long capacity stays reserved after the last interactive request.
INTERACTIVE_RESERVE_S = 10.0
SERVICE_TIME_MARGIN = 2.0
# Waiting longer doesn't help, since as much new work would arrive meanwhile.
MAX_WAIT_DEADLINE_SHARE = 0.25
SERVICE_TIME_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.1


@attrs.define(eq=False)
class WaitingRequest:
    """A request that waits for an endpoint.

    :ivar deadline_s: deadline on the monotonic clock, in seconds
    :ivar excluded: endpoints that the request must not be sent to again
    """

    urgency: calls.Urgency
    deadline_s: float
    excluded: tuple = ()


@attrs.define
class _UrgencyClass:
    waiting: dict = attrs.Factory(dict)
    running: int = 0
    mean_service_s: float = 0.0

    def note_service_time(self, took_s):
        if not self.mean_service_s:
            self.mean_service_s = took_s
        self.mean_service_s += SERVICE_TIME_WEIGHT * (
            took_s - self.mean_service_s
        )


class ServiceQueue:
    """Queue of requests for one service whose endpoints are all busy.

    :param max_waiting: maximum number of queued requests
    """

    def __init__(self, max_waiting=MAX_WAITING):
        self._max_waiting = max_waiting
        self._classes = {urgency: _UrgencyClass() for urgency in calls.Urgency}
        self._last_interactive_s = float('-inf')

    def __len__(self):
        """Return the number of queued requests."""
        return sum(len(c.waiting) for c in self._classes.values())

    def note_arrival(self, urgency, now_s):
        """Record the arrival of a request."""
        if urgency is calls.Urgency.INTERACTIVE:
            self._last_interactive_s = now_s

    def check(self, waiting, max_in_flight, now_s):
        """Refuse a request whose deadline can't be met.

        :param max_in_flight: concurrent requests that endpoint limits allow
        :raises errors.Overloaded: with the time after which to retry
        """
        wait_s = self.expected_wait_s(waiting.urgency, max_in_flight)
        if len(self) >= self._max_waiting:
            raise _overloaded(f'{len(self)} requests wait already', wait_s)
        remaining_s = waiting.deadline_s - now_s
        required_s = wait_s + self._service_allowance_s(waiting)
        if (
            required_s > remaining_s
            or wait_s > MAX_WAIT_DEADLINE_SHARE * remaining_s
        ):
            raise _overloaded(
                f'expected wait {wait_s:.3f} s, '
                f'{remaining_s:.3f} s to the deadline',
                wait_s,
            )

    def _service_allowance_s(self, waiting):
        return (
            SERVICE_TIME_MARGIN * self._classes[waiting.urgency].mean_service_s
        )

    def expected_wait_s(self, urgency, max_in_flight):
        """Return the estimated wait of a request that arrives now."""
        own_class = self._classes[urgency]
        if urgency is calls.Urgency.LONG:
            max_in_flight = max(1, math.floor(max_in_flight * LONG_MIN_SHARE))
        return (
            len(own_class.waiting)
            * own_class.mean_service_s
            / max(1, max_in_flight)
        )

    def put(self, waiting):
        """Add a request that passed :meth:`check`."""
        self._classes[waiting.urgency].waiting[id(waiting)] = waiting

    def remove(self, waiting):
        """Remove a request; removing it again has no effect."""
        self._classes[waiting.urgency].waiting.pop(id(waiting), None)

    def latest_start_s(self, waiting):
        """Return the latest time to start a request to meet its deadline."""
        return (
            waiting.deadline_s - self._classes[waiting.urgency].mean_service_s
        )

    def next(self, max_in_flight, now_s):
        """Return the request to start next, or None, without removing it."""
        urgency = self._next_urgency(max_in_flight, now_s)
        if urgency is None:
            return None
        return next(iter(self._classes[urgency].waiting.values()))

    def _next_urgency(self, max_in_flight, now_s):
        long = self._classes[calls.Urgency.LONG]
        interactive = self._classes[calls.Urgency.INTERACTIVE]
        floor = max(1, math.floor(max_in_flight * LONG_MIN_SHARE))
        if long.waiting and long.running < floor:
            return calls.Urgency.LONG
        if interactive.waiting:
            return calls.Urgency.INTERACTIVE
        if long.waiting and self.may_start(
            calls.Urgency.LONG, max_in_flight, now_s
        ):
            return calls.Urgency.LONG
        return None

    def is_reserving(self, urgency, now_s):
        """Return whether capacity is withheld from an urgency class."""
        return (
            urgency is calls.Urgency.LONG
            and now_s - self._last_interactive_s <= INTERACTIVE_RESERVE_S
        )

    def may_start(self, urgency, max_in_flight, now_s):
        """Return whether starting one more request keeps the reserve free."""
        if not self.is_reserving(urgency, now_s):
            return True
        ceiling = max(1, math.floor(max_in_flight * LONG_MAX_SHARE))
        return self._classes[urgency].running < ceiling

    def start(self, urgency):
        """Record a request that is sent to an endpoint."""
        self._classes[urgency].running += 1

    def finish(self, urgency, took_s=None):
        """Record the end of a request.

        :param took_s: its service time, if it was answered
        """
        self._classes[urgency].running -= 1
        if took_s is not None:
            self._classes[urgency].note_service_time(took_s)


class QuotaTable:
    """Limit the requests in flight of each workspace on this entry host.

    Each entry host that has joined enforces an equal share of the quota, at
    least 1. Thus all together respect the quota even while they can't
    communicate.
    """

    def __init__(self):
        self._in_flight = {}

    def enter(self, workspace, quota, entry_hosts):
        """Count a request in flight.

        :raises errors.QuotaExceeded: if the share is used up
        """
        share = max(1, quota // max(1, entry_hosts))
        count = self._in_flight.get(workspace, 0)
        if count >= share:
            raise errors.QuotaExceeded(
                f'workspace {workspace!r} has {count} requests in flight at '
                f'this entry host, its share of the quota of {quota} is '
                f'{share}',
                retry_after_s=1.0,
            )
        self._in_flight[workspace] = count + 1

    def leave(self, workspace):
        """Stop counting a request that has its final answer."""
        self._in_flight[workspace] -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]


def _overloaded(detail, wait_s):
    return errors.Overloaded(
        detail, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s)
    )
