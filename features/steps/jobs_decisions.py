"""Steps that show each decision on jobs and hosts by itself."""

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
from hawthorndeal_jobs import specs
from hawthorndeal_jobs import wave_planning
from hawthorndeal_platform import hedging
from hawthorndeal_scheduler import run_orders
from stage import job_world
from stage import virtual_time

NOW_S = 100.0
QUARTER_S = 0.25


@given('pools with these loads')
def make_loads(context):
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
                starved_hosts=int(row['starved']),
            )
        )
        context.idle += [
            capacity.IdleHost(f'{row["pool"]}-{n}', row['pool'], 5.0)
            for n in range(int(row['idle']))
        ]


@when('moves of hosts are planned')
def plan_moves(context):
    moves = capacity.plan_moves(context.loads, context.idle)
    context.targets = [move.to_pool for move in moves]
    assert len({move.host for move in moves}) == len(moves)


@then('{busy:d} hosts go to "busy", {small:d} to "small" and {off:d} off')
def check_moves(context, busy, small, off):
    counts = [context.targets.count(p) for p in ('busy', 'small', 'off')]
    assert counts == [busy, small, off], context.targets


@given('a wave of {total:d} hosts in {seconds:d} seconds, {most:d} at once')
def make_wave(context, total, seconds, most):
    context.wave = wave_planning.WaveProgress(total, 0, 0, most, seconds, 0.0)


@given(
    '{begun:d} have begun, {down:d} are down, and {elapsed:d} seconds have '
    'passed'
)
def set_progress(context, begun, down, elapsed):
    context.wave = attrs.evolve(
        context.wave, begun=begun, down=down, elapsed_s=float(elapsed)
    )


@given('{idle:d} due hosts are idle and {busy:d} have 3 tasks each')
def make_due(context, idle, busy):
    context.due = [
        *(wave_planning.WaveHost(f'i{n}', 0, False) for n in range(idle)),
        *(wave_planning.WaveHost(f'b{n}', 3, False) for n in range(busy)),
    ]


@when('the wave is planned')
def plan_wave(context):
    context.plan = wave_planning.plan_wave(context.wave, context.due)


@then('{begin:d} hosts go down and {empty:d} are emptied')
def check_plan(context, begin, empty):
    made = len(context.plan.begin), len(context.plan.empty)
    assert made == (begin, empty), context.plan


@when('one of {count:d} lasting tasks, {gone:d} away at most, is to end')
def set_lasting(context, count, gone):
    context.count, context.gone = count, gone


@then('that is {verdict} while {others:d} of the others are at work')
def check_may_end(context, verdict, others):
    may = wave_planning.may_stop_lasting(
        others, context.count - 1, context.gone
    )
    assert may == (verdict == 'allowed')


def _run(step, **fields):
    job = jobs.Job('j', 'q', 'p', 0.0, specs.JobSpec('', (step,)))
    run = executors.Run(
        jobs.TaskId('j', 0, 0, 0),
        1,
        job.occurrence(0),
        'x',
        step.reserved,
        executors.RunPhase.RUNNING,
        0.0,
    )
    for name, value in fields.items():
        setattr(run, name, value)
    return run


@given(
    'a serving task at {tail:g} of its target beside a filler at {percent:d}'
)
def make_beside(context, tail, percent):
    room = specs.Resources(1000, 1000)
    serving = specs.StepSpec(1, room, is_lasting=True, tail_target_ms=1000)
    filling = specs.StepSpec(1, room, is_filler=True)
    context.filler = _run(filling, pace_percent=percent, pace_changed_s=NOW_S)
    context.runs = [_run(serving, usage=int(tail * 1000)), context.filler]


@when('paces are planned {after:g} seconds after the last change')
def plan_paces(context, after):
    context.paces = pacing.plan(context.runs, NOW_S + after)


@then("the filler's pace is {pace:d}")
def check_pace(context, pace):
    percent = context.filler.pace_percent
    for order in context.paces:
        assert order.run is context.filler
        percent = order.percent
    assert percent == pace, percent


def _open_step(name, objective_s):
    spec = specs.JobSpec('', (specs.StepSpec(1, specs.Resources(1), 1.0),))
    job = jobs.Job(name, 'q', 'p', 0.0, spec)
    return ordering.ReadyStep(
        job.occurrence(0), 0, [0], objective_s, objective_s + 9.0, 0, 1.0
    )


@given(
    'open steps "late" {seconds:g} second past its objective and "fresh" in '
    'time'
)
def make_steps(context, seconds):
    context.steps = [
        _open_step('late', NOW_S - seconds),
        _open_step('fresh', NOW_S + 5.0),
    ]


@when('they are put in order')
def put_in_order(context):
    context.steps.sort(key=lambda step: ordering.rank(step, NOW_S))


