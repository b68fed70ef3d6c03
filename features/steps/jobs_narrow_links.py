"""Steps for daemons behind links that carry few bytes in each second."""

import asyncio
import contextlib
import itertools

from behave import given
from behave import then
from behave import when

from fakes import keyed_store
from fakes import links
from fakes import store_http
from hawthorndeal_jobs import journal
from hawthorndeal_platform import keyed_log
from hawthorndeal_scheduler import log_follower
from hawthorndeal_scheduler import metrics
from hawthorndeal_site import store as store_adapter
from stage import job_world
from stage import virtual_time

PARTITION = keyed_log.Partition('history')
POLL_S = 0.05


class _Reader:
    """Reader that holds the newest record of each key.

    :ivar read_to_end_s: when the last read that reached the end was sent
    :ivar handled_s: when each record was processed
    """

    def __init__(self):
        self.offsets = {}
        self.handled_s = []
        self.read_to_end_s = None
        self._now_s = asyncio.get_running_loop().time

    def handle_record(self, record):
        """Process one record; an empty value removes it."""
        self.handled_s.append(self._now_s())
        if record.value:
            self.offsets[record.key] = record.offset
        else:
            self.offsets.pop(record.key, None)

    def note_loaded(self, keys):
        """Remove the records whose keys no longer exist."""
        for key in set(self.offsets) - keys:
            del self.offsets[key]

    def note_read(self, sent_s):
        self.read_to_end_s = sent_s


class _Events:
    """Holds the events that were written."""

    def __init__(self):
        self.written = []

    def write(self, kind, **fields):
        """Record one event."""
        self.written.append((kind, fields))


@given('a partition of {count:d} keys of {size:d} bytes')
def fill_partition(context, count, size):
    context.store = keyed_store.KeyedStore()
    context.numbers = itertools.count()
    context.count = 0
    _append(context, count, size)
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.add_cleanup(context.runner.close)


def _append(context, count, size):
    context.count += count
    keys = (f'{number:06}' for number in context.numbers)
    context.store.append(
        PARTITION,
        [
            journal.Record(key, b'x' * size)
            for key in itertools.islice(keys, count)
        ],
    )


@when('it is followed over a link of {rate:d} bytes a second')
def follow(context, rate):
    async def start():
        loop = asyncio.get_running_loop()
        context.link = links.Link(rng=None)
        context.link.narrow(rate)
        client = store_http.StoreHttp(context.store, context.link)
        context.reader = _Reader()
        context.events = _Events()
        context.follower = log_follower.Follower(
            store_adapter.Store(client, 'store:1'),
            PARTITION,
            context.reader,
            virtual_time.VirtualClock(loop),
            context.events,
            metrics.Metrics(),
        )
        context.following = asyncio.create_task(context.follower.run())
        context.begun_s = loop.time()

    context.runner.run(start())
    context.add_cleanup(_stop_following, context)


def _stop_following(context):
    async def stop():
        context.following.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await context.following

    context.runner.run(stop())


@when(
    'reads that return records are followed by a pause of {pause_s:g} seconds'
)
def set_read_pause(context, pause_s):
    context.follower.read_pause_s = pause_s


