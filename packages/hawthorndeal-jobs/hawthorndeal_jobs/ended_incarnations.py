"""Remembers the incarnations of executors that have ended.

Entries of an ended incarnation are retained for a while, are read again after
the log was truncated, and may be stored or read late. They must not bring it
back. But not everything that is taken for an end is one: an executor that
nobody reached may only have been cut off, lists of hosts may have lacked one
that runs, and an order that is done already ends nothing when it is repeated.

Such an executor goes on publishing entries, and is found again by one that is
newer than all that had been read when it was removed. Where the host service
has told of its end, by its lists or by the answer to an order, a later list
must show it before.
"""

import attrs

from . import departures
from . import incarnations

_Departure = departures.Departure

# The host service has told of the end.
_TOLD_BY_HOST_SERVICE = frozenset(
    {_Departure.UNLISTED, _Departure.MOVED, _Departure.MAINTAINED}
)


@attrs.define
class EndedIncarnation:
    """An incarnation that was taken for ended.

    :ivar incarnation: an :class:`incarnations.Incarnation`
    :ivar sequence: that of its newest entry
    :ivar departure: what showed that it has ended
    :ivar ended_s: when that was
    :ivar is_listed: whether a list that was requested since shows it
    :ivar is_entry_ignored: whether an entry of it was read since
    """

    incarnation: incarnations.Incarnation
    sequence: int
    departure: departures.Departure
    ended_s: float
    is_listed: bool = False
    is_entry_ignored: bool = False

    def is_followed_by(self, entry):
        """Return whether an entry tells of a later incarnation."""
        return entry.born_ms > self.incarnation.born_ms

    def is_contradicted_by(self, entry):
        """Return whether an entry shows that the incarnation goes on."""
        return (
            self._may_go_on
            and entry.born_ms == self.incarnation.born_ms
            and entry.sequence > self.sequence
        )

    @property
    def _may_go_on(self):
        if self.departure in _TOLD_BY_HOST_SERVICE:
            return self.is_listed
        return self.departure is _Departure.EXPIRED


class EndedIncarnations:
    """The last incarnation that was taken for ended, by executor id."""

    def __init__(self):
        self._ended = {}

    def note_end(self, executor, departure, now_s):
        """Record that the present incarnation of an executor has ended."""
        incarnation, entry = executor.incarnation, executor.entry
        self._ended[executor.executor_id] = EndedIncarnation(
            incarnation,
            entry.sequence if entry.born_ms == incarnation.born_ms else 0,
            departure,
            now_s,
        )

    def note_listed(self, executor_ids, sent_s):
        """Record that a list shows executors on hosts that are up.

        :param sent_s: when the list was requested
        """
        for executor_id in self._ended.keys() & executor_ids:
            ended = self._ended[executor_id]
            ended.is_listed |= ended.ended_s < sent_s

    def find(self, entry):
        """Return the end of the incarnation that an entry tells of, or None.

        :rtype: EndedIncarnation or None
        """
        ended = self._ended.get(entry.executor_id)
        if ended is None or ended.is_followed_by(entry):
            return None
        return None if ended.is_contradicted_by(entry) else ended

    def pop(self, executor_id):
        """Forget the end of an executor that is there, and return it.

        :rtype: EndedIncarnation or None
        """
        return self._ended.pop(executor_id, None)
