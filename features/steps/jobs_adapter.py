"""Steps for the adapter's decoding and for the logs."""

import asyncio
import json
import logging
import math
import os
import random
import re
import struct
import time
import types

from behave import given
from behave import then
from behave import when
from prometheus_client import parser

from hawthorndeal_cli import log_timeline
from hawthorndeal_fleet import errors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import specs
from hawthorndeal_platform import executor_orders
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import transport
from hawthorndeal_scheduler import decision_log
from hawthorndeal_scheduler import metrics
from hawthorndeal_scheduler import offerer
from hawthorndeal_scheduler import settings as settings_module
from hawthorndeal_site import advice
from hawthorndeal_site import configuration
from hawthorndeal_site import executors
from hawthorndeal_site import formats
from hawthorndeal_site import hosts
from hawthorndeal_site import store
from hawthorndeal_site import submissions
from stage import job_world

VALID = {
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
        'tenants': [
            {
                'name': 'w',
                'api-keys': ['k1', 'k2'],
                'weight': 3,
                'max-count': {'cpu': 4000, 'mem-mb': 1, 'gpus': 0},
            }
        ],
    },
    'executor entries': {
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
    'poll responses': {
        'clock-ms': 5,
        'running': [['5c0e7a21d94b36f8.0.1.17', 2, '', 41, 7]],
        'ended': [[58, '5c0e7a21d94b36f8.0.1.9', 1, 'done', '']],
    },
    'start responses': {'clock-ms': 5},
    'lists of hosts': {
        'machines': [
            {
                'machine': 'm',
                'pool': 's',
                'state': 'up',
                'zone': 'z',
                'labels': ['a', 'r1'],
                'id': 'i-1',
            }
        ],
        'next-page-token': '',
    },
    'newest records': {
        'items': [{'key': 'k', 'value': 'e30=', 'offset': 3}],
        'has-more': False,
        'end': 4,
    },
    'append responses': {'offset': 3, 'end': 4},
    'permissions': {'good': [['i-1', 'ticket']]},
}
FUZZ_VALUES = (
    None,
    True,
    -1,
    1e308,
    'x' * 9000,
    [],
    {},
    [[]],
    '\udcff',
    10**30,
    10**400,
    -(10**6),
    0.5,
    math.inf,
    -math.inf,
    math.nan,
)


PARTITION = keyed_log.Partition('p')
TARGET = executor_orders.Target('i-1', '10.0.0.1:8080')
START = executor_orders.StartOrder(
    jobs.TaskId('5c0e7a21d94b36f8', 0, 1, 17), 1, '', 9.0, 1, '', ''
)


class _FixedClient:
    """HTTP client that gives the same response to every request."""

    def __init__(self, body, status=200):
        self._response = transport.HttpResponse(status, body)

    async def send(self, *arguments, **options):
        return self._response


async def _poll(client):
    """Poll an executor, and renew its lease by the clock that it told."""
    clock = types.SimpleNamespace(monotonic_s=lambda: 100.0)
    caller = executors.ExecutorClient(client, clock)
    poll = await caller.poll(TARGET, 1, 0, 9.0, 1.0)
    await caller.poll(TARGET, 1, 0, poll.clock_s + 4.0, 1.0)


_CALLS = {
    'poll responses': _poll,
    'start responses': lambda client: executors.ExecutorClient(
        client, None
    ).start(TARGET, START),
    'lists of hosts': lambda client: hosts.HostClient(client, '').list(),
    'newest records': lambda client: store.Store(client, '').newest(PARTITION),
    'append responses': lambda client: store.Store(client, '').append(
        PARTITION, [journal.Record('k', b'v')]
    ),
    'permissions': lambda client: advice.AdviceClient(client, '').advise(
        ('5c0e7a21d94b36f8', 0, 1), ['i-1'], 1.0
    ),
}


def _decode(what, plain):
    body = json.dumps(plain).encode()
    if what == 'jobs':
        submissions.decode_job(body)
    elif what == 'configurations':
        configuration.decode_configuration(body)
    elif what == 'executor entries':
        formats.Formats.decode_entry('i-1', body)
    elif what == 'waves':
        configuration.decode_wave(body)
    else:
        asyncio.run(_CALLS[what](_FixedClient(body)))


