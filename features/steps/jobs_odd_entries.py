"""Steps for odd records that other writers leave."""

import asyncio
import json
import re

import attrs
from behave import given
from behave import then
from behave import when

from fakes import keyed_store
from fakes import links
from fakes import store_http
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_jobs import specs
from hawthorndeal_platform import executor_orders
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import transport
from hawthorndeal_scheduler import log_follower
from hawthorndeal_scheduler import log_readers
from hawthorndeal_scheduler import metrics
from hawthorndeal_site import configuration
from hawthorndeal_site import executors
from hawthorndeal_site import formats
from hawthorndeal_site import hosts
from hawthorndeal_site import store as store_adapter
from stage import scheduler_harness
from stage import virtual_time

ENTRIES = keyed_log.Partition('entries')
SOUND = {
    'service': 's',
    'address': '10.0.0.1:8080',
    'zone': 'z',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'mem-mb': 1, 'gpus': 0},
    'labels': ['a', 'r1'],
}
HOST = {
    'machine': 'm',
    'pool': 's',
    'state': 'up',
    'zone': 'z',
    'labels': ['a', 'r1'],
    'id': 'i-1',
}
WAVE = {'wave': 1, 'machines': ['m'], 'duration-s': 20, 'max-count': 1}
ODD_VALUES = (
    b'{',
    b'\xff',
    b'[]',
    b'[' * 100_000,
    b'{"service": ' + b'[' * 900 + b']' * 900 + b'}',
    b'{"slots": 1e999}',
    json.dumps({**SOUND, 'address': '10.0.0.1:99999'}).encode(),
    json.dumps({**SOUND, 'service': '\ud800'}).encode(),
)


def _odd_text(value):
    """Return the JSON text that a table describes."""
    nested = re.fullmatch(r'nested (\d+) deep', value)
    if nested:
        depth = int(nested[1])
        return '[' * depth + ']' * depth
    repeated = re.fullmatch(r'(?:"(.*)" and )?(\d+) times "?(\w)"?', value)
    if not repeated:
        return value
    head, count, repeat = repeated.groups()
    if head is None:
        return repeat * int(count)
    return f'"{head}{repeat * int(count)}"'


def _with_odd(plain, field, value):
    """Return the JSON text of a mapping with one odd field."""
    others = {name: other for name, other in plain.items() if name != field}
    text = json.dumps(others)
    return f'{text[:-1]}, "{field}": {_odd_text(value)}}}'.encode()


def _decode(context, decode):
    try:
        context.decoded = decode()
    except ValueError as error:
        context.decoded, context.reason = None, str(error)


@when('an entry is decoded whose "{field}" is {value}')
def decode_odd_entry(context, field, value):
    body = _with_odd(SOUND, field, value)
    _decode(context, lambda: formats.Formats.decode_entry('i-1', body))


@when('a wave is decoded whose "{field}" is {value}')
def decode_odd_wave(context, field, value):
    body = _with_odd(WAVE, field, value)
    _decode(context, lambda: configuration.decode_wave(body))


@then('it is rejected, for a reason that a log line can hold')
def check_rejected(context):
    assert context.decoded is None, context.decoded
    assert context.reason.isprintable(), ascii(context.reason)
    assert len(context.reason) < 400, len(context.reason)
    json.dumps(context.reason).encode('ascii')


class _Events:
    """Collects events."""

    def __init__(self):
        self.written = []

    def write(self, kind, **fields):
        """Add one event, which has to be plain data."""
        json.dumps(fields)
        self.written.append((kind, fields))


@given(
    'a partition of entries with {count:d} sound ones and odd ones among them'
)
def make_entries(context, count):
    context.store = keyed_store.KeyedStore()
    records = [
        journal.Record(f'i-{number}-{kind}', value)
        for number in range(count)
        for kind, value in [
            ('sound', json.dumps(SOUND).encode()),
            *((f'odd{n}', odd) for n, odd in enumerate(ODD_VALUES)),
        ]
    ]
    records.append(journal.Record('i\n7', json.dumps(SOUND).encode()))
    context.sound = {f'i-{number}-sound' for number in range(count)}
    context.odd = len(records) - count
    context.records = records