@then('"{first}" goes before "{second}"')
def check_order(context, first, second):
    names = [step.occurrence.job.job_id for step in context.steps]
    assert names == [first, second], names


@when('{count:d} tasks of a queue take half of what was declared')
def learn(context, count):
    context.corrector = estimates.EstimateCorrector()
    for _ in range(count):
        context.corrector.note('q', 2.0, 1.0)


@then('its declared times count half')
def check_factor(context):
    assert abs(context.corrector.factor('q') - 0.5) < 1e-9
    assert context.corrector.factor('another') == 1.0


@when(
    '1, 2, 1 and 2 jobs arrive in quarters of a second, for {seconds:d} '
    'seconds'
)
def arrive_evenly(context, seconds):
    context.meter = demand.DemandMeter()
    context.now_s = NOW_S
    for count in (1, 2, 1, 2) * seconds:
        _arrive(context, count)


def _arrive(context, count):
    for _ in range(count):
        context.meter.note(1.0, context.now_s)
    context.now_s += QUARTER_S


@when('{count:d} jobs arrive in each quarter of the next second')
def arrive_much(context, count):
    for _ in range(4):
        _arrive(context, count)


@then('no growth is expected')
def check_no_growth(context):
    assert context.meter.growth(context.now_s - 0.01, 2.0) == 0.0


@then('growth is expected')
def check_growth(context):
    assert context.meter.growth(context.now_s - 0.01, 2.0) > 10.0


@given('a store read {ago:g} seconds ago, readable for {readable:g} seconds')
def make_view(context, ago, readable):
    context.view = ownership.OwnerView(
        is_claimable=False,
        last_read_s=NOW_S - ago,
        last_read_done_s=NOW_S - ago,
        readable_since_s=NOW_S - readable,
    )


@given("the owner's last sign was {ago:g} seconds ago")
def set_sign(context, ago):
    context.view.last_record_s = NOW_S - ago


@then('claiming now is {verdict}')
def check_claim(context, verdict):
    may = context.view.may_claim(NOW_S, delay_s=0.2)
    assert may == (verdict == 'allowed')


class Adviser:
    """Permit two executors for each step."""

    def __init__(self):
        self.permitted = {}

    async def advise(self, step_key, executor_ids):
        """Return tickets for the first two that are named."""
        await asyncio.sleep(0.02)
        good = sorted(executor_ids)[:2]
        self.permitted.setdefault(step_key, set()).update(good)
        return {name: f'ticket-{name}' for name in good}


@given('an advice service that permits two executors for each step')
def add_adviser(context):
    world = context.world
    adviser = world.adviser = Adviser()
    for daemon in world.daemons:
        daemon.parts.advice = adviser
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


@then('every task began on an executor that was permitted')
def check_permitted(context):
    world = context.world
    begun = 0
    for _, _, kind, fields in world.log:
        if kind != 'run_started':
            continue
        job_id, occurrence, step, _ = fields['task'].split('.')
        key = job_id, int(occurrence), int(step)
        assert fields['executor'] in world.adviser.permitted[key], fields
        begun += 1
    assert begun


class _WaitingOwner:
    """Keep what is spawned, and run none of it."""

    epoch = 1
    lease_s = 4.0

    def __init__(self, executor):
        self.spawned = []
        self.scheduler = types.SimpleNamespace(
            executors={executor.executor_id: executor}
        )

    def now_s(self):
        """Return the time of the scenario."""
        return NOW_S

    def may_renew_leases(self):
        """Allow everything."""
        return True

    def spawn(self, work):
        """Keep a call, as a busy loop would."""
        self.spawned.append(work)


@given('an idle executor whose last lease is over')
def make_idle(context):
    entry = executors.ExecutorEntry(
        'x', 'x:1', 'p', 'z', specs.Resources(16000, 65536)
    )
    context.executor = executors.Executor(entry, entry.capacity)
    context.executor.update_clock(5.0, NOW_S)
    assert context.executor.is_lease_expired(NOW_S)


@when('a stored run on it is ordered, and its sending waits')
def order_run(context):
    run = _run(specs.StepSpec(1, specs.Resources(1000, 1000), 1.0))
    run.phase = executors.RunPhase.PLANNED
    context.executor.add(run)
    owner = _WaitingOwner(context.executor)
    run_orders.RunOrders(owner, None, None).send_start(run)
    assert len(owner.spawned) == 1
    owner.spawned[0].close()


@then('the run does not count as lapsed')
def check_not_lapsed(context):
    assert not context.executor.is_lease_expired(NOW_S)


@given('the last owner was daemon "a", silent for {silent_s:g} seconds')
def make_silent(context, silent_s):
    context.last_record_s = NOW_S - silent_s


