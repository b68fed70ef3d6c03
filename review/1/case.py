"""A job whose steps each wait for all earlier ones, among ordinary jobs."""

import asyncio
import pathlib

from standins import stage as stage_module

RECORD = pathlib.Path(__file__).with_name('record.txt')
PREFIX = '/puxa400/'
PIPELINE = 'aaaaaaaaaaaa0000'
STEPS = 28
ORDINARY = 12
FINISH_S = 14.0
DEADLINE_S = 3.0
MAX_IDLE_S = 3.0
WORK_S = {'pipeline': 0.1, 'ordinary': 1.0}


def make_pipeline():
    """Return a job of steps that run one after the other.

    With trouble each step names all earlier ones, otherwise the last one
    only; the order in which the steps run is the same.
    """
    is_troubled = stage_module.is_troubled()
    steps = []
    for number in range(STEPS):
        step = {'count': 1, 'cpu': 500, 'mem-mb': 64, 'estimated-ms': 100}
        if number:
            first = 0 if is_troubled else number - 1
            step['after'] = list(range(first, number))
        steps.append(step)
    return {'task-spec': 'pipeline', 'steps': steps}


def make_ordinary():
    """Return a job of two steps."""
    step = {'count': 2, 'cpu': 1000, 'mem-mb': 256, 'estimated-ms': 1000}
    steps = [step, {**step, 'after': [0]}]
    return {'task-spec': 'ordinary', 'steps': steps}


async def play(stage):
    """Return whether every accepted job is known, answered and run."""
    stage.fleet.behave = lambda task, number, spec: (WORK_S[spec], 'done')
    await stage.start([stage_module.make_route()], hosts=6)
    job_ids = [f'bbbbbbbbbbbb{number:04x}' for number in range(ORDINARY)]
    accepted = []
    for number, job_id in enumerate(job_ids):
        daemon = stage.daemons[number % len(stage.daemons)]
        if await stage.submit(job_id, make_ordinary(), daemon) == 200:
            accepted.append(job_id)
    await stage.submit(PIPELINE, make_pipeline())
    last_s = stage.now_s()
    if len(accepted) < ORDINARY:
        raise stage_module.NotRun('an ordinary job was not accepted')
    await asyncio.sleep(FINISH_S)
    stage.record(f'{FINISH_S} s after the last request, at {last_s:.1f} s')
    for daemon in stage.daemons:
        before_s = daemon.processor_s()
        is_ready = await stage.is_ready(daemon, DEADLINE_S)
        used_s = daemon.processor_s() - before_s
        stage.record(
            f'{daemon.name}: ready {is_ready}, used {used_s:.1f} s of '
            f'processor while it was asked'
        )
    lost = []
    for job_id in accepted:
        begun = len({row[1] for row in stage.fleet.starts(job_id)})
        idle_s = stage.fleet.idle_s(job_id)
        stage.record(
            f'job {job_id}: {begun} of 4 tasks have begun, nothing of it '
            f'has run for {idle_s:.1f} s'
        )
        if begun < 4 and idle_s > MAX_IDLE_S:
            lost.append(job_id)
    asked = accepted[:3]
    unanswered = [j for j in asked if await stage.state(j) is None]
    begun = len(stage.fleet.starts(PIPELINE))
    busy = sum(len(e.runs) for e in stage.fleet.executors.values())
    stage.record(f'the pipeline: {begun} of {STEPS} tasks have begun')
    stage.record(f'{busy} tasks run on {len(stage.fleet.executors)} hosts')
    stage.record(
        f'{len(lost)} of {len(accepted)} accepted jobs stand still; of '
        f'{len(unanswered)} of {len(asked)} asked for, no daemon tells'
    )
    return not lost and not unanswered


if __name__ == '__main__':
    stage_module.run_case(RECORD, play)
