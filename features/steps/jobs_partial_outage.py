"""Steps for outages of some of the store's partitions."""

import asyncio
import itertools
import types

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_platform import keyed_log
from hawthorndeal_scheduler import submitter
from stage import fault_search
from stage import job_world
from stage import virtual_time

SUBMISSION_PARTITIONS = 16
SPARE_PARTITIONS = 3
TASKS = 2
ESTIMATE_S = 0.3
ASK_PERIOD_S = 0.2
RETRY_S = 0.5
READY_PERIOD_S = 0.1
# Time for which jobs are watched after the last one was sent.
WATCH_S = 6.0
# An owner stores a few records in this time.
RECORDS_S = 0.3


@given('{count:d} simulated daemons with seed {seed:d} and spare partitions')
def start_simulation(context, count, seed):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs = {}
    limits = {
        'submission_partitions': SUBMISSION_PARTITIONS,
        'spare_partitions': SPARE_PARTITIONS,
    }

    async def start():
        context.world = job_world.World(
            seed, hosts_per_pool=16, limits=[limits] * count
        )
        await context.world.start()
        await asyncio.sleep(2.0)

    context.add_cleanup(_stop, context)
    context.runner.run(start())


def _stop(context):
    context.runner.run(context.world.stop())
    context.runner.close()


def _rng(context):
    """Return the source of what the steps choose, as seeded as the world."""
    return context.world.rng


