"""Steps that check the command line on a running deployment."""

import copy
import json
import re

from behave import given
from behave import then
from behave import when
import yaml

from stage import deployment
from stage import processes
from steps import cli

SETTLE_TIMEOUT_S = 15.0
FORMS = ('table', 'json', 'yaml')
REQUIRED_JSON_FIELDS = {
    'status': {'daemon', 'zone', 'revision', 'members', 'disruptions'},
    'waves': {'test'},
    'plan': {'changes', 'waves'},
    'audit': {'offset', 'writer', 'kind', 'is_accepted', 'reason'},
    'validate': {'section', 'entries'},
}


@when('an operator runs each command in each output format')
def run_each(context):
    stage = context.stage
    fleet = {**stage.fleet, 'waves': {'test': {'pools': ['portal-pool']}}}
    wave = str(stage.write_fleet('paused.yaml', _paused(fleet)))
    assert stage.apply(wave, '--wait').returncode == 0
    lines = ['status', 'waves', 'audit', f'plan {wave}', f'validate {wave}']
    context.runs = {
        (line.split()[0], form): stage.run_cli(*line.split(), '--output', form)
        for line in lines
        for form in FORMS
    }


def _paused(fleet):
    fleet['waves']['test']['state'] = 'paused'
    return fleet


@then('each command exits with 0 and its table fits 80 columns')
def check_each(context):
    for key, result in context.runs.items():
        assert result.returncode == 0, (key, result.stderr)
        if key[1] == 'table':
            assert not cli.long_lines(result.stdout), (key, result.stdout)


@then('the JSON output has the fields that scripts rely on')
def check_fields(context):
    for name, fields in REQUIRED_JSON_FIELDS.items():
        shown = cli.parse(context.runs[name, 'json'].stdout, 'json')
        assert shown == cli.parse(context.runs[name, 'yaml'].stdout, 'yaml')
        first = shown[0] if isinstance(shown, list) else shown
        assert fields <= set(first), (name, first)


@when('the control interface is called with {count:d} wrong tokens')
def call_with_wrong_tokens(context, count):
    stage = context.stage
    context.wrong = [f'stolen-secret-{number}' for number in range(count)]
    peer_path = '/v1/peers/exchange'
    context.call_statuses = [
        stage.control('entry-a1', path, method, body, token)[0]
        for token in context.wrong
        for path, method, body in (
            ('/v1/status', 'GET', None),
            ('/v1/applies', 'POST', {}),
            (peer_path, 'POST', {}),
        )
    ]
    # An operator token is not valid for peer calls, nor the reverse.
    context.call_statuses += [
        stage.control(
            'entry-a1', peer_path, 'POST', {}, deployment.OPERATOR_TOKEN
        )[0],
        stage.control(
            'entry-a1', '/v1/status', 'GET', None, deployment.PEER_TOKEN
        )[0],
    ]


@then('each call is rejected as unauthorized')
def check_unauthorized(context):
    assert set(context.call_statuses) == {401}, context.call_statuses


@then('no log or output contains a token')
def check_logs(context):
    stage = context.stage
    logs = {path: path.read_text() for path in stage.path.glob('*.log')}
    assert any('Joined at offset' in text for text in logs.values()), logs
    outputs = {
        key: result.stdout + result.stderr
        for key, result in context.runs.items()
    }
    secrets = [
        deployment.OPERATOR_TOKEN,
        deployment.PEER_TOKEN,
        *context.wrong,
    ]
    for place, text in {**logs, **outputs}.items():
        assert not any(secret in text for secret in secrets), place


def _write_blocked_wave(stage):
    fleet = copy.deepcopy(stage.fleet)
    budget = fleet['workspaces']['vltava']['budgets']['portal']
    budget.update(max_unavailable=0, survive='none')
    fleet['waves'] = {'test': {'pools': ['portal-pool']}}
    return stage.write_fleet('blocked.yaml', fleet)


