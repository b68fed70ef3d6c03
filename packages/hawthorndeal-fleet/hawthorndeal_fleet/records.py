"""The records that daemons and operators append to the platform's log.

A record only asks; the fold decides. Whoever wrote a record learns the
outcome by reading the record back.
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
    """Name how far a granted disruption of a host has come."""

    GRANTED = 'granted'
    QUIET = 'quiet'
    DRAINED = 'drained'
    STOPPING = 'stopping'
    HEALTHY = 'healthy'


@attrs.frozen
class ConfigApplied:
    """Ask to replace the configuration of one revision by the next.

    :ivar delta: merge patch on the document of ``base_revision``
    :ivar digest: fingerprint of the whole result, in hexadecimal
    """

    apply_id: str
    operator: str
    base_revision: int
    delta: dict[str, typing.Any]
    digest: str


@attrs.frozen
class DaemonJoined:
    """Tell that a daemon takes part from this offset on."""

    incarnation: str
    daemon: str
    zone: str
    address: str
    rule_level: int = RULE_LEVEL


@attrs.frozen
class DaemonLeft:
    """Tell that a daemon takes no more part."""

    incarnation: str


@attrs.frozen
class RuleLevelRaised:
    """Ask to fold by the rules of a higher level."""

    level: int


@attrs.frozen
class CheckpointWritten:
    """Tell that the whole state was written to the checkpoint stream.

    :ivar next_offset: the first offset that is not in it
    """

    next_offset: int


@attrs.frozen
class LogRestarted:
    """Begin an epoch, on its own stream, after the log lost its end.

    :ivar next_offset: the offset that the first record of the epoch gets
    :ivar digest: the state's digest before that offset
    """

    epoch: int
    next_offset: int
    digest: str


@attrs.frozen
class DisruptionAsked:
    """Ask for leave to take a host away for a while.

    :ivar holder: incarnation of the daemon that will act on it
    """

    host: str
    wave: str
    holder: str


@attrs.frozen
class DisruptionStepped:
    """Tell that a disruption reached a step.

    :ivar grant_offset: the offset of the record that was granted
    :ivar boot_id: the host's boot identity before it was stopped
    """

    host: str
    grant_offset: int
    step: Step
    holder: str
    boot_id: str = ''


@attrs.frozen
class DisruptionTaken:
    """Ask to carry on a disruption whose holder is lost."""

    host: str
    grant_offset: int
    holder: str


@attrs.frozen
class DisruptionEnded:
    """Tell that a host is back, or was given back before it stopped.

    :ivar is_complete: whether the work of the wave was done
    """

    host: str
    grant_offset: int
    holder: str
    is_complete: bool = True


@attrs.frozen
class PermissionRenewed:
    """Tell that a holder is still at work on its disruptions."""

    holder: str


@attrs.frozen
class HostReported:
    """Tell that a host failed, or works again.

    :ivar reporter: incarnation of the daemon that saw it
    """

    host: str
    is_up: bool
    reporter: str


@attrs.frozen
class RequestClaimed:
    """Ask for the only right to run a non-idempotent request.

    :ivar key: workspace, service and request id in one text
    :ivar deadline_s: the request's deadline, in seconds since the epoch
    """

    key: str
    deadline_s: float
    holder: str


@attrs.frozen
class ClaimReturned:
    """Tell that a claimed request did not run and never will by the holder."""

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

# The rule level that brought a kind, where it isn't the first.
_KIND_LEVELS = {}


@attrs.frozen
class Record:
    """Carry a body with what every record has.

    :ivar record_id: unique for each intent; a repeated append keeps it
    :ivar writer: incarnation or operator that wrote it
    :ivar stamp_s: the writer's clock, in seconds since the epoch
    :ivar level: the lowest rule level that knows the body's kind
    """

    record_id: str
    writer: str
    stamp_s: float
    body: typing.Any
    level: int = 1


def encode(record):
    """Return the plain data that goes to the log."""
    return {
        'id': record.record_id,
        'writer': record.writer,
        'stamp_s': record.stamp_s,
        'level': record.level,
        'kind': type(record.body).__name__,
        'body': codec.to_plain(record.body),
    }


def decode(data, rule_level=RULE_LEVEL):
    """Return the record that plain data from the log holds.

    A version that knows more kinds than the rules in force refuses them like
    one that doesn't.

    :param rule_level: the level of the rules in force
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
