"""Steps for the soak: its judge, and a short run of it."""

import asyncio
import pathlib
import re
import tempfile

from behave import given
from behave import then
from behave import when

from soak import beside_room
from soak import deployment
from soak import events
from soak import report

POOL = 'pool-a'
MAX_ATTEMPTS = 3
JOB = '0000000000000001'
FILLER = '0000000000000002'
CORE_MILLICORES = 1000
EXECUTOR_CORES = 16
MEM_MB = 65536
_PERIOD = re.compile(r'from ([0-9.]+) s to ([0-9.]+) s')


def _step(count, **fields):
    step = {
        'count': count,
        'cpu_millicores': CORE_MILLICORES,
        'mem_mb': 1,
        'after': [],
        'max_per_executor': 0,
        'is_lasting': False,
    }
    return {**step, **fields}


def _record(context, time_s, kind, subject, **fields):
    context.events.append(events.Event(time_s, kind, subject, fields))


def _submit(context, time_s, job_id, steps, is_accepted=True):
    _record(
        context, time_s, events.Kind.SUBMITTED, job_id, pool=POOL, steps=steps
    )
    answer = events.Kind.ACCEPTED if is_accepted else events.Kind.REFUSED
    _record(context, time_s, answer, job_id)


def _run(context, task, executor, period, run=1):
    begin_s, end_s = period
    fields = {'task': task, 'run': run}
    _record(context, begin_s, events.Kind.STARTED, executor, **fields)
    _record(context, end_s, events.Kind.ENDED, executor, how='done', **fields)


@given(
    'a recorded pool of {count:d} executors, with {busy:d} cores of each in '
    'use'
)
def record_pool(context, count, busy):
    context.events = []
    for number in range(count):
        _record(
            context,
            0.0,
            events.Kind.EXECUTOR_UP,
            f'executor-{number}',
            pool=POOL,
            cpu_millicores=EXECUTOR_CORES * CORE_MILLICORES,
            mem_mb=MEM_MB,
        )
    # Its caller has seen no answer, so this job isn't judged.
    _submit(context, 0.0, FILLER, [_step(count * busy)], is_accepted=False)
    for index in range(count * busy):
        executor = f'executor-{index % count}'
        _run(context, f'{FILLER}.0.0.{index}', executor, (0.0, 40.0))


@given('a recorded job of {tasks:d} tasks, accepted at {time_s:d} s')
def record_job(context, tasks, time_s):
    _submit(context, time_s, JOB, [_step(tasks)])


@given('a recorded job whose {case}, accepted at {time_s:d} s')
def record_waiting_job(context, case, time_s):
    whole_millicores = EXECUTOR_CORES * CORE_MILLICORES
    step, is_accepted = _step(2), True
    if case == 'submission was refused':
        is_accepted = False
    elif case == 'tasks fit only once':
        step = _step(1, cpu_millicores=whole_millicores, mem_mb=MEM_MB)
        # The other executor's memory is in use, hardly its processors.
        filler = 'f' * 16
        steps = [_step(1, mem_mb=MEM_MB)]
        _submit(context, 0.0, filler, steps, is_accepted=False)
        _run(context, f'{filler}.0.0.0', 'executor-1', (0.0, 40.0))
    else:
        step = _step(1, max_per_executor=1)
        _record(context, 0.0, events.Kind.EXECUTOR_DOWN, 'executor-1')
    _submit(context, time_s, JOB, [step], is_accepted)


@given(
    'a recorded long-running job of {tasks:d} tasks, accepted at {time_s:d} s'
)
def record_lasting_job(context, tasks, time_s):
    _submit(context, time_s, JOB, [_step(tasks, is_lasting=True)])


@given('its {which} task runs {when_it_runs} on the first executor')
def record_runs(context, which, when_it_runs):
    index = ('first', 'second').index(which)
    for run, found in enumerate(_PERIOD.findall(when_it_runs), 1):
        period = tuple(map(float, found))
        _run(context, f'{JOB}.0.0.{index}', 'executor-0', period, run)


@when('the record is judged up to {end_s:d} s')
def judge_record(context, end_s):
    context.judge = beside_room.Judge({POOL: MAX_ATTEMPTS})
    recorded = sorted(context.events, key=lambda event: event.time_s)
    _record(context, end_s, events.Kind.REFUSED, FILLER)
    until = [event for event in recorded if event.time_s <= end_s]
    context.judge.follow([*until, context.events[-1]])


@given('a stand-in that is held up from {begin_s:g} s to {end_s:g} s')
def record_late_stand_in(context, begin_s, end_s):
    late_s = end_s - begin_s
    _record(context, end_s, events.Kind.LATE, 'store', late_s=late_s)


@then('{count:d} calm cases are found')
def check_calm_cases(context, count):
    cases = context.judge.calm_cases()
    assert len(cases) == count, cases


@then('{count:d} cases are found')
def check_cases(context, count):
    cases = context.judge.cases
    assert len(cases) == count, cases


@when(
    'the soak runs {daemons:d} daemons and {executors:d} executors for '
    '{traffic_s:d} s at {rate_factor:g} of the rates with seed {seed:d}'
)
def run_soak(context, daemons, executors, traffic_s, rate_factor, seed):
    plan = deployment.Plan(
        daemons=daemons,
        executors=executors,
        executor_processes=1,
        traffic_s=traffic_s,
        rest_s=6.0,
        rate_factor=rate_factor,
        seed=seed,
    )
    directory = tempfile.TemporaryDirectory(prefix='soak-')
    context.add_cleanup(directory.cleanup)
    context.deployment = deployment.Deployment(
        plan, pathlib.Path(directory.name)
    )
    asyncio.run(context.deployment.run())
    context.findings = report.examine(context.deployment)


@then('every job was accepted or refused')
def check_answers(context):
    answers = context.findings.answers
    assert answers, 'nothing was submitted'
    unanswered = [key for key in answers if key.endswith('unanswered')]
    assert not unanswered, answers


@then('no job had nothing running beside room while the stand-ins were calm')
def check_no_cases(context):
    lines = report.lines(context.deployment, context.findings)
    assert not context.findings.judge.calm_cases(), '\n'.join(lines)
