"""Measure the cost of requests and claims on an entry host."""

import asyncio
import gc
import itertools
import random
import time
import tracemalloc

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import calls
from hawthorndeal_fleet import claims
from hawthorndeal_fleet import health
from hawthorndeal_fleet import records
from hawthorndeal_fleet import routing
from hawthorndeal_fleet import scheduling
from hawthorndeal_fleet import state as state_module
from stage import request_bench

from . import request_model as model
from . import slopes as slopes_module

REQUESTS = (1000, 2000, 4000, 8000)
IN_FLIGHT = (50, 100, 150, 200)
CLAIMS = (1000, 2000, 4000, 8000)
ENDPOINTS_PER_ZONE = (2, 4, 8, 16)
ZONES = 3
DECISIONS = 2000
REQUESTS_PER_S = 300
CLAIMS_KEPT = 20_000


def slopes():
    """Yield processor time and memory against requests and claims."""
    yield slopes_module.Slope(
        'whole path but the wire, processor s',
        'request',
        [(n, asyncio.run(_serve(n))) for n in REQUESTS],
        design_size=REQUESTS_PER_S,
    )
    yield slopes_module.Slope(
        'route, start and finish, processor s',
        'endpoint of the service',
        [
            (ZONES * n, _decide(ZONES * n, n) / DECISIONS)
            for n in ENDPOINTS_PER_ZONE
        ],
        design_size=ZONES * ENDPOINTS_PER_ZONE[-1],
    )
    yield slopes_module.Slope(
        'waiting for an answer, bytes without sockets',
        'request in flight',
        [(n, asyncio.run(_hold(n))) for n in IN_FLIGHT],
        design_size=IN_FLIGHT[-1],
    )
    yield slopes_module.Slope(
        'claims kept, bytes',
        'claim',
        [(n, _claims_bytes(n)) for n in CLAIMS],
        design_size=CLAIMS_KEPT,
    )


def _request(number):
    return calls.Request(
        workspace='w',
        service='checker',
        request_id=f'request-{number}',
        deadline_s=time.time() + 50.0,
        is_idempotent=True,
        urgency=calls.Urgency.INTERACTIVE,
        body=b'x' * 100,
    )


async def _answer(request, name, address, timeout_s):
    await asyncio.sleep(0)
    return calls.Answer(200, b'', '', name)


async def _serve(count):
    async with request_bench.Bench(1) as bench:
        entry_host = bench.entry_hosts[0]
        entry_host.client.send = _answer
        before_s = time.process_time()
        for number in range(count):
            await entry_host.dispatcher.serve(_request(number))
        return time.process_time() - before_s


def _decide(endpoints, per_zone):
    state = model.make_state(ZONES, per_zone)
    rng = random.Random(endpoints)
    scheduler = scheduling.Scheduler(routing.Router('z0'), rng)
    waiting = admission.WaitingRequest(calls.Urgency.INTERACTIVE, 1000.0)

    def decide():
        for number in range(DECISIONS):
            now_s = number / 1000.0
            name = scheduler.enter(state, model.SERVICE, waiting, now_s)
            scheduler.leave(
                model.SERVICE,
                waiting.urgency,
                name,
                health.Outcome.ANSWERED,
                now_s,
                0.01,
            )

    return slopes_module.processor_s(decide)


async def _hold(count):
    async with request_bench.Bench(1) as bench:
        entry_host = bench.entry_hosts[0]
        fleet = entry_host.follower.state.fleet
        service = fleet.services['checker']
        fleet.services['checker'] = type(service)('w', 'p', count, count)
        quota = type(fleet.workspaces['w'].quota)(2 * count)
        fleet.workspaces['w'] = type(fleet.workspaces['w'])(quota=quota)
        answered = asyncio.Event()

        async def wait(request, name, address, timeout_s):
            await answered.wait()
            return calls.Answer(200, b'', '', name)

        entry_host.client.send = wait
        return await _held_bytes(entry_host.dispatcher, count, answered)


async def _held_bytes(dispatcher, count, answered):
    gc.collect()
    tracemalloc.start()
    tasks = [
        asyncio.create_task(dispatcher.serve(_request(number)))
        for number in range(count)
    ]
    await asyncio.sleep(0.05)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for task in tasks:
        task.cancel()
    answered.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    return held_bytes


def _claims_bytes(count):
    state = state_module.State(log_time_s=1.0)
    bodies = (
        records.RequestClaimed(
            f'workspace/service/request-{number:09d}',
            1000.0,
            f'{"f" * 32}.{number}',
        )
        for number in itertools.count()
    )

    def claim_all():
        for offset, body in zip(range(count), bodies):
            claims.claim(body, state, offset)

    return slopes_module.peak_bytes(claim_all)
