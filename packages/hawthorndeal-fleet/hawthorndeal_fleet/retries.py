"""Decide whether a failed try may be followed by another."""

import attrs

from . import errors

RETRY_SHARE = 0.1
RETRY_BURST = 20.0
MAX_FAILURES = 3
MAX_REFUSALS = 20
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


_FROM_ENDPOINT = (errors.EndpointRefused, errors.NoEndpoint)


def is_safe_to_retry(request, failure):
    """Tell whether another try makes sense and runs nothing twice."""
    if isinstance(failure, _FROM_ENDPOINT):
        return failure.retry_after_s is None
    return request.is_idempotent and isinstance(failure, errors.AnswerLost)


@attrs.define
class Tries:
    """Count the tries of one request.

    :ivar failed: endpoints that failed it
    :ivar refusals: tries for which an endpoint had no slot free
    """

    failed: list = attrs.Factory(list)
    refusals: int = 0

    def may_go_on(self, request, failure, left_s, budget):
        """Tell whether another try may follow a failure.

        A refusal costs an endpoint nothing, and the router pauses those
        that refuse, so only real failures spend the budget.

        :param left_s: seconds left to the deadline
        """
        if not is_safe_to_retry(request, failure):
            return False
        if left_s <= 2 * BACK_OFF_S:
            return False
        if isinstance(failure, errors.EndpointRefused):
            return self.refusals < MAX_REFUSALS
        return len(self.failed) < MAX_FAILURES and budget.spend()

    def note(self, failure, endpoint):
        """Count a try that failed."""
        if isinstance(failure, errors.EndpointRefused):
            self.refusals += 1
        else:
            self.failed.append(endpoint)

    def back_off_s(self, rng):
        """Return a jittered wait before the next try, in seconds."""
        if not self.failed:
            return 0.0
        return BACK_OFF_S * 2 ** (len(self.failed) - 1) * (0.5 + rng.random())
