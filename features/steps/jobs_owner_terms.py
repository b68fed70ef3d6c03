"""Steps for what an owner does from its claim to the end of its term."""

import asyncio
import types

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_platform import keyed_log
from stage import job_world
from stage import virtual_time


@when('the end of the partition of the jobs is noted')
def note_end(context):
    context.noted_end = context.world.store.end(job_world.JOBS)


@then('nothing was appended to the partition of the jobs')
def check_nothing_appended(context):
    end = context.world.store.end(job_world.JOBS)
    records = context.world.store.read(job_world.JOBS, context.noted_end)
    keys = sorted({r.key for r in records.records})
    assert end == context.noted_end, (
        f'{end - context.noted_end} records of {len(keys)} keys: {keys[:3]}'
    )


@when('the owner accepts an offer while an order to a host is unanswered')
def accept_offer_during_order(context):
    context.former = context.world.owner
    owner = context.former.candidate.owner
    owner.hosts._order_sender._pending_orders = 1
    owner._is_releasing = True
    owner.wake()
    context.runner.run(asyncio.sleep(0.12))


@when(
    'another daemon claims, and the order is answered {seconds:g} seconds '
    'later'
)
def claim_during_release(context, seconds):
    owner = context.former.candidate.owner
    claim = journal.Ownership(owner.epoch + (1 << 20), 'entry-9')
    context.world.store.append(
        job_world.STATUSES,
        [journal.ownership_record(claim)],
        keyed_log.AppendFence(claim.epoch, 0),
    )
    context.runner.run(asyncio.sleep(seconds))
    owner.hosts._order_sender._pending_orders = 0


@then('no daemon still holds a lost ownership')
def check_no_lost_owner(context):
    held = [
        daemon.name
        for daemon in context.world.daemons
        if daemon.candidate.owner is not None
        and daemon.candidate.owner.term.is_lost
    ]
    assert not held, held


@given(
    'a weak daemon that claims a partition of {count:d} jobs over a narrow '
    'link'
)
def start_weak_owner(context, count):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    weak, strong = job_world.WEAK_HOST, job_world.STRONG_HOST

    async def start():
        world = context.world = job_world.World(
            7, limits=[weak, strong, strong]
        )
        spec = job_world.chain(1, estimate_s=0.3, payload='x' * 3900)
        submission = journal.Submission('web', 'web', 0.0, spec)
        for number in range(count):
            world.specs[f'{number:05}'] = spec
            record = journal.submission_record(f'{number:05}', submission)
            world.store.append(job_world.JOBS, [record])
        world.daemons[0].link.narrow(610_000)
        world.daemons[0].start()
        await world.wait_for(lambda: world.owner is not None, 10.0)

    async def stop():
        for daemon in context.world.daemons:
            await daemon.kill()

    context.add_cleanup(context.runner.close)
    context.add_cleanup(lambda: context.runner.run(stop()))
    context.runner.run(start())


@when('two strong daemons start')
def start_strong(context):
    async def start():
        for daemon in context.world.daemons[1:]:
            daemon.start()

    context.runner.run(start())


@then('a strong daemon is at work within {limit_s:g} seconds')
def check_strong_at_work(context, limit_s):
    world = context.world
    begun_s = world.now_s()

    def is_at_work():
        owner = world.owner
        return owner in world.daemons[1:] and owner.candidate.owner.is_at_work

    context.runner.run(world.wait_for(is_at_work, 30.0))
    took_s = world.now_s() - begun_s
    assert took_s <= limit_s, f'{took_s:.1f} s'


@when("the owner can't read the partition of the jobs")
def blind_owner(context):
    owner = context.blind = context.world.owner
    log = owner.parts.log
    read_all = log.read

    async def read(partition, offset, wait_s):
        if partition != job_world.JOBS:
            return await read_all(partition, offset, wait_s)
        await asyncio.sleep(wait_s)
        raise errors.OutcomeUnknown('unreadable')

    log.read = read


@when(
    'job "{job_id}" of {count:d} consecutive tasks is submitted to a daemon '
    'without ownership'
)
def submit_elsewhere(context, job_id, count):
    world = context.world
    daemon = next(d for d in world.daemons if d is not world.owner)
    spec = job_world.chain(*[1] * count)
    context.jobs[job_id] = 'web'
    refused = context.runner.run(world.submit(daemon, 'web', job_id, spec))
    assert refused is None, refused


