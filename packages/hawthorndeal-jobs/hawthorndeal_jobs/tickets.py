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
    """Tickets by job, step and executor."""

    def __init__(self):
        self._by_job = {}

    def note(self, step_key, good, validity_s, asked_s):
        """Store the advice service's response for a step.

        :param good: ticket texts by executor
        """
        expires_s = asked_s + validity_s - EXPIRY_MARGIN_S
        job_tickets = self._by_job.setdefault(step_key[0], {})
        held = job_tickets.setdefault(step_key, {})
        held.update(
            {name: Ticket(text, expires_s) for name, text in good.items()}
        )

    def valid(self, step_key, now_s):
        """Return the valid tickets of a step, by executor."""
        held = self._held(step_key)
        return {
            name: ticket.text
            for name, ticket in held.items()
            if now_s < ticket.expires_s
        }

    def permitted(self, step_key):
        """Return the ids of executors that may run a step.

        Their tickets may have expired.
        """
        return self._held(step_key).keys()

    def discard(self, step_key, executor_id):
        """Remove a ticket that was refused."""
        self._held(step_key).pop(executor_id, None)

    def _held(self, step_key):
        return self._by_job.get(step_key[0], {}).get(step_key, {})

    def discard_job(self, job_id):
        """Remove all tickets of a job."""
        self._by_job.pop(job_id, None)
