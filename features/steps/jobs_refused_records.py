"""Steps for records that the store will never take."""

import asyncio
import itertools
import random
import types

from behave import given
from behave import then
from behave import when

from fakes import keyed_store
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_platform import keyed_log
from hawthorndeal_scheduler import journal_writer
from hawthorndeal_scheduler import refused_records
from hawthorndeal_scheduler import wave_reporter
from stage import job_world
from stage import virtual_time

CHARACTERS = {
    'ASCII': 'a',
    'quotes': '"',
    'control characters': '\x01',
    'Kazakh': 'Қ',
    'kanji': '紙',
    'emoji': '\N{GRINNING FACE}',
    'single surrogates': '\ud83d',
}
SPREAD = {'submission_partitions': 16, 'spare_partitions': 3}
OPTIONS = {
    'one partition': {},
    'spare partitions': {**SPREAD, 'splits_progress': True},
    'whole progress': SPREAD,
}
LONG_JOB = 'long'
RUN_S = 6.0
BEFORE_CRASH_S = 2.0
DOWN_S = 4.5
PARTITION = keyed_log.Partition('jobs')
RECORDS = 40
MAX_RECORD_BYTES = 1000
WAVE_REPORTED_S = 10.0


@given(
    'simulated daemons with seed {seed:d}, {option}, and a store that takes '
    'records of up to {count:d} bytes'
)
def start_simulation(context, seed, option, count):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.jobs, context.ordinary = {}, []

    async def start():
        context.world = job_world.World(seed, limits=[OPTIONS[option]] * 3)
        context.world.store.max_record_bytes = count
        await context.world.start()
        await asyncio.sleep(2.0)

    context.add_cleanup(_stop, context)
    context.runner.run(start())


def _stop(context):
    context.runner.run(context.world.stop())
    context.runner.close()


async def _submit(context, job_id, spec):
    world = context.world
    context.jobs[job_id] = 'web'
    for attempt in range(20):
        daemon = world.daemons[attempt % len(world.daemons)]
        refusal = await world.submit(daemon, 'web', job_id, spec)
        if refusal is None:
            return
        await asyncio.sleep(0.2)
    raise AssertionError(refusal)


@when(
    'a job of {count:d} tasks starts, whose checkpoints are {chars:d} '
    'characters of {text}'
)
def start_long_job(context, count, chars, text):
    world = context.world
    world.checkpoints[LONG_JOB] = CHARACTERS[text] * chars
    world.durations_s[LONG_JOB] = RUN_S
    spec = job_world.one_step(
        count, estimate_s=RUN_S, cores=0.1, is_checkpointing=True
    )

    async def submit():
        await _submit(context, LONG_JOB, spec)
        await asyncio.sleep(BEFORE_CRASH_S)

    context.runner.run(submit())


@when('all its executors crash')
def crash(context):
    world = context.world
    names = set(itertools.chain(*world.running(LONG_JOB).values()))
    assert names

    async def crash_all():
        for name in names:
            world.crash_executor(world.executors[name], DOWN_S)

    context.runner.run(crash_all())


@when('{count:d} jobs arrive, one a second')
def submit_ordinary(context, count):
    context.ordinary = [f'ordinary{number}' for number in range(count)]

    async def submit():
        for job_id in context.ordinary:
            await _submit(context, job_id, job_world.one_step(2))
            await asyncio.sleep(1.0)

    context.runner.run(submit())


@when('{count:d} jobs and "{job_id}" arrive at once')
def submit_beside(context, count, job_id):
    world = context.world
    context.ordinary = [f'ordinary{number}' for number in range(count)]
    context.jobs = dict.fromkeys([*context.ordinary, job_id], 'web')

    async def submit():
        return await asyncio.gather(
            *(
                world.submit(
                    world.daemons[0], 'web', other, job_world.one_step(2)
                )
                for other in (*context.ordinary, job_id)
            )
        )

    *refusals, context.refusal = context.runner.run(submit())
    assert not any(refusals), refusals


@then('the caller of "{job_id}" was told {reason}')
def check_refusal(context, job_id, reason):
    assert context.refusal == reason, context.refusal


