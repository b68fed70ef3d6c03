"""A zone is cut off for 6 s; its executors are never used again."""

import asyncio
import pathlib
import sys

from review.standins2 import executors
from review.standins2 import stage as stage_module

FOLDER = pathlib.Path(__file__).resolve().parent
POOL = 'checker'
# As long as the site cuts a zone off at most.
CUT_S = 6.2
STEPS = [
    {
        'count': 2,
        'cpu': 1000,
        'mem-mb': 512,
        'estimated-ms': 10000,
        'requirements': 'b',
        'anti-affinity': 1,
    }
]
WORK_S = 10
# Name, zone and kind of each machine.
MACHINES = [
    ('m-1', 'zone-a', 'a'),
    ('m-2', 'zone-a', 'a'),
    ('m-3', 'zone-b', 'a'),
    ('m-4', 'zone-b', 'a'),
    ('m-5', 'zone-c', 'b'),
    ('m-6', 'zone-c', 'b'),
]


async def main():
    """Play the case, and return its exit code."""
    machines = [
        executors.Machine(name, POOL, zone, f'r-{zone}', kind)
        for name, zone, kind in MACHINES
    ]
    async with stage_module.Stage(FOLDER, machines, [POOL]) as stage:
        first, second = stage.daemons
        name = stage_module.job_id(1)
        if not await stage.submit_until_accepted(
            first, POOL, name, STEPS, WORK_S
        ):
            return stage_module.NOT_RUN
        await asyncio.sleep(2.0)
        await stage.fleet.wait_between_heartbeats(machines[-1])
        stage.cut_zone('zone-c', stage_module.has_trouble())
        await asyncio.sleep(CUT_S)
        stage.cut_zone('zone-c', False)
        await asyncio.sleep(WORK_S)
        return await stage.judge_lost(second, POOL, name, STEPS[0])


if __name__ == '__main__':
    sys.exit(stage_module.run(main))
