"""Steps for executors that begin again, or are taken for ended."""

import asyncio
import types

import attrs
from behave import given
from behave import step
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import departures
from hawthorndeal_jobs import executors
from hawthorndeal_jobs import placement
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from hawthorndeal_platform import executor_orders
from hawthorndeal_platform import host_orders
from hawthorndeal_scheduler import executor_agent
from hawthorndeal_scheduler import executor_tracker
from hawthorndeal_scheduler import run_orders
from stage import fault_search
from stage import job_world
from stage import scheduler_harness
from stage import virtual_time

POOL = 'web'
CLOCK_S = 50.0
LEASE_S = 4.0
CALL_S = 0.01

_Answer = run_tracking.StartAnswer


@given('simulated daemons with seed {seed:d}, whose executors {births}')
def start_with_births(context, seed, births):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs = {}

    async def start():
        # Only executors that were there from the start suit the loads, and
        # none of them is replaced by one with another id.
        context.world = job_world.World(
            seed,
            pools=(POOL,),
            has_standby=False,
            tells_births=births == 'tell their births',
        )
        await context.world.start()

    def stop():
        context.runner.run(context.world.stop())
        context.runner.close()

    context.add_cleanup(stop)
    context.runner.run(start())


@step('all executors begin again under their ids')
def restart_all(context):
    for executor in _executors_of_pool(context.world):
        executor.restart()


@step('{share} answers of executors arrive')
def set_mute(context, share):
    for executor in _executors_of_pool(context.world):
        executor.is_mute = share == 'no'


@step(
    'all executors crash, and begin again under their ids {down_s:g} s later'
)
def crash_all(context, down_s):
    for executor in _executors_of_pool(context.world):
        context.world.crash_and_return(executor, down_s)


def _executors_of_pool(world):
    return [
        executor
        for executor in world.executors.values()
        if executor.entry.pool == POOL and not executor.is_gone
    ]


@step('{passed:d} second passes')
def pass_second(context, passed):
    context.runner.run(asyncio.sleep(passed))


@step('a load "{job_id}" of {count:d} tasks of {work_s:g} s arrives')
def submit_long(context, job_id, count, work_s):
    _submit(context, job_id, work_s, job_world.one_step(count, work_s))


@step(
    'a load "{job_id}" of {count:d} tasks of {work_s:g} s arrives, one on '
    'each executor'
)
def submit_apart(context, job_id, count, work_s):
    spec = job_world.one_step(count, work_s, max_per_executor=1)
    _submit(context, job_id, work_s, spec)


def _submit(context, job_id, work_s, spec):
    world = context.world
    world.durations_s[job_id] = work_s
    context.jobs[job_id] = POOL
    daemon = next(d for d in world.daemons if d.is_running)
    refusal = context.runner.run(world.submit(daemon, POOL, job_id, spec))
    assert refusal is None, refusal


@step('{loads:d} loads "{name}" of {count:d} tasks of {work_s:g} s arrive')
def submit_several(context, loads, name, count, work_s):
    for number in range(loads):
        spec = job_world.one_step(count, work_s)
        _submit(context, f'{name}{number}', work_s, spec)


@step('the owner is killed, and another one works')
def replace_owner(context):
    world = context.world

    async def replace():
        await world.owner.kill()
        assert await world.wait_for(
            lambda: world.owner and world.owner.candidate.owner.is_at_work,
            10.0,
        )
        await asyncio.sleep(0.5)

    context.runner.run(replace())


@then('{count:d} jobs wait at every daemon')
def check_waiting(context, count):
    running = [d for d in context.world.daemons if d.is_running]
    waiting = [daemon.parts.board.waiting(POOL) for daemon in running]
    assert waiting == [count] * len(running), waiting


@then('every job of the pool is reported as completed')
def check_completed(context):
    world = context.world
    daemon = next(d for d in world.daemons if d.is_running)
    states = [
        context.runner.run(world.state(daemon, POOL, job_id))
        for job_id in context.jobs
    ]
    assert set(states) == {'completed'}, states


@step('each second executor is cut off for {cut_s:g} s, and {entries}')
def cut_half(context, cut_s, entries):
    _cut(context, _executors_of_pool(context.world)[::2], cut_s, entries)


@step('all executors are cut off for {cut_s:g} s, and {entries}')
def cut_all(context, cut_s, entries):
    _cut(context, _executors_of_pool(context.world), cut_s, entries)


