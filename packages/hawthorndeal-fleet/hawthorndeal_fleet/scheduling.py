"""Give requests endpoints, in the order that the queues decide."""

from . import admission
from . import calls
from . import errors

COME_BACK_S = 1.0


class Scheduler:
    """Join the router and the queues of the services.

    Whoever drives it carries events in, with the folded state and the
    monotonic time, and acts on what it returns.

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

        :raises errors.NotRun: with the time to come back after
        """
        if not self._router.has_route(state, service, now_s, waiting.excluded):
            raise errors.NoEndpoint(
                f'no endpoint of {service!r} to try',
                retry_after_s=COME_BACK_S,
            )
        room = self._room(state, service, now_s)
        self.queue(service).check(waiting, room, now_s)

    def _room(self, state, service, now_s):
        return self._router.capacity(state, service, now_s).room

    def enter(self, state, service, waiting, now_s):
        """Start a request or have it wait.

        :returns: the endpoint it goes to now, or None when it waits
        :raises errors.NotRun: when it is refused
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
            room = self._room(state, service, now_s)
            if not queue.may_start(waiting.urgency, room, now_s):
                return None
        name = self._router.choose(
            state, service, self._rng, now_s, waiting.excluded
        )
        if name is not None:
            self._router.start(state, name, now_s)
            queue.start(waiting.urgency)
        return name

    def start_next(self, state, service, now_s):
        """Start the next request that waits.

        :returns: what waited and the endpoint it goes to, or None
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
        """Count an exchange that ended.

        :param outcome: a :class:`health.Outcome`
        :param took_s: time to the answer, in seconds, where it came
        """
        # Long work says nothing of how busy an endpoint is.
        tells_load = urgency is calls.Urgency.INTERACTIVE
        self._router.finish(
            name, outcome, now_s, self._rng, took_s if tells_load else None
        )
        self.queue(service).finish(urgency, took_s)
