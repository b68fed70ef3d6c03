"""Compute what no policy can beat, to hold beside what one reaches."""

import functools
import math

from . import budget

MAX_EXACT_HOSTS = 10


def roll_out_bound_s(state, hosts, away_s):
    """Return the least time in which budgets let hosts be worked on.

    :param hosts: the hosts of a wave
    :param away_s: seconds that each host is away at least
    """
    rounds = (
        math.ceil(count / budget.width(state, service))
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


def moves_bound(remaining_s, width, away_s, roll_out_s):
    """Return how many jobs had to move at least in a wave.

    A wave that takes a given time must stop its hosts early enough for each
    other; a job that runs longer than its host may be left can't stay. The
    best order is searched for few hosts; for many, each host counts as the
    last one.

    :param remaining_s: time left of each job at the start, for each host of
        one service
    :param width: hosts that may be away at once
    :param away_s: seconds that each host is away at least
    :param roll_out_s: how long the wave took
    """
    count = len(remaining_s)
    stops_s = [
        roll_out_s - away_s * math.ceil((count - place) / width)
        for place in range(count)
    ]
    if count > MAX_EXACT_HOSTS:
        return sum(_late(jobs, stops_s[-1]) for jobs in remaining_s)
    return _best_order(remaining_s, stops_s)


def _late(jobs_s, stop_s):
    return sum(1 for left_s in jobs_s if left_s > stop_s)


def _best_order(remaining_s, stops_s):
    everyone = (1 << len(remaining_s)) - 1

    @functools.cache
    def fewest(done):
        if done == everyone:
            return 0
        stop_s = stops_s[done.bit_count()]
        return min(
            _late(jobs_s, stop_s) + fewest(done | 1 << index)
            for index, jobs_s in enumerate(remaining_s)
            if not done >> index & 1
        )

    return fewest(0)
