"""Steps for entries that can't be served, and for those behind them."""

import asyncio
import re

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import capacity
from hawthorndeal_jobs import consolidation
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import wave_planning
from hawthorndeal_platform import hedging
from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import reachability
from hawthorndeal_scheduler import record_cleaner
from hawthorndeal_scheduler import submitter
from hawthorndeal_site import executors as site_executors
from stage import job_world
from stage import virtual_time
from steps import jobs_consolidation
from steps import jobs_workspaces

PARTITION = keyed_log.Partition('topic')
TASK = '0123456789abcdef.0.0.0'


class RefusingLog:
    """Log that stores what it doesn't refuse.

    :ivar refuses: tells whether some records are refused together
    """

    overdue_s = 0.25

    def __init__(self):
        self.refuses = lambda records: False
        self.stored = []
        self.reachability = reachability.Reachability(
            hedging.LatencyEstimate(), asyncio.get_running_loop().time
        )

    async def append(self, partition, records):
        """Store records, or refuse all of them."""
        await asyncio.sleep(0.01)
        if self.refuses(records):
            raise errors.PlatformRefused('status 400')
        self.stored += records
        return len(self.stored) - len(records)


class _Events:
    def write(self, kind, **fields):
        """Drop an event."""


def _make_runner(context):
    context.runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
    context.add_cleanup(context.runner.close)


@given('jobs "a", "b" and "c" whose records are to be deleted, {count:d} each')
def add_deletions(context, count):
    _make_runner(context)

    async def make():
        context.log = RefusingLog()
        context.cleaner = record_cleaner.RecordCleaner(
            context.log, [PARTITION], _Events()
        )

    context.runner.run(make())
    context.keys = {
        job_id: {f'progress/{job_id}/{number}' for number in range(count)}
        for job_id in 'abc'
    }
    for job_id, keys in context.keys.items():
        records = [journal.Record(key) for key in sorted(keys)]
        context.cleaner.add(job_id, PARTITION.name, records)


@when('the store refuses the records of "{job_id}"')
def refuse_job(context, job_id):
    keys = context.keys[job_id]
    context.log.refuses = lambda records: any(r.key in keys for r in records)


@when('the store refuses appends of over {limit:d} records')
def refuse_large(context, limit):
    context.log.refuses = lambda records: len(records) > limit


@when('{seconds:d} seconds of deletions pass')
def clean(context, seconds):
    async def run():
        task = asyncio.create_task(context.cleaner.run())
        await asyncio.sleep(seconds + 0.5)
        task.cancel()

    context.runner.run(run())


@then('the records of {names} are deleted')
def check_deleted(context, names):
    deleted = {record.key for record in context.log.stored}
    for job_id in re.findall('[a-z]', names):
        assert context.keys[job_id] <= deleted, (job_id, len(deleted))


@given('a pool with {count:d} hosts that long-running tasks keep')
def make_kept_hosts(context, count):
    row = {
        'last_finite_s': '10',
        'tasks': '1',
        'per_host': '0',
        'max_away': '1',
        'free_cores': '8',
    }
    context.executors = [
        jobs_consolidation._executor_with_tasks(number, row)
        for number in range(count)
    ]
    context.load = capacity.PoolLoad('web', hosts=count, lasting_hosts=0.2)
    context.not_emptied = set()


def _choose(context):
    return consolidation.choose_host(
        context.load,
        context.executors,
        jobs_consolidation.NOW_S,
        context.not_emptied,
    )


@when('the host that is tried first could not be emptied')
def fail_first(context):
    context.not_emptied.add(_choose(context).executor_id)


@then('another one is tried before it')
def check_another(context):
    assert _choose(context).executor_id not in context.not_emptied


@when('each of them could not be emptied')
def fail_all(context):
    context.not_emptied = {e.executor_id for e in context.executors}


@then('one of them is tried')
def check_any(context):
    assert _choose(context) is not None


def _add_wave(context, number, duration_s):
    world = context.world
    hosts = [host for host in world.hosts.entries if host.startswith('web')]
    world.add_wave(number, hosts, duration_s, 2)


@when("a wave that can't be planned is requested")
def add_bad_wave(context):
    _add_wave(context, 101, None)


@when('a wave over its pool is requested after it')
def add_second_wave(context):
    _add_wave(context, 102, 10.0)


@then('the second wave is completed, and the first one is logged as failed')
def check_waves(context):
    world = context.world
    assert world.waves_completed == {102}, world.waves_completed
    failed = {
        fields['wave']
        for _, _, kind, fields in world.log
        if kind == 'wave_failed'
    }
    assert failed == {101}, failed


