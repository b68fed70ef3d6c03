"""Steps that show what the adapter reads and what the logs tell."""

import asyncio
import json
import logging
import os
import random
import re
import struct
import time

from behave import given
from behave import then
from behave import when
from prometheus_client import parser

from hawthorndeal_cli import log_timeline
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import transport
from hawthorndeal_scheduler import decision_log
from hawthorndeal_scheduler import metrics
from hawthorndeal_site import configuration
from hawthorndeal_site import executors
from hawthorndeal_site import formats
from hawthorndeal_site import store
from hawthorndeal_site import submissions
from stage import job_world

GOOD = {
    'jobs': {
        'task-spec': 'text',
        'steps': [
            {'count': 2, 'cpu': 500, 'mem-mb': 64, 'estimated-ms': 900},
            {'count': 1, 'cpu': 500, 'after': [0], 'may-miss': 1},
        ],
        'repetitions': 2,
        'interval-ms': 1000,
    },
    'configurations': {
        'version': 7,
        'routes': [
            {
                'name': 'r',
                'host': 'a.example',
                'path-prefix': '/x/',
                'service': 's',
                'latency-target-ms': 600,
                'advice': {'validity-ms': 3000},
            }
        ],
        'services': [{'name': 's', 'standby': False}],
        'limits': {'max-body-bytes': 1000},
    },
    "executors' entries": {
        'service': 's',
        'address': '10.0.0.1:8080',
        'zone': 'z',
        'state': 'ready',
        'capacity': {'cpu': 16000, 'mem-mb': 1, 'gpus': 0},
        'labels': ['a', 'r1'],
        'clock-ms': 5,
    },
    'waves': {
        'wave': 1,
        'machines': ['m'],
        'duration-s': 20,
        'max-count': 1,
    },
    'looks': {
        'clock-ms': 5,
        'running': [['5c0e7a21d94b36f8.0.1.17', 2, '', 41, 7]],
        'ended': [[58, '5c0e7a21d94b36f8.0.1.9', 1, 'done', '']],
    },
}
ODD = (None, True, -1, 1e308, 'x' * 9000, [], {}, [[]], '\udcff', 10**30)


def _read(what, plain):
    body = json.dumps(plain).encode()
    if what == 'jobs':
        submissions.decode_job(body)
    elif what == 'configurations':
        configuration.decode_configuration(body)
    elif what == "executors' entries":
        formats.Formats.decode_entry('i-1', body)
    elif what == 'waves':
        configuration.decode_wave(body)
    else:
        executors.decode_poll(plain, 0.0, 1.0)


def _vary(plain, rng):
    """Return a copy with one value odd, lost or of another type."""
    copy = json.loads(json.dumps(plain))
    place = copy
    while True:
        keys = list(place) if isinstance(place, dict) else range(len(place))
        if not keys:
            return rng.choice(ODD)
        key = rng.choice(list(keys))
        inner = place[key]
        if isinstance(inner, (dict, list)) and inner and rng.random() < 0.7:
            place = inner
            continue
        if rng.random() < 0.3 and isinstance(place, dict):
            del place[key]
        else:
            place[key] = rng.choice(ODD)
        return copy


@when('{count:d} random variants of {what} are read')
def read_variants(context, count, what):
    rng = random.Random(11)
    context.surprises = []
    for _ in range(count):
        if what == 'pages of records':
            _try(context, store.decode_page, _odd_page(rng), 0)
        else:
            _try(context, _read, what, _vary(GOOD[what], rng))
    if what != 'pages of records':
        _read(what, GOOD[what])


def _odd_page(rng):
    head = struct.pack('>QQ', 9, 0)
    body = head + b''.join(
        store.encode_record(journal.Record('k', rng.randbytes(5)))
        for _ in range(3)
    )
    cut = rng.randrange(len(body))
    return body[:cut] + rng.randbytes(rng.randrange(9))


def _try(context, read, *arguments):
    try:
        read(*arguments)
    except (ValueError, errors.PlatformError):
        return
    except Exception as error:
        context.surprises.append((arguments, repr(error)))


@then('each was read or refused as unreadable')
def check_surprises(context):
    assert not context.surprises, context.surprises[:3]


@when('{count:d} random records are written and read back')
def write_and_read(context, count):
    rng = random.Random(5)
    context.written = [
        journal.Record(f'k{n}', rng.randbytes(rng.randrange(300)))
        for n in range(count)
    ]
    body = struct.pack('>QQ', count, 0) + b''.join(
        map(store.encode_record, context.written)
    )
    context.page = store.decode_page(body, 0)