@then('no run has been planned for {seconds:g} seconds')
def check_nothing_planned(context, seconds):
    world = context.world
    assert world.owner is context.blind, 'another daemon owns'
    since_s = world.now_s() - seconds
    started = [
        fields
        for time_s, _, kind, fields in world.log
        if kind == 'run_started' and time_s > since_s
    ]
    assert not started, started[:3]


@when('a late copy of the cancellation of "{job_id}" is stored')
def store_late_cancellation(context, job_id):
    record = journal.cancel_record(job_id)
    context.world.store.append(job_world.JOBS, [record])


@then('the partition of the jobs holds nothing of "{job_id}"')
def check_nothing_held(context, job_id):
    keys = [f'job/{job_id}', f'cancel/{job_id}', f'progress/{job_id}/0']
    for key in keys:
        record = context.world.store.find(job_world.JOBS, key)
        assert record is None or not record.value, key


@when('{count:d} callers ask a daemon for unknown jobs at once')
def ask_for_unknown(context, count):
    world = context.world
    daemon = next(d for d in world.daemons if d is not world.owner)
    log = daemon.parts.log
    context.ends = 0
    end = log.end

    async def count_end(partition, offset):
        context.ends += 1
        return await end(partition, offset)

    log.end = count_end

    async def ask_all():
        return await asyncio.gather(
            *(world.state(daemon, 'web', f'u{n}') for n in range(count))
        )

    context.told = context.runner.run(ask_all())


@then('each was told that there is no such job')
def check_unknown(context):
    assert set(context.told) == {'unknown'}, set(context.told)


@then('at most {count:d} reads were sent for them')
def check_reads(context, count):
    assert 1 <= context.ends <= count, context.ends


@when(
    '{count:d} jobs with {size:d} bytes of payload are submitted to one '
    'daemon at once'
)
def submit_at_once(context, count, size):
    world = context.world
    daemon = next(d for d in world.daemons if d is not world.owner)
    log = daemon.parts.log
    context.sent = 0
    call = log._call

    async def count_call(operation, wait=None, *arguments, **options):
        # Reads are sent with other options.
        context.sent += not options
        return await call(operation, wait, *arguments, **options)

    log._call = count_call
    spec = job_world.chain(1, payload='x' * size)

    async def submit(number):
        begun_s = world.now_s()
        job_id = f'at-once{number}'
        refused = await world.submit(daemon, 'web', job_id, spec)
        return refused, world.now_s() - begun_s

    async def submit_all():
        return await asyncio.gather(*map(submit, range(count)))

    context.submitted = context.runner.run(submit_all())


@then('each of them was accepted within {limit_s:g} seconds')
def check_accepted_soon(context, limit_s):
    late = [
        (refused, took_s)
        for refused, took_s in context.submitted
        if refused is not None or took_s > limit_s
    ]
    assert not late, late[:3]


@then('at most {count:d} appends were sent for them')
def check_appends(context, count):
    assert context.sent <= count, context.sent


@when('{part} raises an unexpected error for {seconds:g} seconds')
def raise_errors(context, part, seconds):
    world = context.world
    until_s = world.now_s() + seconds
    first_id = min(
        (not executor.runs, executor_id)
        for executor_id, executor in world.executors.items()
        if not executor.is_gone
    )[1]

    def breaks(function, is_affected):
        def call(*arguments):
            if world.now_s() < until_s and is_affected(*arguments):
                raise OverflowError('unexpected, by a test')
            return function(*arguments)

        return call

    for daemon in world.daemons:
        parts = daemon.parts
        if part == 'each poll of one executor':
            parts.executors.poll = breaks(
                parts.executors.poll,
                lambda target, *_: target.executor_id == first_id,
            )
        elif part == 'each list of hosts':
            parts.hosts.list = breaks(parts.hosts.list, lambda: True)
        elif part == 'each entry of one executor':
            reader = parts.entries_reader
            reader._formats = types.SimpleNamespace(
                decode_entry=breaks(
                    world.formats.decode_entry,
                    lambda executor_id, _: executor_id == first_id,
                )
            )
        else:
            board = parts.status_reader.board
            board.apply = breaks(board.apply, lambda key, *_: key == 'odd')
    if part == 'the record of an odd key':
        world.store.append(job_world.STATUSES, [journal.Record('odd', b'{}')])


@then('the first owner is still at work')
def check_first_owner(context):
    owner = context.world.owner.candidate.owner
    assert owner.epoch == context.first_epoch


@then('the error was logged')
def check_error_logged(context):
    logged = [e for e in context.world.log if 'by a test' in repr(e)]
    assert logged
