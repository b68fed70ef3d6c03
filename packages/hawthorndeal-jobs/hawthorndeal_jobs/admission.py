"""Decide at once whether a submission could still be of use.

The loads: a backlog that can't be done before it has lost its value; an owner
that reads submissions more slowly than they arrive; and one that starts tasks
more slowly than they arrive, so that accepted jobs wait beside room. The
daemon that takes a call decides, without asking anyone, by what the owner has
published. A job is refused before anything of it is stored, so that it never
runs.
"""

import math

import attrs

from . import ordering

# An owner that hasn't read all submissions for this long is falling behind. A
# change of owners takes less.
MAX_OWNER_DELAY_S = 4.0
# No job is accepted that would wait so long for a start, whatever its value:
# callers count a job as lost that has nothing running beside room for 3 s, and
# the reports lag behind.
MAX_START_WAIT_S = 1.0
# What is published of the load holds for this long.
MAX_REPORT_AGE_S = 3.0
# Waits are published in multiples of this, so that small changes cost nothing.
WAIT_STEP_S = 0.5
# Callers that are sent back return within this multiple of the delay.
SPREAD = 0.5
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@attrs.frozen
class PoolForecast:
    """How long new jobs will wait for hosts of a pool.

    :ivar wait_s: wait of a job within the share of its workspace
    :ivar beyond_wait_s: wait of a job beyond it
    """

    wait_s: float = 0.0
    beyond_wait_s: float = 0.0


@attrs.frozen
class LoadReport:
    """What an owner tells the daemons about its load.

    :ivar pools: forecasts by pool; no entry where nothing waits
    :ivar beyond_share: workspaces that have used up their share
    :ivar start_wait_s: how long new jobs will wait for a start, beside room
    """

    pools: dict[str, PoolForecast] = attrs.Factory(dict)
    beyond_share: tuple[str, ...] = ()
    start_wait_s: float = 0.0

    @property
    def has_waits(self):
        """Whether jobs have to wait for anything."""
        return bool(self.pools or self.start_wait_s)


@attrs.frozen
class Refusal:
    """Why a job is refused, and when to return.

    :ivar is_overload: whether the pool has too much work; otherwise the owner
        is behind
    """

    detail: str
    retry_after_s: float
    is_overload: bool


def forecast(loads, standby_hosts, beyond_share, start_wait_s=0.0):
    """Return the report of the loads of all pools.

    Hosts on their way and on standby count as hosts of each pool: a job is
    refused only if they can't help it either.

    :param loads: :class:`capacity.PoolLoad` of each pool
    :param standby_hosts: number of hosts on standby; they have no executors,
        so that no load counts them
    :param beyond_share: workspaces that have used up their share
    :param start_wait_s: how long new jobs will wait for a start, beside room
    """
    pools = {}
    for load in loads:
        hosts = max(1, load.hosts + load.arriving + standby_hosts)
        waits = PoolForecast(
            _rounded(load.waiting_host_s / hosts),
            _rounded((load.waiting_host_s + load.late_waiting_host_s) / hosts),
        )
        if waits.beyond_wait_s:
            pools[load.pool] = waits
    return LoadReport(
        pools,
        tuple(sorted(beyond_share)) if pools else (),
        # A shorter wait refuses no job, and would only be stored often.
        _rounded(start_wait_s) if start_wait_s >= MAX_START_WAIT_S else 0.0,
    )


def _rounded(wait_s):
    return math.floor(wait_s / WAIT_STEP_S) * WAIT_STEP_S


def check_owner(delay_s, is_unread, rng):
    """Return a refusal if the owner is behind, or None.

    :param delay_s: how long ago all submissions were known to be read; None
        if it isn't known
    :param is_unread: whether the owner can't read where the job would be
        stored
    """
    if is_unread:
        detail = 'the owner can not read where the job would be stored'
    elif delay_s is not None and delay_s > MAX_OWNER_DELAY_S:
        detail = f'the owner has not read all submissions for {delay_s:.1f} s'
    else:
        return None
    return Refusal(detail, _spread(MIN_RETRY_AFTER_S, rng), is_overload=False)


def check_pool(report, queue, workspace, spec, rng):
    """Return a refusal if a job would have to wait for too long, or None.

    Long-running tasks never lose their value, and scheduled jobs may be due
    much later.

    :param report: the newest :class:`LoadReport`, or None if it is too old
    :param queue: the job's :class:`queues.Queue`
    """
    if report is None or spec.repetitions:
        return None
    if any(step.is_lasting for step in spec.steps):
        return None
    return _check_starts(report, rng) or _check_hosts(
        report, queue, workspace, spec, rng
    )


def _check_starts(report, rng):
    """Return a refusal if a job would wait too long beside room, or None."""
    wait_s = report.start_wait_s
    # A malformed report may hold what isn't a number.
    if not wait_s >= MAX_START_WAIT_S:
        return None
    return Refusal(
        f'a job would wait {wait_s:.1f} s for its start',
        _retry_after_s(wait_s - MAX_START_WAIT_S, rng),
        is_overload=False,
    )


def _check_hosts(report, queue, workspace, spec, rng):
    """Return a refusal if a job would have lost its value by its end."""
    waits = report.pools.get(queue.pool)
    if waits is None:
        return None
    is_beyond = workspace in report.beyond_share
    wait_s = waits.beyond_wait_s if is_beyond else waits.wait_s
    cutoff_s = ordering.CUTOFF_FACTOR * ordering.objective_s(queue, spec)
    late_s = wait_s + spec.critical_path_s - cutoff_s
    if not late_s > 0.0:
        return None
    return Refusal(
        f'a job of {queue.name} would wait {wait_s:.1f} s for a host',
        _retry_after_s(late_s, rng),
        is_overload=True,
    )


def _retry_after_s(late_s, rng):
    limited_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, late_s))
    return _spread(limited_s, rng)


def _spread(delay_s, rng):
    return delay_s * (1.0 + rng.uniform(0.0, SPREAD))
