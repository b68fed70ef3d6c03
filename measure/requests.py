"""Measure the request path: goodput, latency and faults in virtual time."""

import tabulate

from hawthorndeal_fleet import calls

from . import claims_and_tickets
from . import pass_through
from . import request_baselines as baselines
from . import request_model as model

WORK_S = 0.05
LONG_WORK_S = 1.0
DEADLINE_S = 0.3
LONG_DEADLINE_S = 30.0
ENDPOINTS = 6
SLOTS = 8
CAPACITY_RPS = ENDPOINTS * SLOTS / WORK_S
# An endpoint that queues holds up to 64 connections, 8 of them on its slots.
QUEUE_LIMIT = 56
MIN_GOODPUT_SHARE = 0.9
LOADS = (0.5, 1.0, 2.0, 5.0)
QUICK_RUN_S = 1.0
QUICK_LOADS = (1.0, 5.0)
QUICK_FAULTS = ('fails fast', 'zone lost')
RUN_S = 5.0
SEEDS = (1, 2)
INTERACTIVE = calls.Urgency.INTERACTIVE
LONG = calls.Urgency.LONG

POLICIES = (
    baselines.Adaptive,
    baselines.RoundRobin,
    baselines.LeastInFlight,
    baselines.RetryAll,
)
PARTS = (
    baselines.Adaptive,
    baselines.NoDelaySignal,
    baselines.NoQuarantine,
    baselines.RandomChoice,
    baselines.LeastInFlight,
)
FAULTS = {
    'fails fast': ('failing', ('e0-0',)),
    'frozen': ('frozen', ('e0-0',)),
    'zone lost': ('gone', ('e0-0', 'e0-1')),
    'slow': ('slow', ('e0-0',)),
}


def make_interactive(now_s, rng, deadline_s=DEADLINE_S):
    """Return a short call with a near deadline."""
    return model.Call(
        INTERACTIVE,
        now_s,
        now_s + deadline_s,
        rng.expovariate(1.0 / WORK_S),
    )


def make_patient(now_s, rng):
    """Return a short call with a deadline of one second."""
    return make_interactive(now_s, rng, 1.0)


def make_long(now_s, rng):
    """Return a long call with a far deadline."""
    return model.Call(
        LONG,
        now_s,
        now_s + LONG_DEADLINE_S,
        rng.expovariate(1.0 / LONG_WORK_S),
    )


def run_load(
    policy,
    load,
    seed,
    queue_limit,
    run_s=RUN_S,
    break_world=None,
    make_call=make_patient,
):
    """Return the result of interactive calls at a share of capacity."""
    world = model.World(model.make_state(), policy, seed, queue_limit)
    if break_world:
        break_world(world)
    world.offer(load * CAPACITY_RPS, run_s, make_call)
    world.run(run_s + 1.0)
    return world.result


def _break(mode, names):
    def break_world(world):
        for name in names:
            world.endpoints[name].mode = mode

    return break_world


def _sum(results, count):
    return sum(count(result) for result in results) / len(results)


def _row(name, results, run_s):
    return {
        'policy': name,
        'goodput/capacity': _sum(
            results, lambda r: sum(r.good.values()) / run_s / CAPACITY_RPS
        ),
        'success': _sum(results, lambda r: r.success_share),
        'p50 s': _sum(results, lambda r: r.percentile_s(INTERACTIVE, 0.5)),
        'p99 s': _sum(results, lambda r: r.percentile_s(INTERACTIVE, 0.99)),
        'late or lost': _sum(results, lambda r: sum(r.bad.values())),
        'refused': _sum(results, lambda r: r.refused),
        'sends/request': _sum(
            results,
            lambda r: sum(r.sent.values()) / max(1, sum(r.asked.values())),
        ),
    }


def _print(title, rows, seeds):
    print(f'{title} (seeds {" ".join(map(str, seeds))})')
    print(tabulate.tabulate(rows, headers='keys', floatfmt='.3f'), '\n')


def _goodput_table(queue_limit, loads, run_s, seeds):
    rows = []
    for policy in POLICIES:
        for load in loads:
            results = [
                run_load(
                    policy,
                    load,
                    seed,
                    queue_limit,
                    run_s,
                    make_call=make_interactive,
                )
                for seed in seeds
            ]
            row = _row(policy.__name__, results, run_s)
            rows.append({'load': load, **row})
    kind = 'wait' if queue_limit else 'refuse'
    _print(f'Goodput, endpoints {kind} when full', rows, seeds)
    own = [r['goodput/capacity'] for r in rows[: len(loads)]]
    share = own[-1] / max(own)
    print(f'goodput at {loads[-1]}x / peak: {share:.3f}\n')
    return share


def _fault_table(faults, run_s, seeds):
    rows = []
    for fault in faults:
        mode, names = FAULTS[fault]
        for policy in PARTS:
            results = [
                run_load(
                    policy,
                    0.5,
                    seed,
                    QUEUE_LIMIT,
                    run_s,
                    break_world=_break(mode, names),
                )
                for seed in seeds
            ]
            row = _row(policy.__name__, results, run_s)
            rows.append({'fault': fault, **row})
    _print('Faults at half load', rows, seeds)


def _mixed(policy, seed, run_s):
    world = model.World(model.make_state(), policy, seed, 0)
    world.offer(0.3 * CAPACITY_RPS, run_s, make_patient)
    long_rps = 2.0 * ENDPOINTS * SLOTS / LONG_WORK_S
    world.offer(long_rps, run_s, make_long)
    world.run(run_s + 1.0)
    return world.result


def _mixed_table(run_s, seeds):
    rows = []
    for policy in (
        baselines.Adaptive,
        baselines.NoReserve,
        baselines.LeastInFlight,
    ):
        results = [_mixed(policy, seed, run_s) for seed in seeds]
        row = _row(policy.__name__, results, run_s)
        del row['goodput/capacity'], row['success']
        for urgency in calls.Urgency:
            row[f'{urgency.value} success'] = _sum(
                results,
                lambda r, u=urgency: r.good[u] / max(1, r.asked[u]),
            )
        rows.append(row)
    title = 'Interactive at 0.3 and long work at 2 times the capacity'
    _print(title, rows, seeds)


def measure(is_quick):
    """Print the tables; these measurements involve no budget."""
    run_s = QUICK_RUN_S if is_quick else RUN_S
    seeds = SEEDS[:1] if is_quick else SEEDS
    loads = QUICK_LOADS if is_quick else LOADS
    shares = [
        _goodput_table(limit, loads, run_s, seeds)
        for limit in (0, QUEUE_LIMIT)
    ]
    _fault_table(QUICK_FAULTS if is_quick else FAULTS, run_s, seeds)
    _mixed_table(run_s, seeds)
    if not is_quick:
        claims_and_tickets.compare()
        pass_through.compare()
    if min(shares) < MIN_GOODPUT_SHARE:
        print(f'goodput target of {MIN_GOODPUT_SHARE} missed: {shares}')
    return 0