@then('these jobs are completed')
def check_ordinary(context):
    _check_completed(context, context.ordinary)


@then('the job with checkpoints is completed')
def check_long(context):
    _check_completed(context, [LONG_JOB])


def _check_completed(context, job_ids):
    states = {i: context.world.stored_status(i) for i in job_ids}
    assert all(
        status is not None and status.state is jobs.JobState.COMPLETED
        for status in states.values()
    ), states


@then('the store has refused nothing')
def check_nothing_refused(context):
    assert not context.world.store.refused, context.world.store.refused


def _refuse(context, key):
    store = context.world.store
    store.is_refused = lambda record: (
        bool(record.value) and record.key.startswith(key)
    )


@given('a store that refuses the progress of job "{job_id}"')
@when('the store begins to refuse the progress of job "{job_id}"')
def refuse_progress(context, job_id):
    context.refused_key = f'{journal.PROGRESS}/{job_id}/'
    _refuse(context, context.refused_key)


@given('a store that refuses the submission of job "{job_id}"')
def refuse_submission(context, job_id):
    _refuse(context, f'{journal.JOB}/{job_id}')


@given('a store that refuses the record of host orders')
def refuse_host_orders(context):
    _refuse(context, journal.HOSTS)
    context.refused_since_s = context.world.now_s()


def _starts(context, job_id):
    return {
        str(task_id): count
        for task_id, count in context.world.starts.items()
        if task_id.job_id == job_id
    }


@then('job "{job_id}" has run nothing')
def check_not_run(context, job_id):
    assert not _starts(context, job_id), _starts(context, job_id)


@then('no task of "{job_id}" has started again')
def check_not_started_again(context, job_id):
    starts = _starts(context, job_id)
    assert starts and set(starts.values()) == {1}, starts


@then('it was logged once that its record was refused, and counted')
def check_logged(context):
    found = [
        fields
        for _, _, kind, fields in context.world.log
        if kind == 'record_refused'
        if fields['key'].startswith(context.refused_key)
    ]
    assert len(found) == 1, found
    metrics = context.world.owner.parts.metrics.exposition().decode()
    assert 'hawthorndeal_records_refused_total{kind="progress"}' in metrics


@then('no host was ordered')
def check_no_order(context):
    kinds = {
        kind
        for time_s, _, kind, _ in context.world.log
        if time_s > context.refused_since_s
    }
    assert 'host_moved' not in kinds, kinds
    assert 'host_orders_put_off' in kinds, kinds


@given(
    'a job of {count:d} checkpointing tasks, whose checkpoints are 1 to '
    '{most:d} characters of {text}'
)
def make_occurrence(context, count, most, text):
    rng = random.Random(count)
    spec = job_world.one_step(count, is_checkpointing=True)
    job = jobs.Job('long', 'web', 'web', 0.0, spec)
    context.occurrence = occurrence = job.occurrence(0)
    for number, task in enumerate(occurrence.tasks[0]):
        task.run, task.executor = number + 1, f'x{number}'
        task.checkpoint = CHARACTERS[text] * rng.randint(1, most)
        occurrence.note_changed(0, number)


@when('its progress is stored in records of up to {count:d} bytes')
def store_progress(context, count):
    context.max_bytes = count
    context.records = [
        journal.progress_record(context.occurrence, (1, 1), count),
        *journal.progress_records(context.occurrence, (1, 1), True, count),
    ]


@then('none is larger, and each tells all that it told but for checkpoints')
def check_records(context):
    tasks = context.occurrence.tasks[0]
    for record in context.records:
        assert record.size_bytes <= context.max_bytes, record.size_bytes
        restored = _restore(context.occurrence.job.spec, record)
        for task, other in zip(tasks, restored):
            assert other.checkpoint in ('', task.checkpoint)
            assert (other.run, other.executor) == (task.run, task.executor)


def _restore(spec, record):
    occurrence = jobs.Job('long', 'web', 'web', 0.0, spec).occurrence(0)
    journal.restore_progress(record.value, occurrence)
    return occurrence.tasks[0]