@given('it has stored that its order to host "h" was {told}')
def store_intent(context, told):
    quiet_s = None
    if told != 'still to be given':
        quiet_s = float(told.split()[2])
    context.inherited = [host_intents.HostIntent('h', 'a', quiet_s)]


@given('daemon "{daemon}" takes over, whose lease on hosts is 3 seconds')
@when('daemon "{daemon}" takes over, whose lease on hosts is 3 seconds')
def take_over(context, daemon):
    context.intents = host_intents.HostIntents(daemon, 3.0)
    if 'inherited' in context:
        context.intents.inherit(
            context.inherited, context.last_record_s, context.last_record_s
        )


@then('"h" may be ordered {verdict}, and another host at once')
def check_wait(context, verdict):
    expected_s = 0.0 if verdict == 'at once' else float(verdict.split()[1])
    wait_s = context.intents.wait_s('h', NOW_S)
    assert abs(wait_s - expected_s) < 1e-6, wait_s
    assert context.intents.wait_s('other', NOW_S) == 0.0


@when('it is about to order host "{host}"')
def begin_order(context, host):
    context.intents.begin([host], NOW_S)


@when('its records are taken to the store')
def take_intents(context):
    (intent,) = context.intents.pop_changed(NOW_S)
    assert intent.quiet_s is None, intent


@when('they are stored')
def store_intents(context):
    context.intents.note_stored()


@when('the order is over')
def end_order(context):
    context.intents.end('h', NOW_S)


@then('it may not order "{host}"')
def check_may_not(context, host):
    assert not context.intents.may_order(host)


@then('it may order "{host}"')
def check_may_now(context, host):
    assert context.intents.may_order(host)


@given('a callee whose answers took {took_s:g} seconds, ten of them')
def make_latency(context, took_s):
    context.latency = hedging.LatencyEstimate()
    for _ in range(10):
        context.latency.record_latency(took_s)


@when('one more takes {took_s:g} seconds')
def record_latency(context, took_s):
    context.latency.record_latency(took_s)


@then('the next call is sent again after {delay_s:g} seconds')
def check_overdue(context, delay_s):
    assert abs(context.latency.delay_s - delay_s) < 1e-3, (
        context.latency.delay_s
    )


class _Refused(errors.PlatformError):
    """Stand for an answer that refuses."""


@given('a call whose copies are {copies}')
def make_copies(context, copies):
    context.copies = [copy.split(' in ') for copy in copies.split(', ')]


@when('it is made, with 1 second at most')
def make_call(context):
    context.sent = 0
    runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)

    async def send():
        how, *after_s = context.copies[context.sent]
        context.sent += 1
        await asyncio.sleep(float(after_s[0]) if after_s else 1e6)
        if how == 'refused':
            raise _Refused('no')
        if how == 'away':
            raise errors.PlatformUnavailable('not now')
        if how == 'broken':
            raise errors.OutcomeUnknown('broken off')

    async def make():
        now_s = asyncio.get_running_loop().time
        begun_s = now_s()
        try:
            await hedging.call(send, hedging.LatencyEstimate(), 1.0, now_s)
        except _Refused:
            outcome = 'refused'
        except errors.PlatformUnavailable:
            outcome = 'away'
        except errors.OutcomeUnknown:
            outcome = 'unknown'
        else:
            outcome = 'answered'
        return outcome, now_s() - begun_s

    with runner:
        context.outcome, context.took_s = runner.run(make())


@then('it is {outcome:w}, after {sent:d} copies and {took_s:g} seconds')
def check_call(context, outcome, sent, took_s):
    assert context.outcome == outcome, context.outcome
    assert context.sent == sent, context.sent
    assert abs(context.took_s - took_s) < 0.005, context.took_s


def _note_signs(context, count, gap_s, epoch):
    for _ in range(count):
        context.now_s += gap_s
        context.view.note_read(context.now_s, context.now_s)
        context.view.note_owner(context.now_s, epoch, False, False)


@given("an owner whose records came {gap_s:g} seconds apart")
def make_owner_view(context, gap_s):
    context.now_s = NOW_S
    context.view = ownership.OwnerView()
    _note_signs(context, 5, gap_s, epoch=1)


@when('{count:d} more come {gap_s:g} seconds apart')
def note_more_signs(context, count, gap_s):
    _note_signs(context, count, gap_s, epoch=1)


@when('another owner comes after {gap_s:g} s')
def note_new_owner(context, gap_s):
    _note_signs(context, 1, gap_s, epoch=2)


@then('it is succeeded after {silence_s:g} seconds')
def check_silence(context, silence_s):
    allowed_s = context.view.owner_timeout_s
    assert abs(allowed_s - silence_s) < 1e-6, allowed_s
