"""Detect crashes that have a common cause, such as the loss of a rack.

Tasks that crash executors may crash several at once, but only those on which
a run has only just started. Where another executor of the rack or zone fell
silent at the same time without such a run, the cause is a common one.

Only executors that have answered the present owner count, since it is not
known when the others fell silent.
"""

import collections

import attrs

from . import crash_blame

# Executors that fell silent within this time may have a common cause.
SAME_TIME_S = 0.5
# Number of other executors that show that a rack or a zone was lost.
MIN_IN_RACK = 1
MIN_IN_ZONE = 2
RETENTION_S = 10.0


@attrs.frozen
class _Silence:
    """When an executor fell silent on which nothing had only just started."""

    rack: str
    zone: str
    since_s: float


class SharedCrashes:
    """Remembers recent crashes that no run explains."""

    def __init__(self):
        self._recent = collections.deque()

    def note(self, executor, now_s):
        """Record the crash of an executor."""
        while self._recent and self._recent[0][0] < now_s - RETENTION_S:
            self._recent.popleft()
        if executor.incarnation.is_fenced and not _has_unproven_run(executor):
            self._recent.append((now_s, _silence_of(executor, now_s)))

    def is_shared(self, executor, executors, now_s):
        """Return whether a rack or a zone was lost with an executor.

        :param executors: the other executors that have not ended
        """
        if not executor.incarnation.is_fenced:
            return False
        own = _silence_of(executor, now_s)
        silent = [
            _silence_of(other, now_s)
            for other in executors
            if other.incarnation.is_fenced
            and other.unanswered_since_s is not None
            and not _has_unproven_run(other)
        ]
        silent += [silence for _, silence in self._recent]
        at_once = [
            other
            for other in silent
            if abs(other.since_s - own.since_s) <= SAME_TIME_S
        ]
        in_rack = sum(bool(o.rack) and o.rack == own.rack for o in at_once)
        in_zone = sum(bool(o.zone) and o.zone == own.zone for o in at_once)
        return in_rack >= MIN_IN_RACK or in_zone >= MIN_IN_ZONE


def _has_unproven_run(executor):
    return any(
        not crash_blame.is_proven(executor, run)
        for run in executor.runs.values()
    )


def _silence_of(executor, now_s):
    since_s = executor.unanswered_since_s
    return _Silence(
        executor.entry.rack,
        executor.entry.zone,
        now_s if since_s is None else since_s,
    )