@when("an owner's reader loads it")
def load_entries(context):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.add_cleanup(_stop, context)
    context.runner.run(_start_reading(context))


async def _start_reading(context):
    loop = asyncio.get_running_loop()
    clock = virtual_time.VirtualClock(loop)
    context.events = _Events()
    context.store.append(ENTRIES, context.records)
    context.reader = log_readers.EntriesReader(
        formats.Formats(), clock, context.events
    )
    client = store_http.StoreHttp(context.store, links.Link(None))
    follower = log_follower.Follower(
        store_adapter.Store(client, '127.0.0.1:1'),
        ENTRIES,
        context.reader,
        clock,
        context.events,
        metrics.Metrics(),
    )
    context.following = asyncio.create_task(follower.run())
    await asyncio.sleep(1.0)


def _stop(context):
    context.following.cancel()
    context.runner.close()


@then('it knows the {count:d} executors, and no other')
def check_known(context, count):
    assert not context.following.done(), context.following
    assert set(context.reader.entries) == context.sound, context.reader.entries
    assert len(context.sound) == count


@then('what it skipped was logged, a line each')
def check_skipped(context):
    skipped = [kind for kind, _ in context.events.written]
    assert skipped.count('record_skipped') == context.odd, skipped


@when('an odd entry replaces that of a known executor')
def replace_entry(context):
    context.replaced = min(context.sound)
    record = journal.Record(context.replaced, ODD_VALUES[4])
    context.store.append(ENTRIES, [record])
    context.runner.run(asyncio.sleep(1.0))


@then('nothing starts on that executor, and it knows {count:d} executors')
def check_replaced(context, count):
    entries = context.reader.entries
    assert entries[context.replaced].capacity == specs.Resources()
    assert len(entries) == count, entries


@when(
    'an executor whose entry tells a clock of 9e12 ms is polled at {clock_s:g}'
    ' s'
)
def poll_odd_clock(context, clock_s):
    entry = executors.decode_entry('i-1', {**SOUND, 'clock-ms': 9e12})
    scheduler = scheduler_harness.Harness().scheduler
    scheduler.update_executor(entry, 0.0)
    poll = run_state.ExecutorPoll(0.0, 0.1, clock_s, (), (), True)
    scheduler.handle_poll('i-1', poll, 0.1)
    context.executor = scheduler.executors['i-1']


@then('its clock is taken as {clock_s:g} s')
def check_clock(context, clock_s):
    assert context.executor.incarnation.clock_s == clock_s


@when('a task is started at "{address}"')
def start_at(context, address):
    order = executor_orders.StartOrder(
        jobs.TaskId('5c0e7a21d94b36f8', 0, 0, 0), 1, 'x', 4.0, 1, '', ''
    )
    target = executor_orders.Target('i-1', address)

    async def start():
        client = transport.HttpClient()
        try:
            return await executors.ExecutorClient(client, None).start(
                target, order
            )
        finally:
            await client.close()

    context.answer, _ = asyncio.run(start())


@then('the executor is told to be unhealthy, and nothing of a run')
def check_unhealthy(context):
    assert context.answer is run_tracking.StartAnswer.UNHEALTHY, context.answer


@attrs.frozen
class _HostPages:
    """Answers with one page of hosts."""

    body: bytes

    async def send(self, *arguments, **options):
        """Return the response to one request."""
        return transport.HttpResponse(200, self.body)


@when('a list of hosts is decoded in which the "{field}" of one is {value}')
def list_odd_hosts(context, field, value):
    odd = _with_odd(HOST, field, value)
    sound = json.dumps({**HOST, 'machine': 'sound'}).encode()
    body = b'{"machines": [' + odd + b', ' + sound + b']}'
    client = hosts.HostClient(_HostPages(body), '127.0.0.1:1')
    context.hosts = asyncio.run(client.list())


@then('the other hosts are listed')
def check_hosts(context):
    assert [entry.host for entry in context.hosts] == ['sound'], context.hosts
