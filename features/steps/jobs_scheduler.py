"""Steps for the scheduler in isolation: polls and responses to decisions."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import run_tracking
from stage import scheduler_harness
from stage import scheduler_model

CHOICE_COUNT = 64
MAX_ACTIONS = 200
# With few kinds of fault in a sequence, each of them occurs often.
MAX_FAULT_KINDS = 4


@given('a task that runs on executor "{name}"')
def add_running_task(context, name):
    harness = context.harness = scheduler_harness.Harness()
    harness.add_executor(name)
    context.job = harness.add_job('j', scheduler_harness.steps(1))
    (context.run,) = harness.start_all()
    assert context.run.executor_id == name


@when('"{name}" is unreachable until its lease expires')
def expire_lease(context, name):
    context.harness.scheduler.expire_executor(name, context.harness.now_s)


@when('the task is pending again')
def check_pending(context):
    task = context.job.occurrences[0].tasks[0][0]
    assert task.state is jobs.TaskState.PENDING


@when('the task starts on "{name}"')
def start_on_other_executor(context, name):
    context.harness.add_executor(name)
    context.harness.scheduler.executors[
        'a'
    ].incarnation.suspended_until_s = 1e9
    (run,) = context.harness.start_all()
    assert run.executor_id == name


@when('"{name}" reports that the run completed before the lease expired')
def report_completed_run(context, name):
    row = run_state.ReportedEnd(
        1, context.run.task_id, context.run.number, run_state.EndCause.DONE, ''
    )
    context.harness.poll(name, ended=[row])


@then('the task is done, and no run of it starts or continues')
def check_task_done(context):
    harness = context.harness
    harness.scheduler.executors['a'].incarnation.suspended_until_s = 0.0
    turn = harness.plan()
    assert context.job.is_done
    assert not turn.starts, turn.starts
    running = [
        run
        for executor in harness.scheduler.executors.values()
        for run in executor.runs.values()
    ]
    assert all(run.is_stop_requested for run in running)
    assert turn.stops == running
    assert context.job.occurrences[0] in harness.scheduler.pop_changed()


@when(
    '{sequences:d} random action sequences of seed {seed:d} run on the '
    'scheduler'
)
def prepare_random_sequences(context, sequences, seed):
    choices = strategies.integers(0, CHOICE_COUNT - 1)
    fault_kinds = strategies.lists(
        strategies.sampled_from(scheduler_model.FAULTS),
        max_size=MAX_FAULT_KINDS,
    )
    action_lists = fault_kinds.flatmap(
        lambda kinds: strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    scheduler_model.actions_with_faults(kinds)
                ),
                choices,
            ),
            max_size=MAX_ACTIONS,
        )
    )

    @hypothesis.settings(max_examples=sequences, deadline=None, database=None)
    @hypothesis.seed(seed)
    @hypothesis.given(action_lists)
    def run_sequences(actions):
        model = scheduler_model.run_actions(actions)
        undone = model.finish()
        assert not model.violations, (seed, model.violations)
        assert not undone, (seed, undone)

    context.check_random_sequences = run_sequences


@then('no sequence violates an invariant or leaves a job undone')
def check_random_sequences(context):
    context.check_random_sequences()


@given('executors "{first}" and then "{second}" on one host')
def register_incarnations(context, first, second):
    harness = context.harness = scheduler_harness.Harness()
    for name in (first, second):
        harness.now_s += 1.0
        harness.register_executor(name, host='h')


@when('"{name}" answers a poll sent {when} "new" was registered')
def answer_poll(context, name, when):
    harness = context.harness
    sent_s = harness.now_s + (0.1 if when == 'after' else -0.1)
    poll = run_state.ExecutorPoll(sent_s, sent_s + 0.5, 7.0, (), ())
    context.ended = harness.scheduler.superseded_executors(name, poll)


@then('the incarnations that this ends are "{names}"')
@then('the incarnations that this ends are ""')
def check_ended_incarnations(context, names=''):
    found = [executor.executor_id for executor in context.ended]
    assert found == names.split(), found


@given('{count:d} long-running tasks that a new owner finds running')
def find_long_running_tasks(context, count):
    harness = context.harness = scheduler_harness.Harness()
    harness.register_executor('a')
    spec = scheduler_harness.steps(count, is_lasting=True, max_unavailable=1)
    harness.add_job('j', spec)
    context.rows = [
        run_state.ReportedRun(jobs.TaskId('j', 0, 0, index), 1, '', 100)
        for index in range(count)
    ]
    harness.assign_all_tasks('j', 'a')
    answer_again(context)


@when('their executor answers a poll again')
def answer_again(context):
    context.harness.poll('a', running=context.rows)


@when('one of them is to be moved off its executor')
def choose_departing_run(context):
    runs = context.harness.scheduler.executors['a'].runs
    context.run = next(iter(runs.values()))


@when('the clock advances by {seconds:g} seconds')
def advance_clock(context, seconds):
    context.harness.now_s += seconds


@then('{count:d} of the others count as serving')
def check_serving_peers(context, count):
    harness = context.harness
    found = harness.scheduler.count_serving_peers(context.run, harness.now_s)
    assert found == count, found


@given('a long-running task whose start on executor "{name}" was not answered')
def make_unknown_run(context, name):
    harness = context.harness = scheduler_harness.Harness()
    harness.add_executor(name)
    harness.add_job('j', scheduler_harness.steps(1, is_lasting=True))
    (context.run,) = harness.plan().starts
    context.run.phase = run_state.RunPhase.SENT
    harness.scheduler.handle_start_answer(
        context.run, run_tracking.StartAnswer.UNKNOWN, harness.now_s
    )


@when('{seconds:g} seconds pass without an answer')
def pass_time(context, seconds):
    context.harness.now_s += seconds


@when('"{name}" answers {poll}')
def answer_poll_of_unknown(context, name, poll):
    harness, run = context.harness, context.run
    row = run_state.ReportedRun(run.task_id, run.number, '', 100)
    if poll == 'a poll that lists it':
        harness.poll(name, running=[row])
    elif poll == 'a poll that omits it':
        harness.poll(name)
    elif poll == 'an earlier poll without it':
        harness.poll(name, sent_s=run.phase_changed_s - 0.1)
    else:
        assert poll == 'no poll', poll


@then('the run is {verdict}')
def check_verdict(context, verdict):
    stops = context.harness.plan().stops
    assert (context.run in stops) == (verdict == 'stopped'), stops
