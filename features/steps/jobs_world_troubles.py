"""Steps that inject faults into the simulated store, owner and entries."""

import asyncio
import collections

from behave import given
from behave import then
from behave import when

from fakes import links
from stage import job_world


@given('a store that no daemon can reach')
def partition_store(context):
    for daemon in context.world.daemons:
        daemon.link.is_cut = True


@given('daemon {number:d} shuts down in {left_s:g} seconds')
def begin_shutdown(context, number, left_s):
    daemon = context.world.daemons[number]
    daemon.interface.begin_draining(context.world.now_s() + left_s)


@when('a job is submitted to daemon {number:d}')
def submit_timed(context, number):
    world = context.world
    started_s = world.now_s()
    daemon = world.daemons[number]
    context.refusal = context.runner.run(
        world.submit(daemon, 'web', 'late', job_world.one_step(1))
    )
    context.took_s = world.now_s() - started_s


@then('that is refused as {reason} within {limit_s:g} seconds')
def check_refused_in_time(context, reason, limit_s):
    assert context.refusal == reason, context.refusal
    assert context.took_s <= limit_s, context.took_s


def _submit_wide(context, pool):
    world = context.world
    context.jobs[pool] = pool
    spec = job_world.one_step(6, estimate_s=2.0, cores=4.0)
    lost = getattr(context, 'old_owner', None)
    daemon = next(d for d in world.daemons if d is not lost)
    refusal = context.runner.run(world.submit(daemon, pool, pool, spec))
    assert refusal is None, refusal


def _completed_moves(context, time_s, epochs):
    return [
        (at_s, fields)
        for at_s, _, kind, fields in context.world.log
        if kind == 'host_moved'
        and at_s > time_s
        and fields['outcome'] == 'done'
        and (fields['epoch'] != context.first_epoch) == (epochs == 'later')
    ]


@when('a wide job in pool "{pool}" causes host moves')
def cause_moves_by_job(context, pool):
    world = context.world
    started_s = world.now_s()
    _submit_wide(context, pool)
    is_met = world.wait_for(
        lambda: _completed_moves(context, started_s, 'first'), 3.0
    )
    assert context.runner.run(is_met), world.event_log_text()[-3000:]
    context.runner.run(asyncio.sleep(0.3))


@when('a wide job arrives in pool "{pool}"')
def submit_wide(context, pool):
    _submit_wide(context, pool)


@then('another owner moves a host within {limit_s:g} seconds of the loss')
def check_later_owner_moves(context, limit_s):
    world = context.world
    left_s = context.lost_s + limit_s - world.now_s()
    is_met = world.wait_for(
        lambda: _completed_moves(context, context.lost_s, 'later'), left_s
    )
    assert context.runner.run(is_met), world.event_log_text()[-3000:]


@when(
    '{per_s:d} jobs arrive in each of {seconds:d} seconds, and the owner is '
    'killed'
)
def kill_owner_under_load(context, per_s, seconds):
    world = context.world
    spec = job_world.one_step(1)

    async def submit(number):
        alive = [d for d in world.daemons if d is not context.old_owner]
        await world.submit(alive[number % 2], 'web', f'j{number}', spec)

    async def submit_all():
        for number in range(per_s * seconds):
            await asyncio.sleep(1.0 / per_s)
            context.submissions.append(asyncio.create_task(submit(number)))

    async def submit_and_kill():
        context.submissions = []
        context.old_owner = world.owner
        context.submissions.append(asyncio.create_task(submit_all()))
        await asyncio.sleep(0.2)
        context.lost_s = world.now_s()
        await context.old_owner.kill()

    context.runner.run(submit_and_kill())


@then(
    'a daemon owns the partition within {limit_s:g} seconds of the first claim'
)
def check_claim_time(context, limit_s):
    claims = [
        (time_s, kind)
        for time_s, _, kind, _ in context.world.log
        if kind in ('claim_failed', 'owner_claimed')
        and time_s > context.lost_s
    ]
    first_s = claims[0][0]
    owned_s = next(t for t, kind in claims if kind == 'owner_claimed')
    assert owned_s - first_s <= limit_s, claims


@when(
    '{share:d} in 100 calls of the owner to executors are executed seconds '
    'late'
)
def delay_owner_calls(context, share):
    # Calls to the store and to the hosts are not affected.
    link = links.Link(context.world.rng, late_share=share / 100)
    context.world.owner.parts.executors._link = link


@when('the store takes {append_s:g} s for each append')
def slow_store(context, append_s):
    context.world.store.append_s = append_s


@when('the store loses a third of its responses')
def lose_store_responses(context):
    for daemon in context.world.daemons:
        link = links.Link(context.world.rng, lost_share=1 / 3)
        daemon.parts.log._link = link


@when('{count:d} jobs of {tasks:d} tasks of half a second arrive in 5 seconds')
def submit_evenly(context, count, tasks):
    world = context.world
    context.submitted_s = {}
    # The event loop refers to tasks only weakly.
    context.submissions = []

    async def submit(job_id):
        spec = job_world.one_step(tasks, estimate_s=0.5)
        for attempt in range(40):
            daemon = world.daemons[attempt % 3]
            if await world.submit(daemon, 'web', job_id, spec) is None:
                return
            await asyncio.sleep(0.2)

    async def submit_spread():
        for number in range(count):
            job_id = f'even{number}'
            context.submitted_s[job_id] = world.now_s()
            context.submissions.append(asyncio.create_task(submit(job_id)))
            await asyncio.sleep(5.0 / count)

    context.runner.run(submit_spread())


