"""A daemon loses the store's answers while a burst fills its pool."""

import asyncio
import pathlib

from standins import proxy
from standins import stage as stage_module

RECORD = pathlib.Path(__file__).with_name('record.txt')
PREFIX = '/puxa400/'
HOSTS = 3
LARGE, WIDTH = 6, 24
CALLS = 10
FIRST_CALL_S, GAP_S = 0.55, 0.06
CUT_S, FINISH_S = 5.5, 14.0
WORK_S = {'large': 2.0, 'small': 0.5}


def make_large():
    """Return a large job, whose tasks leave a little room on each host."""
    step = {'cpu': 5000, 'mem-mb': 64, 'estimated-ms': 2000}
    return {'task-spec': 'large', 'steps': [{'count': WIDTH, **step}]}


def make_small(number):
    """Return a job that fits beside the large ones."""
    step = {'count': 1, 'cpu': 100 + number, 'mem-mb': 64}
    step['estimated-ms'] = 500
    return {'task-spec': 'small', 'steps': [step]}


async def warm_up(stage, daemon):
    """Let clients submit at a daemon, as they do all day."""
    await asyncio.gather(
        *(
            stage.submit(f'aaaaaaaaaaaa{n:04x}', make_small(n), daemon)
            for n in range(16)
        )
    )
    await asyncio.sleep(2.0)


async def play(stage):
    """Return whether nothing runs of a job whose every call was refused."""
    stage.fleet.behave = lambda task, number, spec: (WORK_S[spec], 'done')
    await stage.store.start()
    proxies = [proxy.Proxy(stage.store.address) for _ in range(3)]
    for one in proxies:
        await one.start()
    addresses = [one.address for one in proxies]
    route = stage_module.make_route()
    await stage.start([route], HOSTS, store_addresses=addresses)
    owner = stage.owner()
    cut, other = [d for d in stage.daemons if d is not owner]
    await warm_up(stage, cut)
    begun_s = stage.now_s()
    if stage_module.is_troubled():
        proxies[stage.daemons.index(cut)].is_cut = True
        stage.record(f'{cut.name} gets no answers of the store any more')
    large = [
        stage.submit(f'bbbbbbbbbbbb{n:04x}', make_large(), other)
        for n in range(LARGE)
    ]
    burst = asyncio.gather(*large)
    await asyncio.sleep(FIRST_CALL_S)
    calls = []
    for number in range(CALLS):
        job_id = f'cccccccccccc{number:04x}'
        body = make_small(number)
        call = stage.call(cut, 'POST', PREFIX + job_id, body)
        calls.append((job_id, asyncio.create_task(call)))
        await asyncio.sleep(GAP_S)
    answers = {job_id: (await call)[0] for job_id, call in calls}
    await burst
    await asyncio.sleep(begun_s + CUT_S - stage.now_s())
    for one in proxies:
        one.is_cut = False
    await asyncio.sleep(FINISH_S)
    for one in proxies:
        await one.stop()
    refused = [j for j, status in answers.items() if status in (429, 503)]
    wrong = [job_id for job_id in refused if stage.fleet.starts(job_id)]
    for job_id, status in answers.items():
        starts = len(stage.fleet.starts(job_id))
        stage.record(f'job {job_id}: answered {status}, {starts} starts')
    stage.record(
        f'{len(refused)} of {CALLS} jobs were refused, and not sent again; '
        f'{len(wrong)} of these have run'
    )
    if not refused:
        raise stage_module.NotRun('no call was refused')
    return not wrong


if __name__ == '__main__':
    stage_module.run_case(RECORD, play)
