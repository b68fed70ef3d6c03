"""Run feature files in parallel and combine their results.

Failures of the scenarios listed in KNOWN-RED.txt are printed and tolerated;
any other failure fails the run.
"""

import argparse
import collections
import concurrent.futures
import itertools
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import attrs

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_SEPARATOR = ' | '
WORKERS = 4


@attrs.frozen
class Report:
    """The result of one feature file.

    :ivar output: standard output and standard error of behave
    :ivar is_complete: whether behave ran to completion
    :ivar statuses: pairs of scenario name and status
    """

    path: str
    output: str
    is_complete: bool
    statuses: list


def known_red():
    """Return the names of the scenarios listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.split(KNOWN_RED_SEPARATOR)[0].strip()
        for line in lines
        if line.strip() and not line.startswith('#')
    }


def run_feature(path, tags):
    """Run one feature file and return its report."""
    with tempfile.TemporaryDirectory() as directory:
        statuses_path = pathlib.Path(directory, 'statuses.json')
        finished = subprocess.run(
            [
                sys.executable,
                '-m',
                'behave',
                '--no-capture',
                '--format=progress',
                f'--define=statuses={statuses_path}',
                *(f'--tags={tag}' for tag in tags),
                str(path),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            errors='replace',
        )
        is_complete = statuses_path.exists()
        statuses = json.loads(statuses_path.read_text()) if is_complete else []
    has_failed = any(status != 'passed' for _, status in statuses)
    return Report(
        path=path.name,
        output=finished.stdout + finished.stderr,
        # A failing exit code without a failed scenario is an error in behave
        # itself, such as a step file that can't be imported.
        is_complete=is_complete and has_failed == bool(finished.returncode),
        statuses=statuses,
    )


def _print_report(report):
    counts = collections.Counter(status for _, status in report.statuses)
    if not counts and report.is_complete:
        return
    summary = ', '.join(f'{counts[s]} {s}' for s in sorted(counts))
    print(f'{report.path}: {summary or "did not complete"}', flush=True)
    if not report.is_complete or set(counts) != {'passed'}:
        print(report.output, flush=True)


def _print_verdict(reports):
    statuses = list(itertools.chain.from_iterable(r.statuses for r in reports))
    failed = {n.strip() for n, status in statuses if status != 'passed'}
    red = known_red()
    for name in sorted(failed & red):
        print(f'known failure, listed in {KNOWN_RED.name}: {name}')
    for name in sorted(failed - red):
        print(f'failed: {name}')
    for report in reports:
        if not report.is_complete:
            print(f'did not complete: {report.path}')
    passed = sum(1 for _, status in statuses if status == 'passed')
    print(f'scenarios: {passed} passed, {len(statuses) - passed} failed')
    is_whole = all(report.is_complete for report in reports)
    return 0 if statuses and is_whole and failed <= red else 1


def _size(path):
    return path.read_text().count('Given a running deployment')


def main():
    """Run the selected scenarios and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--tags', action='append', default=[])
    parser.add_argument('features', nargs='*', type=pathlib.Path)
    options = parser.parse_args()
    paths = options.features or list((ROOT / 'features').glob('*.feature'))
    # Starts the longest feature files first, so that none of them runs alone
    # at the end.
    paths.sort(key=lambda path: (-_size(path), path.name))
    workers = int(os.environ.get('TEST_WORKERS', WORKERS))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        runs = [pool.submit(run_feature, p, options.tags) for p in paths]
        reports = []
        for run in concurrent.futures.as_completed(runs):
            reports.append(run.result())
            _print_report(reports[-1])
    return _print_verdict(reports)


if __name__ == '__main__':
    sys.exit(main())
