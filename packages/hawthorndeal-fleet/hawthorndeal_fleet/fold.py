"""Fold the records of the log, in offset order, into the state."""

import functools
import typing

from . import claims
from . import configuration
from . import disruptions
from . import errors
from . import job_records
from . import job_rules
from . import members
from . import outages
from . import records
from . import state as state_module

# An honest clock is at most this far ahead of the log's time between two
# records of other writers.
MAX_STAMP_AHEAD_S = 3600.0


def fold(state, offset, data):
    """Fold the plain data at an offset into the state.

    The same data at the same offset gives the same decision on every daemon,
    also where the data is foreign.

    :param state: the state before; it is changed in place
    :param data: plain data as read from the log
    :returns: the decision on it
    :rtype: state.Decision
    :raises ValueError: when the offset was folded already
    """
    if offset < state.next_offset:
        raise ValueError(f'offset {offset} is already folded')
    state.next_offset = offset + 1
    try:
        record = records.decode(data)
    except errors.InvalidRecord as error:
        return _refuse_foreign(state, offset, data, error)
    return _decide(state, offset, record)


def _refuse_foreign(state, offset, data, error):
    state.invalid_records += 1
    return state_module.Decision(
        offset=offset,
        record_id='',
        kind='invalid',
        writer='',
        stamp_s=state.log_time_s,
        is_accepted=False,
        reason=str(error),
    )


def _decide(state, offset, record):
    _advance_time(state, record)
    disruptions.note_alive(state, record.writer)
    refusal = _refuse_level(state, record) or _apply(
        record.body, state, offset
    )
    decision = state_module.Decision(
        offset=offset,
        record_id=record.record_id,
        kind=type(record.body).__name__,
        writer=record.writer,
        stamp_s=record.stamp_s,
        is_accepted=refusal is None,
        reason=refusal or '',
        subject=_subject(record.body),
    )
    configuration.remember_verdict(state, record.body, decision)
    if not isinstance(record.body, _UNAUDITED):
        state.audit.append(decision)
    return decision


# Requests and jobs are far too many for the trail of changes.
_UNAUDITED = (
    records.RequestClaimed,
    records.ClaimReturned,
    records.PermissionRenewed,
    *typing.get_args(job_records.Body),
)


def _advance_time(state, record):
    is_first = state.log_time_s == 0.0
    if is_first or record.stamp_s <= state.log_time_s + MAX_STAMP_AHEAD_S:
        state.log_time_s = max(state.log_time_s, record.stamp_s)


def _refuse_level(state, record):
    if record.level > state.rule_level:
        return f'level {record.level} is above the rules {state.rule_level}'
    return None


def _subject(body):
    names = ('host', 'apply_id', 'daemon', 'incarnation', 'key')
    return next((getattr(body, n) for n in names if hasattr(body, n)), '')


@functools.singledispatch
def _apply(body, state, offset):
    raise TypeError(f'no rule for {type(body).__name__}')


_RULES = {
    records.ConfigApplied: configuration.apply_config,
    records.DaemonJoined: members.join,
    records.DaemonLeft: members.leave,
    records.RuleLevelRaised: members.raise_level,
    records.HostReported: outages.report_host,
    records.DisruptionAsked: disruptions.ask,
    records.DisruptionStepped: disruptions.step,
    records.DisruptionTaken: disruptions.take,
    records.DisruptionEnded: disruptions.end,
    records.PermissionRenewed: disruptions.renew,
    records.RequestClaimed: claims.claim,
    records.ClaimReturned: claims.give_back,
    job_records.JobSubmitted: job_rules.submit,
    job_records.JobPlaced: job_rules.place,
    job_records.JobStepped: job_rules.step,
    job_records.JobEnded: job_rules.end,
    job_records.JobCancelled: job_rules.cancel,
    job_records.HolderRenewed: job_rules.renew,
    job_records.JobsTaken: job_rules.take,
}

for _kind, _rule in _RULES.items():
    _apply.register(_kind, _rule)