def _cut(context, cut_off, cut_s, entries):
    world = context.world
    listed = {e.entry.host: world.hosts.entries[e.entry.host] for e in cut_off}
    for executor in cut_off:
        executor.is_cut = True
        if entries == 'loses its entry':
            world._drop_entry(executor)
        elif entries == 'is listed nowhere':
            world.hosts.entries[executor.entry.host] = attrs.evolve(
                listed[executor.entry.host],
                state=host_orders.HostState.DOWN,
                executor_id='',
            )

    def heal():
        world.hosts.entries.update(listed)
        for executor in cut_off:
            executor.is_cut = executor.is_mute = False

    world.loop.call_later(cut_s, heal)


@step(
    'the host service answers nothing for {silent_s:g} s from the first order '
    'on'
)
def silence_host_service(context, silent_s):
    world = context.world
    context.names = [e.entry.host for e in _executors_of_pool(world)]
    order = world.hosts.order

    def lose(share):
        for daemon in world.daemons:
            daemon.hosts_link.lost_share = share

    def begin(*arguments):
        world.hosts.order = order
        lose(1.0)
        world.loop.call_later(silent_s, lose, 0.0)
        order(*arguments)

    world.hosts.order = begin


@step(
    'a wave over all hosts of the pool is requested, {count:d} at once, '
    'within {duration:g} seconds'
)
def request_wave(context, count, duration):
    context.wave_hosts = sorted(context.names)
    context.world.add_wave(1, context.wave_hosts, duration, count)


@step('the owner is killed {after_s:g} s after the first order')
def kill_owner_after(context, after_s):
    world = context.world

    async def kill():
        assert await world.wait_for(lambda: world.hosts.orders, 10.0)
        await asyncio.sleep(after_s)
        owner = world.owner
        await owner.kill()
        await asyncio.sleep(1.0)
        owner._build_parts()
        owner.start()

    context.runner.run(kill())


@when(
    'simulations with random faults and incarnations of seeds {first:d} to '
    '{last:d} run'
)
def run_simulations(context, first, last):
    kinds = fault_search.ALL_KINDS + fault_search.INCARNATION_KINDS * 5
    context.verdicts = [
        fault_search.run_with_faults(seed, kinds)
        for seed in range(first, last + 1)
    ]


# One executor on a manual clock


class _Owner:
    """The owner of a partition, as far as calls to executors ask for it."""

    epoch = 1
    lease_s = LEASE_S

    def __init__(self, harness):
        self.harness = harness
        self.scheduler = harness.scheduler
        self.logged = []
        self.calls = []
        self.events = types.SimpleNamespace(
            write=lambda kind, **fields: self.logged.append((kind, fields))
        )
        self.tasks = types.SimpleNamespace(spawn=self.calls.append)
        self.metrics = types.SimpleNamespace(
            note_start=lambda answer: None,
            note_unanswered_call=lambda kind: None,
            note_departure=lambda kind: None,
            note_end=lambda cause: None,
        )
        self.tracker = executor_tracker.ExecutorTracker(self, self.metrics)

    def now_s(self):
        """Return the time of the scenario."""
        return self.harness.now_s

    def may_renew_leases(self):
        """Always allow the renewal of leases."""
        return True

    def wake(self):
        """Ignore requests for a cycle, which the scenario plans."""


class _Client:
    """Answers starts as the scenario says."""

    def __init__(self):
        self.answer = _Answer.UNKNOWN, None
        self.meanwhile = None

    async def start(self, target, order):
        """Return the answer that the scenario has set."""
        return self.answer

    async def stop(self, target, task_id, number, epoch):
        """Answer as another executor at the address does."""
        self.meanwhile()
        raise executor_orders.ExecutorGone('status 421')

    async def poll(self, target, epoch, last_recorded_end, deadline_s, wait_s):
        """Answer as another executor at the address does."""
        self.meanwhile()
        raise executor_orders.ExecutorGone('status 421')


def _entry(born_ms, sequence=1, **fields):
    return executors.ExecutorEntry(
        'x',
        'x:1',
        POOL,
        'z',
        scheduler_harness.CAPACITY,
        host='h',
        born_ms=born_ms,
        sequence=sequence,
        **fields,
    )


def _poll(context, born_ms, clock_s, sent_s):
    harness = context.harness
    harness.now_s = max(harness.now_s, sent_s) + CALL_S
    answer = run_state.ExecutorPoll(
        sent_s, harness.now_s, clock_s, (), (), True, born_ms
    )
    context.ended = context.owner.tracker.handle_poll(context.executor, answer)


