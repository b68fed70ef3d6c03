"""Steps for the cost of the scheduler's decisions, in instructions."""

import functools

from behave import given
from behave import then
from behave import when

from hawthorndeal_jobs import finished_jobs
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import status_board
from stage import loaded_partition

OWN_EXECUTORS = 4
EXPIRED_S = 1.1
# More than the executors of any pool, each of which has room for one.
GANG_TASKS = 400

_Cause = run_state.EndCause


@given(
    'a {size} partition with {runs:d} runs on {count:d} executors of other '
    'pools'
)
def add_partition(context, size, runs, count):
    partition = loaded_partition.LoadedPartition(OWN_EXECUTORS)
    partition.add_other_work(runs, count)
    if not hasattr(context, 'partitions'):
        context.partitions = {}
    context.partitions[size] = partition


def _prepare_end(partition):
    run, *_ = partition.start_job(loaded_partition.job_spec(3))
    poll = partition.end_of(run, _Cause.DONE)

    def act():
        (ended,) = partition.handle(run.executor_id, poll)
        assert ended.run is run

    return act


def _prepare_end_of_copy(partition):
    (run,) = partition.start_job(loaded_partition.job_spec(1))
    partition.scheduler.expire_executor(run.executor_id, partition.now_s)
    (second,) = partition.start_all()
    poll = partition.end_of(run, _Cause.DONE)

    def act():
        partition.handle(run.executor_id, poll)
        assert second.is_stop_requested

    return act


def _prepare_failure(partition):
    runs = partition.start_job(loaded_partition.job_spec(3))
    runs[0].task.failed_runs = (2, 3)
    poll = partition.end_of(runs[0], _Cause.FAILED)

    def act():
        partition.handle(runs[0].executor_id, poll)
        assert all(run.is_stop_requested for run in runs[1:])

    return act


def _prepare_cancellation(partition):
    runs = partition.start_job(loaded_partition.job_spec(3))

    def act():
        partition.scheduler.cancel_job(runs[0].occurrence.job)
        assert all(run.is_stop_requested for run in runs)

    return act


def _prepare_job(partition):
    job = partition.new_job(loaded_partition.job_spec(3))
    return lambda: partition.accept(job)


def _prepare_placement(partition):
    partition.start_all()
    partition.add_job(loaded_partition.job_spec(1))

    def act():
        (_,) = partition.plan().starts

    return act


def _prepare_idle_cycle(partition):
    partition.start_all()

    def act():
        turn = partition.plan()
        assert not (turn.starts or turn.stops or turn.paces)

    return act


def _prepare_stop(partition):
    run, *_ = partition.start_job(loaded_partition.job_spec(3))
    run.is_stop_requested = True

    def act():
        assert partition.plan().stops == [run]

    return act


def _prepare_pace(partition):
    spec = loaded_partition.job_spec(1, is_filler=True, is_lasting=True)
    (run,) = partition.start_job(spec)
    run.pace_percent = 0

    def act():
        (change,) = partition.plan().paces
        assert change.run is run

    return act


def _prepare_unchanged_poll(partition):
    run, *_ = partition.start_job(loaded_partition.job_spec(3))
    poll = partition.answer(run.executor_id)
    return lambda: partition.handle(run.executor_id, poll)


def _prepare_search_of_host(partition):
    run, *_ = partition.start_job(loaded_partition.job_spec(3))
    poll = partition.answer(run.executor_id)
    return lambda: partition.scheduler.superseded_executors(
        run.executor_id, poll
    )


def _prepare_collection_of_ends(partition):
    run, *_ = partition.start_job(loaded_partition.job_spec(3))
    partition.handle(run.executor_id, partition.end_of(run, _Cause.DONE))

    def act():
        ends = partition.scheduler.unrecorded_ends()
        assert list(ends) == [run.executor_id]
        partition.scheduler.mark_ends_recorded(ends)

    return act


def _prepare_load(partition):
    partition.start_job(loaded_partition.job_spec(3))
    pool = loaded_partition.queues.Pool(loaded_partition.OWN_POOL)
    return lambda: partition.scheduler.load_of(pool, 0, 2.0, partition.now_s)


def _prepare_displacement(partition):
    spec = loaded_partition.job_spec(3, is_lasting=True, max_unavailable=1)
    runs = partition.start_job(spec)
    for executor_id in {run.executor_id for run in runs}:
        partition.poll(executor_id, percent=100)
    partition.now_s += EXPIRED_S

    def act():
        now_s = partition.now_s
        assert partition.scheduler.can_run_elsewhere(runs[0], now_s)
        assert partition.scheduler.count_serving_peers(runs[0], now_s) == 2

    return act


def _prepare_advice(partition):
    spec = loaded_partition.job_spec(3)
    job = partition.add_job(spec, loaded_partition.ADVISED_QUEUE)
    partition.start_all()

    def act():
        ((step, _),) = partition.scheduler.steps_awaiting_advice(
            partition.now_s
        )
        assert step.occurrence.job is job

    return act


DECISIONS = {
    'a task ends': _prepare_end,
    'a task of several copies ends': _prepare_end_of_copy,
    'a task fails for the last time': _prepare_failure,
    'a job is cancelled': _prepare_cancellation,
    'a job is accepted': _prepare_job,
    'a cycle places one task': _prepare_placement,
    'a cycle finds nothing to do': _prepare_idle_cycle,
    'a cycle stops one run': _prepare_stop,
    'a cycle paces one run': _prepare_pace,
    'an unchanged poll is processed': _prepare_unchanged_poll,
    'the executors on a host are sought': _prepare_search_of_host,
    'the ends to record are collected': _prepare_collection_of_ends,
    'the load of a pool is measured': _prepare_load,
    'a long-running task is displaced': _prepare_displacement,
    'a step awaits advice': _prepare_advice,
}


