"""Run real daemons under load, and judge which jobs stand beside room.

Everything runs on loopback. The processes use what the machine gives them: the
report says how much that was. The exit code is 1 if a job stood.
"""

import argparse
import asyncio
import signal
import sys
import tempfile

import uvloop
import yaml

from . import deployment as deployment_module
from . import report


def main():
    """Run the soak, print its report, and return the exit code."""
    options = _parse_arguments()
    directory = options.directory or tempfile.mkdtemp(prefix='soak-')
    deployment = deployment_module.Deployment(_make_plan(options), directory)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(_run(deployment))
        except deployment_module.NotReady as error:
            print(f'not ready: {error}', file=sys.stderr)
            return 2
    findings = report.examine(deployment)
    for line in report.lines(deployment, findings):
        print(line)
    return 1 if findings.cases else 0


async def _run(deployment):
    # A terminated run ends its processes, too.
    running = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, running.cancel)
    await deployment.run()


def _parse_arguments():
    defaults = deployment_module.Plan()
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    add = parser.add_argument
    add('--daemons', type=int, default=defaults.daemons)
    add('--zones', type=int, choices=(1, 2, 3), default=defaults.zones)
    add('--executors', type=int, default=defaults.executors)
    add(
        '--executor-processes',
        type=int,
        default=defaults.executor_processes,
        help='processes that the executors share',
    )
    add(
        '--seconds',
        type=float,
        default=defaults.traffic_s,
        help='time in which jobs are submitted',
    )
    add(
        '--rest-s',
        type=float,
        default=defaults.rest_s,
        help='time for which jobs are watched after that',
    )
    add(
        '--rate-factor',
        type=float,
        default=defaults.rate_factor,
        help='rates relative to those of 350 executors',
    )
    add('--seed', type=int, default=defaults.seed)
    add('--failing-share', type=float, default=defaults.failing_share)
    add(
        '--kill-owner-at-s',
        type=float,
        action='append',
        default=[],
        help='kill the owner at this time of the traffic; may be repeated',
    )
    add(
        '--crashes-per-s',
        type=float,
        default=defaults.crashes_per_s,
        help='rate at which executors crash',
    )
    add(
        '--set',
        action='append',
        default=[],
        metavar='NAME=VALUE',
        help='replace a setting of the daemons; may be repeated',
    )
    add('--directory', help='existing folder for logs and events')
    return parser.parse_args()


def _make_plan(options):
    overrides = dict(setting.split('=', 1) for setting in options.set)
    return deployment_module.Plan(
        daemons=options.daemons,
        zones=options.zones,
        executors=options.executors,
        executor_processes=options.executor_processes,
        traffic_s=options.seconds,
        rest_s=options.rest_s,
        rate_factor=options.rate_factor,
        seed=options.seed,
        failing_share=options.failing_share,
        kills_s=tuple(options.kill_owner_at_s),
        crashes_per_s=options.crashes_per_s,
        overrides={
            name: yaml.safe_load(value) for name, value in overrides.items()
        },
    )


if __name__ == '__main__':
    sys.exit(main())
