"""Data model of a fleet file: the desired state that operators apply."""

import enum

import attrs
from attrs import validators

MIN_HOST_MEMORY_BYTES = 64 * 1024 * 1024
MAX_DEADLINE_S = 24 * 3600.0


class Survive(enum.Enum):
    """Largest failure that a budget must tolerate during planned work."""

    NONE = 'none'
    HOST = 'host'
    RACK = 'rack'


class WaveAction(enum.Enum):
    """Maintenance action that a wave performs on each of its hosts."""

    REBOOT = 'reboot'
    MOVE = 'move'


class WaveState(enum.Enum):
    """Desired run state of a wave, set by operators."""

    RUNNING = 'running'
    PAUSED = 'paused'
    CANCELLED = 'cancelled'


@attrs.frozen
class Zone:
    """An availability zone."""

    region: str


@attrs.frozen
class Pool:
    """A pool of hosts."""

    description: str = ''


@attrs.frozen
class Host:
    """A host, which belongs to exactly one pool."""

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
    """One executor of a service on a host.

    :ivar address: ``IP:PORT``, with an IP address and no host name
    """

    service: str
    host: str
    address: str


@attrs.frozen
class Service:
    """A service of a workspace.

    :ivar slots: requests that one executor runs concurrently
    :ivar connections: connections that one executor accepts
    :ivar max_deadline_s: longest deadline that a request may have
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
    """Availability that a workspace is entitled to for a service.

    :ivar max_unavailable: executors that may be unavailable at the same time
    :ivar survive: failure that must be tolerated during planned work
    :ivar downtime_s: total executor downtime allowed within a window, in
        seconds
    :ivar window_s: length of that window, in seconds
    """

    max_unavailable: int = attrs.field(validator=validators.ge(0))
    survive: Survive = Survive.NONE
    downtime_s: float = attrs.field(default=0.0, validator=validators.ge(0))
    window_s: float = attrs.field(default=0.0, validator=validators.ge(0))


@attrs.frozen
class Quota:
    """Upper limits on what a workspace uses concurrently."""

    requests_in_flight: int = attrs.field(
        default=1000, validator=validators.ge(1)
    )
    cpu_cores: int = attrs.field(default=1_000_000, validator=validators.ge(0))
    accelerators: int = attrs.field(
        default=1_000_000, validator=validators.ge(0)
    )


@attrs.frozen
class Workspace:
    """A workspace, with its quota and a budget for each of its services."""

    budgets: dict[str, Budget] = attrs.Factory(dict)
    quota: Quota = attrs.Factory(Quota)


@attrs.frozen
class Weights:
    """Relative weights of the optimization goals, each at least 0."""

    roll_out_time: float = attrs.field(default=1.0, validator=validators.ge(0))
    moves: float = attrs.field(default=1.0, validator=validators.ge(0))
    buffer_cost: float = attrs.field(default=1.0, validator=validators.ge(0))


@attrs.frozen
class Wave:
    """A maintenance wave over the hosts of one or more pools.

    :ivar pools: pools whose hosts are maintained
    :ivar hosts: restricts the wave to these hosts of the pools, unless empty
    :ivar target_pool: pool that hosts are moved to; only for a move
    :ivar start_at_s: Unix time at which an announced wave begins
    :ivar expected_s: expected downtime of one host, in seconds
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
    """The whole desired fleet, section by section.

    :ivar dead_daemons: incarnations that operators declare to have ended
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
