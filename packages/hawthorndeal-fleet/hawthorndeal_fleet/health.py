"""Judge an endpoint by how exchanges with it end."""

import enum

import attrs

QUARANTINE_STREAK = 3
QUARANTINE_SHARE = 0.5
MIN_EVIDENCE = 10
SHARE_WEIGHT = 0.1
FIRST_QUARANTINE_S = 1.0
MAX_QUARANTINE_S = 32.0
LEAVING_S = 30.0


class Outcome(enum.Enum):
    """Name how an exchange with an endpoint ended.

    A failed one ran, or may have: an answer of status 500 or above, one that
    broke off, one that came too late. Unreachable means that no byte left.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


_GOOD = (Outcome.ANSWERED,)
_BAD = (Outcome.FAILED, Outcome.UNREACHABLE)


@attrs.define
class Health:
    """Quarantine an endpoint that fails, with ever longer waits.

    :ivar streak: failures without an answer between them
    :ivar failure_share: decayed share of exchanges that failed
    :ivar quarantines: how often in a row it was quarantined
    """

    streak: int = 0
    failure_share: float = 0.0
    evidence: int = 0
    quarantines: int = 0
    leaving_until_s: float = float('-inf')
    _quarantined_until_s: float = float('-inf')

    def note(self, outcome, now_s, rng):
        """Learn how an exchange ended."""
        if outcome is Outcome.LEAVING:
            self.leaving_until_s = now_s + LEAVING_S
        if outcome in _GOOD:
            self._note_good()
        elif outcome in _BAD:
            self._note_bad(now_s, rng)

    def _note_good(self):
        self.streak = 0
        self.evidence += 1
        self.failure_share *= 1.0 - SHARE_WEIGHT
        if self.failure_share < QUARANTINE_SHARE:
            self.quarantines = 0

    def _note_bad(self, now_s, rng):
        self.streak += 1
        self.evidence += 1
        self.failure_share += SHARE_WEIGHT * (1.0 - self.failure_share)
        if now_s >= self._quarantined_until_s and self._is_guilty():
            self._quarantine(now_s, rng)

    def _is_guilty(self):
        return (
            self.quarantines > 0
            or self.streak >= QUARANTINE_STREAK
            or (
                self.evidence >= MIN_EVIDENCE
                and self.failure_share > QUARANTINE_SHARE
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
        """Tell whether it gets no request now."""
        return now_s < self._quarantined_until_s

    @property
    def is_on_probation(self):
        """Tell whether it gets one request at a time."""
        return self.quarantines > 0

    def is_leaving(self, now_s):
        """Tell whether the endpoint itself said that it leaves."""
        return now_s < self.leaving_until_s
