"""What the command line reports, each failure with its exit code."""

import enum

from hawthorndeal_fleet import errors


class ExitCode(enum.IntEnum):
    """Name the exit codes; scripts may rely on them."""

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
    """Be the root of failures that end a command.

    :param detail: what went wrong
    :param next_step: what the operator can do about it
    :param result: what the command prints all the same, or None
    """

    exit_code = ExitCode.FAILED

    def __init__(self, detail, next_step='', result=None):
        self.detail = detail
        self.next_step = next_step
        self.result = result
        super().__init__(detail)


class InvalidArguments(CommandError):
    """Report arguments that make no sense together."""

    exit_code = ExitCode.INVALID


class Unavailable(CommandError):
    """Report that no entry host could do it."""

    exit_code = ExitCode.UNAVAILABLE


class NotAuthorized(CommandError):
    """Report a token that no entry host accepts."""

    exit_code = ExitCode.REFUSED


class UnexpectedAnswer(CommandError):
    """Report an answer of an entry host that makes no sense here."""


class UnknownId(CommandError):
    """Report an id that no entry host knows."""


class WavesRefused(CommandError):
    """Report waves that budgets never allow to finish."""

    exit_code = ExitCode.REFUSED


class ApplyRefused(CommandError):
    """Report an apply that the fold refused."""

    exit_code = ExitCode.REFUSED


class ApplyUnknown(CommandError):
    """Report an apply that may have taken effect."""

    exit_code = ExitCode.UNKNOWN


class NotInForce(CommandError):
    """Report an accepted apply that some entry hosts don't run yet."""

    exit_code = ExitCode.NOT_IN_FORCE
