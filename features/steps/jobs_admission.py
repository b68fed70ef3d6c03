"""Steps for submissions that are refused because of the load."""

import json
import math
import random

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import admission
from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import specs
from hawthorndeal_jobs import start_waits
from stage import job_world

POOL = 'web'
QUEUE = queues.Queue(POOL, POOL, stretch=1.6, latency_target_s=0.6)
WORKSPACE = 'vltava'
HOPELESS_S = 600.0
CYCLE_PERIOD_S = 0.1


@given(
    'a pool with {hosts:d} hosts, {arriving:d} on their way and {standby:d} '
    'on standby'
)
def make_pool(context, hosts, arriving, standby):
    context.hosts, context.arriving = hosts, arriving
    context.standby = standby


@given('pending work of {backlog:g} host-seconds, and {late:g} that gives way')
def make_backlog(context, backlog, late):
    context.loads = [
        capacity.PoolLoad(
            POOL,
            hosts=context.hosts,
            arriving=context.arriving,
            waiting_host_s=backlog,
            late_waiting_host_s=late,
        ),
        capacity.PoolLoad('spare', True),
    ]


def _check(context, spec, beyond=(), seed=1):
    return admission.check_pool(
        admission.forecast(
            context.loads,
            context.standby,
            beyond,
            getattr(context, 'start_wait_s', 0.0),
        ),
        QUEUE,
        WORKSPACE,
        spec,
        random.Random(seed),
    )


@given('a report that {pool} and that jobs wait {wait:g} s for a start')
def make_start_wait(context, pool, wait):
    make_pool(context, 10, 0, 0)
    make_backlog(context, 0 if pool.startswith('no') else 900, 0)
    context.start_wait_s = wait


@then('the report is the same as without any wait')
def check_no_report(context):
    report = admission.forecast(context.loads, 0, (), context.start_wait_s)
    assert report == admission.LoadReport(), report


@when('a job of 1 second arrives')
def check_short_job(context):
    check_job(context, 1.0, 'within')


@when('a job of 100 seconds arrives')
def check_long_job(context):
    check_job(context, 100.0, 'within')


@when(
    'cycles start {starts:d} tasks each 0.1 s for {seconds:g} s, and leave '
    'out {waiting:d}'
)
def run_cycles(context, starts, seconds, waiting):
    context.waits = start_waits.StartWaits()
    cycles = round(seconds / CYCLE_PERIOD_S)
    for number in range(cycles):
        context.waits.note_cycle(
            starts, waiting, True, number * CYCLE_PERIOD_S
        )
    context.now_s = cycles * CYCLE_PERIOD_S


@when('a cycle starts all that waits')
def run_unlimited_cycle(context):
    context.waits.note_cycle(10, 0, False, context.now_s)


@then('new jobs wait {wait:g} s for a start')
def check_start_wait(context, wait):
    found = context.waits.wait_s(context.now_s)
    assert math.isclose(found, wait, rel_tol=0.1), found


@when('a job of {run_s:g} second arrives, {share} the share of its workspace')
def check_job(context, run_s, share):
    beyond = (WORKSPACE,) if share == 'beyond' else ()
    spec = job_world.one_step(8, estimate_s=run_s)
    context.refusal = _check(context, spec, beyond)


@when('a long-running job arrives')
def check_lasting(context):
    spec = job_world.one_step(1, is_lasting=True)
    context.refusal = _check(context, spec)


@when('a scheduled job arrives')
def check_scheduled(context):
    spec = specs.JobSpec(
        '', job_world.one_step(1).steps, repetitions=2, interval_s=3.0
    )
    context.refusal = _check(context, spec)


@when('{count:d} jobs of {run_s:g} second arrive')
def check_jobs(context, count, run_s):
    spec = job_world.one_step(8, estimate_s=run_s)
    context.refusals = [
        _check(context, spec, seed=seed) for seed in range(count)
    ]
    context.room_s = 200 / context.hosts + run_s
    context.room_s -= 3 * (QUEUE.stretch * run_s + QUEUE.latency_target_s)


@then('the job is {decision}')
def check_decision(context, decision):
    assert (context.refusal is not None) == (decision == 'refused')


@then('they are told to return at {count:d} different seconds or more')
def check_spread(context, count):
    delays = {math.ceil(r.retry_after_s) for r in context.refusals}
    assert len(delays) >= count, delays


@then('none before the backlog has room')
def check_room(context):
    least_s = min(refusal.retry_after_s for refusal in context.refusals)
    assert least_s >= context.room_s, (least_s, context.room_s)