def _mutate(plain, rng):
    """Return a copy with one value removed or replaced by a fuzz value."""
    copy = json.loads(json.dumps(plain))
    container = copy
    while True:
        keys = (
            list(container)
            if isinstance(container, dict)
            else range(len(container))
        )
        if not keys:
            return rng.choice(FUZZ_VALUES)
        key = rng.choice(list(keys))
        child = container[key]
        if isinstance(child, (dict, list)) and child and rng.random() < 0.7:
            container = child
            continue
        if rng.random() < 0.3 and isinstance(container, dict):
            del container[key]
        else:
            container[key] = rng.choice(FUZZ_VALUES)
        return copy


@when('{count:d} random variants of {what} are decoded')
def decode_variants(context, count, what):
    rng = random.Random(11)
    context.unexpected_errors = []
    for _ in range(count):
        if what == 'pages of records':
            _decode_safely(context, store.decode_page, _corrupted_page(rng), 0)
        else:
            _decode_safely(context, _decode, what, _mutate(VALID[what], rng))
    if what != 'pages of records':
        _decode(what, VALID[what])


@when('a job that asks for {name} {value} is decoded')
def decode_odd_job(context, name, value):
    step = {'count': 1, 'cpu': 500, 'estimated-ms': 900, name: int(value)}
    body = json.dumps({'task-spec': 'text', 'steps': [step]}).encode()
    context.error = None
    try:
        submissions.decode_job(body)
    except ValueError as error:
        context.error = error


@then('it is rejected as malformed')
def check_rejected(context):
    assert context.error is not None


def _corrupted_page(rng):
    header = struct.pack('>QQ', 9, 0)
    body = header + b''.join(
        store.encode_record(journal.Record('k', rng.randbytes(5)))
        for _ in range(3)
    )
    cut = rng.randrange(len(body))
    return body[:cut] + rng.randbytes(rng.randrange(9))


def _decode_safely(context, decode, *arguments):
    try:
        decode(*arguments)
    except (ValueError, errors.PlatformError):
        return
    except Exception as error:
        context.unexpected_errors.append((arguments, repr(error)))


@then('each was decoded or rejected as malformed')
def check_decoded_or_rejected(context):
    assert not context.unexpected_errors, context.unexpected_errors[:3]


@when('{count:d} random records are encoded and decoded')
def encode_and_decode(context, count):
    rng = random.Random(5)
    context.encoded = [
        journal.Record(f'k{n}', rng.randbytes(rng.randrange(300)))
        for n in range(count)
    ]
    body = struct.pack('>QQ', count, 0) + b''.join(
        map(store.encode_record, context.encoded)
    )
    context.page = store.decode_page(body, 0)


@then('the decoded records equal the encoded ones')
def check_records_equal(context):
    decoded = [(r.key, r.value) for r in context.page.records]
    assert decoded == [(r.key, r.value) for r in context.encoded]
    assert context.page.next_offset == len(context.encoded)


@when('an executor responds to a start with {status:d} and "{reason}"')
@when('an executor responds to a start with {status:d} and ""')
def respond_to_start(context, status, reason=''):
    body = json.dumps({'clock-ms': 1500, 'reason': reason}).encode()
    context.answer = executors.decode_start_response(
        transport.HttpResponse(status, body)
    )


@then('the start outcome is {outcome}')
def check_start_outcome(context, outcome):
    answer, clock_s = context.answer
    assert answer.value == outcome, answer
    assert clock_s == 1.5


class _FixedExchange:
    """Exchange that returns the same response to every call."""

    def __init__(self, status, reason):
        body = json.dumps({'reason': reason, 'end': 3}).encode()
        self._answer = transport.HttpResponse(status, body)

    async def send(self, *arguments, **options):
        """Return the fixed response."""
        return self._answer


@given('a store that responds with {status:d} and "{reason}"')
@given('a store that responds with {status:d} and ""')
def make_store(context, status, reason=''):
    context.store = store.Store(_FixedExchange(status, reason), '127.0.0.1:1')


@given('a store that takes every record')
def make_taking_store(context):
    body = json.dumps({'offset': 0, 'end': 1}).encode()
    exchange = _FixedExchange(200, '')
    exchange._answer = transport.HttpResponse(200, body)
    context.store = store.Store(exchange, '127.0.0.1:1')


