"""Decide what the log's time is, from the stamps of its records."""

from . import state as state_module

# An honest clock is at most this far ahead of the log's time between two
# records of other writers.
MAX_STAMP_AHEAD_S = 3600.0


def advance(state, record):
    """Follow a record's stamp, unless it is far ahead and unconfirmed.

    A stamp far ahead counts only once another member shows one as far, else
    one wrong clock would empty every window. A daemon that is alone has
    nobody to confirm it.
    """
    if state.log_time_s == 0.0 or not _is_far(state, record.stamp_s):
        state.log_time_s = max(state.log_time_s, record.stamp_s)
        return
    if record.writer not in state.members:
        return
    if len(state.members) == 1:
        state.log_time_s = record.stamp_s
        return
    _confirm(state, record)


def _is_far(state, stamp_s):
    return stamp_s > state.log_time_s + MAX_STAMP_AHEAD_S


def _confirm(state, record):
    pending = state.pending_stamp
    if pending is not None and pending.writer != record.writer:
        state.log_time_s = max(
            state.log_time_s, min(pending.stamp_s, record.stamp_s)
        )
        state.pending_stamp = None
    if _is_far(state, record.stamp_s):
        state.pending_stamp = state_module.PendingStamp(
            record.writer, record.stamp_s
        )
