"""Requests of callers and the answers of endpoints."""

import enum

import attrs


class Urgency(enum.Enum):
    """Scheduling class of a request."""

    INTERACTIVE = 'interactive'
    LONG = 'long'


@attrs.frozen
class Request:
    """A request of a caller, with an opaque body.

    :ivar deadline_s: Unix time of the deadline
    :ivar ticket: text of the ticket that authorizes its run, or empty
    """

    workspace: str
    service: str
    request_id: str
    deadline_s: float
    is_idempotent: bool
    urgency: Urgency
    body: bytes
    ticket: str = ''

    @property
    def key(self):
        """Return the key that identifies the request at all entry hosts."""
        return f'{self.workspace}/{self.service}/{self.request_id}'


@attrs.frozen
class Answer:
    """The complete answer of an endpoint."""

    status: int
    body: bytes
    content_type: str
    endpoint: str
    content_encoding: str = ''
