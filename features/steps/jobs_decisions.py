"""Steps for each decision on jobs and hosts in isolation."""

import asyncio
import types

import attrs
from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import demand
from hawthorndeal_jobs import estimates
from hawthorndeal_jobs import executors
from hawthorndeal_jobs import host_intents
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import ordering
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import pacing
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import specs
from hawthorndeal_jobs import wave_planning
from hawthorndeal_platform import hedging
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import paging
from hawthorndeal_scheduler import run_orders
from stage import job_world
from stage import virtual_time

NOW_S = 100.0
QUARTER_S = 0.25


@given('pools with these loads')
def set_pool_loads(context):
    context.loads = [capacity.PoolLoad('off', is_standby=True)]
    context.idle = []
    for row in context.table:
        context.loads.append(
            capacity.PoolLoad(
                row['pool'],
                hosts=int(row['hosts']),
                lasting_hosts=float(row['lasting']),
                rate_hosts=float(row['rate']),
                backlog_host_s=float(row['backlog_s']),
                late_backlog_host_s=float(row.get('late_s', 0)),
                starved_hosts=int(row['starved']),
            )
        )
        context.idle += [
            capacity.IdleHost(f'{row["pool"]}-{n}', row['pool'], 5.0)
            for n in range(int(row['idle']))
        ]


@when('host moves are planned')
def plan_moves(context):
    moves = capacity.plan_moves(context.loads, context.idle)
    context.targets = [move.to_pool for move in moves]
    assert len({move.host for move in moves}) == len(moves)


@then(
    '{busy:d} hosts move to "busy", {small:d} to "small" and {off:d} to "off"'
)
def check_planned_moves(context, busy, small, off):
    counts = [context.targets.count(p) for p in ('busy', 'small', 'off')]
    assert counts == [busy, small, off], context.targets


@given('a wave of {total:d} hosts in {seconds:d} seconds, {most:d} at once')
def set_wave(context, total, seconds, most):
    context.wave = wave_planning.WaveProgress(total, 0, 0, most, seconds, 0.0)


@given(
    '{begun:d} have started, {down:d} are down, and {elapsed:d} seconds have '
    'passed'
)
def set_progress(context, begun, down, elapsed):
    context.wave = attrs.evolve(
        context.wave, begun=begun, down=down, elapsed_s=float(elapsed)
    )


@given('{idle:d} due hosts are idle and {busy:d} have 3 tasks each')
def set_due_hosts(context, idle, busy):
    context.due = [
        *(wave_planning.WaveHost(f'i{n}', 0, False) for n in range(idle)),
        *(wave_planning.WaveHost(f'b{n}', 3, False) for n in range(busy)),
    ]


@when('the wave is planned')
def plan_wave(context):
    context.plan = wave_planning.plan_wave(context.wave, context.due)


@then('{begin:d} hosts are taken down and {empty:d} are drained')
def check_wave_plan(context, begin, empty):
    found = len(context.plan.begin), len(context.plan.empty)
    assert found == (begin, empty), context.plan


@when(
    'one of {count:d} long-running tasks, {unavailable:d} unavailable at '
    'most, is to stop'
)
def set_long_running_tasks(context, count, unavailable):
    context.count, context.max_unavailable = count, unavailable


@then('that is {verdict} while {others:d} of the others are running')
def check_may_stop(context, verdict, others):
    may = wave_planning.may_stop_lasting(
        others, context.count - 1, context.max_unavailable
    )
    assert may == (verdict == 'allowed')


def _make_run(step, **fields):
    job = jobs.Job('j', 'q', 'p', 0.0, specs.JobSpec('', (step,)))
    run = run_state.Run(
        jobs.TaskId('j', 0, 0, 0),
        1,
        job.occurrence(0),
        'x',
        step.reserved,
        run_state.RunPhase.RUNNING,
        0.0,
    )
    for name, value in fields.items():
        setattr(run, name, value)
    return run


@given(
    'a serving task at {tail:g} of its target and a filler at {percent:d} '
    'percent'
)
def set_serving_and_filler(context, tail, percent):
    room = specs.Resources(1000, 1000)
    serving = specs.StepSpec(1, room, is_lasting=True, tail_target_ms=1000)
    filler = specs.StepSpec(1, room, is_filler=True)
    context.filler = _make_run(
        filler, pace_percent=percent, pace_changed_s=NOW_S
    )
    context.runs = [_make_run(serving, usage=int(tail * 1000)), context.filler]