@when('a record is appended')
def append(context, key_bytes=1):
    record = journal.Record('k' * key_bytes, b'v')

    async def attempt():
        await context.store.append(keyed_log.Partition('t'), [record])

    context.failure = ''
    try:
        asyncio.run(attempt())
    except errors.HawthorndealError as error:
        context.failure = error.reason


@when('a record with a key of {count:d} bytes is appended')
def append_with_key(context, count):
    append(context, count)


@then('it is stored')
def check_stored(context):
    assert not context.failure, context.failure


@then('it fails with {reason}')
def check_failure(context, reason):
    assert context.failure == reason, context.failure


@given('a decision log whose pipe is full')
def open_log_on_full_pipe(context):
    context.read_fd, write_fd = os.pipe()
    os.set_blocking(write_fd, False)
    os.set_blocking(context.read_fd, False)
    try:
        while True:
            os.write(write_fd, b'x' * 4096)
    except BlockingIOError:
        context.log = decision_log.DecisionLog('d', write_fd, 10**6)


@when('{count:d} lines are written')
def write_lines(context, count):
    started_s = time.monotonic()
    for number in range(count):
        context.log.write('kind', number=number)
    context.took_s = time.monotonic() - started_s


@then('that took less than {seconds:g} seconds')
def check_took(context, seconds):
    assert context.took_s < seconds, context.took_s


@then('the number of dropped lines is logged once the pipe is read')
def check_drops_logged(context):
    assert context.log.dropped_lines > 0
    text = b''
    for number in range(200):
        try:
            text += os.read(context.read_fd, 1 << 20)
        except BlockingIOError:
            pass
        context.log.write('later', number=number)
    assert b'"dropped_before":' in text, text[-300:]


@given('a decision log that writes {most:d} lines of a kind in a second')
def open_rate_limited_log(context, most):
    context.read_fd, write_fd = os.pipe()
    context.log = decision_log.DecisionLog('d', write_fd, most)


@when('{count:d} lines are written within one second, and one later')
def write_burst(context, count):
    time.sleep(1.02 - time.time() % 1.0)
    for number in range(count):
        context.log.write('kind', number=number)
    time.sleep(1.0)
    context.log.write('kind', number=count)


@then('{some:d} of them were written, and a line reports {rest:d} left out')
def check_rate_limit(context, some, rest):
    lines = os.read(context.read_fd, 1 << 20).decode().splitlines()
    events = [json.loads(line) for line in lines]
    assert [e['event'] for e in events].count('kind') == some + 1
    logged = [e for e in events if e['event'] == 'lines_left_out']
    assert logged[0]['kinds'] == {'kind': rest}, logged


@given('metrics of two requests, a start and an end')
def record_metrics(context):
    context.metrics = recorded = metrics.Metrics()
    recorded.note_request('GET', 200, 0.01)
    recorded.note_request('POST', 503, 0.02)
    recorded.note_start('accepted')
    recorded.note_end('done')
    recorded.note_host_order('host_moved')
    recorded.note_page('jobs', [], 0)
    recorded.note_cycle_part('plan', 0.01)
    recorded.note_unanswered_call('poll')


@when("they are parsed by the library's own parser")
def parse_metrics(context):
    text = context.metrics.exposition().decode()
    context.families = {
        family.name for family in parser.text_string_to_metric_families(text)
    }


@then('exactly the documented metrics are present')
def check_metrics(context):
    page = (context.root / 'docs' / 'OPERATIONS.md').read_text()
    listed = set(re.findall(r'`(hawthorndeal_[a-z_]+)`', page))
    listed = {name.removesuffix('_total') for name in listed}
    exported = {
        name.removesuffix('_total')
        for name in context.families
        if not name.endswith('_created')
    }
    assert listed == exported, listed ^ exported


def _log_line(time_s, daemon, event, **fields):
    plain = {'time_s': time_s, 'daemon': daemon, 'event': event}
    return 'prefix ' + json.dumps({**plain, **fields})


@given('logs of a job under which an executor crashed')
def write_crash_logs(context):
    context.texts = [
        _log_line(1.0, 'a', 'job_accepted', job='j1'),
        _log_line(2.0, 'a', 'executor_gone', executor='x'),
        _log_line(2.0, 'a', 'executor_gone', executor='y'),
        _log_line(2.1, 'a', 'crash_suspect', task='j1.0.0.0', executor='x'),
        _log_line(2.1, 'a', 'crash_suspect', task='j2.0.0.0', executor='y'),
    ]


