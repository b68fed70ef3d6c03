"""Tells what stood, and what the owner's log says beside it."""

import collections
import statistics

import attrs

from . import beside_room
from . import daemon_logs
from . import events
from . import load

LOG_KINDS = (
    daemon_logs.OWNER_EVENT,
    'owner_lost',
    'step_standing',
    'steps_standing',
    'loop_late',
    'late_work_held',
    'cycle_slow',
    'lines_left_out',
)
# Events that are shown one by one.
SHOWN_KINDS = (daemon_logs.OWNER_EVENT, 'owner_lost', 'late_work_held')
# Lines for single cases, the longest first.
MAX_CASES_PER_POOL = 10
# Period of the lines that tell how many cases stand.
SUMMARY_PERIOD_S = 2.0
# Log lines that belong to a case may follow it by so much.
LOG_LAG_S = 0.6
THRESHOLDS_S = (1.5, 2.0, 3.0, 5.0)


@attrs.frozen
class Findings:
    """What a run has shown.

    :ivar judge: the judge, after all events
    :ivar log: events of the daemons' logs, in the order of their times
    :ivar starts_per_s: number of starts in each second with any
    :ivar answers: number of jobs by pool and last answer
    :ivar ended: number of runs by how they ended
    :ivar late_s: by stand-in, for how long it was held up each time
    """

    judge: beside_room.Judge
    log: list
    starts_per_s: list[int]
    answers: collections.Counter
    ended: collections.Counter
    late_s: dict[str, list[float]]

    @property
    def cases(self):
        """What stood for longer than the limit."""
        return self.judge.cases


def examine(deployment):
    """Judge a run that is over."""
    recorded = events.read(deployment.event_paths)
    judge = beside_room.Judge({p.name: p.max_attempts for p in load.POOLS})
    judge.follow(recorded)
    pool_of = {
        event.subject: event.fields['pool']
        for event in recorded
        if event.kind is events.Kind.SUBMITTED
    }
    answers = (
        events.Kind.ACCEPTED,
        events.Kind.REFUSED,
        events.Kind.UNANSWERED,
    )
    late_s = collections.defaultdict(list)
    for event in recorded:
        if event.kind is events.Kind.LATE:
            late_s[event.subject].append(event.fields['late_s'])
    starts = collections.Counter(
        int(event.time_s)
        for event in recorded
        if event.kind is events.Kind.STARTED
    )
    return Findings(
        judge,
        daemon_logs.read_all(
            [daemon.log_path for daemon in deployment.daemons], LOG_KINDS
        ),
        [starts[second] for second in sorted(starts)],
        collections.Counter(
            f'{pool_of[event.subject]} {event.kind}'
            for event in recorded
            if event.kind in answers
        ),
        collections.Counter(
            event.fields['how']
            for event in recorded
            if event.kind is events.Kind.ENDED
        ),
        dict(late_s),
    )


def lines(deployment, findings):
    """Yield the lines of the report."""
    yield from _load_lines(deployment, findings)
    yield from _usage_lines(deployment, findings)
    yield from _owner_lines(deployment, findings)
    yield from _case_lines(deployment, findings)
    yield f'logs and events: {deployment.directory}'


def _load_lines(deployment, findings):
    yield f'jobs: {_counts(findings.answers)}'
    yield f'runs ended: {_counts(findings.ended)}'
    per_s = findings.starts_per_s
    if per_s:
        yield (
            f'starts: {sum(per_s)}, at most {max(per_s)} in a second, '
            f'median {statistics.median(per_s):.0f}; '
            f'beyond an executor: {findings.judge.overfull}'
        )
    yield f'moves of machines: {deployment.hosts.moves}'
    yield f'calls to the store: {_counts(deployment.store_calls)}'


def _usage_lines(deployment, findings):
    use, peak_mb = deployment.usage.processor, deployment.usage.peak_mb
    owners = {
        row['daemon']
        for row in findings.log
        if row['event'] == daemon_logs.OWNER_EVENT
    }
    names = {daemon.name for daemon in deployment.daemons}
    for name, of_process in sorted(use.items()):
        if name in owners or name not in names:
            yield (
                f'{name}: ran {of_process.used_s:.0%} of the traffic, '
                f'waited for a processor {of_process.waited_s:.0%}'
            )
    others = [
        of_process
        for name, of_process in use.items()
        if name in names - owners
    ]
    if others:
        used = statistics.mean(of_process.used_s for of_process in others)
        waited = statistics.mean(of_process.waited_s for of_process in others)
        yield (
            f'each of {len(others)} other daemons: ran {used:.1%}, '
            f'waited for a processor {waited:.1%}'
        )
    for name, delays_s in sorted(findings.late_s.items()):
        yield (
            f'{name}: held up {len(delays_s)} times, '
            f'for {max(delays_s):.2f} s at most'
        )
    if peak_mb:
        yield (
            f'memory: {sum(peak_mb.values()):.0f} MB in all, '
            f'at most {max(peak_mb.values()):.0f} MB in a process'
        )


