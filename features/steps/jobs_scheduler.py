"""Steps on the scheduler alone: looks and answers in, decisions out."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from hawthorndeal_jobs import executors
from hawthorndeal_jobs import jobs
from hawthorndeal_jobs import run_tracking
from stage import scheduler_desk
from stage import scheduler_model

CHOICES = 64
MAX_ACTIONS = 200
# A play with few kinds of trouble meets each of them often.
MAX_TROUBLES = 4


@given('a task that runs on executor "{first}", of "{first_}" and "{second}"')
def make_desk(context, first, first_, second):
    desk = context.desk = scheduler_desk.Desk()
    desk.add_executor(first)
    context.job = desk.add_job('j', scheduler_desk.steps(1))
    (context.run,) = desk.start_all()
    context.second = second
    assert context.run.executor_id == first


@when('"{name}" is unreachable until its lease has run out')
def lapse(context, name):
    context.desk.scheduler.lapse_executor(name, context.desk.now_s)


@when('nothing starts')
def start_nothing(context):
    task = context.job.occurrences[0].tasks[0][0]
    assert task.state is jobs.TaskState.PENDING


@when('the task starts on "{name}"')
def start_elsewhere(context, name):
    context.desk.add_executor(name)
    context.desk.scheduler.executors['a'].suspended_until_s = 1e9
    (run,) = context.desk.start_all()
    assert run.executor_id == name


@when('"{name}" tells that the run was done before its lease ran out')
def tell_done(context, name):
    row = executors.ReportedEnd(
        1, context.run.task_id, context.run.number, executors.EndCause.DONE, ''
    )
    context.desk.look(name, ended=[row])


@then('the task is done, and nothing of it starts or goes on')
def check_done(context):
    desk = context.desk
    desk.scheduler.executors['a'].suspended_until_s = 0.0
    turn = desk.plan()
    assert context.job.is_done
    assert not turn.starts, turn.starts
    running = [
        run
        for executor in desk.scheduler.executors.values()
        for run in executor.runs.values()
    ]
    assert all(run.is_stop_wanted for run in running)
    assert turn.stops == running
    assert context.job.occurrences[0] in desk.scheduler.take_changed()
    assert run_tracking.is_current(context.run) is False


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
