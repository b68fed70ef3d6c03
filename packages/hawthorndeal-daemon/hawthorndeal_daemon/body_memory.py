"""Limit on the memory used by the bodies of all requests."""

from hawthorndeal_fleet import errors

RETRY_AFTER_S = 1.0


class BodyBudget:
    """Limit the total size of request bodies in memory.

    :param max_bytes: maximum total size of the bodies
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    def allocate(self, size_bytes):
        """Reserve memory for received bytes.

        :raises errors.Overloaded: if that would exceed the limit
        """
        if self._reserved_bytes + size_bytes > self._max_bytes:
            raise errors.Overloaded(
                f'request bodies already take {self._reserved_bytes} bytes',
                retry_after_s=RETRY_AFTER_S,
            )
        self._reserved_bytes += size_bytes

    def free(self, size_bytes):
        """Release memory that was reserved."""
        self._reserved_bytes -= size_bytes


class BodyReservation:
    """Memory reserved for the body of one request.

    :param body_budget: the :class:`BodyBudget` of all bodies
    """

    def __init__(self, body_budget):
        self._budget = body_budget
        self._size_bytes = 0

    def add(self, size_bytes):
        """Extend the reservation by received bytes.

        :raises errors.Overloaded: if that would exceed the limit
        """
        self._budget.allocate(size_bytes)
        self._size_bytes += size_bytes

    def release(self):
        """Release the whole reservation."""
        self._budget.free(self._size_bytes)
        self._size_bytes = 0
