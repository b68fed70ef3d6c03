"""A crash saves long checkpoints, and nothing is scheduled any more."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins3 import deployment  # noqa: E402

# One of seven is within a share of 0.15 of a service's executors.
EXECUTORS = 7
# The site files have jobs of up to 5 steps and 32 tasks a step.
STEPS = 4
STEP_TASKS = 30
WORK_S = 8.0
CRASH_AFTER_S = 5.0
# Of the rule: finish_s, and the time for which nothing runs beside room.
FINISH_S = 14.0
STANDING_S = 3.0
# How often a job is asked for, each time at another daemon.
ASKED = 3
# A text of the kind that the tasks read, with the place reached.
TEXT = 'Қолжазбаның оқылған бөлігі, тарау мен бет: '
CHECKPOINT_CHARS = 480
QUEUE = deployment.queue_row('reading', 'readers')
LONG_ID = f'{0xB0:016x}'
LONG_JOB = {
    'task-spec': 'read',
    'steps': [
        {
            'count': STEP_TASKS,
            'cpu': 100,
            'mem-mb': 64,
            'estimated-ms': int(WORK_S * 1000),
            'checkpointing': True,
        }
    ]
    * STEPS,
}
SHORT_IDS = [f'{number:016x}' for number in range(0xC0, 0xC4)]
SHORT_JOB = {
    'task-spec': 'screen',
    'steps': [{'count': 2, 'cpu': 500, 'mem-mb': 64, 'estimated-ms': 300}],
}


def checkpoint(run, seconds):
    """Return what a run has saved."""
    text = f'{seconds} {TEXT * CHECKPOINT_CHARS}'
    return text[:CHECKPOINT_CHARS]


async def play(deployed):
    """Crash an executor that runs checkpointing tasks, then send jobs."""
    fleet = deployed.fleet
    fleet.checkpoint = checkpoint
    await deployed.start(3, {'readers': EXECUTORS}, [QUEUE])
    first = deployed.daemons[0]
    if not await deployed.submit(first, QUEUE, LONG_ID, LONG_JOB, WORK_S):
        raise deployment.CouldNotRun('the long job was not accepted')
    await asyncio.sleep(CRASH_AFTER_S)
    busiest = max(
        fleet.machines.values(), key=lambda machine: len(machine.executor.runs)
    )
    runs = len(busiest.executor.runs)
    if not runs:
        raise deployment.CouldNotRun('nothing runs')
    if deployment.has_trouble():
        deployed.write(f'{busiest.name} crashes with {runs} runs')
        fleet.crash(busiest, 4.5)
    await asyncio.sleep(2.0)
    accepted = [LONG_ID]
    for number, job_id in enumerate(SHORT_IDS):
        daemon = deployed.daemons[number % len(deployed.daemons)]
        if await deployed.submit(daemon, QUEUE, job_id, SHORT_JOB, 0.3):
            accepted.append(job_id)
        await asyncio.sleep(0.5)
    await asyncio.sleep(FINISH_S)
    return await _judge(deployed, accepted)


async def _judge(deployed, ids):
    """Return the jobs that have nothing running, beside idle executors."""
    broken = []
    for number, job_id in enumerate(ids):
        for offset in range(ASKED):
            daemon = deployed.daemons[
                (number + offset) % len(deployed.daemons)
            ]
            status, body = await deployed.call(daemon, 'GET', QUEUE, job_id)
            if status == 200:
                break
        if status != 200:
            broken.append(f'LOST: {job_id} is answered {status}')
        elif body['state'] in ('queued', 'running'):
            broken += _standing(deployed, job_id, body['state'])
    if broken:
        deployed.write(f'refused as too large: {deployed.store.refused[:3]}')
    return broken


def _standing(deployed, job_id, state):
    fleet, now_s = deployed.fleet, time.monotonic()
    last_s = max((e[0] for e in fleet.events if e[1] != 'noted'), default=0.0)
    running = sum(
        len(machine.executor.runs)
        for machine in fleet.machines.values()
        if machine.executor is not None
    )
    if not running and now_s - last_s > STANDING_S:
        yield (
            f'LOST: {job_id} is {state}; for {now_s - last_s:.1f} s nothing'
            f' has run on any of {len(fleet.machines)} executors'
        )


if __name__ == '__main__':
    sys.exit(deployment.run(play, pathlib.Path(__file__).parent))
