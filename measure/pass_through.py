"""Compare the request path of a daemon with a plain HTTP proxy.

Run as a module, it is that proxy: a sanic server that forwards each request
with aiohttp and makes no routing decision.
"""

import argparse
import asyncio
import contextlib
import os
import pathlib
import time

os.environ['UV_USE_IO_URING'] = '0'

import aiohttp  # noqa: E402
import sanic  # noqa: E402
from sanic import response  # noqa: E402
import tabulate  # noqa: E402
import uvloop  # noqa: E402

from hawthorndeal_daemon import web  # noqa: E402
from stage import deployment  # noqa: E402
from stage import processes  # noqa: E402

from . import fleets  # noqa: E402

CALLERS = 16
SLOTS = 64
TARGET_SHARE = 0.7
REQUESTS = 20_000
ROUNDS = 3
PORT = 7400
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
SERVICE_PATH = '/v1/services/{}/requests'


def compare():
    """Print throughput and latency of both, and their ratio."""
    with contextlib.ExitStack() as stack:
        stage, path = _start_daemon(stack)
        daemon = next(iter(stage.daemons.values()))
        bare = _start_proxy(stack, stage)
        urls = {'bare pass-through': bare.url, 'daemon': daemon.url}
        pids = {'bare pass-through': bare.pid, 'daemon': daemon.pid}
        runs = {name: [] for name in urls}
        for _ in range(ROUNDS):
            for name, url in urls.items():
                before_s = _processor_s(pids[name])
                run = asyncio.run(_load(url + path, REQUESTS))
                used_s = _processor_s(pids[name]) - before_s
                run['processor ms/request'] = 1000.0 * used_s / REQUESTS
                runs[name].append(run)
    rows = [{'what': n, **_median(found)} for n, found in runs.items()]
    print(f'Through one process, {CALLERS} callers, {REQUESTS} requests')
    print(tabulate.tabulate(rows, headers='keys', floatfmt='.4f'))
    share = rows[1]['requests/s'] / rows[0]['requests/s']
    print(f'share of the throughput: {share:.2f} (target {TARGET_SHARE})')
    cost = 'processor ms/request'
    share = rows[0][cost] / rows[1][cost]
    print(f'share by processor time, on a busy machine: {share:.2f}\n')
    return share


def _processor_s(pid):
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _median(found):
    return sorted(found, key=lambda run: run['requests/s'])[len(found) // 2]


def _start_daemon(stack):
    fleet = fleets.make(2)
    service, endpoint = next(
        (e['service'], e) for e in fleet['endpoints'].values()
    )
    zone = fleet['hosts'][endpoint['host']]['zone']
    fleet['services'][service]['slots'] = SLOTS
    fleet['services'][service]['connections'] = SLOTS
    stage = deployment.Deployment(fleet, {'d0': zone}, work_s=0.0)
    stack.callback(stage.end)
    stage.start()
    result = stage.apply(None, '--wait')
    if result.returncode:
        raise RuntimeError(result.stderr)
    stage.await_ready()
    return stage, SERVICE_PATH.format(service)


def _start_proxy(stack, stage):
    first = next(iter(stage.fleet['endpoints'].values()))
    host = f'{stage.prefix}.40'
    bare = processes.Process(
        'bare',
        'measure.pass_through',
        ['--host', host, '--port', str(PORT), '--to', first['address']],
        host,
        PORT,
        stage.path / 'bare.log',
    )
    stack.callback(bare.end)
    bare.start()
    bare.await_listening()
    return bare


async def _load(url, requests):
    latencies_s = []
    workspace = 'w0'
    left = iter(range(requests))
    async with aiohttp.ClientSession() as session:
        started_s = time.perf_counter()
        await asyncio.gather(
            *(
                _call(session, url, workspace, left, latencies_s)
                for _ in range(CALLERS)
            )
        )
        took_s = time.perf_counter() - started_s
    latencies_s.sort()
    return {
        'requests/s': requests / took_s,
        'p50 s': latencies_s[requests // 2],
        'p99 s': latencies_s[int(requests * 0.99)],
    }


async def _call(session, url, workspace, left, latencies_s):
    for number in left:
        headers = {
            'Hd-Workspace': workspace,
            'Hd-Request-Id': f'r{number}',
            'Hd-Deadline-S': f'{time.time() + 10.0:.3f}',
            'Hd-Idempotent': 'true',
        }
        sent_s = time.perf_counter()
        async with session.post(
            url, data=b'x' * 100, headers=headers
        ) as reply:
            await reply.read()
            if reply.status != 200:
                raise RuntimeError(f'status {reply.status}')
        latencies_s.append(time.perf_counter() - sent_s)


def _make_app(to):
    app = web.make_app('bare', 2**20)
    session = None

    @app.post('/v1/services/<service:str>/requests')
    async def forward(request, service):
        nonlocal session
        session = session or aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        async with session.post(
            f'http://{to}/run/{service}',
            data=request.body,
            headers={'Hd-Request-Id': request.headers['hd-request-id']},
        ) as reply:
            return response.raw(await reply.read(), status=reply.status)

    return app


def main():
    """Run the proxy until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--host', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--to', required=True, help='IP:PORT of an endpoint')
    options = parser.parse_args()
    server = web.WebServer(
        'bare',
        lambda: _make_app(options.to),
        f'{options.host}:{options.port}',
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        with contextlib.suppress(
            KeyboardInterrupt, sanic.exceptions.SanicException
        ):
            runner.run(server.run())


if __name__ == '__main__':
    main()
