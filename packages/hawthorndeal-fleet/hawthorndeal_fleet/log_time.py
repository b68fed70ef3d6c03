"""Derive log time from the timestamps of records."""

from . import state as state_module

# A correct clock is at most this far ahead of log time between two records of
# other writers.
MAX_STAMP_AHEAD_S = 3600.0


def advance(state, record):
    """Advance log time to a record's stamp, unless it is implausibly late.

    A stamp far ahead of log time counts only once another member has sent one
    that is also far ahead. Otherwise a single wrong clock would expire all
    time windows. A lone member needs no confirmation.
    """
    if state.log_time_s == 0.0 or not _is_far_ahead(state, record.stamp_s):
        state.log_time_s = max(state.log_time_s, record.stamp_s)
        return
    if record.writer not in state.members:
        return
    if len(state.members) == 1:
        state.log_time_s = record.stamp_s
        return
    _confirm_stamp(state, record)


def _is_far_ahead(state, stamp_s):
    return stamp_s > state.log_time_s + MAX_STAMP_AHEAD_S


def _confirm_stamp(state, record):
    pending = state.pending_stamp
    if pending is not None and pending.writer != record.writer:
        state.log_time_s = max(
            state.log_time_s, min(pending.stamp_s, record.stamp_s)
        )
        state.pending_stamp = None
    if _is_far_ahead(state, record.stamp_s):
        state.pending_stamp = state_module.PendingStamp(
            record.writer, record.stamp_s
        )
