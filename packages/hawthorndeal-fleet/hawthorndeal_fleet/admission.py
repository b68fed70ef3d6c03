"""Decide which requests wait, which go next and which are refused.

One queue serves one service. It never promises what it can't keep: a
request that can't be answered before its deadline is refused when it comes.
"""

import math

import attrs

from . import calls
from . import errors

MAX_WAITING = 256
LONG_FLOOR_SHARE = 0.2
LONG_CEILING_SHARE = 0.75
# How long room is kept for interactive work after the last of it.
RESERVE_S = 10.0
MARGIN = 2.0
# Waiting longer helps nobody: as much work would come in meanwhile.
MAX_WAIT_SHARE = 0.25
SERVICE_TIME_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.1


@attrs.define(eq=False)
class Waiting:
    """Describe a request that waits for an endpoint.

    :ivar deadline_s: monotonic seconds
    :ivar excluded: endpoints it must not be sent to again
    """

    urgency: calls.Urgency
    deadline_s: float
    excluded: tuple = ()


@attrs.define
class _Class:
    waiting: dict = attrs.Factory(dict)
    running: int = 0
    service_s: float = 0.0

    def learn(self, took_s):
        if not self.service_s:
            self.service_s = took_s
        self.service_s += SERVICE_TIME_WEIGHT * (took_s - self.service_s)


class ServiceQueue:
    """Hold the requests of one service that find every endpoint busy.

    :param max_waiting: requests held at most
    """

    def __init__(self, max_waiting=MAX_WAITING):
        self._max_waiting = max_waiting
        self._classes = {urgency: _Class() for urgency in calls.Urgency}
        self._interactive_s = float('-inf')

    def __len__(self):
        """Return how many requests wait."""
        return sum(len(c.waiting) for c in self._classes.values())

    def note_arrival(self, urgency, now_s):
        """Learn that a request came."""
        if urgency is calls.Urgency.INTERACTIVE:
            self._interactive_s = now_s

    def check(self, waiting, room, now_s):
        """Refuse a request whose deadline can't be met.

        :param room: requests of the service that may run at once from here
        :raises errors.Overloaded: with the time to come back after
        """
        wait_s = self.expected_wait_s(waiting.urgency, room)
        if len(self) >= self._max_waiting:
            raise _overloaded(f'{len(self)} requests wait already', wait_s)
        left_s = waiting.deadline_s - now_s
        needed_s = wait_s + self._needed_s(waiting)
        if needed_s > left_s or wait_s > MAX_WAIT_SHARE * left_s:
            raise _overloaded(
                f'expected wait {wait_s:.3f} s, {left_s:.3f} s are left',
                wait_s,
            )

    def _needed_s(self, waiting):
        return MARGIN * self._classes[waiting.urgency].service_s

    def expected_wait_s(self, urgency, room):
        """Return how long a request would wait that comes now."""
        mine = self._classes[urgency]
        if urgency is calls.Urgency.LONG:
            room = max(1, math.floor(room * LONG_FLOOR_SHARE))
        return len(mine.waiting) * mine.service_s / max(1, room)

    def put(self, waiting):
        """Add a request that was checked."""
        self._classes[waiting.urgency].waiting[id(waiting)] = waiting

    def remove(self, waiting):
        """Drop a request that is given up; dropping it twice is the same."""
        self._classes[waiting.urgency].waiting.pop(id(waiting), None)

    def latest_start_s(self, waiting):
        """Return when waiting on makes no more sense."""
        return waiting.deadline_s - self._classes[waiting.urgency].service_s

    def next(self, room, now_s):
        """Return the request to start next, or None; it stays in."""
        urgency = self._next_urgency(room, now_s)
        if urgency is None:
            return None
        return next(iter(self._classes[urgency].waiting.values()))

    def _next_urgency(self, room, now_s):
        long = self._classes[calls.Urgency.LONG]
        interactive = self._classes[calls.Urgency.INTERACTIVE]
        floor = max(1, math.floor(room * LONG_FLOOR_SHARE))
        if long.waiting and long.running < floor:
            return calls.Urgency.LONG
        if interactive.waiting:
            return calls.Urgency.INTERACTIVE
        if long.waiting and self.may_start(calls.Urgency.LONG, room, now_s):
            return calls.Urgency.LONG
        return None

    def is_reserving(self, urgency, now_s):
        """Tell whether room is kept from requests of a kind."""
        return (
            urgency is calls.Urgency.LONG
            and now_s - self._interactive_s <= RESERVE_S
        )

    def may_start(self, urgency, room, now_s):
        """Tell whether one more of a kind leaves room for the other."""
        if not self.is_reserving(urgency, now_s):
            return True
        ceiling = max(1, math.floor(room * LONG_CEILING_SHARE))
        return self._classes[urgency].running < ceiling

    def start(self, urgency):
        """Count a request that goes to an endpoint."""
        self._classes[urgency].running += 1

    def finish(self, urgency, took_s=None):
        """Count a request that ended.

        :param took_s: how long it ran, where it was answered
        """
        self._classes[urgency].running -= 1
        if took_s is not None:
            self._classes[urgency].learn(took_s)


class QuotaTable:
    """Count each workspace's requests against this entry host's share.

    The share is the quota divided by the entry hosts that have joined, so
    that all together never exceed it, also while they can't talk.
    """

    def __init__(self):
        self._in_flight = {}

    def enter(self, workspace, quota, entry_hosts):
        """Count a request.

        :raises errors.QuotaExceeded: when the share is used up
        """
        share = max(1, quota // max(1, entry_hosts))
        count = self._in_flight.get(workspace, 0)
        if count >= share:
            raise errors.QuotaExceeded(
                f'workspace {workspace!r} has {count} requests here, its '
                f'share of the quota of {quota} is {share}',
                retry_after_s=1.0,
            )
        self._in_flight[workspace] = count + 1

    def leave(self, workspace):
        """Count a request that has its final answer."""
        self._in_flight[workspace] -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]


def _overloaded(detail, wait_s):
    return errors.Overloaded(
        detail, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s)
    )
