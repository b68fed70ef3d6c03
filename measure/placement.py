"""Compare placement with baseline policies in virtual time."""

import contextlib
import statistics
import zlib

import attrs
import tabulate

from hawthorndeal_fleet import placement

from . import placement_model

SEEDS = (1, 2, 3)


class FirstFit:
    """Choose the first host by name."""

    def rank(self, candidate):
        """Return a sort key; the candidate with the lowest key is chosen."""
        return candidate.host


class Random:
    """Choose a pseudo-random host, by a hash of its name and free room."""

    def rank(self, candidate):
        """Return a sort key; the candidate with the lowest key is chosen."""
        return zlib.crc32(f'{candidate.host}{candidate.room_left}'.encode())


class LeastLoaded:
    """Choose the host with the most free room."""

    def rank(self, candidate):
        """Return a sort key; the candidate with the lowest key is chosen."""
        return -candidate.room_left.cpu_millicores, candidate.host


class SpreadOnly(placement.SpreadThenFit):
    """Spread jobs over racks and zones, then choose the most free room."""

    def rank(self, candidate):
        """Return a sort key; the candidate with the lowest key is chosen."""
        return (
            candidate.is_due,
            candidate.rack_jobs,
            candidate.zone_jobs,
            -candidate.room_left.cpu_millicores,
            candidate.host,
        )


_OURS = placement.SpreadThenFit()
_POLICIES = {
    'ours: spread, then fit': _OURS,
    'spread, then most room': SpreadOnly(),
    'first fit by name': FirstFit(),
    'random': Random(),
    'least loaded': LeastLoaded(),
}


def measure(is_quick):
    """Print the tables and return the number of capacity breaches."""
    seeds = SEEDS[:1] if is_quick else SEEDS
    duration_s = 240.0 if is_quick else 1800.0
    base = placement_model.Case(_OURS, duration_s=duration_s)
    print(f'24 hosts of 16 cores in 6 racks, seeds {seeds}, {duration_s} s')
    tables = (_policies, _declarations, _room, _steering, _bad_worker)
    return sum(table(base, seeds) for table in tables)


def _run(case, seeds):
    return [placement_model.Model(case, seed).run() for seed in seeds]


def _print(title, rows):
    print(f'\n{title}')
    print(tabulate.tabulate(rows, headers='keys', floatfmt='.3f'))


def _table(title, cases, seeds, describe):
    runs = {name: _run(case, seeds) for name, case in cases.items()}
    _print(title, [{'': n, **describe(r)} for n, r in runs.items()])
    return sum(one.breaches for r in runs.values() for one in r)


def _share(values, share):
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _starts(runs):
    urgent = [wait for run in runs for wait in run.urgent_waits_s]
    long = [wait for run in runs for wait in run.long_waits_s]
    late = sum(wait > placement_model.URGENT_LIMIT_S for wait in urgent)
    return {
        'urgent': len(urgent),
        'p50 s': _share(urgent, 0.5),
        'p99 s': _share(urgent, 0.99),
        'max s': max(urgent, default=0.0),
        'not started': sum(run.urgent_left for run in runs),
        'over 2.2 s': late,
        'long p50 s': _share(long, 0.5),
    }


def _use(runs):
    used = sum(run.used_core_s for run in runs)
    over = sum(run.over_core_s for run in runs)
    return {
        'done': sum(run.outcomes['done'] for run in runs),
        'used core s': round(used),
        'over-committed': f'{over / (used + over):.2%}',
    }


def _spread(runs):
    shares = [share for run in runs for share in run.worst_rack]
    return {'worst rack': statistics.mean(shares) if shares else 0.0}


def _policies(base, seeds):
    cases = {
        name: attrs.evolve(base, policy=policy)
        for name, policy in _POLICIES.items()
    }
    return _table(
        'Policies at 95% load, declarations wrong (sigma 0.4 of size, 1 of '
        'run time)',
        cases,
        seeds,
        lambda runs: {**_starts(runs), **_use(runs), **_spread(runs)},
    )


def _declarations(base, seeds):
    cases = {
        'declared size': attrs.evolve(base, has_correction=False),
        'corrected size': base,
    }
    return _table(
        'Declared size corrected by observed usage',
        cases,
        seeds,
        lambda runs: {**_starts(runs), **_use(runs)},
    )


def _room(base, seeds):
    def describe(runs):
        return {**_starts(runs), **_use(runs)}

    with _patched('_choose_with_preemption', lambda view, job: None):
        breaches = _table(
            'Urgent work first in the queue, nothing throttled',
            {'queue only': base},
            seeds,
            describe,
        )
    with _patched('_PREEMPTION_METHODS', (placement._preempt_by_checkpoint,)):
        breaches += _table(
            'Only checkpoints', {'checkpoint': base}, seeds, describe
        )
    return breaches


@contextlib.contextmanager
def _patched(name, value):
    original = getattr(placement, name)
    setattr(placement, name, value)
    try:
        yield
    finally:
        setattr(placement, name, original)


def _steering(base, seeds):
    wave = attrs.evolve(base, load=0.7, has_wave=True)
    cases = {
        'without turns': attrs.evolve(wave, is_steering=False),
        'away from hosts due soon': wave,
    }
    return _table(
        'Moves by a wave at 70% load',
        cases,
        seeds,
        lambda runs: {
            'moves': sum(run.moves for run in runs),
            **_starts(runs),
        },
    )


def _bad_worker(base, seeds):
    bad = attrs.evolve(base, load=0.7, bad_hosts=('h05',))
    cases = {
        'without quarantine': attrs.evolve(bad, has_quarantine=False),
        'with quarantine': bad,
    }
    return _table(
        'One host fails every task, at 70% load',
        cases,
        seeds,
        lambda runs: {
            'failed tries': sum(run.failed_tries for run in runs),
            'failed jobs': sum(run.outcomes['failed'] for run in runs),
            **_starts(runs),
        },
    )