def _begin(context, born_ms, sequence=1):
    context.harness = scheduler_harness.Harness()
    context.owner = _Owner(context.harness)
    context.client = context.owner.executors = _Client()
    context.orders = run_orders.RunOrders(
        context.owner, context.client, context.owner.metrics
    )
    context.owner.tracker.register([_entry(born_ms, sequence)])
    context.executor = context.harness.scheduler.executors['x']


@given(
    'an executor that is known to have begun at {born_ms:d} ms, at '
    '{clock_s:g} s of its clock'
)
def begin(context, born_ms, clock_s):
    _begin(context, born_ms)
    _poll(context, born_ms, clock_s, context.harness.now_s)


@when('a start is sent to it')
def send_start(context):
    harness = context.harness
    context.before_s = harness.now_s
    harness.now_s += CALL_S
    harness.add_job('j', scheduler_harness.steps(1))
    (context.run,) = harness.plan().starts
    context.sent_to = context.executor.incarnation
    context.orders.send_start(context.run)
    (context.call,) = context.owner.calls


@step('it is told to have begun at {born_ms:d} ms')
def tell_birth(context, born_ms):
    context.harness.scheduler.update_executor(
        _entry(born_ms, 2), context.harness.now_s
    )


@step('the executor is then {expected}')
def expect_end(context, expected):
    assert expected in ('running', 'leaving', 'ordered away'), expected
    if expected == 'ordered away':
        context.executor.incarnation.is_ordered_away = True
    else:
        context.harness.scheduler.update_executor(
            _entry(1000, 2, is_leaving=expected == 'leaving'),
            context.harness.now_s,
        )


@step('the start is accepted at {clock_s:g} s of a clock')
def accept_start(context, clock_s):
    context.harness.now_s += CALL_S
    context.client.answer = _Answer.ACCEPTED, clock_s + 2 * CALL_S
    _finish_call(context)


@step('another executor answers the {call}')
def answer_by_another(context, call):
    # The new incarnation, if there is one, was learned of during the call.
    executor, incarnation = context.executor, context.sent_to
    if call == 'start':
        context.client.answer = _Answer.GONE, None
        _finish_call(context)
        return
    context.call.close()
    context.client.meanwhile = lambda: None
    if executor.incarnation is not incarnation:
        newer = executor.incarnation
        executor.incarnation = incarnation

        def learn():
            executor.incarnation = newer

        context.client.meanwhile = learn
    if call == 'stop':
        context.run.phase = run_state.RunPhase.UNKNOWN
        context.owner.calls.clear()
        context.orders.send_stops([context.run])
        (context.call,) = context.owner.calls
    else:
        context.call = executor_agent.ExecutorAgent(
            executor, context.owner
        ).poll_once()
    _finish_call(context)


@then('the executor has {verdict}')
def check_goes_on(context, verdict):
    known = context.harness.scheduler.executors
    assert ('x' in known) == verdict.startswith('not ended'), verdict
    if verdict.endswith('start elsewhere'):
        assert not context.executor.runs


@step('it is removed, listed again, and found again')
def remove_and_find(context):
    tracker = context.owner.tracker
    tracker.remove(context.executor, departures.Departure.UNLISTED)
    list_again(context, 'later')
    tracker.register([_entry(1000, 2)])


@step('the order to its host is answered')
def answer_order(context):
    context.call.close()
    context.owner.tracker.remove(
        context.executor, departures.Departure.MAINTAINED
    )


@step('the start is not answered {until}')
def answer_no_start(context, until):
    if until == 'in time':
        context.client.answer = _Answer.UNKNOWN, None
        _finish_call(context)
    else:
        context.call.close()


def _finish_call(context):
    try:
        context.call.send(None)
    except StopIteration:
        return
    raise errors.HawthorndealError('the call has not ended')


@step(
    'a poll that was sent {sent} is answered by an incarnation that began at '
    '{born_ms:d} ms, and lists no run'
)
def answer_poll(context, sent, born_ms):
    now_s = context.harness.now_s
    sent_s = context.before_s if sent == 'before' else now_s + CALL_S
    clock_s = 0.5 if born_ms != 1000 else CLOCK_S + 1.0
    context.former = context.executor
    _poll(context, born_ms, clock_s, sent_s)


