"""The records that daemons and operators append to the platform's log.

A record is only a proposal; the fold accepts or refuses it. The writer of a
record learns the decision by reading the record back from the log.
"""

import enum
import math
import typing

import attrs

from . import codec
from . import errors
from . import job_records
from . import plaindata

RULE_LEVEL = 1


class Step(enum.Enum):
    """Progress of a granted disruption of a host."""

    GRANTED = 'granted'
    QUIET = 'quiet'
    DRAINED = 'drained'
    STOPPING = 'stopping'
    HEALTHY = 'healthy'


@attrs.frozen
class ConfigApplied:
    """Propose the next revision of the configuration.

    :ivar delta: merge patch on the document of ``base_revision``
    :ivar digest: fingerprint of the patched document, in hexadecimal
    """

    apply_id: str
    operator: str
    base_revision: int
    delta: dict[str, typing.Any]
    digest: str


@attrs.frozen
class DaemonJoined:
    """Announce that a daemon is a member from this offset on."""

    incarnation: str
    daemon: str
    zone: str
    address: str
    rule_level: int = RULE_LEVEL


@attrs.frozen
class DaemonLeft:
    """Announce that a daemon is no longer a member."""

    incarnation: str


@attrs.frozen
class RuleLevelRaised:
    """Propose to apply the rules of a higher level from now on."""

    level: int


@attrs.frozen
class CheckpointWritten:
    """Announce that a checkpoint was written to the checkpoint stream.

    :ivar next_offset: first offset that the checkpoint doesn't include
    """

    next_offset: int


@attrs.frozen
class LogRestarted:
    """Begin an epoch on a stream of its own, after the log lost its tail.

    :ivar next_offset: offset of the first record of the epoch
    :ivar digest: digest of the state before that offset
    """

    epoch: int
    next_offset: int
    digest: str


@attrs.frozen
class DisruptionAsked:
    """Request permission to make a host temporarily unavailable.

    :ivar holder: incarnation of the daemon that will perform the disruption
    """

    host: str
    wave: str
    holder: str


@attrs.frozen
class DisruptionStepped:
    """Report that a disruption reached a step.

    :ivar grant_offset: offset of the granted :class:`DisruptionAsked`
    :ivar boot_id: boot identifier of the host before it was stopped
    """

    host: str
    grant_offset: int
    step: Step
    holder: str
    boot_id: str = ''


@attrs.frozen
class DisruptionTaken:
    """Request to take over a disruption whose holder was lost."""

    host: str
    grant_offset: int
    holder: str


@attrs.frozen
class DisruptionEnded:
    """Report that a host is back, or was released before it was stopped.

    :ivar is_complete: whether the wave's action was performed on the host
    """

    host: str
    grant_offset: int
    holder: str
    is_complete: bool = True


@attrs.frozen
class PermissionRenewed:
    """Extend the permission of a holder to act on its disruptions."""

    holder: str


@attrs.frozen
class HostReported:
    """Report that a host failed or recovered.

    :ivar reporter: incarnation of the daemon that observed it
    """

    host: str
    is_up: bool
    reporter: str


@attrs.frozen
class RequestClaimed:
    """Claim the exclusive right to run a non-idempotent request.

    :ivar key: workspace, service and request id, joined to one string
    :ivar deadline_s: Unix time of the request's deadline
    """

    key: str
    deadline_s: float
    holder: str


@attrs.frozen
class ClaimReturned:
    """Release a claim whose request the holder has not run and won't run."""

    key: str
    holder: str


Body = (
    ConfigApplied
    | DaemonJoined
    | DaemonLeft
    | RuleLevelRaised
    | CheckpointWritten
    | LogRestarted
    | DisruptionAsked
    | DisruptionStepped
    | DisruptionTaken
    | DisruptionEnded
    | PermissionRenewed
    | HostReported
    | RequestClaimed
    | ClaimReturned
    | job_records.Body
)

_KINDS = {kind.__name__: kind for kind in typing.get_args(Body)}

# Rule level that introduced a kind, for kinds newer than level 1.
_KIND_LEVELS = {}


@attrs.frozen
class Record:
    """A record body with the envelope fields that all records share.

    :ivar record_id: unique for each intent; a retried append reuses it
    :ivar writer: incarnation or operator that wrote the record
    :ivar stamp_s: Unix time by the writer's clock
    :ivar level: lowest rule level that supports the body's kind
    """

    record_id: str
    writer: str
    stamp_s: float
    body: typing.Any
    level: int = 1


def encode(record):
    """Return a record as plain data for the log."""
    return {
        'id': record.record_id,
        'writer': record.writer,
        'stamp_s': record.stamp_s,
        'level': record.level,
        'kind': type(record.body).__name__,
        'body': codec.to_plain(record.body),
    }


def decode(data, rule_level=RULE_LEVEL):
    """Return the record that plain data from the log represents.

    Kinds above the rule level in force are refused even by a version that
    implements them, so that daemons of different versions decide alike.

    :param rule_level: rule level in force
    :raises errors.InvalidRecord: for foreign data and unknown kinds
    """
    plaindata.check(data)
    if not isinstance(data, dict):
        raise errors.NotPlainData(f'not a record: {data!r:.80}')
    record = codec.from_plain(_envelope(data), Record)
    if not math.isfinite(record.stamp_s):
        raise errors.NotPlainData(f'bad stamp {record.stamp_s}')
    if record.level > rule_level:
        raise errors.NewerLevel(
            f'level {record.level} is above the rules {rule_level}'
        )
    kind = _known_kind(data.get('kind'), rule_level)
    return attrs.evolve(record, body=codec.from_plain(data.get('body'), kind))


def _envelope(data):
    return {
        'record_id': data.get('id'),
        'writer': data.get('writer'),
        'stamp_s': data.get('stamp_s'),
        'level': data.get('level', 1),
        'body': None,
    }


def _known_kind(name, rule_level):
    is_known = isinstance(name, str) and name in _KINDS
    if not is_known or _KIND_LEVELS.get(name, 1) > rule_level:
        raise errors.UnknownKind(f'unknown kind {name!r:.80}')
    return _KINDS[name]
