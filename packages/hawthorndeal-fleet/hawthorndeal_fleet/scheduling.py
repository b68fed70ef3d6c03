"""Assign endpoints to requests, in the order that the queues decide."""

from . import admission
from . import calls
from . import errors

RETRY_AFTER_S = 1.0


class Scheduler:
    """Connect the router with the queues of the services.

    It does no input or output: the caller passes in events with the folded
    state and the monotonic time, and acts on the results.

    :param router: chooses endpoints
    :param rng: source of randomness
    """

    def __init__(self, router, rng):
        self._router = router
        self._rng = rng
        self._queues = {}

    def queue(self, service):
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = admission.ServiceQueue()
        return queue

    def check(self, state, service, waiting, now_s):
        """Refuse a request that can't be served in time.

        :raises errors.NotRun: with the time after which to retry
        """
        if not self._router.has_route(state, service, now_s, waiting.excluded):
            raise errors.NoEndpoint(
                f'no usable endpoint of {service!r}',
                retry_after_s=RETRY_AFTER_S,
            )
        max_in_flight = self._room(state, service, now_s)
        self.queue(service).check(waiting, max_in_flight, now_s)

    def _room(self, state, service, now_s):
        return self._router.capacity(state, service, now_s).max_in_flight

    def enter(self, state, service, waiting, now_s):
        """Start a request or queue it.

        :returns: the endpoint that it starts on, or None if it is queued
        :raises errors.NotRun: if it is refused
        """
        queue = self.queue(service)
        queue.note_arrival(waiting.urgency, now_s)
        if not len(queue):
            name = self._start(state, service, waiting, now_s)
            if name is not None:
                return name
        self.check(state, service, waiting, now_s)
        queue.put(waiting)
        return None

    def _start(self, state, service, waiting, now_s):
        queue = self.queue(service)
        if queue.is_reserving(waiting.urgency, now_s):
            max_in_flight = self._room(state, service, now_s)
            if not queue.may_start(waiting.urgency, max_in_flight, now_s):
                return None
        name = self._router.choose(
            state, service, self._rng, now_s, waiting.excluded
        )
        if name is not None:
            self._router.start(state, name, now_s)
            queue.start(waiting.urgency)
        return name

    def start_next(self, state, service, now_s):
        """Start the next queued request.

        :returns: the request and the endpoint that it starts on, or None
        """
        queue = self.queue(service)
        if not len(queue):
            return None
        waiting = queue.next(self._room(state, service, now_s), now_s)
        if waiting is None:
            return None
        name = self._start(state, service, waiting, now_s)
        if name is None:
            return None
        queue.remove(waiting)
        return waiting, name

    def leave(self, service, urgency, name, outcome, now_s, took_s=None):
        """Record the end of a request.

        :param outcome: a :class:`health.Outcome`
        :param took_s: response time in seconds, if there was a response
        """
        # Response times of long requests don't reflect an endpoint's load.
        measures_load = urgency is calls.Urgency.INTERACTIVE
        self._router.finish(
            name, outcome, now_s, self._rng, took_s if measures_load else None
        )
        self.queue(service).finish(urgency, took_s)
