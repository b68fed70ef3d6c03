"""Leases on jobs: when they end, and when they are certain to have lapsed.

A worker stops a task at the end of its lease, by its own clock. The end is
computed from the log alone: the log time of the last record from the job's
holder, plus the duration of the lease. A daemon that was paused or is cut off
from the log therefore can't extend a lease beyond what others expect.
"""

from . import job_records

# Long jobs have to survive an outage of the log; urgent jobs have to be placed
# again soon after their host is lost.
LEASE_S = {
    job_records.JobUrgency.URGENT: 60.0,
    job_records.JobUrgency.LONG: 900.0,
}
CLOCK_SKEW_S = 5.0
HOLDER_RENEWAL_INTERVAL_S = 10.0
HOLDER_TIMEOUT_S = 30.0


def ends_s(state, job):
    """Return when the job's lease ends at its worker.

    An abandoned lease is no longer extended.
    """
    last_renewal_s = job.abandoned_s or state.holders.get(
        job.holder, job.placed_s
    )
    return last_renewal_s + LEASE_S[job.urgency]


def is_lapsed(state, job):
    """Return whether an abandoned lease is certain to have ended.

    The worker's clock may differ by up to ``CLOCK_SKEW_S``.
    """
    is_expired = state.log_time_s >= ends_s(state, job) + CLOCK_SKEW_S
    return bool(job.abandoned_s) and is_expired


def is_lost(state, holder):
    """Return whether a holder's jobs may be taken over by another daemon."""
    last_renewal_s = state.holders.get(holder, 0.0)
    is_silent = state.log_time_s >= last_renewal_s + HOLDER_TIMEOUT_S
    return holder not in state.members or is_silent


def renew_holder(state, holder):
    """Set the last renewal of a holder to the current log time."""
    state.holders[holder] = state.log_time_s


def remove_departed_holders(state):
    """Remove holders that are not members and hold no jobs."""
    gone = [
        holder
        for holder in state.holders
        if holder not in state.members and holder not in state.ledger.held
    ]
    for holder in gone:
        del state.holders[holder]
