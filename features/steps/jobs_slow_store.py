"""Steps for a slow store, and for submissions in several partitions."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_platform import hedging
from hawthorndeal_platform import keyed_log
from stage import fault_search
from stage import job_world
from stage import virtual_time

SEARCH_PARTITIONS = 4
LONG_APPEND_S = 8.0


@given(
    '{count:d} simulated daemons with seed {seed:d}, whose submissions have '
    '{partitions:d} partitions'
)
def start_simulation(context, count, seed, partitions):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs = {}
    context.took_s = {}

    async def start():
        context.world = job_world.World(
            seed,
            hosts_per_pool=12,
            limits=[{'submission_partitions': partitions}] * count,
        )
        await context.world.start()

    context.add_cleanup(_stop, context)
    context.runner.run(start())


def _stop(context):
    context.runner.run(context.world.stop())
    context.runner.close()


@when('{rate:d} jobs a second arrive for {seconds:g} seconds')
def submit_steadily(context, rate, seconds):
    world = context.world

    async def submit(number):
        begun_s = world.now_s()
        daemon = world.daemons[number % len(world.daemons)]
        spec = job_world.one_step(1, estimate_s=0.2)
        refusal = await world.submit(daemon, 'web', f'j{number}', spec)
        if refusal is None:
            context.took_s[f'j{number}'] = begun_s, world.now_s() - begun_s

    async def submit_all():
        tasks = []
        for number in range(int(rate * seconds)):
            tasks.append(asyncio.create_task(submit(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    context.sent = int(rate * seconds)
    context.runner.run(submit_all())


@then('at least {share:g} of them were accepted within {limit_s:g} seconds')
def check_accepted(context, share, limit_s):
    in_time = sum(took_s <= limit_s for _, took_s in context.took_s.values())
    assert in_time >= share * context.sent, (in_time, context.sent)


@then('at least {share:g} of them were done within {limit_s:g} seconds')
def check_done(context, share, limit_s):
    world = context.world
    done_s = {}
    for time_s, _, kind, fields in world.log:
        if kind == 'job_ended' and fields['state'] == 'completed':
            done_s.setdefault(fields['job'], time_s)
    in_time = sum(
        done_s.get(job_id, float('inf')) - begun_s <= limit_s
        for job_id, (begun_s, _) in context.took_s.items()
    )
    assert in_time >= share * context.sent, (in_time, context.sent)


@then('nothing is stored of the submissions that have ended')
def check_deleted(context):
    world = context.world
    for partition in world.daemons[0].parts.submission_partitions:
        assert not world.store.all_newest(partition)


@given('an owner of an earlier version')
def replace_owner(context):
    old = journal.Ownership(1 << 40, 'old', covered_offset=1)
    context.world.store.append(
        job_world.STATUSES, [journal.ownership_record(old)]
    )
    context.runner.run(asyncio.sleep(0.4))


@when('job "{job_id}" is accepted by a daemon')
def accept_job(context, job_id):
    world = context.world
    spec = job_world.one_step(1)
    submitted = world.submit(world.daemons[0], 'web', job_id, spec)
    assert context.runner.run(submitted) is None
    context.job_id = job_id


@then('it is stored in the partition of the jobs')
def check_partition(context):
    key = f'{journal.JOB}/{context.job_id}'
    assert context.world.store.find(job_world.JOBS, key) is not None


@when("submissions can't be deleted")
def prevent_deletion(context):
    store = context.world.store
    append = store.append

    def append_unless_deletion(partition, records, *arguments):
        is_submission = partition.topic != job_world.JOBS.topic
        if is_submission and any(
            record.key.startswith(journal.JOB) and not record.value
            for record in records
        ):
            raise keyed_log.Overloaded('no deletions')
        return append(partition, records, *arguments)

    store.append = append_unless_deletion


@then('it was logged that submissions are not deleted')
def check_not_deleted(context):
    kinds = {kind for _, _, kind, _ in context.world.log}
    assert 'submissions_not_deleted' in kinds, kinds


@given('a store whose reads take {read_s:g} seconds')
def make_store(context, read_s):
    context.latency = hedging.LatencyEstimate()
    reads = hedging.LatencyEstimate()
    reads.record_latency(read_s)
    context.min_delay_s = reads.delay_s


@when('an append takes {append_s:g} seconds')
def append_slowly(context, append_s):
    context.sent = 0

    async def send():
        context.sent += 1
        await asyncio.sleep(append_s)

    async def append():
        loop = asyncio.get_running_loop()
        await hedging.call(
            send, context.latency, 2.0, loop.time, context.min_delay_s
        )

    virtual_time.run(append)


@then('it is sent {times:d} times')
def check_sent(context, times):
    assert context.sent == times, context.sent


@when('daemon {n:d} loses the answers to its appends')
def lose_append_answers(context, n):
    daemon = context.world.daemons[n]
    log = daemon.parts.log
    append = log.append

    async def append_without_answer(*arguments, **options):
        await append(*arguments, **options)
        await asyncio.sleep(keyed_log.APPEND_TIMEOUT_S)
        raise errors.OutcomeUnknown('the answer was lost')

    log.append = append_without_answer


@when(
    'jobs "{one}" and "{other}" are submitted to daemon {n:d}, one after the '
    'other'
)
def submit_two(context, one, other, n):
    world = context.world
    daemon = world.daemons[n]
    spec = job_world.one_step(1)

    async def submit():
        first = asyncio.create_task(world.submit(daemon, 'web', one, spec))
        await asyncio.sleep(0.1)
        second = asyncio.create_task(world.submit(daemon, 'web', other, spec))
        return await first, await second

    # The first append isn't given up before the second caller has left.
    with mock.patch.object(keyed_log, 'APPEND_TIMEOUT_S', LONG_APPEND_S):
        context.refusals = context.runner.run(submit())


@then('"{one}" was refused as {reason} and "{other}" as {other_reason}')
def check_two(context, one, reason, other, other_reason):
    assert context.refusals == (reason, other_reason), context.refusals


@when(
    'simulations with random faults and partitions of seeds {first:d} to '
    '{last:d} run'
)
def run_searches(context, first, last):
    limits = [{'submission_partitions': SEARCH_PARTITIONS}] * 3
    context.verdicts = [
        fault_search.run_with_faults(seed, limits=limits)
        for seed in range(first, last + 1)
    ]
