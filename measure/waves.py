"""Compare wave policies by roll-out time, moves and buffer cost.

Buffer cost is in host seconds: the free slots, as a share of a host's, of
each host that is granted but not yet stopped; and of each host that is kept
free because its turn is due, times the share of the offered work that would
not end before the turn. The capacity lost to the reboot itself is the same
for all policies and left out. Moves are displaced jobs. Bounds are printed
beside both: for roll-out time, the reboots at the concurrency that budgets
allow; for moves, the jobs that could not have ended before their host had to
stop for a wave of that length.
"""

import concurrent.futures
import itertools
import pathlib
import statistics

import tabulate
import yaml

from hawthorndeal_fleet import bounds
from hawthorndeal_fleet import budget
from hawthorndeal_fleet import waves

from . import wave_model

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
POLICIES = {
    'one at a time': (waves.OneAtATime(), False),
    'fixed fraction': (waves.FixedFraction(), False),
    'one rack': (waves.OneRack(), False),
    'ours': (waves.DEFAULT_POLICY, True),
}
SCENARIOS = {
    'full hosts, no arrivals': {},
    'arrivals at 70%': {'has_arrivals': True, 'lead_s': 1800.0},
    'arrivals, declared off': {
        'has_arrivals': True,
        'sigma': 1.0,
        'lead_s': 1800.0,
    },
}
QUICK_SEEDS = 3
FULL_SEEDS = 10
# One process per scenario and example, as the runs share no state.
WORKERS = 6


def measure(is_quick):
    """Print the tables and return the number of budget breaches."""
    seeds = range(1, 1 + (QUICK_SEEDS if is_quick else FULL_SEEDS))
    cases = itertools.product(('vltava', 'qalamdar'), SCENARIOS)
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = pool.map(
            _measure_scenario, *zip(*cases), itertools.repeat(seeds)
        )
        return sum(_print(*result) for result in results)


def _print(title, rows):
    print(title)
    print(tabulate.tabulate(rows, headers='keys', floatfmt='.1f'), end='\n\n')
    return sum(row['breaches'] for row in rows)


def _measure_scenario(name, scenario, seeds):
    document = yaml.safe_load((EXAMPLES / f'{name}.yaml').read_text())
    rows = []
    for label, (policy, is_steering) in POLICIES.items():
        runs = [
            _run(document, policy, is_steering, seed, SCENARIOS[scenario])
            for seed in seeds
        ]
        rows.append({'policy': label, **_summary(runs)})
    return f'{name}, {scenario}, seeds {seeds[0]} to {seeds[-1]}', rows


def _run(document, policy, is_steering, seed, scenario):
    model = wave_model.Model(
        wave_model.Setup(document, policy, is_steering, seed, **scenario)
    )
    outcome = model.run()
    state = model.state
    bound_s = bounds.roll_out_bound_s(
        state, state.fleet.hosts, wave_model.REBOOT_S
    )
    moves_bound = sum(
        bounds.moves_bound(
            remaining_s,
            budget.disruptable_executors(state, service),
            wave_model.REBOOT_S,
            outcome.roll_out_s,
        )
        for service, remaining_s in outcome.remaining_s.items()
    )
    return outcome, bound_s, moves_bound


def _summary(runs):
    outcomes = [outcome for outcome, _, _ in runs]
    mean = statistics.mean
    roll_out_s = mean(outcome.roll_out_s for outcome in outcomes)
    bound_s = mean(bound_s for _, bound_s, _ in runs)
    return {
        'roll-out s': roll_out_s,
        'bound s': bound_s,
        'ratio': f'{roll_out_s / bound_s:.2f}',
        'moves': mean(outcome.moves for outcome in outcomes),
        'moves bound': mean(bound for _, _, bound in runs),
        'buffer host-s': mean(outcome.buffer_s for outcome in outcomes),
        'wait s': mean(outcome.wait_s for outcome in outcomes),
        'breaches': sum(outcome.breaches for outcome in outcomes),
    }
