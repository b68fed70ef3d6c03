"""Tell crashes that have a common cause, such as the loss of a rack.

Only executors that have answered the present owner count, since it is not
known when the others fell silent.
"""

import collections

import attrs

# Executors that fell silent within this time may have a common cause.
SAME_TIME_S = 0.5
# Fewer executors that crash at once are taken for a coincidence.
MIN_EXECUTORS = 3
# Share of the busy executors of a rack or zone that has to crash at once.
MIN_SHARE = 0.5
RETENTION_S = 10.0


@attrs.frozen
class _Silence:
    """When an executor that has crashed fell silent."""

    rack: str
    zone: str
    since_s: float


class SharedCrashes:
    """Remembers recent crashes."""

    def __init__(self):
        self._recent = collections.deque()

    def note(self, executor, now_s):
        """Record the crash of an executor."""
        while self._recent and self._recent[0][0] < now_s - RETENTION_S:
            self._recent.popleft()
        if executor.is_fenced:
            self._recent.append((now_s, _silence_of(executor, now_s)))

    def is_shared(self, executor, executors, now_s):
        """Return whether a rack or a zone was lost with an executor.

        :param executors: the other executors that have not ended
        """
        if not executor.is_fenced:
            return False
        own = _silence_of(executor, now_s)
        busy = [other for other in executors if other.runs and other.is_fenced]
        silent = [
            _silence_of(other, now_s)
            for other in busy
            if other.unanswered_since_s is not None
        ]
        silent += [silence for _, silence in self._recent]
        return any(
            self._is_lost(own, silent, busy, place_of)
            for place_of in (_rack_of, _zone_of)
        )

    @staticmethod
    def _is_lost(own, silent, busy, place_of):
        place = place_of(own)
        if not place:
            return False
        lost = 1 + sum(
            place_of(other) == place
            and abs(other.since_s - own.since_s) <= SAME_TIME_S
            for other in silent
        )
        answering = sum(
            place_of(other.entry) == place and other.unanswered_since_s is None
            for other in busy
        )
        return lost >= max(MIN_EXECUTORS, MIN_SHARE * (lost + answering))


def _silence_of(executor, now_s):
    since_s = executor.unanswered_since_s
    return _Silence(
        executor.entry.rack,
        executor.entry.zone,
        now_s if since_s is None else since_s,
    )


def _rack_of(place):
    return place.rack


def _zone_of(place):
    return place.zone