@given(
    '{reason} that may have changed its pace, and it uses {usage:d} millicores'
)
def forget_pace(context, reason, usage):
    filler = context.filler
    if reason == 'an earlier owner':
        inherited = attrs.evolve(filler, is_inherited=True)
        index = context.runs.index(filler)
        # The default follows from who has started the run.
        filler = run_state.Run(
            inherited.task_id, inherited.number, inherited.occurrence,
            inherited.executor_id, inherited.reserved,
            run_state.RunPhase.RUNNING, inherited.phase_changed_s,
            is_inherited=True, pace_changed_s=inherited.pace_changed_s,
        )  # fmt: skip
        context.runs[index] = context.filler = filler
    else:
        filler.phase = run_state.RunPhase.RUNNING
        filler.note_pace_lost()
    filler.usage = usage


@then("the filler's pace is {pace:d}, and it is told {told}")
def check_told(context, pace, told):
    check_filler_pace(context, pace)
    assert bool(context.pace_changes) == (told == 'it')


@when('paces are planned {after:g} seconds after the last change')
def plan_pace_changes(context, after):
    context.pace_changes = pacing.plan(context.runs, NOW_S + after)


@then("the filler's pace is {pace:d}")
def check_filler_pace(context, pace):
    percent = context.filler.pace_percent
    for order in context.pace_changes:
        assert order.run is context.filler
        percent = order.percent
    assert percent == pace, percent


def _ready_step(name, objective_s):
    spec = specs.JobSpec('', (specs.StepSpec(1, specs.Resources(1), 1.0),))
    job = jobs.Job(name, 'q', 'p', 0.0, spec)
    return ordering.ReadyStep(
        job.occurrence(0), 0, [0], objective_s, objective_s + 9.0, 0, 1.0
    )


@given(
    'ready steps "late", {seconds:g} second past its objective, and "fresh", '
    'in time'
)
def set_ready_steps(context, seconds):
    context.steps = [
        _ready_step('late', NOW_S - seconds),
        _ready_step('fresh', NOW_S + 5.0),
    ]


@when('they are ranked')
def rank_steps(context):
    context.steps.sort(key=lambda step: ordering.rank(step, NOW_S))


@then('"{first}" goes before "{second}"')
def check_ranking(context, first, second):
    names = [step.occurrence.job.job_id for step in context.steps]
    assert names == [first, second], names


@when('{count:d} tasks of a queue take half the declared time')
def note_run_times(context, count):
    context.corrector = estimates.EstimateCorrector()
    for _ in range(count):
        context.corrector.note('q', 2.0, 1.0)


@then('its declared times are halved')
def check_correction_factor(context):
    assert abs(context.corrector.factor('q') - 0.5) < 1e-9
    assert context.corrector.factor('another') == 1.0


@when(
    '1, 2, 1 and 2 jobs arrive in quarters of a second, for {seconds:d} '
    'seconds'
)
def note_steady_arrivals(context, seconds):
    context.meter = demand.DemandMeter()
    context.now_s = NOW_S
    for count in (1, 2, 1, 2) * seconds:
        _note_arrivals(context, count)


def _note_arrivals(context, count):
    for _ in range(count):
        context.meter.note(1.0, context.now_s)
    context.now_s += QUARTER_S


@when('{count:d} jobs arrive in each quarter of the next second')
def note_growing_arrivals(context, count):
    for _ in range(4):
        _note_arrivals(context, count)


@then('no growth is forecast')
def check_no_growth(context):
    assert context.meter.growth(context.now_s - 0.01, 2.0) == 0.0


@then('growth is forecast')
def check_growth(context):
    assert context.meter.growth(context.now_s - 0.01, 2.0) > 10.0


@given('a store read {ago:g} seconds ago, readable for {readable:g} seconds')
def set_owner_view(context, ago, readable):
    context.view = ownership.OwnerView(
        is_claimable=False,
        last_read_s=NOW_S - ago,
        last_read_done_s=NOW_S - ago,
        readable_since_s=NOW_S - readable,
    )


@given('its page had taken {took_s:g} seconds to arrive')
def set_page_time(context, took_s):
    context.view.last_read_s -= took_s


@given("the owner's last record was {ago:g} seconds ago")
def set_last_record(context, ago):
    context.view.last_record_s = NOW_S - ago


@then('a claim is {verdict}')
def check_may_claim(context, verdict):
    may = context.view.may_claim(NOW_S, delay_s=0.2)
    assert may == (verdict == 'allowed')


class FakeAdviceService:
    """Advice service that permits two executors for each step."""

    def __init__(self):
        self.permitted = {}

    async def advise(self, step_key, executor_ids, timeout_s):
        """Return tickets for the first two executors by id."""
        await asyncio.sleep(0.02)
        permitted = sorted(executor_ids)[:2]
        self.permitted.setdefault(step_key, set()).update(permitted)
        return {name: f'ticket-{name}' for name in permitted}


