"""Steps for loads of jobs on one pool, played in simulated time."""

import functools
from unittest import mock

from behave import then
from behave import when

from hawthorndeal_jobs import arrival_shares
from hawthorndeal_jobs import ordering
from stage import limited_starts
from stage import queue_load
from stage import shared_load
from stage import turns_load

SEEDS = (1, 2, 3)
TURNS_SEEDS = (1, 2)
LIMITED_SEEDS = (1, 2, 3)
# Jobs that wait beside room for longer count as lost.
BESIDE_ROOM_S = 3.0
TENTH = 10
# Mean run time in seconds, and cores, of the tasks of each pool.
KINDS = ((0.64, 1.5), (1.3, 3.3), (0.64, 1.5), (1.3, 3.3))

_SIMPLE_ORDERS = {
    'the oldest job': lambda step, now_s, factor=1.0: (
        step.occurrence.job.accepted_s,
        step.number,
    ),
    'the earliest objective': lambda step, now_s, factor=1.0: (
        step.objective_s,
    ),
    'the latest possible start': lambda step, now_s, factor=1.0: (
        now_s > step.objective_s - step.remaining_path_s,
        step.objective_s - step.remaining_path_s,
    ),
}


@functools.cache
def _play(load, seconds, order=None):
    rank = _SIMPLE_ORDERS.get(order, ordering.rank)
    played = []
    with mock.patch.object(ordering, 'rank', rank):
        for seed in SEEDS:
            pool = queue_load.QueueLoad(seed)
            pool.submit_burst(load, seconds)
            pool.run()
            played += pool.played.values()
    return played


def _work_in_time(played):
    return sum(p.work for p in played if p.is_in_time)


def _share_in_time(played):
    return sum(p.is_in_time for p in played) / len(played)


@when(
    'jobs arrive for {seconds:g} seconds at {load:g} times the capacity of '
    'their pool'
)
def play_load(context, seconds, load):
    context.load, context.seconds = load, seconds
    context.pools = [*getattr(context, 'pools', ()), _play(load, seconds)]


@when('the same jobs arrive at a pool that places {order} first')
def play_simple_order(context, order):
    context.pools.append(_play(context.load, context.seconds, order))


@then("the second pool did at least {share:g} of the first one's work in time")
def check_work_in_time(context, share):
    first, second = map(_work_in_time, context.pools)
    assert second >= share * first, (first, second)


@then(
    "the first pool did at least {times:g} times the second one's work in time"
)
def check_gain(context, times):
    first, second = map(_work_in_time, context.pools)
    assert first >= times * second, (first, second)


@then('the largest tenth of the jobs is in time half as often as all, or more')
def check_large_jobs(context):
    (played,) = context.pools
    by_size = sorted(played, key=lambda p: p.work)
    largest = by_size[-len(by_size) // TENTH :]
    found = _share_in_time(largest), _share_in_time(played)
    assert found[0] >= found[1] / 2, found


@then('at least {share:g} of the jobs are in time')
def check_share_in_time(context, share):
    (played,) = context.pools
    found = _share_in_time(played)
    assert found >= share, found


@when(
    'bursts of {peak:g} times the capacity of {hosts:d} hosts follow each '
    'other in {pools:d} pools'
)
def play_turns(context, peak, hosts, pools):
    context.pools, context.beside_room = [], []
    for seed in TURNS_SEEDS:
        load = turns_load.TurnsLoad(seed, KINDS[:pools], hosts, peak)
        load.run()
        context.pools += load.played.values()
        context.beside_room.append(load.beside_room)


@then(
    'no job has nothing running for {limit_s:g} seconds while its pool has '
    'room'
)
def check_none_beside_room(context, limit_s):
    found = [
        case
        for beside_room in context.beside_room
        for case in beside_room.longer_than(limit_s)
    ]
    assert not found, (len(found), found[:3])


@then(
    "each pool's share of work in time is half as large as that of all, or "
    'more'
)
def check_pools(context):
    played = context.pools
    share = _work_in_time(played) / sum(p.work for p in played)
    pools = {p.job.pool for p in played}
    shares = {}
    for pool in sorted(pools):
        in_pool = [p for p in played if p.job.pool == pool]
        shares[pool] = _work_in_time(in_pool) / sum(p.work for p in in_pool)
    assert min(shares.values()) >= share / 2, (share, shares)


@functools.cache
def _play_shared(hosts, usual, seconds, hot, factor):
    loads = []
    for seed in TURNS_SEEDS:
        load = shared_load.SharedLoad(seed, usual, hot, factor, hosts)
        load.submit_all(seconds)
        load.run()
        loads.append(load)
    return loads


def _share_of_others(loads, hot):
    shares = [
        load.served_share(lambda p: p.job.workspace not in hot)
        for load in loads
    ]
    return sum(shares) / len(shares)


@when(
    '10 workspaces load a pool of {hosts:d} hosts at {usual:g} of its '
    'capacity for {seconds:g} seconds'
)
def set_usual_load(context, hosts, usual, seconds):
    context.usual, context.seconds, context.hosts = usual, seconds, hosts


@when('{hot:d} of them send {factor:g} times their usual')
def play_shared(context, hot, factor):
    context.hot, context.factor = hot, factor
    context.loads = _play_shared(
        context.hosts, context.usual, context.seconds, hot, factor
    )


@then(
    'the others got at least {share:g} of the work in time that they got '
    'without it'
)
def check_others(context, share):
    hot = context.loads[0].hot
    before = _play_shared(
        context.hosts, context.usual, context.seconds, 0, 1.0
    )
    found = _share_of_others(context.loads, hot), _share_of_others(before, hot)
    assert found[0] >= share * found[1], found


@then('more than they got without shares')
def check_shares(context):
    hot = context.loads[0].hot
    with mock.patch.object(
        arrival_shares.ArrivalShares, 'note', autospec=True
    ):
        without = _play_shared.__wrapped__(
            context.hosts,
            context.usual,
            context.seconds,
            context.hot,
            context.factor,
        )
    found = (
        _share_of_others(context.loads, hot),
        _share_of_others(without, hot),
    )
    assert found[0] > found[1], found


@then('at least {share:g} of all work is in time')
def check_all(context, share):
    found = _share_of_others(context.loads, ())
    assert found >= share, found


@when(
    'jobs arrive for {seconds:d} seconds at {load:g} times what the owner can '
    'start'
)
def play_limited(context, seconds, load):
    _play_limited(context, seconds, load, refuses=False)


@when(
    'jobs arrive for {seconds:d} seconds at {load:g} times what the owner can '
    'start, unless they are refused'
)
def play_limited_with_refusals(context, seconds, load):
    _play_limited(context, seconds, load, refuses=True)


def _play_limited(context, seconds, load, refuses):
    context.seconds = seconds
    context.loads = [
        limited_starts.LimitedStarts(
            seed, load, seconds, refuses, BESIDE_ROOM_S
        )
        for seed in LIMITED_SEEDS
    ]
    for played in context.loads:
        played.run()


@then('no accepted job stands for 3 s beside room')
def check_beside_room(context):
    for load in context.loads:
        cases = load.beside_room.longer_than(BESIDE_ROOM_S)
        longest_s = max((case.waited_s for case in cases), default=0.0)
        assert not cases, (len(cases), len(load.played), longest_s)
        assert not load.standing, load.standing[:3]


@then('at least {share:g} of what the owner can start was started')
def check_started(context, share):
    possible = context.seconds * limited_starts.STARTS_PER_S
    found = [load.started / possible for load in context.loads]
    assert min(found) >= share, found
