"""Apply the records of the log to the state, in offset order.

This is the transition function of the replicated state machine.
"""

import functools
import typing

import attrs

from . import claims
from . import configuration
from . import disruptions
from . import divergence
from . import epochs
from . import errors
from . import job_records
from . import job_rules
from . import log_time
from . import members
from . import outages
from . import records
from . import state as state_module

REPEATED = 'repeated'
_REFUSED = 'refused'
_RULE_FAILED = 'rule_failed'

# These records are too frequent to be kept in the audit trail.
_UNAUDITED = (
    records.RequestClaimed,
    records.ClaimReturned,
    records.CheckpointWritten,
    records.PermissionRenewed,
    *typing.get_args(job_records.Body),
)


def fold(state, offset, data):
    """Apply the entry at an offset of the log to the state.

    The decision depends only on the state and the entry, even if the entry
    can't be decoded, so that all daemons decide alike.

    :param state: the state before the entry; modified in place
    :param data: plain data as read from the log
    :returns: the decision on the entry
    :rtype: state.Decision
    :raises ValueError: if the offset was folded already
    """
    if offset < state.next_offset:
        raise ValueError(f'offset {offset} is already folded')
    state.next_offset = offset + 1
    decision = _decide(state, offset, data)
    if decision.code:
        state.refusals[decision.code] = 1 + state.refusals.get(
            decision.code, 0
        )
    divergence.update_digest(state, decision)
    return decision


def _decide(state, offset, data):
    try:
        record = records.decode(data, state.rule_level)
    except errors.InvalidRecord as error:
        return _refuse_undecodable(state, offset, error)
    known = state.recent.get(record.record_id)
    if known is not None:
        # A duplicate by the log or by a retry of the writer has no effect.
        return attrs.evolve(known, code=REPEATED)
    log_time.advance(state, record)
    disruptions.record_activity(state, record.writer)
    decision = _decide_record(state, offset, record)
    _store_decision(state, record, decision)
    return decision


def _refuse_undecodable(state, offset, error):
    state.invalid_records += 1
    return state_module.Decision(
        offset=offset,
        record_id='',
        kind=divergence.INVALID_KIND,
        writer='',
        stamp_s=state.log_time_s,
        is_accepted=False,
        reason=str(error),
        code=error.reason,
    )


def _decide_record(state, offset, record):
    refusal, code = _run_rule(state, offset, record.body)
    return state_module.Decision(
        offset=offset,
        record_id=record.record_id,
        kind=type(record.body).__name__,
        writer=record.writer,
        stamp_s=record.stamp_s,
        is_accepted=refusal is None,
        reason=refusal or '',
        subject=_subject(record.body),
        code=code,
    )


def _run_rule(state, offset, body):
    try:
        refusal = _apply(body, state, offset)
    except Exception as error:
        # A defect in a rule hits every daemon at the same offset. Raising
        # would stop all of them there permanently.
        return f'the rule failed: {error!r:.200}', _RULE_FAILED
    return refusal, _REFUSED if refusal else ''


def _store_decision(state, record, decision):
    configuration.store_verdict(state, record.body, decision)
    state.recent[record.record_id] = decision
    if len(state.recent) > state_module.MAX_DECISIONS:
        del state.recent[next(iter(state.recent))]
    if not isinstance(record.body, _UNAUDITED):
        state.audit.append(decision)


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
    records.CheckpointWritten: members.note_checkpoint,
    records.LogRestarted: epochs.check_restart,
    records.HostReported: outages.report_host,
    records.DisruptionAsked: disruptions.ask,
    records.DisruptionStepped: disruptions.step,
    records.DisruptionTaken: disruptions.take,
    records.DisruptionEnded: disruptions.end,
    records.PermissionRenewed: disruptions.renew,
    records.RequestClaimed: claims.claim,
    records.ClaimReturned: claims.return_claim,
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
