"""A job that no executor may run, among jobs of a queue with advice."""

import asyncio
import pathlib

from standins import stage as stage_module

RECORD = pathlib.Path(__file__).with_name('record.txt')
PREFIX = '/puxa400/'
HOSTS = 6
BEFORE, AFTER = 9, 10
# The one of twenty jobs that can never be done.
POISON = 'cccccccccccc0000'
FINISH_S = 14.0
GAP_S = 0.3
ADVICE = {'decision-ms': 20, 'per-worker-ms': 1, 'validity-ms': 3000}


def allows(step, executor):
    """Return what the queue's policy says of a step on an executor."""
    return not step.startswith(POISON)


def make_job():
    """Return a job of one step."""
    step = {'count': 2, 'cpu': 1000, 'mem-mb': 256, 'estimated-ms': 500}
    return {'task-spec': 'sound', 'steps': [step]}


async def submit_some(stage, job_ids):
    """Submit jobs at a steady pace; return those that were accepted."""
    accepted = []
    for job_id in job_ids:
        if await stage.submit(job_id, make_job()) == 200:
            accepted.append(job_id)
        await asyncio.sleep(GAP_S)
    return accepted


async def play(stage):
    """Return whether every accepted sound job has begun."""
    advice = stage.advice

    def is_permitted(executor, task, ticket):
        step = task.rpartition('.')[0]
        return advice.is_valid(step, executor.executor_id, ticket)

    stage.fleet.is_permitted = is_permitted
    stage.fleet.behave = lambda task, number, spec: (0.5, 'done')
    route = stage_module.make_route(advice=ADVICE)
    await stage.start([route], hosts=HOSTS)
    sound = [f'dddddddddddd{number:04x}' for number in range(BEFORE + AFTER)]
    accepted = await submit_some(stage, sound[:BEFORE])
    if stage_module.is_troubled():
        await stage.submit(POISON, make_job())
    accepted += await submit_some(stage, sound[BEFORE:])
    if len(accepted) < len(sound):
        raise stage_module.NotRun('a sound job was not accepted')
    await asyncio.sleep(FINISH_S)
    states = {job_id: await stage.state(job_id) for job_id in accepted}
    busy = sum(len(e.runs) for e in stage.fleet.executors.values())
    stage.record(f'{FINISH_S} s later {busy} tasks run on {HOSTS} hosts')
    steps = [step for step, _, _ in advice.calls]
    for job_id, state in states.items():
        asked = steps.count(f'{job_id}.0.0')
        starts = len(stage.fleet.starts(job_id))
        stage.record(f'job {job_id}: {state}, {starts} starts, {asked} asked')
    stage.record(f'job {POISON}: {steps.count(f"{POISON}.0.0")} asked')
    lost = [j for j in accepted if not stage.fleet.starts(j)]
    stage.record(f'{len(lost)} of {len(accepted)} sound jobs never began')
    return not lost


if __name__ == '__main__':
    stage_module.run_case(RECORD, play, allows=allows)