@then('they are the same')
def check_same(context):
    came = [(r.key, r.value) for r in context.page.records]
    assert came == [(r.key, r.value) for r in context.written]
    assert context.page.next_offset == len(context.written)


@when('an executor answers a start with {status:d} and "{reason}"')
@when('an executor answers a start with {status:d} and ""')
def answer_start(context, status, reason=''):
    body = json.dumps({'clock-ms': 1500, 'reason': reason}).encode()
    context.answer = executors.decode_start_response(
        transport.HttpResponse(status, body)
    )


@then('that means {meaning}')
def check_meaning(context, meaning):
    answer, clock_s = context.answer
    assert answer.value == meaning, answer
    assert clock_s == 1.5


class _Exchange:
    """Answer every call alike."""

    def __init__(self, status, reason):
        body = json.dumps({'reason': reason, 'end': 3}).encode()
        self._answer = transport.HttpResponse(status, body)

    async def send(self, *arguments, **options):
        """Return the answer."""
        return self._answer


@given('a store that answers {status:d} and "{reason}"')
@given('a store that answers {status:d} and ""')
def make_store(context, status, reason=''):
    context.store = store.Store(_Exchange(status, reason), '127.0.0.1:1')


@when('a record is appended')
def append(context):
    async def attempt():
        await context.store.append(
            keyed_log.Partition('t'), [journal.Record('k', b'v')]
        )

    try:
        asyncio.run(attempt())
    except errors.HawthorndealError as error:
        context.failure = error.reason


@then('it fails with {reason}')
def check_failure(context, reason):
    assert context.failure == reason, context.failure


@given('a decision log whose pipe is full')
def make_full(context):
    context.reading, writing = os.pipe()
    os.set_blocking(writing, False)
    os.set_blocking(context.reading, False)
    try:
        while True:
            os.write(writing, b'x' * 4096)
    except BlockingIOError:
        context.log = decision_log.DecisionLog('d', writing, 10**6)


@when('{count:d} lines are written')
def write_lines(context, count):
    begun_s = time.monotonic()
    for number in range(count):
        context.log.write('kind', number=number)
    context.took_s = time.monotonic() - begun_s


@then('that took less than {seconds:g} seconds')
def check_took(context, seconds):
    assert context.took_s < seconds, context.took_s


@then('the lines that were dropped are told once the pipe is read')
def check_told(context):
    assert context.log.dropped_lines > 0
    text = b''
    for number in range(200):
        try:
            text += os.read(context.reading, 1 << 20)
        except BlockingIOError:
            pass
        context.log.write('later', number=number)
    assert b'"dropped_before":' in text, text[-300:]


@given('a decision log that writes {most:d} lines of a kind in a second')
def make_bounded(context, most):
    context.reading, writing = os.pipe()
    context.log = decision_log.DecisionLog('d', writing, most)


@when('{count:d} lines are written within one second, and one later')
def write_much(context, count):
    time.sleep(1.02 - time.time() % 1.0)
    for number in range(count):
        context.log.write('kind', number=number)
    time.sleep(1.0)
    context.log.write('kind', number=count)


@then('{some:d} of them came, and a line tells that {rest:d} were left out')
def check_left_out(context, some, rest):
    lines = os.read(context.reading, 1 << 20).decode().splitlines()
    events = [json.loads(line) for line in lines]
    assert [e['event'] for e in events].count('kind') == some + 1
    told = [e for e in events if e['event'] == 'lines_left_out']
    assert told[0]['kinds'] == {'kind': rest}, told


@given('metrics of two requests, a start and an end')
def make_metrics(context):
    context.metrics = made = metrics.Metrics()
    made.note_request('GET', 200, 0.01)
    made.note_request('POST', 503, 0.02)
    made.note_start('accepted')
    made.note_end('done')
    made.note_host_order('host_moved')


@when("they are parsed by the library's own parser")
def parse_metrics(context):
    text = context.metrics.exposition().decode()
    context.families = {
        family.name for family in parser.text_string_to_metric_families(text)
    }


@then('each metric of the page is there, and no other')
def check_metrics(context):
    page = (context.root / 'docs' / 'OPERATIONS.md').read_text()
    listed = set(re.findall(r'`(hawthorndeal_[a-z_]+)`', page))
    listed = {name.removesuffix('_total') for name in listed}
    made = {
        name.removesuffix('_total')
        for name in context.families
        if not name.endswith('_created')
    }
    assert listed == made, listed ^ made


