"""Run a non-idempotent request at most once without the log.

An entry host issues a ticket that names its incarnation. Only that
incarnation may run the request, whichever entry host the caller sends it to,
and it remembers what it ran until the ticket has expired. When it is gone
nobody runs the request any more.
"""

import hashlib
import hmac
import itertools

import attrs

from . import errors

LIFE_S = 600.0
MAX_REMEMBERED = 20_000
COME_BACK_S = 1.0
_SIGNATURE_CHARS = 16
_LOOKED_AT = 2


@attrs.frozen
class Ticket:
    """Name the right to one run of a request.

    :ivar number: tells the tickets of an incarnation apart
    :ivar issued_s: the issuer's monotonic clock, in seconds
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
    """Return the ticket that a text holds.

    :raises errors.BadRequest: when it holds none
    """
    try:
        incarnation, number, issued_ms, signature = text.split('.')
        return Ticket(
            incarnation, int(number), int(issued_ms) / 1000.0, signature
        )
    except ValueError:
        raise errors.BadRequest(f'not a ticket: {text!r:.80}') from None


class TicketTable:
    """Issue the tickets of one incarnation and remember which ran.

    :param incarnation: identity of this start of the daemon
    :param secret: bytes that only this start knows
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
        """Take the only right to run a request.

        :raises errors.BadRequest: this incarnation never issued the ticket
        :raises errors.TicketExpired: it may have been used
        :raises errors.AlreadyClaimed: it was used
        :raises errors.Overloaded: too many are remembered
        """
        expected = self._sign(ticket.number, ticket.issued_s)
        if not hmac.compare_digest(expected, ticket.signature):
            raise errors.BadRequest(f'ticket {ticket.number} was not issued')
        self._forget_expired(now_s)
        if _is_expired(ticket.issued_s, now_s):
            raise errors.TicketExpired(f'ticket {ticket.number} has expired')
        if ticket.number in self._used:
            raise errors.AlreadyClaimed(f'ticket {ticket.number} is used')
        if len(self._used) >= MAX_REMEMBERED:
            raise errors.Overloaded(
                f'{MAX_REMEMBERED} tickets are remembered', COME_BACK_S
            )
        self._used[ticket.number] = ticket.issued_s

    def is_used(self, text):
        """Tell whether a text holds a ticket of this incarnation in use."""
        try:
            ticket = parse(text)
        except errors.BadRequest:
            return False
        is_own = ticket.incarnation == self.incarnation
        return is_own and ticket.number in self._used

    def give_back(self, ticket):
        """Let a ticket be used again: its request certainly did not run."""
        self._used.pop(ticket.number, None)

    def _forget_expired(self, now_s):
        # Tickets are used roughly in the order in which they were issued.
        oldest = list(itertools.islice(self._used, _LOOKED_AT))
        for number in oldest:
            issued_s = self._used.pop(number)
            if not _is_expired(issued_s, now_s):
                self._used[number] = issued_s


def _is_expired(issued_s, now_s):
    return now_s - issued_s > LIFE_S
