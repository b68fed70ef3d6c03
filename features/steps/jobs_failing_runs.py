"""Steps for runs that fail by themselves, and for executors that fail them."""

from behave import then
from behave import when

from stage import failing_load

SEEDS = range(1, 5)
BUSY_S = 20.0


def _play(hosts, load, **options):
    loads = [
        failing_load.FailingLoad(seed, hosts, **options) for seed in SEEDS
    ]
    for played in loads:
        played.play(load, BUSY_S)
    return loads


@when(
    'jobs load {hosts:d} executors at {load:g} of their capacity, and '
    '{share:g} of the jobs always fail'
)
def play_hopeless(context, hosts, load, share):
    context.loads = _play(hosts, load, hopeless_share=share)


@when(
    'jobs load {hosts:d} executors at {load:g} of their capacity, '
    '{failing:d} of which fails all, and {share:g} of the jobs always fail'
)
def play_failing(context, hosts, load, failing, share):
    context.loads = _play(hosts, load, hopeless_share=share, failing=failing)
    context.healthy = hosts - failing, load * hosts / (hosts - failing)


@when(
    'jobs with tasks of {task_s:g} seconds load {hosts:d} executors that tell '
    'no progress at {load:g} of their capacity'
)
def play_without_progress(context, task_s, hosts, load):
    context.loads = _play(hosts, load, tells_progress=False, task_s=task_s)


@then('no ordinary job has stood beside room for {limit_s:g} seconds')
def check_none_stands(context, limit_s):
    standing = [load.standing(limit_s) for load in context.loads]
    assert not any(standing), standing


@then('every ordinary job is done')
def check_all_done(context):
    undone = [
        played.job.job_id
        for load in context.loads
        for played in load.ordinary
        if not played.job.is_done
    ]
    assert not undone, undone
    assert any(load.ordinary for load in context.loads)


@then(
    'at least {share:g} of the work in time is done that a pool without that '
    'executor does'
)
def check_work_in_time(context, share):
    without = _play(*context.healthy)
    found = _work_in_time(context.loads), _work_in_time(without)
    assert found[0] >= share * found[1], found


def _work_in_time(loads):
    return sum(
        played.work
        for load in loads
        for played in load.played.values()
        if played.is_in_time
    )