@given('an advice service that permits two executors for each step')
def configure_advice_service(context):
    world = context.world
    service = world.adviser = FakeAdviceService()
    for daemon in world.daemons:
        daemon.parts.advice = service
    advice = queues.Advice(0.01, 0.001, 3.0)
    world.configure(
        **{
            pool: attrs.evolve(queue, advice=advice)
            for pool, queue in world.configuration.queues.items()
        }
    )
    context.runner.run(world.owner.restart())
    context.runner.run(asyncio.sleep(3.0))
    assert isinstance(world, job_world.World)


@then('every task started on a permitted executor')
def check_executors_permitted(context):
    world = context.world
    start_count = 0
    for _, _, kind, fields in world.log:
        if kind != 'run_started':
            continue
        job_id, occurrence, step, _ = fields['task'].split('.')
        key = job_id, int(occurrence), int(step)
        assert fields['executor'] in world.adviser.permitted[key], fields
        start_count += 1
    assert start_count


class _OwnerStub:
    """Stub of the partition owner that never runs spawned coroutines."""

    epoch = 1
    lease_s = 4.0

    def __init__(self, executor):
        self.spawned = []
        # Queues coroutines without running them, like a busy event loop.
        self.tasks = types.SimpleNamespace(spawn=self.spawned.append)
        self.scheduler = types.SimpleNamespace(
            executors={executor.executor_id: executor}
        )

    def now_s(self):
        """Return the fixed time of the scenario."""
        return NOW_S

    def may_renew_leases(self):
        """Always allow lease renewal."""
        return True


@given('an idle executor whose last lease has expired')
def add_idle_executor(context):
    entry = executors.ExecutorEntry(
        'x', 'x:1', 'p', 'z', specs.Resources(16000, 65536)
    )
    context.executor = executors.Executor(entry, entry.capacity)
    context.executor.incarnation.update_clock(5.0, NOW_S)
    assert context.executor.incarnation.is_lease_expired(NOW_S)


@when('a start of a stored run is queued but not yet sent')
def queue_start(context):
    run = _make_run(specs.StepSpec(1, specs.Resources(1000, 1000), 1.0))
    run.phase = run_state.RunPhase.PLANNED
    context.executor.add(run)
    owner = _OwnerStub(context.executor)
    run_orders.RunOrders(owner, None, None).send_start(run)
    assert len(owner.spawned) == 1
    owner.spawned[0].close()


@then("the executor's lease has not expired")
def check_lease_not_expired(context):
    assert not context.executor.incarnation.is_lease_expired(NOW_S)


@given(
    'the last owner was daemon "a", whose last record is {age_s:g} seconds old'
)
def set_last_owner(context, age_s):
    context.last_record_s = NOW_S - age_s


@given('its stored intent for host "h" is {intent}')
def store_intent(context, intent):
    quiet_s = None
    if intent != 'not yet sent':
        quiet_s = float(intent.split()[2])
    context.inherited = [host_intents.HostIntent('h', 'a', quiet_s)]


@given('daemon "{daemon}" takes over with a host lease of 3 seconds')
@when('daemon "{daemon}" takes over with a host lease of 3 seconds')
def take_over(context, daemon):
    context.intents = host_intents.HostIntents(daemon, 3.0)
    if 'inherited' in context:
        context.intents.inherit(
            context.inherited, context.last_record_s, context.last_record_s
        )


@then('it may operate on "h" {verdict}, and on another host at once')
def check_wait_time(context, verdict):
    expected_s = 0.0 if verdict == 'at once' else float(verdict.split()[1])
    wait_s = context.intents.wait_s('h', NOW_S)
    assert abs(wait_s - expected_s) < 1e-6, wait_s
    assert context.intents.wait_s('other', NOW_S) == 0.0


@when('it is about to operate on host "{host}"')
def begin_operation(context, host):
    context.intents.begin([host], NOW_S)


@when('its intents are sent to the store')
def send_intents(context):
    (intent,) = context.intents.pop_changed(NOW_S)
    assert intent.quiet_s is None, intent


@when('they are stored')
def confirm_intents(context):
    context.intents.note_stored()


@when('the operation has ended')
def end_operation(context):
    context.intents.end('h', NOW_S)


@then('it may not operate on "{host}"')
def check_may_not_operate(context, host):
    assert not context.intents.may_order(host)


@then('it may operate on "{host}"')
def check_may_operate(context, host):
    assert context.intents.may_order(host)


@given('a callee that answered ten calls in {took_s:g} seconds each')
def note_ten_answers(context, took_s):
    context.latency = hedging.LatencyEstimate()
    for _ in range(10):
        context.latency.record_latency(took_s)


@when('one more answer takes {took_s:g} seconds')
def record_latency(context, took_s):
    context.latency.record_latency(took_s)


