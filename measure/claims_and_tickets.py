"""Compare claims and tickets, which run a request at most once."""

import asyncio
import itertools
import time

import tabulate

from fakes import raw_endpoint
from stage import request_bench

# Round-trip time of one append to the platform's log.
APPEND_S = 0.005
WORK_S = 0.002
CALLERS = 20
REQUESTS = 2000
SLOTS = 64


class _SlowBench(request_bench.Bench):
    def _document(self):
        document = super()._document()
        document['services']['checker'].update(slots=SLOTS, connections=SLOTS)
        document['workspaces']['w']['quota']['requests_in_flight'] = 1000
        return document


def compare():
    """Print latency, appends and requests served with the log up and down."""
    rows = [
        asyncio.run(_run(method, is_down, REQUESTS))
        for is_down, method in itertools.product((False, True), _TICKET_MAKERS)
    ]
    print(f'Non-idempotent requests, {CALLERS} callers, {REQUESTS} requests')
    print(tabulate.tabulate(rows, headers='keys', floatfmt='.4f'), '\n')


def _no_ticket(entry_host):
    return ''


def _ticket(entry_host):
    return str(entry_host.dispatcher.issue_ticket())


_TICKET_MAKERS = {'claim': _no_ticket, 'ticket': _ticket}


async def _run(method, is_down, count):
    async with _SlowBench(1) as bench:
        for endpoint in (bench.near, bench.far):
            endpoint.fault = raw_endpoint.Fault.NONE
            endpoint.delay_s = WORK_S
        bench.log.is_down = is_down
        bench.log.late_s = APPEND_S
        numbers = iter(range(count))
        results = []
        started_s = time.monotonic()
        await asyncio.gather(
            *(
                _call(
                    bench.entry_hosts[0],
                    _TICKET_MAKERS[method],
                    numbers,
                    results,
                )
                for _ in range(CALLERS)
            )
        )
        took_s = time.monotonic() - started_s
        return _row(method, is_down, results, bench.log.appends, took_s)


async def _call(entry_host, make_ticket, numbers, results):
    for number in numbers:
        ticket = make_ticket(entry_host)
        started_s = time.monotonic()
        result = await entry_host.send(
            f'id-{number}', False, 5.0, ticket=ticket
        )
        results.append((result[0], time.monotonic() - started_s))


def _row(method, is_down, results, appends, took_s):
    latencies_s = sorted(took_s for _, took_s in results)
    answered = sum(outcome == 'answered' for outcome, _ in results)
    return {
        'way': method,
        'log': 'down' if is_down else 'up',
        'answered': answered,
        'p50 s': latencies_s[len(results) // 2],
        'p99 s': latencies_s[int(len(results) * 0.99)],
        'appends/s': appends / took_s,
        'requests/append': len(results) / appends if appends else 0.0,
    }