@given("logs of two daemons with {count:d} lines that can't be read")
def make_logs(context, count):
    def line(time_s, daemon, event, **fields):
        plain = {'time_s': time_s, 'daemon': daemon, 'event': event}
        return 'prefix ' + json.dumps({**plain, **fields})

    context.texts = [
        line(3.0, 'b', 'run_started', task='j1.0.0.0', run=1, executor='x'),
        line(1.0, 'a', 'job_accepted', job='j1'),
        line(2.0, 'b', 'owner_claimed', epoch=4),
        line(2.5, 'b', 'run_started', task='j10.0.0.0', run=1),
        *['{', 'no json', 'prefix {"time_s": []}'][:count],
        '',
    ]


@when('the story of "{name}" is told')
def build_timeline(context, name):
    context.story = log_timeline.build_timeline(name, context.texts)


@then('it is in order of time, over both daemons')
def check_story(context):
    told = [(line.daemon, line.event) for line in context.story.lines]
    assert told == [
        ('a', 'job_accepted'),
        ('b', 'owner_claimed'),
        ('b', 'run_started'),
    ], told


@then("it notes a run without an end, and {count:d} lines that can't be read")
def check_notes(context, count):
    assert any('run 1 of j1.0.0.0' in n for n in context.story.missing)
    assert context.story.unreadable == count


@when('everything that is decided has been played')
def play_everything(context):
    context.execute_steps("""
        When job "l" of 3 lasting tasks, 1 of them unavailable at most, starts
        And a wave over all hosts of its pool, 2 at once, within 10 seconds
        And 30 jobs of 16 and 16 tasks are being submitted
        And broken records are written among the jobs and the entries
        And job "a" of 2 and 2 tasks goes to daemon 0
        And job "a" is cancelled at daemon 1
        And 4 seconds pass
        And the store goes down
        And job "b" of 2 and 2 tasks goes to daemon 0
        And 1 seconds pass
        And the store comes back
        And the host of a task of "l" crashes for 5 seconds
        And 6 seconds pass
        And owners are rolled 1 times, every 1 seconds
        And 20 jobs of 16 and 16 tasks are being submitted
        And 1 seconds pass
        And the owner is cut off from all
        And 4 seconds pass
        And cut connections work again
        And 14 seconds pass
    """)


# What only a process with sockets and settings writes, or a failure of the
# daemon itself.
PROCESS_EVENTS = frozenset(
    {
        'started',
        'stopping',
        'stopped',
        'reload_asked',
        'settings_reloaded',
        'settings_ignored',
        'request_refused',
        'request_failed',
        'job_accepted',
        'job_cancelled',
        'lines_left_out',
        'host_service_failed',
        'advice_failed',
        'claim_failed',
        'request_cut',
        'library_message',
        'host_orders_put_off',
        'run_paced',
        'stray_run_stop',
        'run_not_started',
        'executor_reached',
    }
)


@then('each event that the page lists for a deployment was written')
def check_events(context):
    page = (context.root / 'docs' / 'OPERATIONS.md').read_text()
    table = page.split('### The log of decisions')[1].split('###')[0]
    rows = [row for row in table.splitlines() if row.startswith('| `')]
    listed = set()
    for row in rows:
        listed |= set(re.findall(r'`([a-z_]+)`', row.split('|')[1]))
    written = {kind for _, _, kind, _ in context.world.log}
    missing = listed - written - PROCESS_EVENTS
    assert not missing, missing
    surplus = written - listed - job_world.UNLISTED_EVENTS
    assert not surplus, surplus


@when('a library logs an error of {length:d} characters with its traceback')
def log_error(context, length):
    library = logging.Logger('some.library')
    library.addHandler(decision_log.LibraryHandler(context.log))
    try:
        raise ValueError('x' * length)
    except ValueError:
        library.exception('failed with %s', 'y' * length)


@then("one line tells the library, the error's type and the text in short")
def check_library_line(context):
    data = os.read(context.reading, 65536)
    (line,) = data.splitlines()
    told = json.loads(line)
    assert told['event'] == 'library_message', told
    assert told['logger'] == 'some.library', told
    assert told['error'].startswith('ValueError('), told
    assert len(line) < 1000, len(line)