@when('the submissions were last known to be read {delay} seconds ago')
def check_owner(context, delay):
    delay_s = None if delay == 'None' else float(delay)
    context.refusal = admission.check_owner(delay_s, False, random.Random(1))


@then('a submission is {decision}')
def check_submission(context, decision):
    check_decision(context, decision)


@when("the owner can't read the partitions of the submissions")
def block_partitions(context):
    owner = context.world.owner.parts
    blocked = owner.submission_partitions
    context.hidden_log, context.read = owner.log, owner.log.read

    async def read(partition, *arguments):
        if partition in blocked:
            raise errors.OutcomeUnknown('no answer')
        return await context.read(partition, *arguments)

    owner.log.read = read


@when(
    'job "{job_id}" of {first:d} and {second:d} tasks is submitted to the '
    "owner's daemon"
)
def submit_to_owner(context, job_id, first, second):
    world = context.world
    spec = job_world.chain(first, second)
    context.refusal = context.runner.run(
        world.submit(world.owner, POOL, job_id, spec)
    )


@given('all hosts but one of each pool are on standby')
def wait_for_standby(context):
    world = context.world

    def is_on_standby():
        pools = [entry.pool for entry in world.hosts.entries.values()]
        return all(pools.count(pool) <= 1 for pool in ('web', 'ci'))

    assert context.runner.run(world.wait_for(is_on_standby, 20.0))


@then('no wait for hosts of "{pool}" was published')
def check_no_wait(context, pool):
    records = context.world.store.read(job_world.STATUSES, 0).records
    reports = [
        journal.decode(record.value, admission.LoadReport)
        for record in records
        if record.key == journal.LOAD
    ]
    assert not any(pool in report.pools for report in reports), reports


@when('the owner can read all partitions again')
def unblock_partition(context):
    context.hidden_log.read = context.read


@then("the daemons don't tell how many jobs wait")
def check_waiting(context):
    queue = context.world.configuration.queues[POOL]
    for daemon in context.world.daemons:
        try:
            daemon.interface.waiting(queue)
        except errors.NotReady:
            continue
        raise AssertionError(daemon.name)


@when('a report of an overloaded pool "{pool}" is stored')
def store_report(context, pool):
    waits = admission.PoolForecast(HOPELESS_S, HOPELESS_S)
    record = journal.load_record(admission.LoadReport({pool: waits}))
    context.world.store.append(job_world.STATUSES, [record])


@then(
    'the load was stored at most {rate:d} times a second, and is told to be '
    'over'
)
def check_reports(context, rate):
    store = context.world.store
    records = store.read(job_world.STATUSES, 0).records
    reports = [r for r in records if r.key == journal.LOAD]
    assert 2 <= len(reports) <= rate * context.world.now_s(), len(reports)
    newest = journal.decode(reports[-1].value, admission.LoadReport)
    assert not newest.pools, newest


@when('a report of a wait of {wait} seconds in pool "{pool}" is stored')
def store_wait(context, wait, pool):
    shown = {'nan': 'NaN', 'inf': 'Infinity'}.get(wait, wait)
    value = f'{{"pools":{{"{pool}":{{"wait_s":{shown}}}}}}}'
    record = journal.Record(journal.LOAD, value.encode())
    context.world.store.append(job_world.STATUSES, [record])


@then('the answer is {answer}')
def check_answer(context, answer):
    assert str(context.refusal) == answer, context.refusal


@when('a report of a wait of {wait:g} seconds for starts is stored')
def store_start_wait(context, wait):
    report = admission.LoadReport(start_wait_s=wait)
    context.world.store.append(
        job_world.STATUSES, [journal.load_record(report)]
    )


@attrs.frozen
class _FormerReport:
    """The report as it was before it told of starts."""

    pools: dict[str, admission.PoolForecast] = attrs.Factory(dict)
    beyond_share: tuple[str, ...] = ()


@when("a report of a wait for starts is read by a daemon that doesn't know it")
def read_as_former(context):
    waits = admission.PoolForecast(HOPELESS_S, HOPELESS_S)
    report = admission.LoadReport({POOL: waits}, (WORKSPACE,), 6.0)
    context.value = journal.load_record(report).value
    context.former = journal.decode(context.value, _FormerReport)


@then('it finds the waits of the pools')
def check_former(context):
    assert context.former.pools[POOL].wait_s == HOPELESS_S, context.former
    assert context.former.beyond_share == (WORKSPACE,), context.former


@then('a report without it is read as no wait')
def check_without(context):
    plain = json.loads(context.value)
    del plain['start_wait_s']
    report = journal.decode(json.dumps(plain), admission.LoadReport)
    assert report.start_wait_s == 0.0, report
