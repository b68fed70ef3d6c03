"""Settings of a daemon, and their validation."""

import attrs
from attrs import validators

from hawthorndeal_fleet import checks
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import yamltext


def _positive(default):
    return attrs.field(default=default, validator=validators.gt(0))


@attrs.frozen
class Statsd:
    """Address of the statsd server that gets the metrics by UDP."""

    host: str = '127.0.0.1'
    port: int = attrs.field(
        default=8125,
        validator=[validators.ge(1), validators.le(checks.MAX_PORT)],
    )


@attrs.frozen
class Platform:
    """Locations of the platform's services.

    :ivar workers_url: the worker service; if empty, no jobs are accepted
    :ivar stream: name of the log stream that all daemons share
    """

    log_url: str
    hosts_url: str
    workers_url: str = ''
    stream: str = 'hawthorndeal'
    call_timeout_s: float = _positive(2.0)


@attrs.frozen
class Settings:
    """Settings of one daemon.

    :ivar daemon: name of this entry host; a replacement has the same name
    :ivar callers_address: address to serve callers on, as ``IP:PORT``
    :ivar control_address: address to serve peers and operators on
    :ivar peers: control addresses of the other entry hosts
    :ivar operator_tokens: authentication token of each operator, by name
    :ivar peer_token: token by which daemons authenticate to each other
    :ivar log_retention_s: how long the platform's log retains records
    :ivar log_restart_wait_s: how long the log's end must be lost before the
        log is restarted
    :ivar shutdown_grace_s: time for the load balancer to redirect callers
    :ivar shutdown_timeout_s: maximum time to wait for requests in progress
    :ivar max_callers: maximum number of caller connections
    :ivar max_held_bytes: maximum total size of request bodies in memory
    """

    daemon: str
    zone: str
    callers_address: str
    control_address: str
    platform: Platform
    peers: list[str] = attrs.Factory(list)
    operator_tokens: dict[str, str] = attrs.field(factory=dict, repr=False)
    peer_token: str = attrs.field(default='', repr=False)
    statsd: Statsd = attrs.Factory(Statsd)
    metrics_period_s: float = _positive(10.0)
    log_poll_s: float = _positive(0.5)
    log_retention_s: float = _positive(24 * 3600.0)
    log_restart_wait_s: float = _positive(10.0)
    peer_period_s: float = _positive(2.0)
    maintenance_period_s: float = _positive(0.5)
    placement_period_s: float = _positive(0.2)
    host_list_period_s: float = _positive(2.0)
    claim_timeout_s: float = _positive(2.0)
    shutdown_grace_s: float = _positive(1.0)
    shutdown_timeout_s: float = _positive(60.0)
    max_body_bytes: int = _positive(8 * 1024 * 1024)
    max_answer_bytes: int = _positive(16 * 1024 * 1024)
    max_callers: int = _positive(1000)
    max_held_bytes: int = _positive(64 * 1024 * 1024)


def parse(text, source):
    """Parse and validate settings in YAML.

    :param text: the whole document, as bytes
    :param source: the file's name, for error messages
    :raises errors.InvalidFile: with every problem found
    """
    settings = codec.from_file(yamltext.parse(text, source), Settings, source)
    problems = [
        errors.Problem(source, path, f'expected IP:PORT, got {address!r}')
        for path, address in _addresses(settings)
        if not checks.is_address(address)
    ]
    if problems:
        raise errors.InvalidFile(problems)
    return settings


def _addresses(settings):
    yield 'callers_address', settings.callers_address
    yield 'control_address', settings.control_address
    for index, address in enumerate(settings.peers):
        yield f'peers[{index}]', address


def split_address(address):
    """Return the IP address and the port of a validated address."""
    ip, _, port = address.rpartition(':')
    return ip.strip('[]'), int(port)
