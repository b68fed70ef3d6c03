"""The checked settings of one daemon."""

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
    """Tell where metrics go, by UDP."""

    host: str = '127.0.0.1'
    port: int = attrs.field(
        default=8125,
        validator=[validators.ge(1), validators.le(checks.MAX_PORT)],
    )


@attrs.frozen
class Platform:
    """Tell where the platform's services are.

    :ivar workers_url: the worker service; no jobs are taken where empty
    :ivar stream: the log stream that all daemons share
    """

    log_url: str
    hosts_url: str
    workers_url: str = ''
    stream: str = 'hawthorndeal'
    call_timeout_s: float = _positive(2.0)


@attrs.frozen
class Settings:
    """Hold what a daemon has to know before it starts.

    :ivar daemon: this entry host's name; its replacement keeps it
    :ivar callers_address: where callers are served, as ``IP:PORT``
    :ivar control_address: where peers and operators are served
    :ivar peers: control addresses of the other entry hosts
    :ivar operator_tokens: token of each operator, by name
    :ivar peer_token: token that daemons show each other
    :ivar log_retention_s: how long the platform's log keeps records
    :ivar log_restart_wait_s: how long the log's end must be lost before it
        is begun anew
    :ivar shutdown_grace_s: time for the balancer to send callers elsewhere
    :ivar shutdown_timeout_s: longest wait for requests that run
    :ivar max_callers: connections of callers served at once
    :ivar max_held_bytes: bodies of requests held at once, all together
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
    """Return the settings that a YAML text holds.

    :param text: the whole text, as bytes
    :param source: the file's name, for the problems
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
    """Return the IP number and the port of a checked address."""
    ip, _, port = address.rpartition(':')
    return ip.strip('[]'), int(port)
