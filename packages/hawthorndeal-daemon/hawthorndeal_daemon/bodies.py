"""Bound the memory that the bodies of requests take together."""

from hawthorndeal_fleet import errors

COME_BACK_S = 1.0


class HeldBodies:
    """Count the bytes of all bodies that are held.

    :param max_bytes: more are refused
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._held_bytes = 0

    def take(self, size_bytes):
        """Count bytes that are held from now on.

        :raises errors.Overloaded: when there is no room for them
        """
        if self._held_bytes + size_bytes > self._max_bytes:
            raise errors.Overloaded(
                f'{self._held_bytes} bytes of requests are held',
                retry_after_s=COME_BACK_S,
            )
        self._held_bytes += size_bytes

    def give_back(self, size_bytes):
        """Count bytes that are no longer held."""
        self._held_bytes -= size_bytes


class HeldBody:
    """Count the bytes of one body among all others.

    :param held_bodies: what all are counted in
    """

    def __init__(self, held_bodies):
        self._held_bodies = held_bodies
        self._size_bytes = 0

    def add(self, size_bytes):
        """Count bytes that came.

        :raises errors.Overloaded: when there is no room for them
        """
        self._held_bodies.take(size_bytes)
        self._size_bytes += size_bytes

    def release(self):
        """Count the body as gone."""
        self._held_bodies.give_back(self._size_bytes)
        self._size_bytes = 0
