"""A rack crashes and begins again under its ids; it is never used again."""

import asyncio
import pathlib
import sys

from review.standins2 import executors
from review.standins2 import stage as stage_module

FOLDER = pathlib.Path(__file__).resolve().parent
POOL = 'checker'
AWAY_S = 4.5
STEPS = [
    {
        'count': 2,
        'cpu': 1000,
        'mem-mb': 512,
        'estimated-ms': 500,
        'requirements': 'b',
    }
]
WORK_S = 0.5
# Name, rack and kind of each machine.
MACHINES = [
    ('m-1', 'r-1', 'a'),
    ('m-2', 'r-1', 'a'),
    ('m-3', 'r-2', 'b'),
    ('m-4', 'r-2', 'b'),
]


async def main():
    """Play the case, and return its exit code."""
    machines = [
        executors.Machine(name, POOL, 'zone-a', rack, kind)
        for name, rack, kind in MACHINES
    ]
    async with stage_module.Stage(
        FOLDER, machines, [POOL], tells_birth=True
    ) as stage:
        first, second = stage.daemons
        before, after = map(stage_module.job_id, (1, 2))
        if not await stage.submit_until_accepted(
            first, POOL, before, STEPS, WORK_S
        ):
            return stage_module.NOT_RUN
        await asyncio.sleep(5.0)
        if stage_module.has_trouble():
            for machine in machines:
                if machine.rack == 'r-2':
                    await stage.fleet.crash(machine, AWAY_S)
        await asyncio.sleep(AWAY_S + 10)
        if not await stage.submit_until_accepted(
            first, POOL, after, STEPS, WORK_S
        ):
            return stage_module.NOT_RUN
        return await stage.judge_lost(second, POOL, after, STEPS[0])


if __name__ == '__main__':
    sys.exit(stage_module.run(main))
