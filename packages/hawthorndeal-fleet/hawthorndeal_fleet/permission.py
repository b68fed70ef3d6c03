"""The time-limited permission to act on granted disruptions."""

# How long a holder may act, from when its last confirmed record was sent.
DURATION_S = 20.0
RENEW_AFTER_S = 6.0
CALL_DEADLINE_S = 5.0
MAX_CLOCK_SKEW_S = 5.0
# Log time from a holder's last record until another daemon may take over.
TAKEOVER_AFTER_S = DURATION_S + CALL_DEADLINE_S + MAX_CLOCK_SKEW_S


class Permission:
    """Track a daemon's permission on its own monotonic clock.

    The permission starts when a record was *sent*, since the log may have
    accepted it at any time between then and the confirmation.
    """

    def __init__(self):
        self._confirmed_s = None

    def confirm(self, sent_s):
        """Confirm that a record sent at the given time was read back."""
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def is_valid(self, now_s):
        """Return whether the daemon may act."""
        return (
            self._confirmed_s is not None
            and now_s < self._confirmed_s + DURATION_S
        )

    def needs_renewal(self, now_s):
        """Return whether the permission should be renewed."""
        return (
            self._confirmed_s is None
            or now_s >= self._confirmed_s + RENEW_AFTER_S
        )
