"""Decide whether a failed try may be followed by another."""

import attrs

from . import errors

RETRY_SHARE = 0.1
RETRY_BURST = 20.0
MAX_TRIES = 3
BACK_OFF_S = 0.02


@attrs.define
class RetryBudget:
    """Allow retries as a share of the requests seen.

    :ivar credit: retries that may still be made
    """

    credit: float = RETRY_BURST

    def note_request(self):
        """Earn a share of a retry."""
        self.credit = min(RETRY_BURST, self.credit + RETRY_SHARE)

    def spend(self):
        """Take one retry and tell whether there was one to take."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


def is_safe_to_retry(request, failure):
    """Tell whether another try can't run the request a second time."""
    if isinstance(failure, errors.NotRun):
        return True
    return request.is_idempotent and isinstance(failure, errors.AnswerLost)


def back_off_s(tries, rng):
    """Return a jittered wait before the next try, in seconds."""
    return BACK_OFF_S * (2 ** (tries - 1)) * (0.5 + rng.random())
