"""Steps that kill, pause and terminate entry hosts during requests."""

import concurrent.futures
import json
import time

from behave import given
from behave import then
from behave import when

from stage import deployment
from stage import processes
from steps import common

SERVICE = 'portal'
WORK_S = 0.7
SHORT_S = 1.5
KNOWN_TIMEOUT_S = 10.0


@given('a running deployment with slow endpoints and an applied fleet')
def start(context):
    context.make_stage(work_s=WORK_S)
    result = context.stage.apply()
    assert result.returncode == 0, result.stderr
    context.stage.await_ready()
    context.pool = concurrent.futures.ThreadPoolExecutor(2)
    context.add_cleanup(context.pool.shutdown)


def _send(context, daemon, request_id, **options):
    context.request_id = request_id
    return context.pool.submit(
        common.send,
        context.stage,
        daemon,
        SERVICE,
        request_id,
        False,
        **options,
    )


def _runs(context):
    return sum(
        counter['ran'].get(context.request_id, 0)
        for counter in context.stage.counters().values()
    )


def _await_run(context):
    processes.wait_until(lambda: _runs(context), 5.0, 'the run')


@when('"{daemon}" is killed while it runs a non-idempotent request')
def kill(context, daemon):
    sent = _send(context, daemon, 'killed')
    _await_run(context)
    context.stage.daemons[daemon].kill()
    assert sent.exception(10.0) is not None


@then('the request repeated at "{daemon}" is told {reason:w}')
def check_repeat(context, daemon, reason):
    _, _, body = _send(context, daemon, context.request_id).result(10.0)
    assert json.loads(body)['reason'] == reason, body


@then('the endpoints ran that request {count:d} times')
def check_runs(context, count):
    assert _runs(context) == count, _runs(context)


@when(
    '"{daemon}" is paused before it reads a request and resumed past its '
    'deadline'
)
def pause(context, daemon):
    process = context.stage.daemons[daemon]
    process.suspend()
    context.paused = _send(context, daemon, 'paused', timeout_s=SHORT_S)
    context.resume_at_s = time.monotonic() + SHORT_S
    context.process = process


@then('the request repeated at "{daemon}" meanwhile is answered')
def check_meanwhile(context, daemon):
    status, _, body = _send(context, daemon, 'paused').result(10.0)
    assert status == 200, body
    time.sleep(max(0.0, context.resume_at_s - time.monotonic()))
    context.process.resume()


@then('the paused entry host answers not_run or unknown')
def check_paused(context):
    _, _, body = context.paused.result(10.0)
    assert json.loads(body)['outcome'] in ('not_run', 'unknown'), body


@when('"{daemon}" is terminated while it runs a non-idempotent request')
def stop_while_running(context, daemon):
    context.sent = _send(context, daemon, 'ended')
    _await_run(context)
    context.exit_code = context.stage.daemons[daemon].terminate()


@then('that request is answered')
def check_answered(context):
    status, _, body = context.sent.result(10.0)
    assert (status, body) == (200, b'done:hello'), (status, body)


@then('the entry host exited with code {code:d}')
def check_code(context, code):
    assert context.exit_code == code, context.exit_code


@given('all entry hosts know each other')
def await_known_members(context):
    names = sorted(context.stage.daemons)

    def knows_all(name):
        _, status = context.stage.control(name, '/v1/status')
        return sorted(m['daemon'] for m in status['members']) == names

    for name in names:
        processes.wait_until(
            lambda name=name: knows_all(name),
            KNOWN_TIMEOUT_S,
            f'{name} knows all entry hosts',
        )


@given('"{daemon}" restarts while "{paused}" is paused')
def restart_while_paused(context, daemon, paused):
    stage = context.stage
    stage.daemons[paused].suspend()
    stage.daemons[daemon].kill()
    stage.daemons[daemon].start()
    processes.wait_until(
        lambda: deployment.is_ready(stage.daemons[daemon].url),
        KNOWN_TIMEOUT_S,
        f'{daemon} ready',
    )


@when('"{daemon}" is resumed')
def resume(context, daemon):
    context.stage.daemons[daemon].resume()


@when('the platform\'s log stops and "{daemon}" issues a ticket')
def issue_ticket(context, daemon):
    context.stage.log.kill()
    url = f'{context.stage.daemons[daemon].url}/v1/tickets'
    status, _, body = deployment.call(url, 'POST', b'')
    assert status == 200, body
    context.ticket = json.loads(body)['ticket']


@then('a request with the ticket at "{daemon}" is told {told:w}')
def send_with_ticket(context, daemon, told):
    sent = _send(context, daemon, 'ticket', ticket=context.ticket)
    _check_told(sent, told)


@then('a request without a ticket at "{daemon}" is told {told:w}')
def send_without(context, daemon, told):
    _check_told(_send(context, daemon, 'no-ticket'), told)
    assert _runs(context) == 0
    context.request_id = 'ticket'


def _check_told(sent, told):
    status, _, body = sent.result(10.0)
    got = 'answered' if status == 200 else json.loads(body)['reason']
    assert got == told, (status, body)


@when('"{daemon}" is killed')
def kill_idle(context, daemon):
    context.stage.daemons[daemon].kill()
