"""Steps for daemons behind links that carry few bytes in each second."""

import asyncio
import contextlib
import itertools
import json

from behave import given
from behave import then
from behave import when

from fakes import keyed_store
from fakes import links
from fakes import store_http
from hawthorndeal_jobs import journal
from hawthorndeal_platform import executor_orders
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import transport
from hawthorndeal_scheduler import log_follower
from hawthorndeal_scheduler import metrics
from hawthorndeal_site import hosts as hosts_adapter
from hawthorndeal_site import store as store_adapter
from stage import job_world
from stage import virtual_time

LONG_RUN_S = 60.0
SETTLING_S = 2.0
FIRST_POLLS_S = 0.5
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

    def note_page(self, sent_s):
        """Do nothing; only reads that reach the end are recorded."""

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


class _ListingHttp:
    """Stand-in for the HTTP client of the host service's adapter."""

    def __init__(self, body, link):
        self._response = transport.HttpResponse(200, body)
        self._link = link

    async def send(
        self, method, url, timeout_s, params=None, is_idle_timeout=False
    ):
        """Return the list of hosts."""
        return await self._link.call(
            lambda: self._response,
            None,
            timeout_s,
            links.REQUEST_BYTES,
            lambda response: len(response.body),
            is_idle_timeout,
        )


@given('a host service that lists {count:d} hosts on one page')
def make_listing(context, count):
    rows = [
        {
            'machine': f'm-{number:05}',
            'pool': 'web',
            'state': 'up',
            'zone': 'cz-a',
            'labels': ['a', f'r{number // 12}'],
            'capacity': {'cpu': 16000, 'mem-mb': 65536, 'gpus': 0},
            'id': f'i-{number:010}',
        }
        for number in range(count)
    ]
    context.listing = json.dumps({'machines': rows}).encode()


@when('the hosts are listed over a link of {rate:d} bytes a second')
def list_hosts(context, rate):
    link = links.Link(rng=None)
    link.narrow(rate)
    client = hosts_adapter.HostClient(
        _ListingHttp(context.listing, link), 'hosts:1'
    )
    context.listed = virtual_time.run(client.list)


@then('{count:d} hosts are known')
def check_listed(context, count):
    assert len(context.listed) == count, len(context.listed)


@given('a daemon without ownership behind a link of {rate:d} bytes a second')
def narrow_follower(context, rate):
    world = context.world
    context.narrow = next(d for d in world.daemons if d is not world.owner)
    context.narrow.link.narrow(rate)


@given('links that take {latency:g} seconds each way')
def set_latency(context, latency):
    for daemon in context.world.daemons:
        daemon.link.latency_s = latency


@given('every daemon behind a link of {rate:d} bytes a second')
@when('every daemon gets a link of {rate:d} bytes a second')
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


def _fields(context, *kinds):
    """Return time and fields of the events of some kinds."""
    return [
        (time_s, fields)
        for time_s, _, kind, fields in context.world.log
        if kind in kinds
    ]


def _check_share(answered, wanted, count):
    share = sum(answered), len(answered)
    assert answered and share[0] * count >= wanted * share[1], share


@then('{wanted:d} of {count:d} starts were answered')
def check_answered(context, wanted, count):
    starts = _fields(context, 'run_started', 'run_not_started')
    answered = [fields['answer'] != 'unknown' for _, fields in starts]
    _check_share(answered, wanted, count)


