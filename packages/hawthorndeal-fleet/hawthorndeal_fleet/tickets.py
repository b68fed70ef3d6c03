"""At-most-once execution of non-idempotent requests without the log.

An entry host issues a ticket that names its incarnation. Only that
incarnation may run the request, regardless of the entry host that the caller
sends it to, and it keeps used tickets until they expire. Once the incarnation
has ended, no entry host runs the request.
"""

import hashlib
import hmac
import itertools

import attrs

from . import errors

LIFETIME_S = 600.0
MAX_USED_TICKETS = 20_000
RETRY_AFTER_S = 1.0
_SIGNATURE_CHARS = 16
_EXPIRY_CHECKS_PER_USE = 2


@attrs.frozen
class Ticket:
    """Right to run a request once.

    :ivar number: unique among the tickets of an incarnation
    :ivar issued_s: time of issue on the issuer's monotonic clock, in seconds
    """

    incarnation: str
    number: int
    issued_s: float
    signature: str

    def __str__(self):
        return (
            f'{self.incarnation}.{self.number}.'
            f'{round(self.issued_s * 1000)}.{self.signature}'
        )


def parse(text):
    """Return the ticket that a text represents.

    :raises errors.BadRequest: if the text is not a ticket
    """
    try:
        incarnation, number, issued_ms, signature = text.split('.')
        return Ticket(
            incarnation, int(number), int(issued_ms) / 1000.0, signature
        )
    except ValueError:
        raise errors.BadRequest(f'not a ticket: {text!r:.80}') from None


class TicketTable:
    """Issue the tickets of one incarnation and keep track of used ones.

    :param incarnation: identity of this process of the daemon
    :param secret: signing key, known only to this process
    """

    def __init__(self, incarnation, secret):
        self.incarnation = incarnation
        self._secret = secret
        self._numbers = itertools.count(1)
        self._used = {}

    def issue(self, now_s):
        """Return a new ticket."""
        number = next(self._numbers)
        return Ticket(
            self.incarnation, number, now_s, self._sign(number, now_s)
        )

    def _sign(self, number, issued_s):
        text = f'{number}.{round(issued_s * 1000)}'.encode()
        digest = hmac.new(self._secret, text, hashlib.sha256)
        return digest.hexdigest()[:_SIGNATURE_CHARS]

    def use(self, ticket, now_s):
        """Use up a ticket, which grants the right to run its request.

        :raises errors.BadRequest: if this incarnation didn't issue the ticket
        :raises errors.TicketExpired: if it expired, so may have been used
        :raises errors.AlreadyClaimed: if it was used
        :raises errors.Overloaded: if too many used tickets are stored
        """
        expected = self._sign(ticket.number, ticket.issued_s)
        if not hmac.compare_digest(expected, ticket.signature):
            raise errors.BadRequest(f'ticket {ticket.number} was not issued')
        self._forget_expired(now_s)
        if _is_expired(ticket.issued_s, now_s):
            raise errors.TicketExpired(f'ticket {ticket.number} has expired')
        if ticket.number in self._used:
            raise errors.AlreadyClaimed(
                f'ticket {ticket.number} was already used'
            )
        if len(self._used) >= MAX_USED_TICKETS:
            raise errors.Overloaded(
                f'the limit of {MAX_USED_TICKETS} used tickets is reached',
                RETRY_AFTER_S,
            )
        self._used[ticket.number] = ticket.issued_s

    def is_used(self, text):
        """Return whether a text is a used ticket of this incarnation."""
        try:
            ticket = parse(text)
        except errors.BadRequest:
            return False
        is_own = ticket.incarnation == self.incarnation
        return is_own and ticket.number in self._used

    def give_back(self, ticket):
        """Make a ticket usable again whose request didn't run."""
        self._used.pop(ticket.number, None)

    def _forget_expired(self, now_s):
        # Tickets are used roughly in order of issue, so the oldest entries
        # are the first to expire.
        oldest = list(itertools.islice(self._used, _EXPIRY_CHECKS_PER_USE))
        for number in oldest:
            issued_s = self._used.pop(number)
            if not _is_expired(issued_s, now_s):
                self._used[number] = issued_s


def _is_expired(issued_s, now_s):
    return now_s - issued_s > LIFETIME_S
