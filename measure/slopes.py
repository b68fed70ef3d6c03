"""Measure the slopes behind docs/CAPACITY.md, one module each.

A slope is a module of this package with ``slopes()``, which yields
:class:`Slope` objects measured at four sizes or more.
"""

import argparse
import importlib
import sys
import time
import tracemalloc

import attrs
import tabulate

from . import fit

NAMES = (
    'cli_slopes',
    'daemon_slopes',
    'placement_slopes',
    'requests_slopes',
    'state_slopes',
    'statsd_slopes',
    'waves_slopes',
)
REPEATS = 3


@attrs.frozen
class Slope:
    """The measured points of one slope.

    :ivar name: measured quantity and its unit
    :ivar per: kind of object that the size counts
    :ivar points: pairs of size and value
    :ivar design_size: size that the system is designed for
    """

    name: str
    per: str
    points: list
    design_size: float = 0.0


def processor_s(function):
    """Return the lowest processor time of several runs of a function."""
    return min(_once_s(function) for _ in range(REPEATS))


def _once_s(function):
    started_s = time.process_time()
    function()
    return time.process_time() - started_s


def peak_bytes(function):
    """Return the peak memory allocated while a function runs."""
    tracemalloc.start()
    try:
        function()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def main():
    """Print every slope with its fit and residual."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--only', choices=NAMES, help='one module')
    options = parser.parse_args()
    names = [options.only] if options.only else NAMES
    for name in names:
        module = importlib.import_module(f'measure.{name}')
        rows = [_row(slope) for slope in module.slopes()]
        print(f'== {name}')
        print(tabulate.tabulate(rows, headers='keys'), end='\n\n')
    return 0


def _row(slope):
    line = fit.fit(slope.points)
    return {
        'measured': slope.name,
        'per': slope.per,
        'sizes': ' '.join(str(size) for size, _ in slope.points),
        'slope': f'{line.slope:.4g}',
        'at zero': f'{line.intercept:.4g}',
        'residual': f'{line.residual_share:.1%}',
        'at design size': _at_design_size(line, slope.design_size),
    }


def _at_design_size(line, size):
    return f'{line.at(size):.4g}' if size else '-'


if __name__ == '__main__':
    sys.exit(main())
