"""How long the right to run a job lasts, and when it has surely lapsed.

A worker stops a task at the end of its lease, by its own clock. The end is
worked out from the log alone: the time at which the job's holder was heard
last, plus the lease. So a daemon that was paused, or is cut off from the
log, can't extend a lease beyond what everyone else expects.
"""

from . import job_records

# Long work outlives an outage of the log; urgent work is placed again soon
# after its host is lost.
LEASE_S = {
    job_records.JobUrgency.URGENT: 60.0,
    job_records.JobUrgency.LONG: 900.0,
}
CLOCK_SKEW_S = 5.0
HOLDER_RENEW_S = 10.0
HOLDER_LAPSE_S = 30.0


def ends_s(state, job):
    """Return when the job's lease ends at its worker.

    An abandoned lease is not extended any more.
    """
    heard_s = job.abandoned_s or state.holders.get(job.holder, job.placed_s)
    return heard_s + LEASE_S[job.urgency]


def is_lapsed(state, job):
    """Tell whether an abandoned lease has surely ended at the worker."""
    is_over = state.log_time_s >= ends_s(state, job) + CLOCK_SKEW_S
    return bool(job.abandoned_s) and is_over


def is_lost(state, holder):
    """Tell whether a holder's jobs may be taken by another daemon."""
    heard_s = state.holders.get(holder, 0.0)
    is_silent = state.log_time_s >= heard_s + HOLDER_LAPSE_S
    return holder not in state.members or is_silent


def note_holder(state, holder):
    """Note that a holder was heard at the log time of now."""
    state.holders[holder] = state.log_time_s


def forget_holders(state):
    """Forget holders that left and have no jobs."""
    gone = [
        holder
        for holder in state.holders
        if holder not in state.members and holder not in state.ledger.held
    ]
    for holder in gone:
        del state.holders[holder]