@when('{seconds:d} seconds of following pass')
def pass_time(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@when('{count:d} records of {size:d} bytes are appended at once')
def append_more(context, count, size):
    _append(context, count, size)
    context.begun_s = context.runner.get_loop().time()


@when('{what} is down for {down_s:g} of every {period_s:g} seconds')
def repeat_trouble(context, what, down_s, period_s):
    if what == 'the link':
        target, field = context.link, 'is_cut'
    else:
        target, field = context.store, 'is_down'

    async def repeat():
        while True:
            await asyncio.sleep(period_s - down_s)
            setattr(target, field, True)
            await asyncio.sleep(down_s)
            setattr(target, field, False)

    context.trouble = context.runner.get_loop().create_task(repeat())


@then('records have arrived at most {longest_s:g} seconds apart')
def check_gaps(context, longest_s):
    since_s = [s for s in context.reader.handled_s if s > context.begun_s]
    times_s = [context.begun_s, *since_s]
    gap_s = max(b - a for a, b in itertools.pairwise(times_s))
    assert gap_s <= longest_s, gap_s


@when('the link goes down')
def cut_link(context):
    context.link.is_cut = True
    context.begun_s = context.runner.get_loop().time()


@then('the store is reported as lost within {limit_s:g} seconds')
def check_lost(context, limit_s):
    took_s = _wait_for(
        context,
        lambda: 'dependency_lost' in [k for k, _ in context.events.written],
        limit_s,
    )
    assert took_s is not None, context.events.written


@when('the first {first:d} and the last {last:d} keys are deleted')
def delete_keys(context, first, last):
    page = [f'{number:06}' for number in range(context.count)]
    deleted = [*page[:first], *page[len(page) - last :]]
    context.store.append(
        PARTITION, [journal.Record(key, b'') for key in deleted]
    )
    context.count -= len(deleted)


@when('what was read is discarded for a reload')
def discard(context):
    context.reader.offsets.clear()
    context.follower.reload()
    context.begun_s = context.runner.get_loop().time()


@when(
    'the log drops what is older than {age_s:g} seconds, for {seconds:g} '
    'seconds'
)
def drop_old_records(context, age_s, seconds):
    async def drop():
        for _ in range(int(seconds / age_s)):
            await asyncio.sleep(age_s)
            _append(context, 1, 3000)
            context.store.compact(PARTITION)

    context.runner.run(drop())
    context.begun_s = context.runner.get_loop().time()


@then('{least:d} loads were logged as failed, since records had been dropped')
def check_loads_failed(context, least):
    failed = [
        fields
        for kind, fields in context.events.written
        if kind == 'load_failed'
    ]
    assert len(failed) >= least, failed
    assert all(f['keys'] and 'offset' in f['why'] for f in failed), failed


@then('the reader holds the newest record of each key')
def check_held(context):
    newest = context.store.all_newest(PARTITION)
    expected = {record.key: record.offset for record in newest}
    held = context.reader.offsets
    assert held == expected, len(held.items() ^ expected.items())


def _wait_for(context, is_met, limit_s):
    """Return how long it took until a condition was met, or None."""

    async def wait():
        now_s = asyncio.get_running_loop().time
        while not is_met():
            if now_s() - context.begun_s > limit_s:
                return None
            await asyncio.sleep(POLL_S)
        return now_s() - context.begun_s

    return context.runner.run(wait())


@then('it has been loaded within {limit_s:g} seconds')
def check_loaded(context, limit_s):
    took_s = _wait_for(context, lambda: context.follower.is_loaded, limit_s)
    assert took_s is not None, len(context.reader.offsets)
    held = len(context.reader.offsets)
    assert held == context.count, (held, context.count)


@then('the end has been read within {limit_s:g} seconds')
def check_at_end(context, limit_s):
    took_s = _wait_for(
        context,
        lambda: (context.reader.read_to_end_s or 0.0) > context.begun_s,
        limit_s,
    )
    assert took_s is not None, len(context.reader.offsets)
    held = len(context.reader.offsets)
    assert held == context.count, (held, context.count)


@given('a daemon without ownership behind a link of {rate:d} bytes a second')
def narrow_follower(context, rate):
    world = context.world
    context.narrow = next(d for d in world.daemons if d is not world.owner)
    context.narrow.link.narrow(rate)


@given('every daemon behind a link of {rate:d} bytes a second')
def narrow_all(context, rate):
    for daemon in context.world.daemons:
        daemon.link.narrow(rate)


@when(
    '{count:d} jobs of {first:d} and {second:d} tasks with {size:d} bytes of '
    'payload arrive in {seconds:g} seconds'
)
def submit_chains(context, count, first, second, size, seconds):
    _submit(context, count, (first, second), size, seconds)


@when(
    '{count:d} jobs of {tasks:d} tasks with {size:d} bytes of payload arrive '
    'in {seconds:g} seconds'
)
def submit_wide(context, count, tasks, size, seconds):
    _submit(context, count, (tasks,), size, seconds)


def _submit(context, count, counts, size, seconds):
    world = context.world
    context.ends = {}

    async def submit():
        entry = next(
            daemon
            for daemon in world.daemons
            if daemon is not world.owner
            and daemon is not getattr(context, 'narrow', None)
        )
        for number in range(count):
            job_id = f'n{number}'
            pool = ('web', 'ci')[number % 2]
            spec = job_world.chain(*counts, payload='x' * size)
            assert await world.submit(entry, pool, job_id, spec) is None
            for daemon in (world.owner, getattr(context, 'narrow', None)):
                if daemon is not None:
                    done = _note_end(context, daemon, pool, job_id)
                    context.watches.append(asyncio.create_task(done))
            await asyncio.sleep(seconds / count)

    context.watches = []
    context.runner.run(submit())


async def _note_end(context, daemon, pool, job_id):
    world = context.world
    while await world.state(daemon, pool, job_id) != 'completed':
        await asyncio.sleep(POLL_S)
    context.ends[daemon.name, job_id] = world.now_s()


@then(
    '{wanted:d} of {count:d} were reported there within {limit_s:g} second '
    'after the owner did'
)
def check_reported(context, wanted, count, limit_s):
    owner, narrow = context.world.owner, context.narrow
    delays_s = [
        context.ends.get((narrow.name, f'n{number}'), float('inf'))
        - context.ends.get((owner.name, f'n{number}'), 0.0)
        for number in range(count)
    ]
    soon = sum(delay_s <= limit_s for delay_s in delays_s)
    assert soon >= wanted, (soon, sorted(delays_s)[-10:])


@then('{wanted:d} of {count:d} starts were answered')
def check_answered(context, wanted, count):
    kinds = [
        (kind, fields.get('answer'))
        for _, _, kind, fields in context.world.log
        if kind in ('run_started', 'run_not_started')
    ]
    unknown = sum(answer == 'unknown' for _, answer in kinds)
    answered = len(kinds) - unknown
    assert kinds and answered * count >= wanted * len(kinds), (
        answered,
        unknown,
    )


@then('{wanted:d} tasks have ended')
def check_ended(context, wanted):
    ended = sum(
        kind == 'run_over' and fields['cause'] == 'done'
        for _, _, kind, fields in context.world.log
    )
    assert ended >= wanted, ended


@when(
    'statuses of {count:d} jobs with {size:d} bytes each are stored in '
    '{seconds:g} seconds'
)
def store_statuses(context, count, size, seconds):
    status = journal.JobStatus('web', 'x' * size)

    async def store():
        for number in range(count):
            record = journal.status_record(f'old{number}', status)
            context.world.store.append(job_world.STATUSES, [record])
            await asyncio.sleep(seconds / count)

    context.runner.run(store())


@then(
    'it accepts {count:d} jobs within {seconds:g} seconds though it is '
    '{behind_s:g} seconds behind'
)
def check_accepts(context, count, seconds, behind_s):
    world, daemon = context.world, context.narrow
    view = daemon.parts.owner_view

    async def submit():
        ages_s = []
        for number in range(count):
            now_s = asyncio.get_running_loop().time()
            ages_s.append(now_s - view.last_read_done_s)
            spec = job_world.chain(1)
            refused = await world.submit(daemon, 'web', f'late{number}', spec)
            assert refused is None, (number, refused, ages_s)
            await asyncio.sleep(seconds / count)
        return ages_s

    ages_s = context.runner.run(submit())
    assert max(ages_s) > behind_s, ages_s