@then('no smaller checkpoint is left out than any that is kept')
def check_kept(context):
    tasks = context.occurrence.tasks[0]
    for record in context.records:
        restored = _restore(context.occurrence.job.spec, record)
        kept = [t for t, o in zip(tasks, restored) if o.checkpoint]
        left_out = [t for t, o in zip(tasks, restored) if not o.checkpoint]
        assert kept
        # Room for a further one would be left otherwise.
        assert record.size_bytes > 0.9 * context.max_bytes or not left_out
        if left_out:
            largest = max(len(task.checkpoint) for task in kept)
            assert largest <= min(len(task.checkpoint) for task in left_out)


@given(
    "a writer of an owner's records, to a store that refuses {refused} of 40"
)
def make_writer(context, refused):
    context.store = store = keyed_store.KeyedStore()
    refused_numbers = {
        '1': {0},
        '3': {11, 12, 29},
        'none, but one too large': set(),
    }[refused]
    context.batch = [
        journal.Record(f'progress/{number}/0', b'{"s":[1,%d]}' % number)
        for number in range(RECORDS)
    ]
    context.refused = [context.batch[n] for n in sorted(refused_numbers)]
    keys = {record.key for record in context.refused}
    store.is_refused = lambda record: record.key in keys
    if not context.refused:
        large = journal.Record('progress/large/0', b' ' * MAX_RECORD_BYTES)
        context.batch[7] = large
        context.refused = [large]
    context.noted = []
    refusals = refused_records.RefusedRecords(
        types.SimpleNamespace(
            write=lambda kind, **fields: context.noted.append(
                (kind, fields['key'])
            )
        ),
        types.SimpleNamespace(note_refused_record=context.noted.append),
    )
    context.calls = 0
    context.writer = journal_writer.JournalWriter(
        types.SimpleNamespace(append=_counted(context)),
        PARTITION,
        ownership.OwnershipTerm(5, 0.0),
        types.SimpleNamespace(boot_s=lambda: 0.0),
        random.Random(1),
        refusals,
        MAX_RECORD_BYTES,
    )


def _counted(context):
    async def append(partition, records, fence):
        context.calls += 1
        return context.store.append(partition, records, fence)

    return append


@when('the records are appended together, and 3 others after them')
def append_records(context):
    context.later = [
        journal.Record(f'progress/later{number}/0', b'{}')
        for number in range(3)
    ]

    async def append():
        context.returned = await context.writer.append(context.batch)
        assert not await context.writer.append(context.later)

    asyncio.run(append())


@then('all but the refused ones are stored, in order')
def check_stored(context):
    page = context.store.read(PARTITION, 0)
    wanted = [r for r in context.batch if r not in context.refused]
    assert [r.key for r in page.records] == [
        record.key for record in (*wanted, *context.later)
    ]


@then('the refused ones are returned, each counted and logged once')
def check_returned(context):
    assert context.returned == context.refused, context.returned
    assert context.noted == list(
        itertools.chain.from_iterable(
            ('progress', ('record_refused', record.key))
            for record in context.refused
        )
    )


@then('the writer has made at most {count:d} appends')
def check_appends(context, count):
    assert context.calls <= count, context.calls


class _RefusedReports:
    """Store of reports on waves that refuses each."""

    def __init__(self):
        self.sent = []

    async def report_wave(self, number, is_completed):
        """Refuse a report."""
        self.sent.append((number, is_completed))
        raise keyed_log.RecordsRefused('status 400')


@given('a reporter of waves, to a store that refuses its reports')
def make_reporter(context):
    context.reports, context.noted = _RefusedReports(), []
    context.events = types.SimpleNamespace(
        write=lambda kind, **fields: context.noted.append(kind)
    )


@when('a wave is reported as running and as completed')
def report_wave(context):
    async def report():
        reporter = wave_reporter.WaveReporter(
            context.reports, asyncio.create_task, context.events
        )
        reporter.report(3, False)
        while not reporter.report(3, True):
            await asyncio.sleep(0.1)

    virtual_time.run(asyncio.wait_for, report(), WAVE_REPORTED_S)


@then('each report was sent and logged once')
def check_reports(context):
    assert context.reports.sent == [(3, False), (3, True)]
    assert context.noted == ['wave_not_reported'] * 2, context.noted
