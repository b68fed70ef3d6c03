"""Decide how many calls of a kind to executors may be in flight at once.

All calls of an owner share its link and its processor. When either is full,
requests queue there until all of them time out together, so the window is
reduced while the queue is still short.

The load is measured per round: as many answers as calls were in flight. A
round counts as congested if the answer times of most executors have risen;
a call without an answer counts as an endless one. A single executor that is
slow or silent therefore doesn't reduce the window for the others.

The window counts calls rather than bytes: processor time is spent per call,
a plan is bounded in starts, and a larger payload shows in the answer times.
"""

import collections
import math
import statistics

import attrs

INITIAL_CALLS = 16
MIN_CALLS = 2
# Late answers alone don't reduce the window further, since they may be due to
# other work of the owner.
MIN_ANSWERED_CALLS = 4
MAX_CALLS = 1000
# Calls are released in groups, so that several steps get a share of them.
MIN_GROUP_CALLS = 2
GROUP_SHARE = 0.25
# Share of the window that has to be in use before it grows.
USED_SHARE = 0.5
GROWTH_CALLS = 1
GROWTH_SHARE = 1 / 16
REDUCTION_FACTOR = 0.5
# Rise of the median answer time that counts as a queue. The last requests of a
# window wait twice as long, still far below the timeout of a call.
QUEUE_LIMIT_S = 0.1
# Rise that ends the doubling, or a share of the usual time if that is more:
# longer answers vary more.
PROBE_LIMIT_S = 0.025
PROBE_LIMIT_SHARE = 0.3
# Calls that take this much longer than usual may be waiting for one executor.
LATE_CALL_S = 0.15
# The usual answer time is the shortest one in this period, or the one before.
# A queue of the window's own calls is gone sooner, since the window is halved
# each round; what remains is how long executors take now.
USUAL_PERIOD_S = 2.5
# Executors that have to be slow before it is the owner's own link.
MIN_SLOW_EXECUTORS = 2
# Answer times that are kept per executor and round.
MAX_TIMES = 64


@attrs.frozen(eq=False)
class SentCall:
    """A call in flight.

    :ivar paused_s: how long the owner had read no answers until then
    """

    executor_id: str
    sent_s: float
    paused_s: float


class CallWindow:
    """Number of calls that may be in flight, adapted to their answers.

    Times are in seconds of the daemon's monotonic clock.

    :ivar size: number of calls that may be in flight
    """

    def __init__(self):
        self.size = float(INITIAL_CALLS)
        self._calls = {}
        self._usual = _ShortestTime()
        self._is_probing = True
        # By which usual time the window was last reduced.
        self._reduced_by_s = math.inf
        self._newest_answered_s = -math.inf
        self._paused_s = 0.0
        self._begin_round(-math.inf)

    @property
    def in_flight(self):
        """Return the number of calls without an answer so far."""
        return len(self._calls)

    def note_pause(self, took_s):
        """Record that the owner was busy and read no answers meanwhile."""
        self._paused_s += took_s

    def note_planned(self, count):
        """Record calls that will be sent once their records are stored.

        They use the window as well, or it would never seem to be full where
        storing takes as long as an answer.
        """
        self._peak = max(self._peak, len(self._calls) + count)

    def note_sent(self, executor_id, now_s):
        """Record that a call is sent, and return it for :meth:`note_end`."""
        call = SentCall(executor_id, now_s, self._paused_s)
        self._calls[call] = None
        self._peak = max(self._peak, len(self._calls))
        return call

    def note_end(self, call, is_answered, now_s):
        """Record that a call was answered, or that it has failed."""
        self._calls.pop(call, None)
        took_s = math.inf
        if is_answered:
            paused_s = self._paused_s - call.paused_s
            took_s = max(0.0, now_s - call.sent_s - paused_s)
            self._usual.note(took_s, now_s)
            self._newest_answered_s = max(self._newest_answered_s, call.sent_s)
        # Calls sent before a change of the window say nothing about it.
        if call.sent_s < self._round_begun_s:
            return
        self._times_s[call.executor_id].append(took_s)
        self._samples += 1
        if self._samples >= self._peak:
            self._judge_round(now_s)

    def has_room(self, now_s):
        """Return whether enough calls were answered to send others."""
        # Most often there are no late calls to look for.
        is_known = int(self.size) - self.in_flight >= self._group_calls()
        return is_known or self.free_calls(now_s) > 0

    def free_calls(self, now_s):
        """Return how many calls may be sent now."""
        free = int(self.size) - self._count_waiting(now_s)
        return free if free >= self._group_calls() else 0

    def is_idle(self, now_s):
        """Return whether no call waits for the owner's own link."""
        return not self._count_waiting(now_s)

    def _group_calls(self):
        return max(MIN_GROUP_CALLS, int(self.size * GROUP_SHARE))

    def _count_waiting(self, now_s):
        """Count calls in flight, except those that wait for an executor.

        A late call waits for its executor if a later one to another executor
        has been answered, or if only one executor has late calls.
        """
        limit_s = LATE_CALL_S + self._usual.value_s
        late = [call for call in self._calls if now_s - call.sent_s > limit_s]
        if len({call.executor_id for call in late}) >= MIN_SLOW_EXECUTORS:
            late = [c for c in late if c.sent_s < self._newest_answered_s]
        return len(self._calls) - len(late)

    def _begin_round(self, now_s):
        self._round_begun_s = now_s
        self._times_s = collections.defaultdict(_make_times)
        self._samples = 0
        self._peak = len(self._calls)

    def _judge_round(self, now_s):
        medians_s = [statistics.median_low(t) for t in self._times_s.values()]
        rise_s = statistics.median_low(medians_s) - self._usual.value_s
        is_queue = rise_s > QUEUE_LIMIT_S
        if is_queue and len(medians_s) < MIN_SLOW_EXECUTORS:
            # Whose queue it is shows once another executor was called.
            return
        usual_s = self._usual.value_s
        probe_limit_s = max(PROBE_LIMIT_S, PROBE_LIMIT_SHARE * usual_s)
        if usual_s > self._reduced_by_s + PROBE_LIMIT_S:
            # Fewer calls didn't make the answers any faster.
            self._reduced_by_s = math.inf
            self._is_probing = True
        self._is_probing = self._is_probing and rise_s <= probe_limit_s
        if is_queue:
            self._reduced_by_s = usual_s
            self._reduce(
                MIN_CALLS if rise_s == math.inf else MIN_ANSWERED_CALLS
            )
        elif self._peak >= self.size * USED_SHARE:
            self._grow()
        self._begin_round(now_s)

    def _reduce(self, least):
        reduced = max(least, self.size * REDUCTION_FACTOR)
        self.size = min(self.size, reduced)

    def _grow(self):
        added = max(GROWTH_CALLS, self.size * GROWTH_SHARE)
        if self._is_probing:
            added = self.size
        self.size = min(MAX_CALLS, self.size + added)


def _make_times():
    return collections.deque(maxlen=MAX_TIMES)


class _ShortestTime:
    """Shortest time of the current and the previous period.

    :ivar value_s: that time; 0 if there was none
    """

    def __init__(self):
        self.value_s = 0.0
        self._period_begun_s = -math.inf
        self._previous_s = self._current_s = math.inf

    def note(self, took_s, now_s):
        """Record a time."""
        if now_s - self._period_begun_s >= USUAL_PERIOD_S:
            self._period_begun_s = now_s
            self._previous_s, self._current_s = self._current_s, math.inf
        self._current_s = min(self._current_s, took_s)
        self.value_s = min(self._previous_s, self._current_s)
