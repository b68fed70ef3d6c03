"""Steps on the scheduler alone: looks and answers in, decisions out."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from stage import scheduler_harness
from stage import scheduler_model

CHOICES = 64
MAX_ACTIONS = 200
# A play with few kinds of trouble meets each of them often.
MAX_TROUBLES = 4


@given('a task that runs on executor "{name}"')
def make_running(context, name):
    harness = context.harness = scheduler_harness.Harness()
    harness.add_executor(name)
    context.job = harness.add_job('j', scheduler_harness.steps(1))
    (context.run,) = harness.start_all()
    assert context.run.executor_id == name


@when('"{name}" is unreachable until its lease has run out')
def lapse(context, name):
    context.harness.scheduler.expire_executor(name, context.harness.now_s)


@when('the task waits again')
def wait_again(context):
    task = context.job.occurrences[0].tasks[0][0]
    assert task.state is jobs.TaskState.PENDING


@when('the task starts on "{name}"')
def start_elsewhere(context, name):
    context.harness.add_executor(name)
    context.harness.scheduler.executors['a'].suspended_until_s = 1e9
    (run,) = context.harness.start_all()
    assert run.executor_id == name


@when('"{name}" tells that the run was done before its lease ran out')
def tell_done(context, name):
    row = executors.ReportedEnd(
        1, context.run.task_id, context.run.number, executors.EndCause.DONE, ''
    )
    context.harness.look(name, ended=[row])


@then('the task is done, and nothing of it starts or goes on')
def check_done(context):
    harness = context.harness
    harness.scheduler.executors['a'].suspended_until_s = 0.0
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


@when('{plays:d} random plays of seed {seed:d} are tried on the scheduler')
def try_plays(context, plays, seed):
    choices = strategies.integers(0, CHOICES - 1)
    troubles = strategies.lists(
        strategies.sampled_from(scheduler_model.TROUBLES),
        max_size=MAX_TROUBLES,
    )
    actions_of = troubles.flatmap(
        lambda kinds: strategies.lists(
            strategies.tuples(
                strategies.sampled_from(scheduler_model.actions_of(kinds)),
                choices,
            ),
            max_size=MAX_ACTIONS,
        )
    )

    @hypothesis.settings(max_examples=plays, deadline=None, database=None)
    @hypothesis.seed(seed)
    @hypothesis.given(actions_of)
    def check(actions):
        model = scheduler_model.play(actions)
        undone = model.finish()
        assert not model.broken, (seed, model.broken)
        assert not undone, (seed, undone)

    context.check_plays = check


@then('no play breaks a promise or leaves a job undone')
def check_plays(context):
    context.check_plays()


@given('executors "{first}" and then "{second}" on one host')
def make_lives(context, first, second):
    harness = context.harness = scheduler_harness.Harness()
    for name in (first, second):
        harness.now_s += 1.0
        harness.enter(name, host='h')


@when('"{name}" answers a look that was sent {when} "new" was entered')
def answer_look(context, name, when):
    harness = context.harness
    sent_s = harness.now_s + (0.1 if when == 'after' else -0.1)
    look = executors.ExecutorPoll(sent_s, sent_s + 0.5, 7.0, (), ())
    context.ended = harness.scheduler.superseded_executors(name, look)


@then('the lives that this ends are "{names}"')
@then('the lives that this ends are ""')
def check_lives(context, names=''):
    found = [executor.executor_id for executor in context.ended]
    assert found == names.split(), found


@given('{count:d} lasting tasks that a new owner finds at work')
def find_lasting(context, count):
    harness = context.harness = scheduler_harness.Harness()
    harness.enter('a')
    spec = scheduler_harness.steps(count, is_lasting=True, max_unavailable=1)
    harness.add_job('j', spec)
    rows = [
        executors.ReportedRun(jobs.TaskId('j', 0, 0, index), 1, '', 100)
        for index in range(count)
    ]
    harness.order_before('j', 'a')
    harness.look('a', running=rows)


@when('one of them is to leave its executor')
def choose_leaving(context):
    runs = context.harness.scheduler.executors['a'].runs
    context.run = next(iter(runs.values()))


@when('{seconds:g} seconds pass by')
def pass_by(context, seconds):
    context.harness.now_s += seconds


@then('{count:d} of the others count as at work')
def check_at_work(context, count):
    harness = context.harness
    found = harness.scheduler.count_serving_peers(context.run, harness.now_s)
    assert found == count, found
