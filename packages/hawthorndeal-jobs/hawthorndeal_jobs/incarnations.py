"""One life of an executor, and what is held of it.

An executor may begin again under the id that it had. It then knows nothing of
its former life: its clock, its ends and the epoch that it has seen begin anew,
and nothing that was granted to the former life binds it. So all of that is
kept with the incarnation and goes with it.

One thing carries over. A call that was sent to the former incarnation may
reach the new one. The end of the lease in that call is a time of the former
clock, which lies far ahead on the new one, so the executor shortens the lease
to the longest that it grants. Until a call is known to have been answered by
the former incarnation, the new one counts as holding that lease.
"""

import collections
import math

import attrs

# Upper bound on how much slower an executor's monotonic clock runs than ours.
MAX_CLOCK_DRIFT = 0.02
# Time within which a stopped run has ended and its end has been observed.
STOP_TIMEOUT_S = 1.0
# Time for an executor to kill its runs after their lease has expired.
LEASE_EXPIRY_MARGIN_S = 0.3
# A call without an answer may be carried out this much later.
LATE_CALL_S = 12.0
# Executors tell their clocks in whole milliseconds.
CLOCK_RESOLUTION_S = 0.002


@attrs.frozen(eq=False)
class LeaseGrant:
    """A lease as a call carries it.

    :ivar incarnation: the one that it was granted to
    :ivar deadline_s: end of the lease, on the clock of the incarnation
    :ivar sent_s: when it was granted, on the local monotonic clock
    :ivar min_answer_clock_s: what the clock of the incarnation reads at least
        in the answer
    """

    incarnation: object
    deadline_s: float
    sent_s: float
    min_answer_clock_s: float


