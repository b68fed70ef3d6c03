"""Keep work off hosts that fail what other hosts of their pool run.

Evidence is halved with age, in log time.
"""

import attrs

from . import jobs
from . import pools

HALF_LIFE_S = 1800.0
MIN_FAILURES = 2.5
MIN_TRIED_ELSEWHERE = 2.5
# A host is suspect above its pool's failure rate times this, plus a margin.
RATE_FACTOR = 3.0
RATE_MARGIN = 0.3
FIRST_PROBE_S = 300.0
MAX_PROBE_S = 4 * 3600.0
PROBES_TO_RELEASE = 2


@attrs.frozen
class Evidence:
    """Count how tasks ended, halved with age.

    :ivar noted_s: log time that the counts are for
    """

    failures: float = 0.0
    successes: float = 0.0
    noted_s: float = 0.0

    def at(self, now_s):
        """Return the evidence as it counts at a later time."""
        share = 0.5 ** (max(0.0, now_s - self.noted_s) / HALF_LIFE_S)
        return Evidence(self.failures * share, self.successes * share, now_s)

    def with_end(self, is_failure):
        """Return the evidence with one more end."""
        if is_failure:
            return attrs.evolve(self, failures=self.failures + 1)
        return attrs.evolve(self, successes=self.successes + 1)

    @property
    def ends(self):
        """Return how many ends are counted."""
        return self.failures + self.successes

    def without(self, other):
        """Return the evidence without a part of it."""
        return attrs.evolve(
            self,
            failures=max(0.0, self.failures - other.failures),
            successes=max(0.0, self.successes - other.successes),
        )


@attrs.frozen
class Quarantine:
    """Keep a host from work until probes succeed.

    :ivar probe_s: log time from which one job at a time may try it
    :ivar wait_s: time until that, doubled by each failed probe
    """

    since_s: float
    probe_s: float
    wait_s: float
    successes: int = 0


def note(state, host, pool, is_failure):
    """Take in how a task ended on a host of a pool."""
    now_s = state.log_time_s
    there = _add(state.host_evidence, host, now_s, is_failure)
    everywhere = _add(state.pool_evidence, pool, now_s, is_failure)
    held = state.quarantines.get(host)
    if held is not None:
        # What was placed before the quarantine began is no probe.
        if now_s >= held.probe_s:
            _probed(state, host, held, is_failure)
    elif is_failure and _is_suspect(state, host, pool, there, everywhere):
        _begin(state, host, FIRST_PROBE_S)


def _add(kept, key, now_s, is_failure):
    kept[key] = kept.get(key, Evidence()).at(now_s).with_end(is_failure)
    return kept[key]


def _is_suspect(state, host, pool, there, everywhere):
    if there.failures < MIN_FAILURES:
        return False
    elsewhere = everywhere.without(there)
    # Tasks fail sooner than they end well, so those that run count as well.
    tried = elsewhere.ends + _running_elsewhere(state, host, pool)
    if tried < MIN_TRIED_ELSEWHERE:
        return False
    usual = elsewhere.failures / tried
    return there.failures / there.ends > RATE_FACTOR * usual + RATE_MARGIN


def _running_elsewhere(state, host, pool):
    return sum(
        job.status is not jobs.JobStatus.PLACED
        for other in pools.hosts_of(state, pool)
        if other != host
        for job in jobs.on_host(state, other)
    )


def _begin(state, host, wait_s):
    state.quarantines[host] = Quarantine(
        since_s=state.log_time_s,
        probe_s=state.log_time_s + wait_s,
        wait_s=wait_s,
    )


def _probed(state, host, held, is_failure):
    if is_failure:
        _begin(state, host, min(MAX_PROBE_S, 2 * held.wait_s))
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
