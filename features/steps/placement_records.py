"""Steps that fold scripted sequences of job records."""

from behave import then
from behave import when

from fakes import jobs as fake_jobs


@when('the records are folded: {script}')
def fold_script(context, script):
    context.bench = fake_jobs.Bench()
    context.decisions = [
        context.bench.run(command.split()) for command in script.split(';')
    ]


@then('the decisions are {expected}')
def check_decisions(context, expected):
    words = ['ok' if d.is_accepted else 'no' for d in context.decisions]
    assert ' '.join(words) == expected, [
        (d.kind, d.is_accepted, d.reason) for d in context.decisions
    ]


@then('job {job_id} is {expected}')
def check_job(context, job_id, expected):
    found = context.bench.describe(job_id)
    assert found == expected, found
    context.bench.check_ledger()