@given('a run that a predecessor started there under a lease of up to {s:g} s')
def inherit_run(context, s):
    harness = context.harness
    harness.inherit_job('j', scheduler_harness.steps(1), 'x')
    harness.scheduler.inherit(harness.now_s, harness.now_s + s)


@step('{passed:g} s pass')
def pass_time(context, passed):
    context.harness.now_s += passed


@step('{passed:g} s pass without an answer')
def pass_unanswered(context, passed):
    context.harness.now_s += passed
    context.owner.tracker.check_lease_expiry(context.executor)


@step('a poll shows the run as {shown}')
def show_run(context, shown):
    harness, run = context.harness, context.run
    row = run.task_id, run.number
    running = [run_state.ReportedRun(*row, '', 0)] * (shown == 'running')
    ended = [
        run_state.ReportedEnd(1, *row, run_state.EndCause(shown), '')
        for _ in range(shown in ('done', 'failed'))
    ]
    harness.now_s += CALL_S
    answer = run_state.ExecutorPoll(
        harness.now_s - CALL_S,
        harness.now_s,
        CLOCK_S + 1.0,
        tuple(running),
        tuple(ended),
        True,
        1000,
    )
    context.owner.tracker.handle_poll(context.executor, answer)


@then('the job of the run is {state}')
def check_state(context, state):
    job = context.run.occurrence.job
    assert job.state().value == state, job.state()


@then('the started run is {phase}')
def check_phase(context, phase):
    assert context.run.phase is run_state.RunPhase[phase.upper()]


@then('leases count from {reading} s of its clock')
def check_clock(context, reading):
    clock_s = context.executor.incarnation.clock_s
    if reading == 'no':
        assert clock_s is None, clock_s
    else:
        assert abs(clock_s - float(reading)) < 0.1, clock_s


@then('{count:d} run there has ended')
def check_ended(context, count):
    assert len(context.executor.runs) == 1 - count, context.executor.runs


@then('nothing may start there')
def check_unusable(context):
    now_s = context.harness.now_s
    assert not placement.is_usable(context.executor, now_s)


@then('tasks may start there')
def check_usable(context):
    now_s = context.harness.now_s
    assert placement.is_usable(context.executor, now_s)


@then('the former incarnation has ended as {kind}')
def check_kind(context, kind):
    (fields,) = [f for k, f in context.owner.logged if k == 'executor_gone']
    assert fields['departure'] == kind, fields


@given(
    'an executor that began at {born_ms:d} ms and told entry {sequence:d}, '
    'and has ended, as {departure}'
)
def end_executor(context, born_ms, sequence, departure):
    _begin(context, born_ms, sequence)
    _poll(context, born_ms, CLOCK_S, context.harness.now_s)
    incarnation = context.executor.incarnation
    context.grant = incarnation.grant_lease(LEASE_S, context.harness.now_s)
    context.owner.tracker.remove(
        context.executor, departures.Departure(departure)
    )


@given('a list of hosts that was requested {when} shows it')
def list_again(context, when):
    offsets_s = {'before': -CALL_S, 'later': CALL_S}
    if when in offsets_s:
        sent_s = context.harness.now_s + offsets_s[when]
        context.owner.tracker.note_listed({'x'}, sent_s)


@given('the last call to it was {answered}')
def end_call(context, answered):
    context.grant.incarnation.end_grant(context.grant, answered == 'answered')


@when(
    'entry {sequence:d} of an incarnation that began at {born_ms:d} ms is read'
)
def read_entry(context, sequence, born_ms):
    context.owner.tracker.register([_entry(born_ms, sequence)])


@then('the removed executor is {verdict}')
def check_there(context, verdict):
    found = context.harness.scheduler.executors.get('x')
    assert (found is not None) == (verdict == 'there'), found
    # Whatever an entry tells, nothing starts before a poll is answered.
    if found is not None:
        assert not placement.is_usable(found, context.harness.now_s)


@then('the log tells once that its entry is ignored, since {why}')
def check_ignored(context, why):
    lines = [f for kind, f in context.owner.logged if kind == 'entry_ignored']
    assert [line['why'] for line in lines] == [why], lines


@then('the lease of the executor has {expired}')
def check_lease(context, expired):
    found = context.harness.scheduler.executors['x']
    is_expired = found.incarnation.is_lease_expired(context.harness.now_s)
    assert is_expired == (expired == 'expired'), found.incarnation