@then('the next call is hedged after {delay_s:g} seconds')
def check_hedge_delay(context, delay_s):
    assert abs(context.latency.delay_s - delay_s) < 1e-3, (
        context.latency.delay_s
    )


@when(
    'a read that may wait {wait_s:g} s returns {count:d} records, begun after '
    '{began_s:g} s and over {took_s:g} s'
)
def read_once(context, wait_s, count, began_s, took_s):
    context.latency = hedging.LatencyEstimate()
    page = keyed_log.RecordPage((None,) * count, count, count)

    async def send(timeout_s):
        await asyncio.sleep(began_s + took_s)
        return page, began_s

    read = hedging.read(send, context.latency, wait_s)
    with asyncio.Runner(loop_factory=virtual_time.VirtualLoop) as runner:
        assert runner.run(read) is page


@when('{total:d} bytes are read over a link of {rate:d} bytes a second')
def read_pages(context, total, rate):
    if not hasattr(context, 'page_size'):
        context.page_size = paging.PageSize()
    context.transfers_s = []
    while total > 0:
        page_bytes = min(total, context.page_size.size_bytes)
        context.transfers_s.append(page_bytes / rate)
        context.page_size.note_transfer(page_bytes, page_bytes / rate)
        total -= page_bytes


@then('that took at most {most:d} reads')
def check_reads(context, most):
    assert len(context.transfers_s) <= most, len(context.transfers_s)


@then('no page after the first {first:d} took longer than {most_s:g} seconds')
def check_transfers(context, first, most_s):
    longest_s = max(context.transfers_s[first:])
    assert longest_s <= most_s, longest_s


class _Refused(errors.PlatformError):
    """A response that refuses the call."""


@given('a call whose copies are {copies}')
def set_copies(context, copies):
    context.copies = [copy.split(' in ') for copy in copies.split(', ')]


@when('it is made with a timeout of 1 second')
def make_call(context):
    context.sent = 0
    runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)

    async def send():
        result, *after_s = context.copies[context.sent]
        context.sent += 1
        await asyncio.sleep(float(after_s[0]) if after_s else 1e6)
        if result == 'refused':
            raise _Refused('call refused')
        if result == 'unavailable':
            raise errors.PlatformUnavailable('service unavailable')
        if result == 'broken':
            raise errors.OutcomeUnknown('connection broken')

    async def measure():
        now_s = asyncio.get_running_loop().time
        begun_s = now_s()
        try:
            await hedging.call(send, hedging.LatencyEstimate(), 1.0, now_s)
        except _Refused:
            outcome = 'refused'
        except errors.PlatformUnavailable:
            outcome = 'unavailable'
        except errors.OutcomeUnknown:
            outcome = 'unknown'
        else:
            outcome = 'answered'
        return outcome, now_s() - begun_s

    with runner:
        context.outcome, context.took_s = runner.run(measure())


@then('it is {outcome:w}, after {sent:d} copies and {took_s:g} seconds')
def check_call(context, outcome, sent, took_s):
    assert context.outcome == outcome, context.outcome
    assert context.sent == sent, context.sent
    assert abs(context.took_s - took_s) < 0.005, context.took_s


def _note_records(context, count, gap_s, epoch):
    for _ in range(count):
        context.now_s += gap_s
        context.view.note_read(context.now_s, context.now_s)
        context.view.note_owner(context.now_s, epoch, False, False)


@given("an owner whose records were {gap_s:g} seconds apart")
def note_first_records(context, gap_s):
    context.now_s = NOW_S
    context.view = ownership.OwnerView()
    _note_records(context, 5, gap_s, epoch=1)


@when('{count:d} more follow {gap_s:g} seconds apart')
def note_more_records(context, count, gap_s):
    _note_records(context, count, gap_s, epoch=1)


@when('another owner writes after {gap_s:g} s')
def note_new_owner(context, gap_s):
    _note_records(context, 1, gap_s, epoch=2)


@then('its timeout is {expected_s:g} seconds')
def check_owner_timeout(context, expected_s):
    timeout_s = context.view.owner_timeout_s
    assert abs(timeout_s - expected_s) < 1e-6, timeout_s


@when('{tasks:d} tasks of each of {steps:d} steps find no room elsewhere')
def set_blocked_tasks(context, tasks, steps):
    context.blocked_keys = [
        ('j', 0, step) for step in range(steps) for _ in range(tasks)
    ]


@when('each step may have {limit:d} on an executor and {away:d} away')
def set_blocked_limits(context, limit, away):
    context.blocked = [
        wave_planning.BlockedTask(key, limit, None if away < 0 else away)
        for key in context.blocked_keys
    ]


@then('they ask for {hosts:d} hosts')
def check_blocked_hosts(context, hosts):
    assert wave_planning.hosts_for_blocked(context.blocked) == hosts
