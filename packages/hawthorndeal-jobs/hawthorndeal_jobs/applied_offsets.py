"""Remembers the offsets of applied records, so that none is applied twice."""


class AppliedOffsets:
    """Offset of the newest applied record of each key that exists."""

    def __init__(self):
        self._by_key = {}

    def is_old(self, key, offset):
        """Return whether this record of a key, or a newer one, was applied."""
        return offset <= self._by_key.get(key, -1)

    def holds(self, key):
        """Return whether a record of a key exists."""
        return key in self._by_key

    def keys(self):
        """Return the keys of the records that exist."""
        return self._by_key.keys()

    def retain(self, keys):
        """Forget the records of other keys, which were deleted."""
        for key in self._by_key.keys() - keys:
            del self._by_key[key]

    def note(self, key, value, offset):
        """Record that a record was applied; an empty value deletes the key."""
        if value:
            self._by_key[key] = offset
        else:
            self._by_key.pop(key, None)
