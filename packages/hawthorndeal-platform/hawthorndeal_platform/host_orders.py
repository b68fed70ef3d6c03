"""What the project asks of whoever runs the hosts."""

import enum
import typing

import attrs

from hawthorndeal_fleet import errors


class HostBusy(errors.PlatformError):
    """Report an order to a host that can't take one now."""

    reason = 'host_busy'


class HostRefused(errors.PlatformError):
    """Report an order that will never be carried out."""

    reason = 'host_refused'


class HostState(enum.Enum):
    """Name what a host is doing."""

    UP = 'up'
    MOVING = 'moving'
    IN_MAINTENANCE = 'in_maintenance'
    DOWN = 'down'


@attrs.frozen
class HostEntry:
    """Hold what is told of one host.

    :ivar executor_id: its life now; empty where it has none
    """

    host: str
    pool: str
    state: HostState
    zone: str
    rack: str
    executor_id: str


@attrs.frozen
class Holder:
    """Name who gives orders to hosts.

    :ivar epoch: rises with each holder
    """

    daemon: str
    epoch: int


class HostOrders(typing.Protocol):
    """List hosts, and have them moved or maintained.

    Only the caller's lease keeps two holders apart: the other end may not
    check the epoch.
    """

    async def list(self):
        """Return every host.

        :rtype: tuple[HostEntry, ...]
        """

    async def move(self, host, pool, holder):
        """Put a host into a pool; whatever runs there ends at once.

        :raises HostBusy: it is not up, or leaving
        :raises errors.OutcomeUnknown: it may be moving
        """

    async def maintain(self, host, wave, holder):
        """Begin a host's maintenance; whatever runs there ends at once.

        :raises HostBusy: it is not up, or leaving
        :raises errors.OutcomeUnknown: it may have begun
        """
