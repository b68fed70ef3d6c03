"""The declared fleet: what operators write and apply as a whole."""

import enum

import attrs
from attrs import validators

MIN_HOST_MEMORY_BYTES = 64 * 1024 * 1024
MAX_DEADLINE_S = 24 * 3600.0


class Survive(enum.Enum):
    """Name the largest failure that a budget must still absorb."""

    NONE = 'none'
    HOST = 'host'
    RACK = 'rack'


class WaveAction(enum.Enum):
    """Name what a wave does to each of its hosts."""

    REBOOT = 'reboot'
    MOVE = 'move'


class WaveState(enum.Enum):
    """Name what operators want a wave to do now."""

    RUNNING = 'running'
    PAUSED = 'paused'
    CANCELLED = 'cancelled'


@attrs.frozen
class Zone:
    """Describe an availability zone."""

    region: str


@attrs.frozen
class Pool:
    """Describe a pool of hosts."""

    description: str = ''


@attrs.frozen
class Host:
    """Describe a host; the field ``pool`` puts it in exactly one pool."""

    pool: str
    zone: str
    rack: str
    cpu_cores: int = attrs.field(validator=validators.ge(1))
    memory_bytes: int = attrs.field(
        validator=validators.ge(MIN_HOST_MEMORY_BYTES)
    )
    accelerators: int = attrs.field(default=0, validator=validators.ge(0))


@attrs.frozen
class Endpoint:
    """Describe one executor of a service on a host.

    :ivar address: ``host:port`` by IP number
    """

    service: str
    host: str
    address: str


@attrs.frozen
class Service:
    """Describe a service.

    :ivar slots: requests that one executor runs at a time
    :ivar connections: connections that one executor accepts
    :ivar max_deadline_s: the longest deadline a request may ask for
    """

    workspace: str
    pool: str
    slots: int = attrs.field(default=8, validator=validators.ge(1))
    connections: int = attrs.field(default=64, validator=validators.ge(1))
    max_deadline_s: float = attrs.field(
        default=60.0,
        validator=[validators.gt(0), validators.le(MAX_DEADLINE_S)],
    )


@attrs.frozen
class Budget:
    """Describe the availability that a workspace bought for a service.

    :ivar max_unavailable: executors that may be missing at any moment
    :ivar survive: failure that must fit in beside planned work
    :ivar downtime_s: seconds that executors may be missing in a window
    :ivar window_s: length of that window
    """

    max_unavailable: int = attrs.field(validator=validators.ge(0))
    survive: Survive = Survive.NONE
    downtime_s: float = attrs.field(default=0.0, validator=validators.ge(0))
    window_s: float = attrs.field(default=0.0, validator=validators.ge(0))


@attrs.frozen
class Quota:
    """Describe what a workspace may use at once."""

    requests_in_flight: int = attrs.field(
        default=1000, validator=validators.ge(1)
    )
    cpu_cores: int = attrs.field(default=1_000_000, validator=validators.ge(0))
    accelerators: int = attrs.field(
        default=1_000_000, validator=validators.ge(0)
    )


@attrs.frozen
class Workspace:
    """Describe a workspace: its quota and its budget for each service."""

    budgets: dict[str, Budget] = attrs.Factory(dict)
    quota: Quota = attrs.Factory(Quota)


@attrs.frozen
class Weights:
    """Weigh the three measures against each other, each from 0 up."""

    roll_out_time: float = attrs.field(default=1.0, validator=validators.ge(0))
    moves: float = attrs.field(default=1.0, validator=validators.ge(0))
    buffer_cost: float = attrs.field(default=1.0, validator=validators.ge(0))


@attrs.frozen
class Wave:
    """Describe a maintenance wave over the hosts of some pools.

    :ivar pools: the pools whose hosts are worked on
    :ivar hosts: only these hosts of the pools; all where empty
    :ivar target_pool: where hosts go, for a move
    :ivar start_at_s: seconds since the epoch when an announced wave begins
    :ivar expected_s: seconds that one host is expected to be away
    """

    pools: list[str]
    action: WaveAction = WaveAction.REBOOT
    state: WaveState = WaveState.RUNNING
    hosts: list[str] = attrs.Factory(list)
    target_pool: str = ''
    start_at_s: float = attrs.field(default=0.0, validator=validators.ge(0))
    expected_s: float = attrs.field(default=600.0, validator=validators.gt(0))


@attrs.frozen
class Fleet:
    """Describe the whole desired fleet, section by section.

    :ivar dead_daemons: incarnations that operators vouch have ended
    """

    zones: dict[str, Zone] = attrs.Factory(dict)
    pools: dict[str, Pool] = attrs.Factory(dict)
    hosts: dict[str, Host] = attrs.Factory(dict)
    services: dict[str, Service] = attrs.Factory(dict)
    endpoints: dict[str, Endpoint] = attrs.Factory(dict)
    workspaces: dict[str, Workspace] = attrs.Factory(dict)
    waves: dict[str, Wave] = attrs.Factory(dict)
    weights: Weights = attrs.Factory(Weights)
    dead_daemons: list[str] = attrs.Factory(list)
