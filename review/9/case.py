"""Machines whose upkeep was ordered without an answer aren't used again."""

import asyncio
import pathlib
import sys

from review.standins2 import executors
from review.standins2 import stage as stage_module

FOLDER = pathlib.Path(__file__).resolve().parent
POOL, OTHER_POOL = 'checker', 'runner'
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
DUE = ['m-1', 'm-2', 'm-3']
OTHERS = ['m-4', 'm-5', 'm-6']
WAVE_S = 26.0
SILENCE_S = 5.0


async def main():
    """Play the case, and return its exit code."""
    machines = [
        *(executors.Machine(name, POOL, kind='b') for name in DUE),
        *(executors.Machine(name, OTHER_POOL) for name in OTHERS),
    ]
    async with stage_module.Stage(
        FOLDER, machines, [POOL, OTHER_POOL]
    ) as stage:
        first, second = stage.daemons
        before, after = map(stage_module.job_id, (1, 2))
        if not await stage.submit_until_accepted(
            first, POOL, before, STEPS, WORK_S
        ):
            return stage_module.NOT_RUN
        await asyncio.sleep(5.0)
        if stage_module.has_trouble():
            stage.cloud.outage_s = SILENCE_S
        stage.ask_for_wave(1, DUE, WAVE_S, len(DUE))
        await asyncio.sleep(WAVE_S)
        if not await stage.submit_until_accepted(
            first, POOL, after, STEPS, WORK_S
        ):
            return stage_module.NOT_RUN
        return await stage.judge_lost(second, POOL, after, STEPS[0])


if __name__ == '__main__':
    sys.exit(stage_module.run(main))
