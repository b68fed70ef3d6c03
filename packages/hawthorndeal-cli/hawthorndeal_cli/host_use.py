"""Measures what the hosts in pools were used for, from log lines."""

import collections
import itertools

import attrs

from . import log_history

MOVING = 'on its way, or in maintenance'
FINITE = 'runs that end by themselves'
LASTING = 'long-running tasks only'
IDLE_BEFORE = 'idle before its first run'
IDLE_BETWEEN = 'idle between runs'
IDLE_AFTER = 'idle after its last run'
UNUSED = 'no run at all'


@attrs.define
class _Stay:
    """A host's stay in a pool, with at most one executor.

    :ivar ordered_s: when it was ordered there, or was found there
    :ivar found_s: when its executor was found; None if none was
    :ivar end_s: when it left the pool, or its executor ended
    """

    pool: str
    ordered_s: float
    executor: str = ''
    found_s: float | None = None
    end_s: float | None = None


@attrs.frozen
class HostUse:
    """What hosts outside of standby were used for.

    :ivar seconds: host-seconds by use
    :ivar moves: number of moves by kind
    """

    seconds: dict[str, float]
    moves: dict[str, int]


def measure(lines, history):
    """Return what the hosts were used for.

    :rtype: HostUse
    """
    standby = history.standby_pools
    stays, moves = _read_stays(lines, standby)
    runs = collections.defaultdict(list)
    for run in history.runs:
        runs[run.executor].append(run)
    seconds = collections.Counter()
    for stay in stays:
        if stay.pool in standby:
            continue
        end_s = history.end_s if stay.end_s is None else stay.end_s
        for span in _uses(stay, end_s, runs[stay.executor], history):
            seconds[span.label] += span.length_s
    return HostUse(dict(seconds.most_common()), dict(moves.most_common()))


def _read_stays(lines, standby):
    stays, current, moves = [], {}, collections.Counter()
    for line in lines:
        fields, time_s = line.fields, line.time_s
        if line.event == 'executor_found':
            _note_found(fields, time_s, stays, current)
        elif line.event == 'host_moved' and fields.get('outcome') == 'done':
            before = current.get(fields['host'])
            if before is not None and before.end_s is None:
                before.end_s = time_s
            stay = _Stay(fields['to_pool'], time_s)
            current[fields['host']] = stay
            stays.append(stay)
            moves[_kind_of_move(fields, standby)] += 1
        elif line.event == 'executor_gone':
            _note_gone(fields, time_s, stays, current)
    return stays, moves


def _note_found(fields, time_s, stays, current):
    host, executor = fields['host'], fields['executor']
    stay = current.get(host)
    if stay is not None and stay.executor == executor:
        return
    if stay is None or stay.executor:
        stay = _Stay(fields['pool'], time_s)
        current[host] = stay
        stays.append(stay)
    stay.executor, stay.found_s = executor, time_s


def _note_gone(fields, time_s, stays, current):
    stay = current.get(fields.get('host'))
    is_current = stay is not None and stay.executor == fields['executor']
    if not is_current or stay.end_s is not None:
        return
    stay.end_s = time_s
    if fields.get('departure') == 'planned':
        # It is in maintenance, and stays in its pool.
        following = _Stay(stay.pool, time_s)
        current[fields['host']] = following
        stays.append(following)


def _kind_of_move(fields, standby):
    if fields['from_pool'] in standby:
        return 'from standby'
    if fields['to_pool'] in standby:
        return 'to standby'
    return 'from pool to pool'


def _uses(stay, end_s, runs, history):
    """Yield the spans of a stay, by use."""
    Span = log_history.Span
    if stay.found_s is None:
        yield Span(stay.ordered_s, end_s, MOVING)
        return
    yield Span(stay.ordered_s, stay.found_s, MOVING)
    finite = _union(r for r in runs if not _is_lasting(r, history))
    lasting = _union(r for r in runs if _is_lasting(r, history))
    spans = sorted(
        itertools.chain(finite, lasting), key=lambda span: span.begin_s
    )
    if not spans:
        yield Span(stay.found_s, end_s, UNUSED)
        return
    first_s = spans[0].begin_s
    last_s = min(end_s, max(span.end_s for span in spans))
    yield Span(stay.found_s, first_s, IDLE_BEFORE)
    yield Span(last_s, end_s, IDLE_AFTER)
    finite_s = _total_s(finite, stay.found_s, end_s)
    busy_s = _total_s(_merge(spans), stay.found_s, end_s)
    idle_s = max(0.0, last_s - first_s - busy_s)
    # Only their lengths count.
    yield Span(0.0, finite_s, FINITE)
    yield Span(0.0, busy_s - finite_s, LASTING)
    yield Span(0.0, idle_s, IDLE_BETWEEN)


def _is_lasting(run, history):
    job = history.jobs.get(run.job_id)
    return job is not None and job.is_lasting


def _union(runs):
    return _merge(
        log_history.Span(
            run.started_s,
            float('inf') if run.ended_s is None else run.ended_s,
        )
        for run in runs
    )


def _merge(spans):
    merged = []
    for span in sorted(spans, key=lambda span: span.begin_s):
        if merged and span.begin_s <= merged[-1].end_s:
            end_s = max(merged[-1].end_s, span.end_s)
            merged[-1] = attrs.evolve(merged[-1], end_s=end_s)
        else:
            merged.append(span)
    return merged


def _total_s(spans, begin_s, end_s):
    return sum(span.clip(begin_s, end_s).length_s for span in spans)
