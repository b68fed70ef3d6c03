"""Lower bounds on the cost of a wave, to compare policies against."""

import functools
import math

from . import budget

MAX_EXACT_HOSTS = 10


def roll_out_bound_s(state, hosts, away_s):
    """Return the least time in which budgets allow a wave to complete.

    :param hosts: hosts of the wave
    :param away_s: minimum downtime of each host, in seconds
    """
    rounds = (
        math.ceil(count / budget.disruptable_executors(state, service))
        for service, count in _executors(state, hosts).items()
        if budget.budget_of(state.fleet, service) is not None
    )
    return max(rounds, default=1) * away_s


def _executors(state, hosts):
    counts = {}
    for host in hosts:
        for service, count in budget.executors_on(state, host).items():
            counts[service] = counts.get(service, 0) + count
    return counts


def moves_bound(remaining_s, max_concurrent_hosts, away_s, roll_out_s):
    """Return the least number of jobs that a wave had to move.

    The duration of a wave limits how late each of its hosts can be stopped. A
    job that would run beyond the stop of its host has to move. For few hosts,
    the best order is found by an exact search. For many, every host is
    assumed to be the last one, which gives a weaker bound.

    :param remaining_s: remaining run times of the jobs at the start, one list
        for each host of one service
    :param max_concurrent_hosts: hosts that may be down at the same time
    :param away_s: minimum downtime of each host, in seconds
    :param roll_out_s: duration of the wave, in seconds
    """
    count = len(remaining_s)
    stops_s = [
        roll_out_s
        - away_s * math.ceil((count - position) / max_concurrent_hosts)
        for position in range(count)
    ]
    if count > MAX_EXACT_HOSTS:
        return sum(_count_moved(jobs, stops_s[-1]) for jobs in remaining_s)
    return _min_moves(remaining_s, stops_s)


def _count_moved(jobs_s, stop_s):
    return sum(1 for job_remaining_s in jobs_s if job_remaining_s > stop_s)


def _min_moves(remaining_s, stops_s):
    all_hosts = (1 << len(remaining_s)) - 1

    @functools.cache
    def min_moves_from(done):
        if done == all_hosts:
            return 0
        stop_s = stops_s[done.bit_count()]
        return min(
            _count_moved(jobs_s, stop_s) + min_moves_from(done | 1 << index)
            for index, jobs_s in enumerate(remaining_s)
            if not done >> index & 1
        )

    return min_moves_from(0)
