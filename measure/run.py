"""Run the measurements of the policies, one module each.

A measurement is a module of this package with ``measure(is_quick)``, which
prints its tables with their seeds and returns the number of budget breaches.
The quick run uses fewer seeds and omits the measurements that start processes.
"""

import argparse
import importlib
import sys
import time

QUICK_NAMES = ('placement', 'requests', 'waves')
NAMES = (*QUICK_NAMES, 'state')


def main():
    """Run the selected measurements and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true', help='fewer seeds')
    parser.add_argument('--only', choices=NAMES, help='one measurement')
    options = parser.parse_args()
    names = QUICK_NAMES if options.quick else NAMES
    names = [options.only] if options.only else names
    breaches = sum(_run(name, options.quick) for name in names)
    print(f'budget breaches: {breaches}')
    return 1 if breaches else 0


def _run(name, is_quick):
    print(f'== {name}')
    started_s = time.monotonic()
    breaches = importlib.import_module(f'measure.{name}').measure(is_quick)
    print(f'({time.monotonic() - started_s:.1f} s)\n')
    return breaches


if __name__ == '__main__':
    sys.exit(main())
