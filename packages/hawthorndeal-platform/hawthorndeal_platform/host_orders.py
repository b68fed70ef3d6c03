"""Interface of the service that moves and maintains hosts."""

import enum
import typing

import attrs

from hawthorndeal_fleet import errors


class HostBusy(errors.PlatformError):
    """Raised when a host can't take an order at present."""

    reason = 'host_busy'


class HostRefused(errors.PlatformError):
    """Raised when the host service rejects an order for good."""

    reason = 'host_refused'


class HostState(enum.Enum):
    """State of a host in the host service."""

    UP = 'up'
    MOVING = 'moving'
    IN_MAINTENANCE = 'in_maintenance'
    DOWN = 'down'


@attrs.frozen
class HostEntry:
    """Describe one host as listed by the host service.

    :ivar executor_id: current incarnation of the host; empty if there is none
    :ivar labels: what its executors are labelled with
    :ivar capacity: the capacity of its executors; None if the list doesn't
        tell it
    """

    host: str
    pool: str
    state: HostState
    zone: str
    rack: str
    executor_id: str
    labels: tuple[str, ...] = ()
    capacity: object = None


@attrs.frozen
class Holder:
    """Identify the owner that issues orders to hosts.

    :ivar epoch: increases with each holder
    """

    daemon: str
    epoch: int


class HostOrders(typing.Protocol):
    """List hosts, and order moves and maintenance.

    Only the caller's lease keeps two holders from issuing orders at once:
    the host service may not check the epoch.
    """

    async def list(self):
        """Return every host.

        :rtype: tuple[HostEntry, ...]
        """

    async def move(self, host, pool, holder):
        """Move a host to a pool; all runs on it end at once.

        :raises HostBusy: the host is not up, or is leaving
        :raises errors.OutcomeUnknown: the host may be moving
        """

    async def begin_maintenance(self, host, wave, holder):
        """Begin maintenance of a host; all runs on it end at once.

        :raises HostBusy: the host is not up, or is leaving
        :raises errors.OutcomeUnknown: maintenance may have begun
        """
