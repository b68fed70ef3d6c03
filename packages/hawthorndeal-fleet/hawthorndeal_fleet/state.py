"""The replicated state that every daemon folds from the log."""

import collections
import enum
import typing

import attrs

from . import index as index_module
from . import jobs as jobs_module
from . import model
from . import pools
from . import quarantine
from . import records
from . import usage as usage_module

AUDIT_TAIL_RECORDS = 1000
MAX_VERDICTS = 1000
MAX_DECISIONS = 4096
MAX_MARKS = 16


class ClaimStatus(enum.Enum):
    """Status of a claim on a request."""

    HELD = 'held'
    RETURNED = 'returned'


@attrs.frozen
class Decision:
    """Decision of the fold on the record at an offset.

    :ivar reason: why the record was refused, or what was granted; may be empty
    :ivar code: kind of refusal, from a small fixed set; empty if accepted
    """

    offset: int
    record_id: str
    kind: str
    writer: str
    stamp_s: float
    is_accepted: bool
    reason: str = ''
    subject: str = ''
    code: str = ''


@attrs.frozen
class PendingStamp:
    """A stamp far ahead of log time, until another member confirms it."""

    writer: str
    stamp_s: float


@attrs.frozen
class CheckpointNote:
    """Extent of a checkpoint, and the log time at which it was noted."""

    next_offset: int
    written_s: float


@attrs.frozen
class Mark:
    """Digest of the state before an offset."""

    next_offset: int
    digest: str


@attrs.frozen
class Member:
    """A daemon that has joined."""

    incarnation: str
    daemon: str
    zone: str
    address: str
    joined_offset: int
    rule_level: int


@attrs.frozen
class Disruption:
    """Planned work on a host, from its grant to its end.

    :ivar granted_s: log time of the grant
    :ivar stepped_s: log time of the last step
    :ivar step_offset: offset of the last step, initially that of the grant
    :ivar action: action of the wave at the time of the grant
    :ivar expected_s: expected downtime of the host, in seconds
    """

    host: str
    wave: str
    holder: str
    grant_offset: int
    granted_s: float
    step: records.Step
    stepped_s: float
    step_offset: int
    boot_id: str = ''
    action: model.WaveAction = model.WaveAction.REBOOT
    target_pool: str = ''
    expected_s: float = 0.0


@attrs.frozen
class Outage:
    """A period during which executors of one service were unavailable."""

    start_s: float
    end_s: float
    executors: int


@attrs.frozen
class Claim:
    """The exclusive right to run a non-idempotent request."""

    holder: str
    offset: int
    deadline_s: float
    status: ClaimStatus = ClaimStatus.HELD


@attrs.define
class State:
    """Replicated state after all records before an offset.

    Only the fold modifies it; all other code only reads it.

    :ivar next_offset: first offset not yet folded
    :ivar epoch: number of times the log was lost and restarted
    :ivar epoch_offset: offset at which the epoch began
    :ivar checkpoint: newest checkpoint that the log announced
    :ivar log_time_s: greatest accepted stamp
    :ivar digest: hexadecimal digest of the decision history
    :ivar marks: digests at regular offsets, newest last
    :ivar index: reverse references to each entry of the fleet
    :ivar recent: latest decisions by record id, oldest first
    :ivar refusals: number of refused records by decision code
    :ivar fingerprint: number that is equal for equal documents
    :ivar verdicts: first decision on each apply, by apply id, oldest first
    :ivar finished: completed hosts, by wave
    :ivar away_since_s: log time since which a host is down or maintained
    :ivar outages: ended outages by service, oldest first
    :ivar away_s: average duration of planned work, by action
    :ivar progress_s: log time of the last grant or end, by wave
    :ivar renewed_s: log time of the last record, by incarnation
    :ivar jobs: jobs that have not ended
    :ivar ended_jobs: recently ended jobs, oldest first
    :ivar holders: log time of the last sign of life of each holder of jobs
    :ivar usage: observed relative to declared size, by group of jobs
    """

    next_offset: int = 0
    epoch: int = 0
    epoch_offset: int = 0
    checkpoint: CheckpointNote | None = None
    log_time_s: float = 0.0
    rule_level: int = 1
    revision: int = 0
    document: dict[str, typing.Any] = attrs.field(
        factory=dict, metadata={'is_plain': True}
    )
    fingerprint: int = 0
    fleet: model.Fleet = attrs.field(
        factory=model.Fleet, metadata={'is_derived': True}
    )
    index: index_module.Index = attrs.field(
        init=False, eq=False, repr=False, metadata={'is_derived': True}
    )
    verdicts: dict[str, Decision] = attrs.Factory(dict)
    members: dict[str, Member] = attrs.Factory(dict)
    disruptions: dict[str, Disruption] = attrs.Factory(dict)
    finished: dict[str, set[str]] = attrs.Factory(dict)
    down_hosts: set[str] = attrs.Factory(set)
    away_since_s: dict[str, float] = attrs.Factory(dict)
    outages: dict[str, list[Outage]] = attrs.Factory(dict)
    away_s: dict[str, float] = attrs.Factory(dict)
    progress_s: dict[str, float] = attrs.Factory(dict)
    renewed_s: dict[str, float] = attrs.Factory(dict)
    claims: dict[str, Claim] = attrs.Factory(dict)
    jobs: dict[str, jobs_module.Job] = attrs.Factory(dict)
    ended_jobs: dict[str, jobs_module.EndedJob] = attrs.Factory(dict)
    holders: dict[str, float] = attrs.Factory(dict)
    pool_index: pools.PoolIndex = attrs.field(
        factory=pools.PoolIndex,
        eq=False,
        repr=False,
        metadata={'is_derived': True},
    )
    ledger: jobs_module.Ledger = attrs.Factory(jobs_module.Ledger)
    usage: dict[str, usage_module.Usage] = attrs.Factory(dict)
    host_evidence: dict[str, quarantine.Evidence] = attrs.Factory(dict)
    pool_evidence: dict[str, quarantine.Evidence] = attrs.Factory(dict)
    quarantines: dict[str, quarantine.Quarantine] = attrs.Factory(dict)
    invalid_records: int = 0
    digest: str = ''
    marks: collections.deque[Mark] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_MARKS)
    )
    pending_stamp: PendingStamp | None = None
    recent: dict[str, Decision] = attrs.Factory(dict)
    refusals: dict[str, int] = attrs.Factory(dict)
    audit: collections.deque[Decision] = attrs.field(
        factory=lambda: collections.deque(maxlen=AUDIT_TAIL_RECORDS)
    )

    def __attrs_post_init__(self):
        self.index = index_module.build(self.fleet)

    def replace_fleet(self, fleet):
        """Replace the fleet and rebuild its index."""
        self.fleet = fleet
        self.index = index_module.build(fleet)

    def pool_of(self, host):
        """Return the pool that a host currently belongs to."""
        return self.fleet.hosts[host].pool

    def endpoints_of(self, service):
        """Return a service's endpoint names, sorted and read-only."""
        return self.index.referrers('services', service, 'endpoints')

    def endpoints_on(self, host):
        """Return a host's endpoint names, sorted and read-only."""
        return self.index.referrers('hosts', host, 'endpoints')