@when('an operator applies a wave over "portal" that budgets don\'t allow')
def apply_blocked_wave(context):
    stage = context.stage
    result = stage.apply(_write_blocked_wave(stage), '--wait')
    assert result.returncode == 0, result.stderr


@then('explaining host "{host}" gives the budget as the reason')
def check_explained(context, host):
    def reasons():
        result = context.stage.run_cli('explain', host, '--output', 'json')
        assert result.returncode == 0, result.stderr
        (context.explained,) = json.loads(result.stdout)
        return context.explained['reasons']

    (reason,) = processes.wait_until(reasons, SETTLE_TIMEOUT_S, 'a reason')
    assert "'portal'" in reason and 'budget' in reason, reason
    assert context.explained['pool'] == 'portal-pool', context.explained


@then('explaining "{name}" exits with {code:d} and suggests a next step')
def check_unknown(context, name, code):
    result = context.stage.run_cli('explain', name)
    assert result.returncode == code, result
    assert len(result.stderr.splitlines()) == 2, result.stderr


@when('an operator plans a wave that budgets never allow')
def plan_blocked_wave(context):
    stage = context.stage
    path = _write_blocked_wave(stage)
    context.result = stage.run_cli('plan', str(path), '--output', 'json')


@then('the output names all {count:d} hosts of "{service}"')
def check_named(context, count, service):
    (wave,) = json.loads(context.result.stdout)['waves']
    expected = [f'{service}-h{n}' for n in range(1, count + 1)]
    assert wave['refused'] == expected, wave


@given("the platform's log answers appends after {delay_s:g} s")
def slow_log(context, delay_s):
    stage = context.stage
    stage.set_fault(stage.log, mode='slow', delay_s=delay_s, methods=['POST'])


def _write_changed(stage):
    fleet = copy.deepcopy(stage.fleet)
    cli.change_quota(fleet)
    return str(stage.write_fleet('changed.yaml', fleet))


@when('an operator who waits {wait_s:d} s for answers applies a changed quota')
def apply_with_short_timeout(context, wait_s):
    stage = context.stage
    settings = yaml.safe_load(stage.cli_settings_path.read_text())
    path = stage.path / 'short-timeout.yaml'
    path.write_text(yaml.safe_dump({**settings, 'call_timeout_s': wait_s}))
    context.result = stage.run_cli(
        'apply', _write_changed(stage), '--settings', str(path)
    )


@when('an operator tries to apply a changed quota')
def try_to_apply(context):
    stage = context.stage
    context.result = stage.run_cli('apply', _write_changed(stage))


@then('the message names the command that settles it')
def check_command(context):
    pattern = r'^run: hawthorndeal (apply --resume \w+)$'
    found = re.search(pattern, context.result.stderr, re.MULTILINE)
    assert found, context.result.stderr
    context.resume_command = found[1].split()


@when('that command is run until the outcome is known')
def resume_until_known(context):
    def run():
        context.result = context.stage.run_cli(*context.resume_command)
        return context.result.returncode != 4

    processes.wait_until(run, SETTLE_TIMEOUT_S, 'apply settled')


@when('that command is run again')
def resume_again(context):
    context.result = context.stage.run_cli(*context.resume_command)


@then('the revision in force is {revision:d}')
def check_revision(context, revision):
    _, answer = context.stage.control('entry-a1', '/v1/document')
    assert answer['revision'] == revision, answer['revision']


@when('an operator applies a changed quota while "{daemon}" is frozen')
def apply_while_frozen(context, daemon):
    stage = context.stage
    stage.daemons[daemon].suspend()
    context.result = stage.run_cli(
        'apply', _write_changed(stage), '--wait', '--wait-timeout-s', '8'
    )


@when('"{daemon}" resumes and the apply is awaited by its id')
def await_by_id(context, daemon):
    stage = context.stage
    stage.daemons[daemon].resume()
    apply_id = re.search(r'apply id: (\w+)', context.result.stderr)[1]
    context.result = stage.run_cli('apply', '--resume', apply_id, '--wait')
