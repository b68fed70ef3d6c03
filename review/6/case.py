"""An executor restarts under its id and is cut off; its task runs twice."""

import asyncio
import pathlib
import sys

from review.standins2 import executors
from review.standins2 import stage as stage_module

FOLDER = pathlib.Path(__file__).resolve().parent
POOL = 'checker'
# Within one turn of an executor that goes down and up (srv_flap).
AWAY_S = 0.8
# As long as the site cuts executors off from the system's machines.
CUT_S = 5.5
WORK_S = 9.0
STEPS = [
    {
        'count': 1,
        'cpu': 1000,
        'mem-mb': 512,
        'estimated-ms': 9000,
        'data-rack': 'r-1',
    }
]
# Name and rack of each machine; the first one has the data nearby.
MACHINES = [
    ('m-1', 'r-1'),
    ('m-2', 'r-2'),
    ('m-3', 'r-2'),
    ('m-4', 'r-2'),
    ('m-5', 'r-2'),
    ('m-6', 'r-2'),
    ('m-7', 'r-3'),
    ('m-8', 'r-3'),
    ('m-9', 'r-3'),
    ('m-10', 'r-3'),
]
# The bounds of the site kelani-tint-grown.
OVERRIDES = {
    'away_notice_ms': 5500,
    'cancel_notice_ms': 4000,
    'max_entry_age_ms': 4000,
}


async def main():
    """Play the case, and return its exit code."""
    machines = [
        executors.Machine(name, POOL, 'zone-a', rack)
        for name, rack in MACHINES
    ]
    async with stage_module.Stage(
        FOLDER, machines, [POOL], tells_birth=True, overrides=OVERRIDES
    ) as stage:
        first = machines[0]
        await asyncio.sleep(6.0)
        if stage_module.has_trouble():
            await stage.fleet.crash(first, AWAY_S)
        await asyncio.sleep(AWAY_S + 0.3)
        name = stage_module.job_id(1)
        if not await stage.submit_until_accepted(
            stage.daemons[0], POOL, name, STEPS, WORK_S
        ):
            return stage_module.NOT_RUN
        await asyncio.sleep(0.5)
        first.is_cut_off = stage_module.has_trouble()
        stage.recorder.write('cut-off', machine=first.name)
        await asyncio.sleep(CUT_S)
        first.is_cut_off = False
        stage.recorder.write('reached-again', machine=first.name)
        await asyncio.sleep(14.0)
        overlap_s = _longest_overlap_s(stage.fleet, stage.recorder.now_s())
        stage.recorder.write('overlap', seconds=round(overlap_s, 3))
        return stage_module.BROKEN if overlap_s > 0 else stage_module.HELD


def _longest_overlap_s(fleet, now_s):
    """Return for how long two runs of the task were at work at once."""
    ended_s = {(task, run): at_s for at_s, task, run, _, _ in fleet.ends}
    runs = sorted(
        (begun_s, ended_s.get((task, run), now_s))
        for begun_s, task, run, _ in fleet.starts
    )
    return max(
        (one[1] - other[0] for one, other in zip(runs, runs[1:])),
        default=0.0,
    )


if __name__ == '__main__':
    sys.exit(stage_module.run(main))
