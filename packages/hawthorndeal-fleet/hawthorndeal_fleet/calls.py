"""The request of a caller and the answer to it."""

import enum

import attrs


class Urgency(enum.Enum):
    """Name how a request is weighed against others."""

    INTERACTIVE = 'interactive'
    LONG = 'long'


@attrs.frozen
class Request:
    """Describe a caller's request; its body stays opaque.

    :ivar deadline_s: seconds since the epoch
    :ivar ticket: text of the ticket that it runs under, or empty
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
        """Return the text that names this request across entry hosts."""
        return f'{self.workspace}/{self.service}/{self.request_id}'


@attrs.frozen
class Answer:
    """Carry the whole answer of an endpoint."""

    status: int
    body: bytes
    content_type: str
    endpoint: str
    content_encoding: str = ''
