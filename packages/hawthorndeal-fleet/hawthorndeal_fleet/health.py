"""Detect and quarantine failing endpoints by the outcomes of exchanges."""

import enum

import attrs

QUARANTINE_STREAK = 3
QUARANTINE_FAILURE_SHARE = 0.5
MIN_SAMPLES = 10
FAILURE_SHARE_WEIGHT = 0.1
FIRST_QUARANTINE_S = 1.0
MAX_QUARANTINE_S = 32.0
LEAVING_S = 30.0


class Outcome(enum.Enum):
    """Outcome of an exchange with an endpoint.

    ``FAILED`` means that the request ran or may have run: the answer had a
    status of 500 or above, was cut short or came too late. ``UNREACHABLE``
    means that no byte was sent.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


_SUCCESSES = (Outcome.ANSWERED,)
_FAILURES = (Outcome.FAILED, Outcome.UNREACHABLE)


@attrs.define
class EndpointHealth:
    """Quarantine a failing endpoint with exponentially increasing delays.

    :ivar streak: failures since the last answer
    :ivar failure_share: exponential moving average of the failure rate
    :ivar quarantines: consecutive quarantines
    """

    streak: int = 0
    failure_share: float = 0.0
    sample_count: int = 0
    quarantines: int = 0
    leaving_until_s: float = float('-inf')
    _quarantined_until_s: float = float('-inf')

    def note(self, outcome, now_s, rng):
        """Update the health by the outcome of an exchange."""
        if outcome is Outcome.LEAVING:
            self.leaving_until_s = now_s + LEAVING_S
        if outcome in _SUCCESSES:
            self._note_success()
        elif outcome in _FAILURES:
            self._note_failure(now_s, rng)

    def _note_success(self):
        self.streak = 0
        self.sample_count += 1
        self.failure_share *= 1.0 - FAILURE_SHARE_WEIGHT
        if self.failure_share < QUARANTINE_FAILURE_SHARE:
            self.quarantines = 0

    def _note_failure(self, now_s, rng):
        self.streak += 1
        self.sample_count += 1
        self.failure_share += FAILURE_SHARE_WEIGHT * (1.0 - self.failure_share)
        if now_s >= self._quarantined_until_s and self._should_quarantine():
            self._quarantine(now_s, rng)

    def _should_quarantine(self):
        return (
            self.quarantines > 0
            or self.streak >= QUARANTINE_STREAK
            or (
                self.sample_count >= MIN_SAMPLES
                and self.failure_share > QUARANTINE_FAILURE_SHARE
            )
        )

    def _quarantine(self, now_s, rng):
        wait_s = FIRST_QUARANTINE_S * 2**self.quarantines
        jitter = 0.75 + rng.random() / 2
        self._quarantined_until_s = (
            now_s + min(MAX_QUARANTINE_S, wait_s) * jitter
        )
        self.quarantines += 1

    def is_quarantined(self, now_s):
        """Return whether the endpoint gets no requests at present."""
        return now_s < self._quarantined_until_s

    @property
    def is_on_probation(self):
        """Return whether the endpoint gets only one request at a time."""
        return self.quarantines > 0

    def is_leaving(self, now_s):
        """Return whether the endpoint reported that it is shutting down."""
        return now_s < self.leaving_until_s
