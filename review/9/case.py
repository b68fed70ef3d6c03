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
# The first ones of a wave by name are ordered first, two at once.
SUITED = ['m-1', 'm-2']
OTHERS_OF_POOL = ['m-3', 'm-4', 'm-5']
DUE = [*SUITED, *OTHERS_OF_POOL]
MAX_COUNT = 2
OTHERS = ['m-6', 'm-7', 'm-8', 'm-9', 'm-10']
WAVE_S = 26.0
SILENCE_S = 5.0


async def main():
    """Play the case, and return its exit code."""
    machines = [
        *(executors.Machine(name, POOL, kind='b') for name in SUITED),
        *(executors.Machine(name, POOL) for name in OTHERS_OF_POOL),
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
        stage.ask_for_wave(1, DUE, WAVE_S, MAX_COUNT)
        await asyncio.sleep(WAVE_S)
        if not await stage.submit_until_accepted(
            first, POOL, after, STEPS, WORK_S
        ):
            return stage_module.NOT_RUN
        return await stage.judge_lost(second, POOL, after, STEPS[0])


if __name__ == '__main__':
    sys.exit(stage_module.run(main))