def _names(context, which):
    """Return the names of the partitions that a scenario speaks of."""
    world = context.world
    parts = world.daemons[0].parts
    submissions = [p.name for p in parts.submission_partitions]
    known = {
        'the jobs': [job_world.JOBS.name],
        'the statuses': [job_world.STATUSES.name],
        'the entries': [job_world.ENTRIES.name],
        'the operators': [job_world.OPERATORS.name],
        'one of the submissions': submissions[3:4],
        'half of the submissions': submissions[::2],
        'the jobs and the statuses': [
            job_world.JOBS.name,
            job_world.STATUSES.name,
        ],
    }
    if which in known:
        return known[which]
    assert which == 'a third of all', which
    spares = [p.name for p in parts.status_partitions]
    others = [job_world.JOBS.name, job_world.OPERATORS.name]
    every = sorted({*submissions, *spares, *others})
    return _rng(context).sample(every, len(every) // 3)


@when('the partition of "{which}" {kind} for {away_s:g} seconds')
def interrupt(context, which, kind, away_s):
    _set_away(context, which, kind, True)
    context.runner.run(asyncio.sleep(away_s))
    _set_away(context, which, kind, False)


def _set_away(context, which, kind, is_away):
    store = context.world.store
    if is_away:
        context.away_names = _names(context, which)
        store.is_late = kind == 'is silent and stores late'
        away = store.refusing if kind == 'refuses calls' else store.silent
        away.update(context.away_names)
    else:
        store.refusing.difference_update(context.away_names)
        store.end_silence(context.away_names)


@when(
    '{rate:d} jobs a second arrive for {seconds:g} seconds, and from second '
    '{at_s:g} on the partition of "{which}" {kind} for {away_s:g} seconds'
)
def submit_beside_outage(context, rate, seconds, at_s, which, kind, away_s):
    async def run():
        outage = asyncio.create_task(
            _interrupt_later(context, which, kind, at_s, away_s)
        )
        await _submit_and_watch(context, rate, seconds)
        await outage

    context.runner.run(run())


@when(
    '{rate:d} jobs a second arrive for {seconds:g} seconds, and the owner '
    'dies {at_s:g} seconds after the partition of "{which}" {kind} for '
    '{away_s:g} seconds'
)
def submit_beside_death(context, rate, seconds, at_s, which, kind, away_s):
    async def kill_owner():
        await asyncio.sleep(1.0 + at_s)
        await context.world.owner.restart()

    async def run():
        outage = asyncio.create_task(
            _interrupt_later(context, which, kind, 1.0, away_s)
        )
        death = asyncio.create_task(kill_owner())
        await _submit_and_watch(context, rate, seconds)
        await asyncio.gather(outage, death)

    context.runner.run(run())


@when(
    '{rate:d} jobs a second arrive for {seconds:g} seconds, and after '
    '{at_s:g} seconds the owner is stopped'
)
def submit_beside_stop(context, rate, seconds, at_s):
    async def stop_owner():
        await asyncio.sleep(at_s)
        context.since_s = context.world.now_s()
        await context.world.owner.candidate.stop()

    async def run():
        stopping = asyncio.create_task(stop_owner())
        await _submit_and_watch(context, rate, seconds)
        await stopping

    context.runner.run(run())


async def _interrupt_later(context, which, kind, at_s, away_s):
    await asyncio.sleep(at_s)
    context.away_s = context.world.now_s(), context.world.now_s() + away_s
    _set_away(context, which, kind, True)
    context.unready = set()
    while (left_s := context.away_s[1] - context.world.now_s()) > 0.0:
        await asyncio.sleep(min(READY_PERIOD_S, left_s))
        context.unready.update(
            daemon.name
            for daemon in context.world.daemons
            if not daemon.interface.is_ready
        )
    _set_away(context, which, kind, False)


async def _submit_and_watch(context, rate, seconds):
    context.sent_s, context.accepted_s, context.shown_s = {}, {}, {}
    context.unknown = []
    tasks = []
    first = len(context.jobs)
    for number in range(first, first + int(rate * seconds)):
        tasks.append(asyncio.create_task(_use_job(context, f'j{number}')))
        await asyncio.sleep(1 / rate)
    await asyncio.sleep(WATCH_S)
    for task in tasks:
        task.cancel()

    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result
    # No daemon may tell that an accepted job doesn't exist.
    assert not context.unknown, context.unknown


async def _use_job(context, job_id):
    """Submit a job, then ask any daemons for its state until it is done."""
    world = context.world
    context.jobs[job_id] = 'web'
    context.sent_s[job_id] = world.now_s()
    spec = job_world.chain(TASKS, TASKS, estimate_s=ESTIMATE_S)
    while True:
        daemon = _rng(context).choice(world.daemons)
        refusal = await world.submit(daemon, 'web', job_id, spec)
        if refusal is None:
            break
        await asyncio.sleep(RETRY_S)
    context.accepted_s[job_id] = world.now_s()
    while True:
        await asyncio.sleep(ASK_PERIOD_S)
        daemon = _rng(context).choice(world.daemons)
        state = await world.state(daemon, 'web', job_id)
        if state == 'completed':
            context.shown_s[job_id] = world.now_s()
            return
        if state == 'unknown':
            context.unknown.append((job_id, daemon.name, world.now_s()))


def _share_within(context, times_s, limit_s):
    in_time = sum(
        times_s.get(job_id, float('inf')) - sent_s <= limit_s
        for job_id, sent_s in context.sent_s.items()
    )
    return in_time / len(context.sent_s)


@then('at least {share:g} of the jobs are accepted within {limit_s:g} s')
def check_accepted(context, share, limit_s):
    found = _share_within(context, context.accepted_s, limit_s)
    assert found >= share, found


@then('at least {share:g} are shown as completed within {limit_s:g} s')
def check_shown(context, share, limit_s):
    found = _share_within(context, context.shown_s, limit_s)
    assert found >= share, found


@then('every job is shown as completed {later_s:g} seconds later')
def check_all_shown(context, later_s):
    world = context.world

    async def states():
        await asyncio.sleep(later_s)
        return {
            job_id: await world.state(world.daemons[0], 'web', job_id)
            for job_id in context.jobs
        }

    others = {
        job_id: state
        for job_id, state in context.runner.run(states()).items()
        if state != 'completed'
    }
    assert not others, others


@when(
    'simulations with random faults and partial outages of seeds {first:d} to '
    '{last:d} run'
)
def run_searches(context, first, last):
    limits = {
        'submission_partitions': 4,
        'spare_partitions': SPARE_PARTITIONS,
    }
    kinds = fault_search.ALL_KINDS + fault_search.PARTITION_KINDS * 6
    context.verdicts = [
        fault_search.run_with_faults(seed, kinds, [limits] * 3)
        for seed in range(first, last + 1)
    ]


@when('reports on waves get no answer')
def block_reports(context):
    async def report_wave(number, is_completed):
        await asyncio.sleep(keyed_log.APPEND_TIMEOUT_S)
        raise errors.OutcomeUnknown('no answer')

    context.world.report_wave = report_wave


@when('reports on waves are taken again')
def take_reports(context):
    del context.world.report_wave


@then('a host was moved to "{pool}" within this second')
def check_moved(context, pool):
    since_s = context.world.now_s() - 1.0
    assert any(
        kind == 'host_moved' and fields['to_pool'] == pool
        for time_s, _, kind, fields in context.world.log
        if time_s >= since_s
    )


@then('during the outage no {limit_s:g} s pass without a start')
def check_starts(context, limit_s):
    begin_s, end_s = context.away_s
    starts = [
        time_s
        for time_s, _, kind, _ in context.world.log
        if kind == 'run_started' and begin_s <= time_s <= end_s + limit_s
    ]
    times = sorted([begin_s, *starts, end_s + limit_s])
    longest_s = max(b - a for a, b in zip(times, times[1:]))
    assert longest_s < limit_s, longest_s


@when(
    "the statuses can't be read for {seconds:g} seconds, and the owner dies "
    'at once'
)
def hide_statuses(context, seconds):
    world = context.world
    name = job_world.STATUSES.name

    async def run():
        world.store.unreadable.add(name)
        await asyncio.sleep(RECORDS_S)
        await world.owner.kill()
        await asyncio.sleep(seconds - RECORDS_S)
        world.store.unreadable.discard(name)

    context.runner.run(run())


@then('during the outage every daemon is ready')
def check_ready(context):
    assert not context.unready, context.unready


@then('nothing is stored of the jobs that have ended')
def check_deleted(context):
    world = context.world
    kept = [
        (follower.partition.name, record.key)
        for follower in world.daemons[0].parts.jobs_followers
        for record in world.store.all_newest(follower.partition)
        if record.key.partition('/')[2].split('/')[0] in context.shown_s
    ]
    assert not kept, kept


@then(
    'a task starts within {limit_s:g} seconds of the return of the partitions'
)
def check_resumed(context, limit_s):
    returned_s = context.away_s[1]
    started_s = min(
        time_s
        for time_s, _, kind, _ in context.world.log
        if kind == 'run_started' and time_s > returned_s
    )
    assert started_s - returned_s <= limit_s, started_s - returned_s


@then('a claim follows within {limit_s:g} seconds of the return')
def check_claim(context, limit_s):
    world = context.world
    returned_s = world.now_s()
    context.runner.run(asyncio.sleep(limit_s + 4.0))
    claims = [
        time_s - returned_s
        for time_s, _, kind, _ in world.log
        if kind == 'owner_claimed' and time_s > returned_s
    ]
    assert claims and claims[0] <= limit_s, claims


@then('a daemon told why it withheld its claim')
def check_withheld(context):
    reasons = {
        fields['why']
        for _, _, kind, fields in context.world.log
        if kind == 'claim_withheld'
    }
    assert 'the statuses were read too long ago' in reasons, reasons


@then('the owner told that it starts nothing, for the partition of "{which}"')
def check_halt(context, which):
    named = [
        fields['partitions']
        for _, _, kind, fields in context.world.log
        if kind == 'starts_halted'
    ]
    assert _names(context, which) in named, named


@attrs.define
class _ScriptedLog:
    """Log whose partitions each do what a scenario says.

    :ivar kinds: what each partition does, by number
    """

    kinds: list[str]
    overdue_s: float = 0.25
    reachability: object = types.SimpleNamespace(is_silent=False)

    async def append(self, partition, records):
        """Append records, or fail as the partition does."""
        kind = self.kinds[partition.number]
        if kind == 'refusing':
            raise keyed_log.Overloaded('refused')
        if kind == 'silent':
            await asyncio.sleep(keyed_log.APPEND_TIMEOUT_S)
            raise errors.OutcomeUnknown('no answer')
        if kind == 'late':
            await asyncio.sleep(1.0)
        return 0


@when(
    'a record is appended while its own partition is {own}, and the other one '
    '{other}'
)
def append_record(context, own, other):
    other, _, is_withdrawn = other.partition(', but ')
    allowed = itertools.chain([True], itertools.repeat(not is_withdrawn))

    def verify():
        if not next(allowed):
            raise errors.UnknownKey('withdrawn')

    async def append():
        part = submitter.Submitter(_ScriptedLog([own, other]))
        running = asyncio.create_task(part.run())
        partitions = [keyed_log.Partition('records', n) for n in range(2)]
        record = journal.cancel_record('j')
        try:
            await part.append(partitions, record, 4.0, verify)
        finally:
            running.cancel()

    try:
        virtual_time.run(append)
        context.outcome = 'stored'
    except errors.RequestFailed:
        context.outcome = 'not allowed'
    except errors.PlatformUnavailable:
        context.outcome = 'not stored'
    except errors.OutcomeUnknown:
        context.outcome = 'unknown'


@then('its outcome is "{outcome}"')
def check_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome
