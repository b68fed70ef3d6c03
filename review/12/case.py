"""A gang fails once or twice, and its job is shown as failed for good."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins3 import deployment  # noqa: E402

MAX_ATTEMPTS = 3
# At most a share of 0.15 of a service's executors fails all that it starts.
EXECUTORS = 14
GREY = 2
GREY_FOR_S = 6.5
MEMBERS = 4
WORK_S = 0.5
WAIT_S = 25.0
JOBS = 3
QUEUE = deployment.queue_row(
    'suite',
    'renderers',
    **{
        'max-attempts': MAX_ATTEMPTS,
    },
)
JOB = {
    'task-spec': 'compare',
    'steps': [
        {
            'count': MEMBERS,
            'cpu': 1000,
            'mem-mb': 512,
            'estimated-ms': int(WORK_S * 1000),
            'gang-scheduled': True,
            'anti-affinity': 1,
        }
    ],
}


async def play(deployed):
    """Submit gangs while two executors fail all that they start."""
    await deployed.start(3, {'renderers': EXECUTORS}, [QUEUE])
    await asyncio.sleep(3.0)
    if deployment.has_trouble():
        _turn_grey(deployed)
    ids = [f'{number:016x}' for number in range(0xA0, 0xA0 + JOBS)]
    accepted = []
    for number, job_id in enumerate(ids):
        daemon = deployed.daemons[number % len(deployed.daemons)]
        if await deployed.submit(daemon, QUEUE, job_id, JOB, WORK_S):
            accepted.append(job_id)
        await asyncio.sleep(1.5)
    if not accepted:
        raise deployment.CouldNotRun('no job was accepted')
    states = await _wait_for_ends(deployed, accepted)
    if None in states.values() or 'queued' in states.values():
        raise deployment.CouldNotRun(f'jobs have not ended: {states}')
    return [
        line
        for job_id, state in states.items()
        for line in _judge(deployed, job_id, state)
    ]


def _turn_grey(deployed):
    """Let the executors that get the first starts fail all that they start."""
    fleet, begin = deployed.fleet, deployed.fleet.begin
    grey = []

    def begin_grey(executor, run):
        if len(grey) < GREY and executor not in grey:
            grey.append(executor)
            executor.is_grey = True
            deployed.write(f'{executor.id} fails all that it starts')
            loop = asyncio.get_running_loop()
            loop.call_later(GREY_FOR_S, setattr, executor, 'is_grey', False)
        begin(executor, run)

    fleet.begin = begin_grey


async def _wait_for_ends(deployed, ids):
    loop = asyncio.get_running_loop()
    deadline_s, states = loop.time() + WAIT_S, {}
    while loop.time() < deadline_s:
        for number, job_id in enumerate(ids):
            daemon = deployed.daemons[number % len(deployed.daemons)]
            status, body = await deployed.call(daemon, 'GET', QUEUE, job_id)
            states[job_id] = body.get('state') if status == 200 else None
        if all(s in ('completed', 'failed') for s in states.values()):
            break
        await asyncio.sleep(0.5)
    return states


def _judge(deployed, job_id, state):
    """Return what is wrong with the end of a job."""
    failed = collections.defaultdict(int)
    for event in deployed.fleet.events:
        _, kind, _, _, task, number, how = event
        if kind == 'end' and how == 'failed' and task.startswith(job_id):
            failed[number] += 1
    if state == 'failed' and len(failed) < MAX_ATTEMPTS:
        yield (
            f'LOST: {job_id} is shown as failed, though its gang has failed'
            f' {len(failed)} times of {MAX_ATTEMPTS}: members that ended'
            f' failed by run: {dict(failed)}'
        )


if __name__ == '__main__':
    sys.exit(deployment.run(play, pathlib.Path(__file__).parent))
