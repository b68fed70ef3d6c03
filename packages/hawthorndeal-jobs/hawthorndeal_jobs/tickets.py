"""Cache the tickets that permit steps to run on executors.

Tickets are issued by the advice service, for queues that use one.
"""

import attrs

# Tickets are not used this shortly before they expire.
EXPIRY_MARGIN_S = 0.3


@attrs.frozen
class Ticket:
    """Permission to run the tasks of a step on an executor."""

    text: str
    expires_s: float


class TicketCache:
    """Tickets by step and executor."""

    def __init__(self):
        self._by_step = {}

    def note(self, step_key, good, validity_s, asked_s):
        """Store the advice service's response for a step.

        :param good: ticket texts by executor
        """
        expires_s = asked_s + validity_s - EXPIRY_MARGIN_S
        held = self._by_step.setdefault(step_key, {})
        held.update(
            {name: Ticket(text, expires_s) for name, text in good.items()}
        )

    def valid(self, step_key, now_s):
        """Return the valid tickets of a step, by executor."""
        held = self._by_step.get(step_key, {})
        return {
            name: ticket.text
            for name, ticket in held.items()
            if now_s < ticket.expires_s
        }

    def discard(self, step_key, executor_id):
        """Remove a ticket that was refused."""
        self._by_step.get(step_key, {}).pop(executor_id, None)

    def discard_job(self, job_id):
        """Remove all tickets of a job."""
        for key in [key for key in self._by_step if key[0] == job_id]:
            del self._by_step[key]