@attrs.define(eq=False)
class Incarnation:
    """What is known of one life of an executor, and was granted to it.

    Times are in seconds of the local monotonic clock where nothing else is
    said.

    :ivar born_ms: when it began, in milliseconds since the epoch by the
        executor's clock; 0 while that is unknown, and where executors don't
        tell
    :ivar known_since_s: when the owner learned of it
    :ivar is_fenced: whether it has seen this owner's epoch
    :ivar fenced_since_s: time by which it had seen the epoch
    :ivar last_recorded_end: sequence of the last end that is stored
    :ivar last_processed_end: sequence of the last end that was processed
    :ivar clock_s: latest reading of its monotonic clock, or None
    :ivar clock_read_s: when that reading arrived
    :ivar lease_expires_s: time by which every lease granted has certainly
        expired
    :ivar expired_runs: runs that have ended with their leases, since when it
        was not reached
    :ivar is_leaving: whether it has told that it will end
    :ivar is_ordered_away: whether an order that ends it was sent to its host,
        and may have taken effect
    :ivar suspended_until_s: no new runs are placed on it before this time
    :ivar failed_runs: how many runs of each job have failed on it since the
        last one that succeeded; see :mod:`executor_health`
    :ivar progress: which share of the expected progress its runs made, and
        when that was measured; None if too few runs could be measured
    """

    born_ms: int = 0
    known_since_s: float = 0.0
    is_fenced: bool = False
    fenced_since_s: float = 0.0
    last_recorded_end: int = 0
    last_processed_end: int = 0
    clock_s: float | None = None
    clock_read_s: float = 0.0
    lease_expires_s: float = 0.0
    expired_runs: list = attrs.Factory(list)
    is_leaving: bool = False
    is_ordered_away: bool = False
    suspended_until_s: float = 0.0
    failed_runs: collections.Counter = attrs.Factory(collections.Counter)
    progress: tuple[float, float] | None = None
    # Until when it is suspended for each cause.
    _suspensions: dict = attrs.Factory(dict)
    # Leases that another incarnation may have received: in calls in flight,
    # when the last call was sent that was not answered, and by when the leases
    # in calls of other owners or to earlier incarnations have expired.
    _grants_in_flight: set = attrs.Factory(set)
    _last_unanswered_s: float = -math.inf
    _stray_leases_expire_s: float = 0.0

    # Suspension

    def suspend(self, cause, until_s):
        """Place no new runs before a time."""
        self._suspensions[cause] = max(
            until_s, self._suspensions.get(cause, 0.0)
        )
        self.suspended_until_s = max(self.suspended_until_s, until_s)

    def is_suspended(self, cause, now_s):
        """Return whether it is suspended for a cause."""
        return self._suspensions.get(cause, 0.0) > now_s

    def end_suspension(self, cause):
        """Place new runs again unless there is another cause."""
        del self._suspensions[cause]
        self.suspended_until_s = max(self._suspensions.values(), default=0.0)

    # Fencing

    def mark_fenced(self, now_s):
        """Record that it has seen this owner's epoch."""
        if not self.is_fenced:
            self.fenced_since_s = now_s
        self.is_fenced = True

    def has_ended_inherited_runs(self, now_s):
        """Return True if every run that a previous owner stopped has ended."""
        return self.is_fenced and now_s - self.fenced_since_s > STOP_TIMEOUT_S

    # Clock

    def update_clock(self, clock_s, now_s):
        """Record a reading of its clock; older readings are ignored."""
        if self.clock_s is None or clock_s > self.clock_s:
            self.clock_s = clock_s
            self.clock_read_s = now_s

    def doubt(self):
        """Trust neither its clock nor its epoch until a poll tells them.

        Another incarnation with the same id may have answered.
        """
        self.clock_s = None
        self.is_fenced = False

    # Leases

    def grant_lease(self, duration_s, now_s):
        """Grant a lease that starts now.

        :rtype: LeaseGrant
        """
        age_s = now_s - self.clock_read_s
        self.lease_expires_s = max(
            self.lease_expires_s, now_s + _longest_s(duration_s, age_s)
        )
        grant = LeaseGrant(
            self,
            self.clock_s + age_s + duration_s,
            now_s,
            self.clock_s + age_s * (1.0 - MAX_CLOCK_DRIFT),
        )
        self._grants_in_flight.add(grant)
        return grant

    def inherit_lease(self, expires_s):
        """Count with the leases in calls of earlier owners.

        Any incarnation may have received them.

        :param expires_s: time by which they have certainly expired
        """
        self.lease_expires_s = self._stray_leases_expire_s = expires_s

    def end_grant(self, grant, is_answered):
        """Record the end of the call that carried a lease.

        :param is_answered: whether this incarnation answered it, or it
            certainly had no effect
        """
        self._grants_in_flight.remove(grant)
        if not is_answered:
            self._last_unanswered_s = max(
                self._last_unanswered_s, grant.sent_s
            )

    def may_have_answered(self, grant, clock_s):
        """Return whether a clock reading in an answer fits this incarnation.

        The clock of one that followed reads less.
        """
        return clock_s >= grant.min_answer_clock_s - CLOCK_RESOLUTION_S

    def is_lease_expired(self, now_s):
        """Return True if every run on it has certainly been killed."""
        return now_s > self.lease_expires_s + LEASE_EXPIRY_MARGIN_S

    def successor(self, born_ms, now_s, longest_lease_s):
        """Return the incarnation that has followed under the same id.

        :param born_ms: when that began
        :param longest_lease_s: longest lease that executors grant
        """
        sent_s = max(
            self._last_unanswered_s,
            *(grant.sent_s for grant in self._grants_in_flight),
            -math.inf,
        )
        expires_s = max(
            self._stray_leases_expire_s,
            longest_lease_end_s(sent_s, longest_lease_s),
        )
        return Incarnation(
            born_ms,
            now_s,
            lease_expires_s=expires_s,
            stray_leases_expire_s=expires_s,
        )

    def found_again(self, now_s, longest_lease_s):
        """Return a record of this incarnation after it was taken for ended.

        Only its leases are known to go on.

        :param longest_lease_s: longest lease that executors grant
        """
        found = self.successor(self.born_ms, now_s, longest_lease_s)
        found.lease_expires_s = self.lease_expires_s
        return found


def longest_lease_end_s(sent_s, longest_lease_s):
    """Return when the longest lease has expired that a call may have granted.

    :param sent_s: when the call was sent
    """
    return sent_s + LATE_CALL_S + _longest_s(longest_lease_s, 0.0)


def _longest_s(duration_s, age_s):
    """Return how long a lease lasts at most, by the local clock.

    :param age_s: age of the clock reading that it was worked out from
    """
    return (duration_s + age_s * MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT)
