"""Exit codes of the command line, and exceptions that map to them."""

import enum

from hawthorndeal_fleet import errors


class ExitCode(enum.IntEnum):
    """Exit codes; stable, as scripts rely on them."""

    OK = 0
    FAILED = 1
    INVALID = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


MEANINGS = {
    ExitCode.OK: 'done',
    ExitCode.FAILED: 'failed',
    ExitCode.INVALID: 'a file or an argument is invalid; nothing was changed',
    ExitCode.REFUSED: 'refused; nothing was changed',
    ExitCode.UNKNOWN: 'unknown: it may have taken effect',
    ExitCode.UNAVAILABLE: 'no entry host could do it; nothing was changed',
    ExitCode.NOT_IN_FORCE: 'accepted, but not yet in force everywhere',
}


class CommandError(errors.HawthorndealError):
    """Base class of errors that end a command.

    :param detail: what went wrong
    :param next_step: what the operator can do about it
    :param result: result that is printed despite the error, or None
    """

    exit_code = ExitCode.FAILED

    def __init__(self, detail, next_step='', result=None):
        self.detail = detail
        self.next_step = next_step
        self.result = result
        super().__init__(detail)


class InvalidArguments(CommandError):
    """Raised for an invalid combination of arguments."""

    exit_code = ExitCode.INVALID


class Unavailable(CommandError):
    """Raised when no entry host could carry out the command."""

    exit_code = ExitCode.UNAVAILABLE


class NotAuthorized(CommandError):
    """Raised when an entry host rejects the token."""

    exit_code = ExitCode.REFUSED


class UnexpectedResponse(CommandError):
    """Raised for a response that the client can't interpret."""


class UnknownId(CommandError):
    """Raised when the entry host doesn't know an id."""


class WavesRefused(CommandError):
    """Raised when disruption budgets keep a wave from ever finishing."""

    exit_code = ExitCode.REFUSED


class ApplyRefused(CommandError):
    """Raised when the fold rejects an apply."""

    exit_code = ExitCode.REFUSED


class ApplyUnknown(CommandError):
    """Raised when it is unknown whether an apply took effect."""

    exit_code = ExitCode.UNKNOWN


class NotInForce(CommandError):
    """Raised when some entry hosts don't run an accepted apply yet."""

    exit_code = ExitCode.NOT_IN_FORCE
