"""Tell how long a holder may act on the disruptions it was granted."""

# A holder may act for this long after its last confirmed record was sent.
DURATION_S = 20.0
RENEW_AFTER_S = 6.0
CALL_DEADLINE_S = 5.0
MAX_CLOCK_SKEW_S = 5.0
# From the holder's last record, in log time, until another may take over.
TAKEOVER_AFTER_S = DURATION_S + CALL_DEADLINE_S + MAX_CLOCK_SKEW_S


class Permission:
    """Follow one daemon's permission on its own monotonic clock.

    It counts from the moment when a record was *sent*, since the log may
    have taken it in at any moment between that and the confirmation.
    """

    def __init__(self):
        self._confirmed_s = None

    def confirm(self, sent_s):
        """Note that a record sent at a moment was read back."""
        if self._confirmed_s is None or sent_s > self._confirmed_s:
            self._confirmed_s = sent_s

    def is_valid(self, now_s):
        """Tell whether the daemon may act."""
        return (
            self._confirmed_s is not None
            and now_s < self._confirmed_s + DURATION_S
        )

    def is_due(self, now_s):
        """Tell whether the permission should be renewed."""
        return (
            self._confirmed_s is None
            or now_s >= self._confirmed_s + RENEW_AFTER_S
        )
