"""The state that every daemon folds from the log."""

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
VERDICTS_KEPT = 1000
DECISIONS_KEPT = 4096
MARKS_KEPT = 16


class ClaimStatus(enum.Enum):
    """Name what is known of a claimed request."""

    HELD = 'held'
    RETURNED = 'returned'


@attrs.frozen
class Decision:
    """Tell what the fold made of the record at an offset.

    :ivar reason: why it was refused, or what was granted; may be empty
    :ivar code: kind of refusal, one of a few words; empty where accepted
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
    """Keep a stamp far ahead of the log's time until another confirms it."""

    writer: str
    stamp_s: float


@attrs.frozen
class CheckpointNote:
    """Tell up to which offset a checkpoint goes, and when it was written."""

    next_offset: int
    written_s: float


@attrs.frozen
class Mark:
    """Tell the state's digest before an offset."""

    next_offset: int
    digest: str


@attrs.frozen
class Member:
    """Describe a daemon that takes part."""

    incarnation: str
    daemon: str
    zone: str
    address: str
    joined_offset: int
    rule_level: int


@attrs.frozen
class Disruption:
    """Describe planned work on a host, from its grant to its end.

    :ivar granted_s: log time of the grant
    :ivar stepped_s: log time of the last step
    :ivar step_offset: offset of the last step; the grant's at first
    :ivar action: the wave's action when it was granted
    :ivar expected_s: seconds that the host was expected to be away
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
    """Describe executors of one service that were missing for a while."""

    start_s: float
    end_s: float
    executors: int


@attrs.frozen
class Claim:
    """Describe the only right to run a non-idempotent request."""

    holder: str
    offset: int
    deadline_s: float
    status: ClaimStatus = ClaimStatus.HELD


@attrs.define
class State:
    """Hold everything folded up to an offset.

    Only the fold changes it; everyone else reads.

    :ivar next_offset: the first offset not yet folded
    :ivar epoch: how often the log was lost and begun anew
    :ivar epoch_offset: the offset at which the epoch began
    :ivar checkpoint: the newest checkpoint that is known to be written
    :ivar log_time_s: the greatest accepted stamp
    :ivar digest: hexadecimal number that is equal for equal histories
    :ivar marks: digests at every so many offsets, newest last
    :ivar index: who refers to each entry of the fleet
    :ivar recent: decisions by record id, oldest first
    :ivar refusals: number of refused records by kind of refusal
    :ivar fingerprint: number that is equal for equal documents
    :ivar verdicts: decision on each apply, by apply id, oldest first
    :ivar finished: hosts done, by wave
    :ivar away_since_s: log time since when a host is down or worked on
    :ivar outages: ended outages by service, oldest first
    :ivar away_s: average time that planned work took, by action
    :ivar progress_s: log time of the last grant or end, by wave
    :ivar renewed_s: log time of the last record, by incarnation
    :ivar jobs: jobs that have not ended
    :ivar ended_jobs: jobs that ended lately, oldest first
    :ivar holders: log time at which each holder of jobs was heard last
    :ivar usage: observed against declared size, by group of jobs
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
        factory=lambda: collections.deque(maxlen=MARKS_KEPT)
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
        """Set the fleet and what follows from it."""
        self.fleet = fleet
        self.index = index_module.build(fleet)

    def pool_of(self, host):
        """Return the pool that a host belongs to now."""
        return self.fleet.hosts[host].pool

    def endpoints_of(self, service):
        """Return the sorted names of a service's endpoints, not to change."""
        return self.index.users('services', service, 'endpoints')

    def endpoints_on(self, host):
        """Return the sorted names of a host's endpoints, not to change."""
        return self.index.users('hosts', host, 'endpoints')