@then('9 of 10 of them completed within {limit_s:g} seconds')
def check_completed_in_time(context, limit_s):
    ended_s = {
        fields['job']: time_s
        for time_s, _, kind, fields in context.world.log
        if kind == 'job_ended'
    }
    took_s = sorted(
        ended_s.get(job_id, float('inf')) - at_s
        for job_id, at_s in context.submitted_s.items()
    )
    percentile_s = took_s[len(took_s) * 9 // 10 - 1]
    assert percentile_s <= limit_s, took_s


@when('all daemons are killed and restarted after {seconds:g} seconds')
def restart_all(context, seconds):
    world = context.world

    async def restart():
        for daemon in world.daemons:
            await daemon.kill()
        await asyncio.sleep(seconds)
        for daemon in world.daemons:
            await daemon.restart()

    context.runner.run(restart())
    context.restarted_s = world.now_s()


@then('each of them is ready within {limit_s:g} seconds')
def check_all_ready(context, limit_s):
    daemons = context.world.daemons
    is_met = context.world.wait_for(
        lambda: all(d.interface.is_ready for d in daemons), limit_s
    )
    assert context.runner.run(is_met), context.world.event_log_text()[-2000:]


@then('an owner is active within {limit_s:g} seconds')
def check_owner_active(context, limit_s):
    world = context.world
    left_s = context.restarted_s + limit_s - world.now_s()
    is_met = world.wait_for(lambda: world.owner is not None, left_s)
    assert context.runner.run(is_met), world.event_log_text()[-2000:]


@then('hosts have moved since the jobs began to arrive')
def check_moves_since_submission(context):
    first_s = min(context.submitted_s.values())
    moved = [
        entry
        for entry in context.world.log
        if entry[0] > first_s
        and entry[2] == 'host_moved'
        and entry[3]['outcome'] == 'done'
    ]
    assert moved, context.world.event_log_text()[-3000:]


@when('a read of the store takes {read_s:g} seconds longer')
def slow_reads(context, read_s):
    context.world.store.read_s = read_s


@then('every daemon is ready at least 9 of 10 times in 5 seconds')
def check_mostly_ready(context):
    world = context.world
    counts = collections.Counter()

    async def watch():
        for _ in range(50):
            await asyncio.sleep(0.1)
            counts.update(
                d.name for d in world.daemons if d.interface.is_ready
            )

    context.runner.run(watch())
    assert all(counts[d.name] >= 45 for d in world.daemons), counts


@then('there was a single owner throughout')
def check_one_owner(context):
    claimed = [o for o in context.world.log if o[2] == 'owner_claimed']
    assert len(claimed) == 1, claimed


@when('entries of ended incarnations are stored again')
def store_ended_entries_again(context):
    world = context.world
    ended = [e for e in world.executors.values() if e.is_gone]
    assert ended, 'no incarnation has ended'
    for executor in ended:
        world.store_entry(executor.entry)
    context.runner.run(asyncio.sleep(0.5))


@then('no task started more than once')
def check_no_task_restarted(context):
    counts = context.world.starts
    twice = {str(t): count for t, count in counts.items() if count > 1}
    assert counts and not twice, twice


@when('the hosts of "{pool}" are idle')
def wait_until_idle(context, pool):
    world = context.world

    def is_idle():
        jobs = [j for j in context.jobs if context.jobs[j] == pool]
        return not any(world.running(job_id) for job_id in jobs)

    async def wait():
        await asyncio.sleep(1.0)
        assert await world.wait_for(is_idle, 30.0)

    context.runner.run(wait())


@when('intents to order hosts take {seconds:g} seconds to be stored')
def delay_intents(context, seconds):
    sender = context.world.owner.candidate.owner.hosts._order_sender
    store_intents = sender.store_intents

    async def store_late(hosts):
        if hosts:
            await asyncio.sleep(seconds)
        await store_intents(hosts)

    sender.store_intents = store_late
    context.delayed_since = len(context.world.log)


@then(
    'no host went from "{pool}" to standby since then, and some went to '
    '"{other}"'
)
def check_targets(context, pool, other):
    world = context.world
    accepted_s = min(
        time_s
        for time_s, _, kind, fields in world.log
        if kind == 'run_started'
        and context.jobs.get(fields['task'].split('.')[0]) == other
    )
    moved = [
        (time_s, fields['from_pool'], fields['to_pool'])
        for time_s, _, kind, fields in world.log[context.delayed_since :]
        if kind == 'host_moved'
    ]
    astray = [m for m in moved if m[0] >= accepted_s and m[2] == 'spare']
    assert not astray, moved
    assert any(to_pool == other for _, _, to_pool in moved), moved


@when(
    'an order to a host takes {seconds:g} seconds, and {rate:g} a second are '
    'accepted'
)
def slow_orders(context, seconds, rate):
    world = context.world
    owner = world.owner
    sender = owner.candidate.owner.hosts._order_sender
    sender._pace.orders_per_s = rate
    move = owner.parts.hosts.move
    context.ordered_s, context.in_flight, context.most_in_flight = [], 0, 0

    async def move_slowly(*arguments):
        context.ordered_s.append(world.now_s())
        context.in_flight += 1
        context.most_in_flight = max(context.most_in_flight, context.in_flight)
        await asyncio.sleep(seconds)
        context.in_flight -= 1
        await move(*arguments)

    owner.parts.hosts.move = move_slowly


@then('{count:d} hosts were ordered within {least_s:g} to {most_s:g} seconds')
def check_order_rate(context, count, least_s, most_s):
    times_s = context.ordered_s
    assert len(times_s) >= count, times_s
    took_s = min(
        last - first for first, last in zip(times_s, times_s[count - 1 :])
    )
    assert least_s <= took_s <= most_s, (took_s, times_s)


@then('at most {count:d} orders were in flight')
def check_orders_in_flight(context, count):
    assert 0 < context.most_in_flight <= count, context.most_in_flight