@then('it tells that executor "{name}" is gone, but nothing of "{other}"')
def check_crash_timeline(context, name, other):
    gone = [
        line.fields['executor']
        for line in context.timeline.lines
        if line.event == 'executor_gone'
    ]
    assert gone == [name], gone
    assert all(other not in str(line) for line in context.timeline.lines)


@given("logs of two daemons with {count:d} unreadable lines")
def write_logs(context, count):
    line = _log_line
    context.texts = [
        line(3.0, 'b', 'run_started', task='j1.0.0.0', run=1, executor='x'),
        line(1.0, 'a', 'job_accepted', job='j1'),
        line(2.0, 'b', 'owner_claimed', epoch=4),
        line(2.5, 'b', 'run_started', task='j10.0.0.0', run=1),
        *['{', 'no json', 'prefix {"time_s": []}'][:count],
        '',
    ]


@when('the timeline of "{name}" is built')
def build_timeline(context, name):
    context.timeline = log_timeline.build_timeline(name, context.texts)


@then('it is sorted by time across both daemons')
def check_timeline(context):
    logged = [(line.daemon, line.event) for line in context.timeline.lines]
    assert logged == [
        ('a', 'job_accepted'),
        ('b', 'owner_claimed'),
        ('b', 'run_started'),
    ], logged


@then("it notes a run without an end, and {count:d} unreadable lines")
def check_notes(context, count):
    assert any('run 1 of j1.0.0.0' in n for n in context.timeline.missing)
    assert context.timeline.unreadable == count


@when('every kind of decision has been made')
def make_all_decisions(context):
    context.execute_steps("""
        When job "l" of 3 long-running tasks, 1 unavailable at most, starts
        And a wave over its pool is requested, 2 at once, within 10 seconds
        And 30 jobs of 16 and 16 tasks are submitted in the background
        And malformed records are written to both partitions
        And job "a" of 2 and 2 tasks is submitted to daemon 0
        And job "a" is cancelled at daemon 1
        And 4 seconds pass
        And the store goes down
        And job "b" of 2 and 2 tasks is submitted to daemon 0
        And 1 seconds pass
        And the owner is killed
        And all daemons are killed and restarted after 0.1 seconds
        And 1 seconds pass
        And the store comes back
        And the host of a task of "l" crashes for 5 seconds
        And 6 seconds pass
        And owners are restarted 1 times, every 1 seconds
        And 20 jobs of 16 and 16 tasks are submitted in the background
        And 1 seconds pass
        And the owner is cut off from everything
        And 4 seconds pass
        And partitions are healed
        And 14 seconds pass
        And each list of hosts raises an unexpected error for 1 seconds
        And each poll of one executor raises an unexpected error for 4 seconds
        And 20 jobs of 16 and 16 tasks are submitted in the background
        And 4 seconds pass
        And 90 jobs of 16 tasks are submitted to "web" at once
        And 4 seconds pass
        And 60 jobs of 16 tasks are submitted to "ci" at once
        And 3 seconds pass
        And the owner's host becomes weak
        And 4 seconds pass
        And an unreadable configuration is written
        And jobs of a workspace with a quota of 1 core arrive
        And 1 seconds pass
        And the jobs can't be read for 2 seconds
        And 1 seconds pass
        And the partition of "the statuses" is silent for 3 seconds
        And the partition of "the jobs" is silent for 3 seconds
        And a wave that can't be planned is requested
        And a wave is not reported at first
        And the host of a task of "l" crashes for 5 seconds
        And 4 seconds pass
        And entries of ended incarnations are stored again
        And all executors begin again under their ids
        And 10 jobs of 16 and 16 tasks are submitted in the background
        And 3 seconds pass
        And an owner takes over while a spare partition is silent
        And 2 seconds pass
    """)


@when('an unreadable configuration is written')
def write_unreadable_configuration(context):
    context.world.store.append(
        job_world.OPERATORS, [journal.Record('config', b'unreadable')]
    )


@when('a wave is not reported at first')
def report_late(context):
    world = context.world

    async def report_wave(number, is_completed):
        del world.report_wave
        raise errors.OutcomeUnknown('no answer')

    world.report_wave = report_wave
    world.add_wave(2, ['web-h0'], 5.0, 1)
    context.runner.run(asyncio.sleep(1.0))


