"""Retry policy for failed requests: attempts, budget and backoff."""

import attrs

from . import errors

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 20.0
MAX_FAILURES = 3
MAX_REFUSALS = 20
BASE_BACKOFF_S = 0.02


@attrs.define
class RetryBudget:
    """Token bucket that limits retries to a share of all requests.

    :ivar tokens: retries available now
    """

    tokens: float = MAX_TOKENS

    def note_request(self):
        """Add the share of a token that a request earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def spend(self):
        """Spend a token; return whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


_NOT_RUN_FAILURES = (errors.EndpointRefused, errors.NoEndpoint)


def is_safe_to_retry(request, failure):
    """Return whether a retry is useful and can't run the request twice."""
    if isinstance(failure, _NOT_RUN_FAILURES):
        return failure.retry_after_s is None
    return request.is_idempotent and isinstance(failure, errors.AnswerLost)


@attrs.define
class Attempts:
    """Attempts of one request.

    :ivar failed: endpoints at which an attempt failed
    :ivar refusals: attempts that an endpoint refused
    """

    failed: list = attrs.Factory(list)
    refusals: int = 0

    def allows_retry(self, request, failure, remaining_s, budget):
        """Return whether the request may be retried after a failure.

        Refusals don't consume the budget: they cost an endpoint nothing, and
        the router pauses endpoints that refuse.

        :param remaining_s: seconds to the deadline
        """
        if not is_safe_to_retry(request, failure):
            return False
        if remaining_s <= 2 * BASE_BACKOFF_S:
            return False
        if isinstance(failure, errors.EndpointRefused):
            return self.refusals < MAX_REFUSALS
        return len(self.failed) < MAX_FAILURES and budget.spend()

    def note(self, failure, endpoint):
        """Record a failed attempt."""
        if isinstance(failure, errors.EndpointRefused):
            self.refusals += 1
        else:
            self.failed.append(endpoint)

    def backoff_s(self, rng):
        """Return the jittered delay before the next attempt, in seconds."""
        if not self.failed:
            return 0.0
        return (
            BASE_BACKOFF_S * 2 ** (len(self.failed) - 1) * (0.5 + rng.random())
        )
