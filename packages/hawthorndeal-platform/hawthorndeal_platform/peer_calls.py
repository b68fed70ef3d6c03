"""Calls of callers that one daemon passes on to another."""

import typing

import attrs

from hawthorndeal_fleet import errors

_MIN_ERROR_STATUS = 400
_UNKNOWN_STATUSES = (errors.AnswerLost.status, errors.AnswerLate.status)


@attrs.frozen
class CallerCall:
    """A call of a caller, without its connection.

    :ivar path: with its leading slash
    :ivar key: the key that it carries, or None; never logged
    :ivar is_relayed: whether another daemon has passed it on
    :ivar min_version: version of the configuration that has to be in force
        where it is answered
    :ivar may_be_stored: whether the daemon that passes it on, or another one,
        may have stored it already; it is not refused for the load then
    """

    method: str
    host_name: str
    path: str
    key: str | None
    body: bytes = b''
    is_relayed: bool = False
    min_version: int = 0
    may_be_stored: bool = False

    @property
    def is_read(self):
        """Whether the call changes nothing."""
        return self.method == 'GET'


@attrs.frozen
class CallerAnswer:
    """The answer to a call of a caller.

    :ivar plain: the body, as plain data
    :ivar retry_after_s: when the caller may come back, or None
    :ivar version: version of the configuration by which it was answered
    """

    status: int
    plain: dict
    retry_after_s: float | None = None
    version: int = 0

    @property
    def is_unknown(self):
        """Whether it leaves open if the call has taken effect."""
        return self.status in _UNKNOWN_STATUSES

    @property
    def is_refusal(self):
        """Whether it tells that the call has no effect."""
        return self.status >= _MIN_ERROR_STATUS and not self.is_unknown


class Peers(typing.Protocol):
    """Calls to other daemons."""

    async def pass_on(self, address, daemon, call, timeout_s):
        """Return the answer of another daemon to a caller's call.

        :param address: ``IP:PORT`` of the other daemon
        :param daemon: its name; any other daemon refuses the call
        :param call: a :class:`CallerCall`
        :raises errors.PlatformUnavailable: it has not handled the call
        :raises errors.OutcomeUnknown: it may have handled it
        """
