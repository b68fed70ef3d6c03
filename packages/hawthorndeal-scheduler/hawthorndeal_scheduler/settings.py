"""Validated settings of a scheduling daemon."""

import attrs
from attrs import validators

from hawthorndeal_daemon import settings as daemon_settings
from hawthorndeal_fleet import checks
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import yamltext

_ADDRESSES = ('callers_address', 'readiness_address', 'metrics_address')


def _positive(default=attrs.NOTHING):
    return attrs.field(default=default, validator=validators.gt(0))


@attrs.frozen
class Settings:
    """Settings of a scheduling daemon.

    :ivar daemon: name of this entry host
    :ivar callers_address: address of the callers' API, as ``IP:PORT``
    :ivar readiness_address: address of the balancer's readiness check
    :ivar metrics_address: address of the metrics endpoint
    :ivar relay_address: address at which other daemons pass on the calls that
        they can't answer; empty to take and pass on none
    :ivar store_address: address of the platform's store
    :ivar hosts_address: address of the host service; empty for none
    :ivar advice_address: address of the advice service, which permits
        executors; empty for none
    :ivar longest_lease_ms: longest lease that executors grant
    :ivar lease_s: lease that the owner requests
    :ivar host_order_lease_ms: minimum time between orders of two owners to
        one host
    :ivar shutdown_grace_s: time from SIGTERM until the process must exit
    :ivar job_retention_s: how long the final state of a job can be queried
    :ivar away_notice_ms: how long a lasting task may be missing before it
        counts as unavailable
    :ivar cancel_notice_ms: time after which a cancelled job starts nothing
    :ivar max_entry_age_ms: age of the executors' entries up to which tasks
        start on what they tell
    :ivar standing_notice_ms: how long a task may wait beside room before what
        keeps it is logged; 0 logs nothing
    :ivar host_move_s: time that a host takes to change its pool
    :ivar host_orders_per_s: orders that the host service accepts per second
    :ivar key_revocation_ms: time after which no daemon may use a key that was
        withdrawn
    :ivar submission_partitions: number of partitions over which submissions
        are spread; 0 stores them beside the jobs' progress
    :ivar spare_partitions: number of other partitions that a record may be
        stored in while its own doesn't answer; the same on all daemons, and 0
        while any of them is of an earlier version
    :ivar splits_progress: whether the progress of a job of many tasks is
        stored in several records; false while any daemon is of an earlier
        version
    :ivar refuses_for_starts: whether jobs are refused that would wait too long
        for a start though there is room for them
    :ivar max_record_bytes: size of the largest record that the store takes
    :ivar processor_share: share of a core that this entry host may use, before
        processor_count
    :ivar processor_count: how many cores' speed that share has
    :ivar link_mbps: speed of this entry host's link
    """

    daemon: str
    zone: str
    callers_address: str
    readiness_address: str
    metrics_address: str
    store_address: str
    hosts_address: str = ''
    advice_address: str = ''
    relay_address: str = ''
    longest_lease_ms: float = _positive(10000.0)
    lease_s: float = _positive(4.0)
    host_order_lease_ms: float = _positive(3000.0)
    shutdown_grace_s: float = _positive(6.0)
    job_retention_s: float = _positive(120.0)
    away_notice_ms: float = _positive(4500.0)
    cancel_notice_ms: float = _positive(2000.0)
    max_entry_age_ms: float = _positive(3000.0)
    standing_notice_ms: float = attrs.field(
        default=0.0, validator=validators.ge(0)
    )
    host_move_s: float = _positive(1.5)
    host_orders_per_s: float = _positive(50.0)
    key_revocation_ms: float = _positive(5000.0)
    submission_partitions: int = attrs.field(
        default=0, validator=validators.ge(0)
    )
    spare_partitions: int = attrs.field(default=0, validator=validators.ge(0))
    splits_progress: bool = False
    refuses_for_starts: bool = False
    max_record_bytes: int = _positive(262144)
    processor_share: float = _positive(1.0)
    processor_count: float = _positive(1.0)
    link_mbps: float = _positive(100.0)
    max_body_bytes: int = _positive(262144)
    max_callers: int = _positive(1500)


def parse(text, source):
    """Parse the settings from YAML.

    :param text: content of the file, as bytes
    :param source: name of the file, for error messages
    :raises errors.InvalidFile: with all problems found
    """
    settings = codec.from_file(yamltext.parse(text, source), Settings, source)
    optional = ('relay_address',) if settings.relay_address else ()
    problems = [
        errors.Problem(source, field, f'expected IP:PORT, got {address!r}')
        for field in (*_ADDRESSES, 'store_address', *optional)
        for address in [getattr(settings, field)]
        if not checks.is_address(address)
    ]
    if problems:
        raise errors.InvalidFile(problems)
    return settings


split_address = daemon_settings.split_address
