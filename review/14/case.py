"""A job that can never be done keeps all others from starting."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins3 import deployment  # noqa: E402

EXECUTORS = 6
# One of 20 jobs can't be done. Its size is within that of the class whose jobs
# the site file poisons: 4 steps of 24 tasks of 2.7 cores at most.
JOBS = 20
HOPELESS = 9
WORK_S = 0.3
GAP_S = 0.5
# Of the rule.
STANDING_S = 3.0
CHECK_S = 0.05
END_S = 24.0
QUEUE = deployment.queue_row('suite', 'renderers')
IDS = [f'{number:016x}' for number in range(0x200, 0x200 + JOBS)]


def job(count, cpu, steps=1):
    """Return a job of steps that don't wait for each other."""
    return {
        'task-spec': 'compare',
        'steps': [
            {
                'count': count,
                'cpu': cpu,
                'mem-mb': 512,
                'estimated-ms': int(WORK_S * 1000),
            }
        ]
        * steps,
    }


SOUND, WIDE = job(4, 1000), job(15, 2700, steps=2)


async def play(deployed):
    """Send jobs at a steady rate, one of which can never be done."""
    await deployed.start(3, {'renderers': EXECUTORS}, [QUEUE])
    accepted_s = {}
    watch = asyncio.create_task(_watch(deployed, accepted_s))
    for number, job_id in enumerate(IDS):
        is_hopeless = number == HOPELESS and deployment.has_trouble()
        if is_hopeless:
            deployed.fleet.hopeless.add(job_id)
            deployed.write(f'{job_id} can never be done')
        body = WIDE if is_hopeless else SOUND
        daemon = deployed.daemons[number % len(deployed.daemons)]
        if await deployed.submit(daemon, QUEUE, job_id, body, WORK_S):
            accepted_s[job_id] = time.monotonic()
        await asyncio.sleep(GAP_S)
    if len(accepted_s) < JOBS // 2:
        raise deployment.CouldNotRun('too few jobs were accepted')
    return await watch


async def _watch(deployed, accepted_s):
    """Return the sound jobs that had nothing running for too long."""
    fleet, worst = deployed.fleet, {}
    since_s = {}
    end_s = time.monotonic() + JOBS * GAP_S + END_S
    while time.monotonic() < end_s:
        await asyncio.sleep(CHECK_S)
        now_s = time.monotonic()
        executors = [
            machine.executor
            for machine in fleet.machines.values()
            if machine.executor is not None
        ]
        running = {
            run.task
            for executor in executors
            for run in executor.runs.values()
        }
        done = {e[4] for e in fleet.events if e[1] == 'end' and e[6] == 'done'}
        has_room = _has_room(executors, fleet)
        for job_id in accepted_s.keys() - fleet.hopeless:
            tasks = [
                f'{job_id}.0.0.{i}' for i in range(SOUND['steps'][0]['count'])
            ]
            is_open = not done.issuperset(tasks)
            if not is_open or not has_room or running.intersection(tasks):
                since_s.pop(job_id, None)
                continue
            standing_s = now_s - since_s.setdefault(job_id, now_s)
            if standing_s >= STANDING_S:
                worst[job_id] = standing_s
    return [
        f'LOST: {job_id} had nothing running for {standing_s:.1f} s, beside'
        f' room for all of it twice over and under half of the room in use'
        for job_id, standing_s in sorted(worst.items())
    ]


def _has_room(executors, fleet):
    """Return whether a sound job fits twice, and less than half is in use."""
    step = SOUND['steps'][0]
    fits, used, whole = 0, 0, 0
    for executor in executors:
        steps = [fleet.step_of(run.task) for run in executor.runs.values()]
        capacity = executor.machine.capacity
        free = {
            name: capacity[name] - sum(other[name] for other in steps)
            for name in ('cpu', 'mem-mb')
        }
        fits += min(free[name] // step[name] for name in free)
        used += sum(other['cpu'] for other in steps)
        whole += capacity['cpu']
    return fits >= 2 * step['count'] and used * 2 < whole


if __name__ == '__main__':
    sys.exit(deployment.run(play, pathlib.Path(__file__).parent))
