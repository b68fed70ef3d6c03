"""Apply the records of a partition, each of them once."""

import collections

from hawthorndeal_fleet import errors

from . import applied_offsets


class KeyedRecords:
    """Applies records by the kind that their keys begin with.

    Records are applied idempotently: one that is read again after a newer one
    of its key is ignored. Offsets are compared within one source, since each
    partition counts its own. A subclass has ``_HANDLERS``: functions by kind,
    each of which takes the rest of the key and the value.
    """

    _HANDLERS = {}

    def __init__(self):
        self._offsets = collections.defaultdict(applied_offsets.AppliedOffsets)

    def holds(self, source, key):
        """Return whether a source holds a record of a key."""
        return self._offsets[source].holds(key)

    def keys(self, source):
        """Return the keys of the records that a source holds."""
        return self._offsets[source].keys()

    def apply(self, key, value, offset, source=''):
        """Apply one record, and return its effect; None if it has none.

        :param source: name of the partition that the record is from
        :raises errors.InvalidRecord: if it cannot be decoded; nothing is
            changed then
        """
        offsets = self._offsets[source]
        if offsets.is_old(key, offset):
            return None
        kind, _, rest = key.partition('/')
        handler = self._HANDLERS.get(kind)
        if handler is None:
            raise errors.InvalidRecord(f'unknown record key {key!r:.80}')
        effect = handler(self, rest, value)
        offsets.note(key, value, offset)
        return effect