def _owner_lines(deployment, findings):
    begun_s = deployment.traffic_begun_s
    for row in findings.log:
        if row['event'] in SHOWN_KINDS:
            detail = row.get('why') or row.get('pools', '')
            at_s = row['time_s'] - begun_s
            yield f'{at_s:7.1f} s {row["daemon"]} {row["event"]} {detail}'
    yield _distribution(findings, 'loop_late', 'late_s')
    yield _distribution(findings, 'cycle_slow', 'planning_s')
    standing = collections.defaultdict(dict)
    for row in findings.log:
        if row['event'] == 'step_standing':
            longest_s = standing[row['pool'], row['obstacle']]
            key = row['job'], row['step']
            longest_s[key] = max(row['waited_s'], longest_s.get(key, 0.0))
    for (pool, obstacle), longest_s in sorted(standing.items()):
        yield (
            f'logged as standing in {pool}: {obstacle}, {len(longest_s)} '
            f'steps, up to {max(longest_s.values()):.1f} s'
        )
    at_once = [
        row['steps']
        for row in findings.log
        if row['event'] == 'steps_standing'
    ]
    if at_once:
        yield f'logged as standing at once: at most {max(at_once)} steps'


def _distribution(findings, kind, field):
    values = sorted(row[field] for row in findings.log if row['event'] == kind)
    if not values:
        return f'{kind}: none'
    middle = statistics.median(values)
    return (
        f'{kind}: {len(values)} times, median {middle:.2f} s, '
        f'most {values[-1]:.2f} s'
    )


def _case_lines(deployment, findings):
    longest_s = findings.judge.longest_s.values()
    yield 'jobs beside room by the longest time: ' + ', '.join(
        f'{sum(waited_s >= limit_s for waited_s in longest_s)} for {limit_s} s'
        for limit_s in THRESHOLDS_S
    )
    begun_s = deployment.traffic_begun_s
    by_pool = collections.defaultdict(list)
    for case in findings.cases:
        by_pool[case.pool].append(case)
    calm = len(findings.judge.calm_cases())
    yield f'cases: {len(findings.cases)}, of them {calm} calm'
    for pool, cases in sorted(by_pool.items()):
        longest_s = max(case.waited_s for case in cases)
        lasting = sum(bool(case.task) for case in cases)
        yield (
            f'{pool}: {len(cases)} cases up to {longest_s:.1f} s, '
            f'{lasting} of them of long-running tasks'
        )
        yield from _second_lines(cases, findings.log, begun_s)
        cases.sort(key=lambda case: -case.waited_s)
        for case in cases[:MAX_CASES_PER_POOL]:
            yield _case_line(case, findings.log, begun_s)


def _second_lines(cases, log, begun_s):
    """Yield how many cases stand at times, and what the log tells then."""
    first_s = min(case.since_s for case in cases)
    last_s = max(case.until_s for case in cases)
    pool = cases[0].pool
    for number in range(int((last_s - first_s) / SUMMARY_PERIOD_S) + 1):
        at_s = first_s + number * SUMMARY_PERIOD_S
        standing = sum(c.since_s <= at_s <= c.until_s for c in cases)
        if not standing:
            continue
        told = collections.Counter()
        for row in log:
            if (
                row['event'] == 'steps_standing'
                and at_s <= row['time_s'] < at_s + SUMMARY_PERIOD_S
            ):
                told = _largest(told, row['by_pool'], pool)
        yield (
            f'  at {at_s - begun_s:5.1f} s: {standing} stand; '
            f'log: {_counts(told) or "none"}'
        )


def _largest(told, by_pool, pool):
    """Return the largest numbers of steps by obstacle in a pool."""
    names = {
        key.removeprefix(f'{pool} '): steps
        for key, steps in by_pool.items()
        if key.startswith(f'{pool} ')
    }
    return told | collections.Counter(names)


def _case_line(case, log, begun_s):
    told = [row for row in log if _is_beside(row, case)]
    obstacles = collections.Counter(
        row['obstacle']
        for row in told
        if row['event'] == 'step_standing' and row['job'] == case.job_id
    )
    late_s = [row['late_s'] for row in told if row['event'] == 'loop_late']
    return (
        f'  {case.since_s - begun_s:6.1f} s for {case.waited_s:4.1f} s '
        f'{case.task or case.job_id}: log says '
        f'{_counts(obstacles) or "nothing of it"}; '
        f'loop late by at most {max(late_s, default=0.0):.1f} s'
    )


def _is_beside(row, case):
    return case.since_s <= row['time_s'] <= case.until_s + LOG_LAG_S


def _counts(counter):
    return ', '.join(f'{key} {n}' for key, n in sorted(counter.items()))
