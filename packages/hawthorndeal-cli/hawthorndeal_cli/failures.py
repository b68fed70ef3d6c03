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


class CommandError(errors.HawthorndealError):
    """Be the root of failures that end a command.

    :param detail: what went wrong
    :param next_step: what the operator can do about it
    """

    exit_code = ExitCode.FAILED

    def __init__(self, detail, next_step=''):
        self.detail = detail
        self.next_step = next_step
        super().__init__(detail)


class Unavailable(CommandError):
    """Report that no entry host could be reached."""

    exit_code = ExitCode.UNAVAILABLE


class NotAuthorized(CommandError):
    """Report a token that no entry host accepts."""

    exit_code = ExitCode.REFUSED


class ApplyRefused(CommandError):
    """Report an apply that the fold refused."""

    exit_code = ExitCode.REFUSED


class ApplyUnknown(CommandError):
    """Report an apply that may have taken effect."""

    exit_code = ExitCode.UNKNOWN
