"""Steps that run jobs through a whole deployment."""

import json
import time

from behave import given
from behave import then
from behave import when

from stage import deployment

POLL_S = 0.05
END_TIMEOUT_S = 30.0
MIB = 1024 * 1024


@given('a deployment of Vltava with workers, and its fleet applied')
def start(context):
    stage = context.make_stage(has_workers=True)
    result = stage.apply(None, '--wait')
    assert result.returncode == 0, result.stderr
    context.start_delays_s = {}


def _call(context, method, path, body=None, daemon=0):
    daemons = list(context.stage.daemons.values())
    url = daemons[daemon % len(daemons)].url
    return deployment.call_json(
        f'{url}{path}', method, body, {'Hd-Workspace': 'vltava'}
    )


def _submit(context, job_id, pool, daemon=0, **options):
    body = {
        'job_id': job_id,
        'workspace': 'vltava',
        'pool': pool,
        'cpu_cores': 1.0,
        'memory_bytes': 256 * MIB,
        **options,
    }
    return _call(context, 'POST', '/v1/jobs', body, daemon)


def _live(context):
    url = f'{context.stage.workers.url}/admin/live'
    return deployment.call_json(url)[1]


@when('a caller submits an urgent job to each pool, twice')
def submit_all(context):
    for number, pool in enumerate(context.stage.fleet['pools']):
        job_id = f'job-{pool}'
        context.start_delays_s[job_id] = -time.monotonic()
        for daemon in (number, number + 1):
            status, answer = _submit(
                context, job_id, pool, daemon, urgency='urgent'
            )
            assert status == 202, answer
        _await_live(context, job_id)
        context.start_delays_s[job_id] += time.monotonic()


def _await_live(context, job_id):
    end_s = time.monotonic() + END_TIMEOUT_S
    while job_id not in _live(context)['live']:
        assert time.monotonic() < end_s, f'{job_id} does not run'
        time.sleep(POLL_S)


@then('each job runs within {limit_s:f} s of its submission')
def check_starts(context, limit_s):
    print('starts_s', context.start_delays_s)
    assert max(context.start_delays_s.values()) < limit_s, (
        context.start_delays_s
    )


@then('each job ends as done after one run')
def check_ends(context):
    end_s = time.monotonic() + END_TIMEOUT_S
    for job_id in context.start_delays_s:
        answer = {}
        while 'outcome' not in answer:
            assert time.monotonic() < end_s, answer
            _, answer = _call(context, 'GET', f'/v1/jobs/{job_id}')
            time.sleep(POLL_S)
        assert answer['outcome'] == 'done', answer
    assert not _live(context)['violations']


@when('a caller submits a job that no host can hold')
def submit_large(context):
    context.answer = _submit(context, 'huge', 'portal-pool', cpu_cores=900.0)


@then('it is refused at once as {reason}')
def check_refused(context, reason):
    status, answer = context.answer
    assert status == 422, answer
    assert answer['detail'].startswith(reason), answer
    _, found = _call(context, 'GET', '/v1/jobs/huge', daemon=0)
    assert found['refusal'] == reason, found


@when('a caller fills the portal pool and submits one more job')
def fill_pool(context):
    hosts = context.stage.fleet['hosts'].values()
    count = sum(host['pool'] == 'portal-pool' for host in hosts)
    for number in range(count):
        _submit(context, f'fill-{number}', 'portal-pool', cpu_cores=16.0)
    for number in range(count):
        _await_live(context, f'fill-{number}')
    # The command line queries the same daemon, which has already read this
    # record back from the log.
    _submit(context, 'waits', 'portal-pool', cpu_cores=16.0)


@then('the command line explains that job: {reason}')
def check_explained(context, reason):
    result = context.stage.run_cli('explain', 'waits', '--output', 'json')
    assert result.returncode == 0, result.stderr
    found = json.loads(result.stdout)
    context.explained = found
    assert any(reason in why for why in found[0]['reasons']), found


@then("the caller's cancellation ends it before it ran")
def check_cancelled(context):
    status, answer = _call(context, 'DELETE', '/v1/jobs/waits', daemon=1)
    assert (status, answer['outcome']) == (200, 'cancelled'), answer
    assert 'waits' not in _live(context)['live']


@then('the workers detected no violated invariant')
def check_invariants(context):
    assert not _live(context)['violations'], _live(context)
