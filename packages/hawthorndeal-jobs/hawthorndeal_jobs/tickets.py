"""Cache the tickets that permit steps to run on executors.

Tickets are issued by the advice service, for queues that use one.
"""

import attrs

# No start is planned with a ticket this shortly before it expires, and none is
# sent, since it has to be stored first and to reach the executor.
PLANNING_MARGIN_S = 0.3
SENDING_MARGIN_S = 0.1


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
        expires_s = asked_s + validity_s
        job_tickets = self._by_job.setdefault(step_key[0], {})
        held = job_tickets.setdefault(step_key, {})
        held.update(
            {name: Ticket(text, expires_s) for name, text in good.items()}
        )

    def valid(self, step_key, now_s):
        """Return the tickets to plan starts of a step with, by executor."""
        held = self._held(step_key)
        return {
            name: ticket.text
            for name, ticket in held.items()
            if now_s < ticket.expires_s - PLANNING_MARGIN_S
        }

    def to_send(self, step_key, executor_id, now_s):
        """Return the ticket to send a start with; empty if it has expired."""
        ticket = self._held(step_key).get(executor_id)
        if ticket is None or now_s >= ticket.expires_s - SENDING_MARGIN_S:
            return ''
        return ticket.text

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