@given('one due host has been draining {how}, and {count:d} others have tasks')
def set_draining(context, how, count):
    is_stuck = how == 'for long'
    context.due = [
        wave_planning.WaveHost('stuck', 1, True, True, is_stuck),
        *(wave_planning.WaveHost(f'b{n}', 3, False) for n in range(count)),
    ]


@when('"{name}" submits a long-running task of {cores:g} core')
def submit_lasting(context, name, cores):
    jobs_workspaces._add_job(context, name, 1, cores, is_lasting=True)


@when('"{name}" submits a gang of {count:d} tasks of {cores:g} core')
def submit_gang(context, name, count, cores):
    context.gang = jobs_workspaces._add_job(
        context, name, count, cores, is_gang=True
    )


@when('the gang of "{name}" is cancelled')
def cancel_gang(context, name):
    assert context.gang.workspace == name
    context.harness.scheduler.cancel_job(context.gang)


@when('the long-running task has ended')
def end_lasting(context):
    _cancel_runs(context, [r for r in context.running if r.step.is_lasting])


@when('a long-running task of {cores:g} cores has ended')
def end_lasting_of_size(context, cores):
    millicores = int(cores * jobs_workspaces.CORE)
    runs = [
        run
        for run in context.running
        if run.step.is_lasting
        and run.step.request.cpu_millicores == millicores
    ]
    assert len(runs) == 1, runs
    _cancel_runs(context, runs)


def _cancel_runs(context, runs):
    for run in runs:
        context.harness.scheduler.cancel_job(run.occurrence.job)
    jobs_workspaces._end(context, runs, run_state.EndCause.STOPPED)


@when('{count:d} tasks of "{name}" that end by themselves end')
def end_finite(context, count, name):
    runs = [
        run
        for run in context.running
        if run.workspace == name and not run.step.is_lasting
    ]
    jobs_workspaces._end(context, runs[:count], run_state.EndCause.DONE)


@when(
    '{count:d} records are appended at once, and the store refuses appends '
    'with the third'
)
def append_with_refused(context, count):
    _make_runner(context)
    records = [journal.Record(f'job/{n}', b'x') for n in range(count)]

    async def run():
        context.log = log = RefusingLog()
        log.refuses = lambda batch: records[2] in batch
        part = submitter.Submitter(log)
        appending = [
            asyncio.create_task(part.append([PARTITION], record, 4.0))
            for record in records
        ]
        # All of them are queued before the first append begins.
        await asyncio.sleep(0)
        running = asyncio.create_task(part.run())
        outcomes = await asyncio.gather(*appending, return_exceptions=True)
        running.cancel()
        return outcomes

    context.outcomes = context.runner.run(run())


@then('the other {count:d} are stored, and the third one is not')
def check_stored(context, count):
    failed = [isinstance(o, Exception) for o in context.outcomes]
    assert [n for n, has_failed in enumerate(failed) if has_failed] == [2]
    assert len(context.log.stored) == count


@when('a job of {size_bytes:d} bytes is submitted')
def submit_large(context, size_bytes):
    world = context.world
    spec = job_world.one_step(1, image='i' * size_bytes)
    context.refusal = context.runner.run(
        world.call(world.daemons[0], 'POST', 'web', 'large', spec)
    )


@then('it is refused as {reason}, and names {limit}')
def check_refused(context, reason, limit):
    answer = context.refusal
    assert answer.status == errors.RequestTooLarge.status, answer
    assert answer.plain['reason'] == reason, answer
    assert limit in answer.plain['detail'], answer


@then('no record of it is stored')
def check_not_stored(context):
    assert context.world.find_record(f'{journal.JOB}/large') is None


@when(
    'an executor lists a run and an end with a checkpoint of {chars:d} '
    'characters'
)
def list_checkpoint(context, chars):
    checkpoint = 'c' * chars
    plain = {
        'clock-ms': 1000,
        'running': [[TASK, 1, checkpoint, 50]],
        'ended': [[1, TASK, 1, 'stopped', checkpoint]],
    }
    poll = site_executors.decode_poll(plain, 0.0, 0.0)
    context.checkpoints = [
        row.checkpoint for row in (*poll.running, *poll.ended)
    ]


@then('the checkpoint that is read has {chars:d} characters')
def check_checkpoint(context, chars):
    assert [len(text) for text in context.checkpoints] == [chars] * 2
