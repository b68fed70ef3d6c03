"""Quarantine hosts that fail tasks far more often than their pool.

Counts of results decay exponentially in log time.
"""

import attrs

from . import jobs
from . import pools

HALF_LIFE_S = 1800.0
MIN_FAILURES = 2.5
MIN_TRIED_ELSEWHERE = 2.5
# A host is suspect if its failure rate exceeds that of the other hosts of its
# pool times this factor, plus a margin.
RATE_FACTOR = 3.0
RATE_MARGIN = 0.3
FIRST_PROBE_S = 300.0
MAX_PROBE_S = 4 * 3600.0
PROBES_TO_RELEASE = 2


@attrs.frozen
class Evidence:
    """Exponentially decayed counts of task results.

    :ivar noted_s: log time to which the counts are decayed
    """

    failures: float = 0.0
    successes: float = 0.0
    noted_s: float = 0.0

    def decayed_to(self, now_s):
        """Return the counts decayed to a later time."""
        share = 0.5 ** (max(0.0, now_s - self.noted_s) / HALF_LIFE_S)
        return Evidence(self.failures * share, self.successes * share, now_s)

    def with_result(self, is_failure):
        """Return the counts with one more result."""
        if is_failure:
            return attrs.evolve(self, failures=self.failures + 1)
        return attrs.evolve(self, successes=self.successes + 1)

    @property
    def total(self):
        """Return the total number of results."""
        return self.failures + self.successes

    def minus(self, other):
        """Return the counts less another's, each at least 0."""
        return attrs.evolve(
            self,
            failures=max(0.0, self.failures - other.failures),
            successes=max(0.0, self.successes - other.successes),
        )


@attrs.frozen
class Quarantine:
    """Exclusion of a host from placement until probes succeed.

    :ivar probe_s: log time from which single jobs are placed as probes
    :ivar wait_s: delay until then, doubled by each failed probe
    """

    since_s: float
    probe_s: float
    wait_s: float
    successes: int = 0


def note(state, host, pool, is_failure):
    """Record the result of a task on a host of a pool."""
    now_s = state.log_time_s
    host_counts = _add(state.host_evidence, host, now_s, is_failure)
    pool_counts = _add(state.pool_evidence, pool, now_s, is_failure)
    held = state.quarantines.get(host)
    if held is not None:
        # Tasks that end before the probe time were placed before the
        # quarantine began.
        if now_s >= held.probe_s:
            _note_probe(state, host, held, is_failure)
    elif is_failure and _is_suspect(
        state, host, pool, host_counts, pool_counts
    ):
        _start_quarantine(state, host, FIRST_PROBE_S)


def _add(table, key, now_s, is_failure):
    table[key] = (
        table.get(key, Evidence()).decayed_to(now_s).with_result(is_failure)
    )
    return table[key]


def _is_suspect(state, host, pool, host_counts, pool_counts):
    if host_counts.failures < MIN_FAILURES:
        return False
    rest_of_pool = pool_counts.minus(host_counts)
    # Tasks fail sooner than they succeed, so running ones count as samples.
    sample_count = rest_of_pool.total + _running_elsewhere(state, host, pool)
    if sample_count < MIN_TRIED_ELSEWHERE:
        return False
    pool_failure_rate = rest_of_pool.failures / sample_count
    return (
        host_counts.failures / host_counts.total
        > RATE_FACTOR * pool_failure_rate + RATE_MARGIN
    )


def _running_elsewhere(state, host, pool):
    return sum(
        job.status is not jobs.JobStatus.PLACED
        for other in pools.hosts_of(state, pool)
        if other != host
        for job in jobs.on_host(state, other)
    )


def _start_quarantine(state, host, wait_s):
    state.quarantines[host] = Quarantine(
        since_s=state.log_time_s,
        probe_s=state.log_time_s + wait_s,
        wait_s=wait_s,
    )


def _note_probe(state, host, held, is_failure):
    if is_failure:
        _start_quarantine(state, host, min(MAX_PROBE_S, 2 * held.wait_s))
    elif held.successes + 1 >= PROBES_TO_RELEASE:
        del state.quarantines[host]
        state.host_evidence.pop(host, None)
    else:
        state.quarantines[host] = attrs.evolve(
            held, successes=held.successes + 1
        )


def refuse(state, host, is_urgent):
    """Return why a quarantine keeps a job off a host, or None."""
    held = state.quarantines.get(host)
    if held is None:
        return None
    if is_urgent or state.log_time_s < held.probe_s:
        return f'host {host!r} is in quarantine'
    if state.ledger.on_host.get(host):
        return f'host {host!r} is being probed'
    return None