@when('in each of them {decision}')
def count_decision(context, decision):
    context.costs = {
        size: loaded_partition.count_instructions(
            DECISIONS[decision](partition)
        )
        for size, partition in context.partitions.items()
    }


@then('the large partition costs less than {factor:d} times the small one')
def check_costs(context, factor):
    costs = context.costs
    assert costs['large'] < factor * costs['small'], costs


@given('a pool of {few:d} executors and a pool of {many:d}')
def set_pool_sizes(context, few, many):
    context.pool_sizes = {'small': few, 'large': many}


def _tasks_of_one_step(count):
    return [loaded_partition.job_spec(count)]


def _steps_of_one_task(count):
    return [loaded_partition.job_spec(1)] * count


def _unplaceable_steps(count):
    return [loaded_partition.job_spec(1, required_label='absent')] * count


def _limited_steps(count):
    return [loaded_partition.job_spec(2, max_per_executor=1)] * count


def _large_gangs(count):
    spec = loaded_partition.job_spec(
        GANG_TASKS, request=loaded_partition.CAPACITY, is_gang=True
    )
    return [spec] * count


WORK = {
    'tasks of one step': (_tasks_of_one_step, 1),
    'steps of one task': (_steps_of_one_task, 1),
    'steps that fit on no executor': (_unplaceable_steps, 0),
    'steps limited per executor': (_limited_steps, 2),
    'gangs larger than the pool': (_large_gangs, 0),
}


def _count_cycle(executor_count, specs, start_count):
    partition = loaded_partition.LoadedPartition(executor_count)
    for spec in specs:
        partition.add_job(spec)
    plans = []
    cost = loaded_partition.count_instructions(
        lambda: plans.append(partition.plan())
    )
    assert len(plans[0].starts) == start_count, len(plans[0].starts)
    return cost


@when('each of them is given {few:d} and {many:d} {work}')
def count_work(context, few, many, work):
    make_specs, starts_per_unit = WORK[work]
    context.costs = {
        size: {
            count: _count_cycle(
                executors_in_pool, make_specs(count), count * starts_per_unit
            )
            for count in (few, many)
        }
        for size, executors_in_pool in context.pool_sizes.items()
    }


@then(
    'each further one costs the large pool less than {factor:d} times the '
    'small one'
)
def check_further_costs(context, factor):
    further = {
        size: max(costs.values()) - min(costs.values())
        for size, costs in context.costs.items()
    }
    assert further['large'] < factor * further['small'], context.costs


@given(
    'a step of {few:d} tasks and a step of {many:d}, of which most are pending'
)
def set_step_sizes(context, few, many):
    context.step_sizes = {'small': few, 'large': many}


@when('a task of each of them ends')
def count_end(context):
    context.costs = {}
    for size, count in context.step_sizes.items():
        partition = loaded_partition.LoadedPartition(1)
        runs = partition.start_job(loaded_partition.job_spec(count))
        assert len(runs) < count / 2
        poll = partition.end_of(runs[0], _Cause.DONE)
        context.costs[size] = loaded_partition.count_instructions(
            lambda: partition.handle(runs[0].executor_id, poll)
        )
        assert runs[0].task.state is jobs.TaskState.DONE


@then('the large step costs less than {factor:d} times the small one')
def check_step_costs(context, factor):
    check_costs(context, factor)


@given('{few:d} and {many:d} finished jobs whose final state is not stored')
def add_finished_jobs(context, few, many):
    context.finished = {
        size: _finished_jobs(count)
        for size, count in (('small', few), ('large', many))
    }


def _finished_jobs(count):
    board = status_board.StatusBoard()
    finished = finished_jobs.FinishedJobs(board)
    for number in range(count):
        assert finished.add(_cancelled_job(f'j{number}'))
    return board, finished


def _cancelled_job(job_id):
    spec = loaded_partition.job_spec(1)
    job = jobs.Job(job_id, 'queue', 'pool', 0.0, spec)
    job.is_cancelled = True
    return job


def _store_final_state(board, finished, job_id):
    status = journal.JobStatus('queue', '', jobs.JobState.CANCELLED)
    record = journal.status_record(job_id, status)
    board.apply(record.key, record.value, 0)
    finished.note_status(job_id)


@when('the final state of one of them is stored, and it is dropped')
def count_drop(context):
    def drop(board, finished):
        _store_final_state(board, finished, 'j7')
        (job,) = finished.pop_droppable(lambda job_id: False)
        assert job.job_id == 'j7'

    context.costs = {
        size: loaded_partition.count_instructions(
            functools.partial(drop, *parts)
        )
        for size, parts in context.finished.items()
    }


@then('dropping it costs less than {factor:d} times as much among many')
def check_drop_costs(context, factor):
    check_costs(context, factor)


@given('a finished job with a run that has not ended')
def add_finished_job(context):
    context.board, context.finished = _finished_jobs(1)
    context.jobs_with_runs = {'j0'}


@when('its final state is stored')
def store_final_state(context):
    assert not _drop(context)
    _store_final_state(context.board, context.finished, 'j0')


def _drop(context):
    return context.finished.pop_droppable(context.jobs_with_runs.__contains__)


@then('it is dropped once, after the run has ended')
def check_drop(context):
    assert not context.finished.add(_cancelled_job('j0'))
    assert not _drop(context)
    context.jobs_with_runs.clear()
    (job,) = _drop(context)
    assert job.job_id == 'j0'
    assert not _drop(context)