@when('an owner takes over while a spare partition is silent')
def take_over_beside_silence(context):
    limits = {'submission_partitions': 2, 'spare_partitions': 1}

    async def run():
        world = job_world.World(23, limits=[limits] * 2)
        await world.start()
        first, spare = world.daemons[0].parts.status_partitions
        world.store.silent.add(first.name)
        await asyncio.sleep(1.0)
        world.store.end_silence({first.name})
        world.store.silent.add(spare.name)
        await world.owner.kill()
        await asyncio.sleep(4.0)
        await world.stop()
        return world.log

    context.world.log += context.runner.run(run())


@when("the jobs can't be read for {seconds:d} seconds")
def hide_jobs(context, seconds):
    unreadable = context.world.store.unreadable
    unreadable.add(job_world.JOBS.name)
    context.runner.run(asyncio.sleep(seconds))
    unreadable.discard(job_world.JOBS.name)


@when('jobs of a workspace with a quota of {cores:d} core arrive')
def submit_limited_jobs(context, cores):
    world = context.world
    world.declare_workspace('web', 'vltava', specs.Resources(cores * 1000))

    async def submit():
        await asyncio.sleep(0.5)
        spec = job_world.one_step(4)
        for number in range(20):
            job_id = f'limited{number}'
            refusal = await world.submit(world.owner, 'web', job_id, spec)
            assert refusal is None, refusal

    context.runner.run(submit())


# Events that only a process with sockets and settings logs, or that follow a
# failure of the daemon itself.
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
        'submissions_not_deleted',
        'run_paced',
        'stray_run_stop',
        'run_not_started',
        'executor_reached',
        # Planning takes no virtual time.
        'cycle_slow',
    }
)


# Events that scenarios of their own check: jobs_relay, jobs_consolidation,
# jobs_standing_work, jobs_refused_records, jobs_executor_blame,
# jobs_waves_changed.
CHECKED_ELSEWHERE = frozenset(
    {
        'call_passed_on',
        'host_consolidating',
        'step_standing',
        'steps_standing',
        'loop_late',
        'record_refused',
        'executor_suspended',
        'executor_cleared',
        'host_not_emptied',
    }
)


@then('every event documented for a deployment was logged')
def check_events(context):
    page = (context.root / 'docs' / 'OPERATIONS.md').read_text()
    table = page.split('### The log of decisions')[1].split('###')[0]
    rows = [row for row in table.splitlines() if row.startswith('| `')]
    listed = set()
    for row in rows:
        listed |= set(re.findall(r'`([a-z_]+)`', row.split('|')[1]))
    written = {kind for _, _, kind, _ in context.world.log}
    missing = listed - written - PROCESS_EVENTS - CHECKED_ELSEWHERE
    assert not missing, missing
    surplus = written - listed - job_world.UNDOCUMENTED_EVENTS
    assert not surplus, surplus


@when('a library logs an error of {length:d} characters with its traceback')
def log_library_error(context, length):
    library = logging.Logger('some.library')
    library.addHandler(decision_log.LibraryHandler(context.log))
    try:
        raise ValueError('x' * length)
    except ValueError:
        library.exception('failed with %s', 'y' * length)


@then("one line holds the library, the error's type and the shortened text")
def check_library_line(context):
    data = os.read(context.read_fd, 65536)
    (line,) = data.splitlines()
    logged = json.loads(line)
    assert logged['event'] == 'library_message', logged
    assert logged['logger'] == 'some.library', logged
    assert logged['error'].startswith('ValueError('), logged
    assert len(line) < 1000, len(line)


@given('settings of a scheduling daemon with {fields}')
def set_settings(context, fields):
    addresses = ('callers', 'readiness', 'metrics', 'store')
    lines = ['daemon: entry-1', 'zone: cz-a']
    lines += [f'{name}_address: 127.0.0.1:1' for name in addresses]
    lines += re.split(r', (?=\w+: )', fields)
    context.settings_text = '\n'.join(lines).encode()


@then('they are refused, and the message names "{named}"')
def check_settings_refused(context, named):
    try:
        settings_module.parse(context.settings_text, 'settings.yaml')
    except errors.InvalidFile as error:
        assert named in str(error), error
    else:
        raise AssertionError('they were accepted')


@then('the strength of its host is {strength:g}')
def check_settings_strength(context, strength):
    settings = settings_module.parse(context.settings_text, 'settings.yaml')
    assert offerer.strength(settings) == strength