@then('half of the starts were answered within half of the timeout')
def check_answer_times(context):
    took_s = sorted(
        fields['planned_s']
        for _, fields in _fields(context, 'run_started', 'run_not_started')
    )
    limit_s = executor_orders.CALL_TIMEOUT_S / 2
    assert took_s and took_s[len(took_s) // 2] <= limit_s, took_s


@then('{wanted:d} of {count:d} stops were answered')
def check_stops_answered(context, wanted, count):
    stops = _fields(context, 'run_stop')
    _check_share([f['is_answered'] for _, f in stops], wanted, count)


@then('{wanted:d} tasks have ended')
def check_ended(context, wanted):
    ends = _fields(context, 'run_over')
    ended = sum(fields['cause'] == 'done' for _, fields in ends)
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


@then('{wanted:d} runs were stopped')
def check_stopped(context, wanted):
    ends = _fields(context, 'run_over')
    stopped = sum(fields['cause'] == 'stopped' for _, fields in ends)
    assert stopped == wanted, stopped


@then('no executor was taken for unreachable')
def check_reached(context):
    unreachable = _fields(context, 'executor_unreachable')
    assert not unreachable, unreachable


@then('no run has lapsed')
def check_not_lapsed(context):
    ends = _fields(context, 'run_over')
    lapsed = [fields for _, fields in ends if fields['cause'] == 'lapsed']
    assert ends and not lapsed, lapsed


def _submit_long(context, count, tasks, pools, cores=1.0):
    world = context.world
    spec = job_world.chain(tasks, estimate_s=LONG_RUN_S, cores=cores)

    async def submit():
        jobs = context.long_jobs
        for pool in itertools.islice(itertools.cycle(pools), count):
            job_id = f'long{len(jobs)}'
            jobs[job_id] = pool, world.now_s()
            assert await world.submit(world.owner, pool, job_id, spec) is None

    if not hasattr(context, 'long_jobs'):
        context.long_jobs = {}
    context.runner.run(submit())


@when('{count:d} long jobs of {tasks:d} tasks run in all pools')
def run_long_everywhere(context, count, tasks):
    _submit_long(context, count, tasks, ('web', 'ci'))
    _check_running(context, count * tasks)


@when('1 long job of {tasks:d} task runs in pool {pool}')
@when('1 long job of {tasks:d} tasks runs in pool {pool}')
def run_long(context, tasks, pool):
    _submit_long(context, 1, tasks, (pool,))
    _check_running(context, tasks, list(context.long_jobs)[-1:])


@when('1 long job of {tasks:d} small tasks runs in pool {pool}')
def run_small(context, tasks, pool):
    _submit_long(context, 1, tasks, (pool,), cores=0.25)
    _check_running(context, tasks)


def _check_running(context, count, job_ids=None):
    context.runner.run(asyncio.sleep(SETTLING_S))
    running = [
        context.world.running(job_id)
        for job_id in job_ids or context.long_jobs
    ]
    assert sum(map(len, running)) == count, running


@when('{count:d} long job of {tasks:d} tasks arrives in pool {pool}')
@when('{count:d} long jobs of {tasks:d} task arrive in pool {pool}')
def submit_long(context, count, tasks, pool):
    _submit_long(context, count, tasks, (pool,))


@when('the first executor in pool {pool} with runs becomes silent')
def silence_first(context, pool):
    known = context.world.owner.candidate.owner.scheduler.executors.values()
    executor_id = next(
        executor.executor_id
        for executor in known
        if executor.entry.pool == pool and executor.runs
    )
    context.world.executors[executor_id].is_cut = True


@when('these jobs are cancelled at once')
def cancel_long(context):
    world = context.world

    async def cancel():
        context.cancelled_s = world.now_s()
        await asyncio.gather(
            *(
                world.cancel(world.owner, pool, job_id)
                for job_id, (pool, _) in context.long_jobs.items()
            )
        )

    context.runner.run(cancel())


@then('each task in pool {pool} was started within {limit_s:g} seconds')
def check_started_soon(context, pool, limit_s):
    submitted_s = {
        job_id: at_s
        for job_id, (job_pool, at_s) in context.long_jobs.items()
        if job_pool == pool
    }
    started_s = {
        fields['task'].split('.')[0]: time_s
        for time_s, fields in _fields(context, 'run_started')
    }
    took_s = [
        started_s.get(job_id, float('inf')) - at_s
        for job_id, at_s in submitted_s.items()
    ]
    assert took_s and max(took_s) <= limit_s, took_s


@then('{wanted:d} runs were stopped within {limit_s:g} seconds')
def check_stopped_soon(context, wanted, limit_s):
    took_s = [
        time_s - context.cancelled_s
        for time_s, fields in _fields(context, 'run_stop')
        if fields['is_answered']
    ]
    soon = sum(took <= limit_s for took in took_s)
    assert soon == wanted, (soon, sorted(took_s)[-10:])


async def _time_starts(count, make_limit):
    """Return how long an owner takes until executors accepted all starts."""
    world = job_world.World(517, hosts_per_pool=16)
    await world.start()
    # Long enough for the first polls, too short to move idle hosts away.
    await asyncio.sleep(FIRST_POLLS_S)
    make_limit(world.owner.candidate.owner)
    begun_s = world.now_s()
    spec = job_world.one_step(count, estimate_s=LONG_RUN_S, cores=0.25)
    assert await world.submit(world.owner, 'web', 'wide', spec) is None

    def have_started():
        kinds = [kind for _, _, kind, _ in world.log]
        return kinds.count('run_started') >= count

    assert await world.wait_for(have_started, 10.0)
    took_s = world.now_s() - begun_s
    await world.stop()
    return took_s


@given('the time that an owner without a limit takes for {count:d} starts')
def time_without_limit(context, count):
    def lift_limit(owner):
        owner._orders.starts.size = float(count)

    context.unlimited_s = virtual_time.run(_time_starts, count, lift_limit)


@when('an owner with a limit gets answers to {count:d} starts')
def time_with_limit(context, count):
    context.limited_s = virtual_time.run(
        _time_starts, count, lambda owner: None
    )


@then('it takes at most {limit_s:g} seconds longer')
def check_not_longer(context, limit_s):
    longer_s = context.limited_s - context.unlimited_s
    assert longer_s <= limit_s, (context.limited_s, context.unlimited_s)
