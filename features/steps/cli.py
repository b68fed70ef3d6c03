"""Steps that check the command line, alone and on a deployment."""

import contextlib
import copy
import io
import itertools
import json
import os
import pathlib
import re
import shlex
import socket
import tempfile
import types
import unittest.mock

from behave import given
from behave import then
from behave import when
import yaml

from hawthorndeal_cli import main as cli_main
from hawthorndeal_cli import output
from hawthorndeal_cli import planning
from hawthorndeal_daemon import main as daemon_main
from hawthorndeal_fleet import checks
from stage import deployment
from stage import processes

MAX_LINE_CHARS = 80
SETTLE_TIMEOUT_S = 15.0
FORMS = ('table', 'json', 'yaml')
# From TEST-NET-1: no interface of a machine has it.
ADDRESS_OF_OTHERS = '192.0.2.1:7300'
RELIED_ON = {
    'status': {'daemon', 'zone', 'revision', 'members', 'disruptions'},
    'waves': {'test'},
    'plan': {'changes', 'waves'},
    'audit': {'offset', 'writer', 'kind', 'is_accepted', 'reason'},
    'validate': {'section', 'entries'},
}


def run_in_process(main, arguments):
    """Return code and output of a program's main function."""
    stdout, stderr = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        try:
            code = main(arguments)
        except SystemExit as stop:
            code = stop.code
    return types.SimpleNamespace(
        returncode=int(code),
        stdout=stdout.getvalue(),
        stderr=stderr.getvalue(),
    )


def _directory(context):
    directory = tempfile.TemporaryDirectory(prefix='hawthorndeal-')
    context.add_cleanup(directory.cleanup)
    return pathlib.Path(directory.name)


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@given('settings of the command line with no entry host behind them')
def write_lonely_settings(context):
    path = _directory(context) / 'hawthorndeal.yaml'
    daemons = [f'127.0.0.1:{_free_port()}']
    path.write_text(yaml.safe_dump({'daemons': daemons, 'token': 't'}))
    context.cli_settings = path


@when('the command line runs "{arguments}"')
def run_command_line(context, arguments):
    given_settings = {'HAWTHORNDEAL_SETTINGS': str(context.cli_settings)}
    with unittest.mock.patch.dict(os.environ, given_settings):
        context.result = run_in_process(
            cli_main.main, _ordered(shlex.split(arguments))
        )


@when('the command line runs ""')
def run_nothing(context):
    run_command_line(context, '')


def _ordered(arguments):
    # The command comes first; its options may stand anywhere behind it.
    is_option_first = arguments[:1] == ['--settings']
    return [*arguments[2:], *arguments[:2]] if is_option_first else arguments


@then('nothing of a stack trace is shown')
def check_no_trace(context):
    shown = context.result.stdout + context.result.stderr
    assert 'Traceback' not in shown, shown


def _parse(text, form):
    return json.loads(text) if form == 'json' else yaml.safe_load(text)


@then('the output is {form:w} that holds "{text}"')
def check_form(context, form, text):
    assert text in context.result.stdout, context.result.stdout
    if form != 'table':
        rows = _parse(context.result.stdout, form)
        assert {row['section'] for row in rows} >= {text}, rows


def _audit_rows():
    return [
        {
            'offset': number,
            'time': '12-03 20:15:00',
            'by': 'a' * 12,
            'record': 'DisruptionStepped',
            'subject': 'b' * 32,
            'result': 'service pr-checker would miss 3 executors',
        }
        for number in range(100_000, 100_003)
    ]


ROWS = {
    'long audit entries': _audit_rows(),
    'a hundred hosts in a cell': [
        {'wave': 'w', 'hosts': [f'portal-h{n}' for n in range(100)]}
    ],
    'nine columns': [{f'column-{n}': f'value-{n}' * 3 for n in range(9)}],
    'one short row': [{'zone': 'cz-a', 'region': None}],
    'one mapping': {'apply_id': 'c' * 32, 'reason': 'word ' * 40},
    'two sections': {'changes': [], 'waves': _audit_rows()},
}


@when('a table of {rows} is printed')
def print_table(context, rows):
    context.rows = ROWS[rows]
    context.printed = output.render(ROWS[rows], 'table')


def _long_lines(text):
    return [line for line in text.splitlines() if len(line) > MAX_LINE_CHARS]


@then('no line is longer than 80 characters')
def check_width(context):
    assert not _long_lines(context.printed), context.printed


def _cells(value):
    if isinstance(value, dict):
        return itertools.chain.from_iterable(map(_cells, value.values()))
    if isinstance(value, list):
        return itertools.chain.from_iterable(map(_cells, value))
    return [str(value)] if value is not None else []


@then('every cell can be read from it')
def check_cells(context):
    # A cell is folded within its column, so its characters are all there.
    shown = sorted(re.sub(r'\W', '', context.printed))
    wanted = sorted(re.sub(r'\W', '', ''.join(_cells(context.rows))))
    for character in set(wanted):
        assert shown.count(character) >= wanted.count(character), character


@given(
    'a fleet whose service "{service}" may miss {count:d} and must survive '
    '"{survive}"'
)
def make_budget(context, service, count, survive):
    context.fleet = context.load_example('vltava.yaml')
    budgets = context.fleet['workspaces']['vltava']['budgets']
    budgets[service].update(max_unavailable=count, survive=survive)


@given(
    'a fleet whose service "{service}" may miss {count:d} for {downtime_s:g} '
    's in {window_s:g} s'
)
def make_window(context, service, count, downtime_s, window_s):
    make_budget(context, service, count, 'none')
    budgets = context.fleet['workspaces']['vltava']['budgets']
    budgets[service].update(downtime_s=downtime_s, window_s=window_s)


@when('its wave over "{pool}" is judged')
def judge(context, pool):
    context.fleet['waves'] = {'test': {'pools': [pool]}}
    fleet = checks.fleet_from_document(context.fleet, 'fleet.yaml')
    (context.verdict,) = planning.judge_waves(fleet)


@then('{refused:d} of its {hosts:d} hosts can never be taken away')
def check_judged(context, refused, hosts):
    verdict = context.verdict
    assert verdict.hosts == hosts, verdict
    assert len(verdict.refused) == refused, verdict
    assert bool(verdict.reason) == bool(refused), verdict


@then('{count:d} of them may be away at once')
def check_at_once(context, count):
    assert context.verdict.at_once == count, context.verdict


def _changed_quota(fleet):
    fleet['workspaces']['vltava']['quota']['requests_in_flight'] = 321


DIFFERENCES = {
    'a new zone': lambda fleet: fleet['zones'].update(
        {'cz-z': {'region': 'cz'}}
    ),
    'a removed pool': lambda fleet: fleet['pools'].pop('portal-pool'),
    'a changed quota': _changed_quota,
    'no weights': lambda fleet: fleet.pop('weights'),
}


@given('a fleet file that differs by {difference}')
def differ(context, difference):
    context.old = context.load_example('vltava.yaml')
    context.new = copy.deepcopy(context.old)
    DIFFERENCES[difference](context.new)


@when('the difference is listed')
def list_difference(context):
    context.rows = planning.changes(context.old, context.new)


@then('it is one row "{change} {section} {name}"')
def check_row(context, change, section, name):
    row = {'change': change, 'section': section, 'name': name}
    assert context.rows == [row], context.rows


def _daemon_settings(context, **changes):
    settings = {
        'daemon': 'entry-a1',
        'zone': 'cz-a',
        'callers_address': f'127.0.0.1:{_free_port()}',
        'control_address': f'127.0.0.1:{_free_port()}',
        'platform': {'log_url': 'http://x', 'hosts_url': 'http://y'},
        **changes,
    }
    path = _directory(context) / 'entry-a1.yaml'
    path.write_text(yaml.safe_dump(settings))
    return ['--settings', str(path)]


@given("the daemon's settings with an unreadable file")
def name_no_file(context):
    context.arguments = ['--settings', 'none.yaml']


@given("the daemon's settings with a zone that is not there")
def write_other_zone(context):
    fleet = str(context.root / 'examples' / 'vltava.yaml')
    context.arguments = [
        *_daemon_settings(context, zone='cz-z'),
        '--check',
        '--fleet',
        fleet,
    ]


@given("the daemon's settings with a port in use")
def write_port_in_use(context):
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    context.arguments = _daemon_settings(context, callers_address=address)


@given("the daemon's settings with an address of others")
def write_address_of_others(context):
    context.arguments = _daemon_settings(
        context, control_address=ADDRESS_OF_OTHERS
    )


@when('the daemon is asked to start')
def ask_to_start(context):
    context.result = run_in_process(daemon_main.main, context.arguments)


@when('the daemon is asked to check them')
def ask_to_check(context):
    context.result = run_in_process(
        daemon_main.main, [*context.arguments, '--check']
    )


@then('the message is one line that names "{text}"')
def check_line(context, text):
    (line,) = context.result.stderr.splitlines()
    assert text in line, line


@when('an operator runs each command in each form')
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


@then('each ends with exit code 0 and fits 80 columns')
def check_each(context):
    for key, result in context.runs.items():
        assert result.returncode == 0, (key, result.stderr)
        if key[1] == 'table':
            assert not _long_lines(result.stdout), (key, result.stdout)


@then('the JSON forms hold the fields that scripts rely on')
def check_fields(context):
    for name, fields in RELIED_ON.items():
        shown = _parse(context.runs[name, 'json'].stdout, 'json')
        assert shown == _parse(context.runs[name, 'yaml'].stdout, 'yaml')
        first = shown[0] if isinstance(shown, list) else shown
        assert fields <= set(first), (name, first)


@when('strangers try the control interface with {count:d} wrong tokens')
def try_wrong(context, count):
    stage = context.stage
    context.wrong = [f'stolen-secret-{number}' for number in range(count)]
    peer_path = '/v1/peers/exchange'
    context.refusals = [
        stage.control('entry-a1', path, method, body, token)[0]
        for token in context.wrong
        for path, method, body in (
            ('/v1/status', 'GET', None),
            ('/v1/applies', 'POST', {}),
            (peer_path, 'POST', {}),
        )
    ]
    # Operators are no peers, and peers are no operators.
    context.refusals += [
        stage.control(
            'entry-a1', peer_path, 'POST', {}, deployment.OPERATOR_TOKEN
        )[0],
        stage.control(
            'entry-a1', '/v1/status', 'GET', None, deployment.PEER_TOKEN
        )[0],
    ]


@then('each of them is refused')
def check_refused(context):
    assert set(context.refusals) == {401}, context.refusals


@then('no token stands in any log or output')
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


@when('an operator plans a wave that budgets never allow')
def plan_stuck(context):
    stage = context.stage
    fleet = copy.deepcopy(stage.fleet)
    budget = fleet['workspaces']['vltava']['budgets']['portal']
    budget.update(max_unavailable=0, survive='none')
    fleet['waves'] = {'test': {'pools': ['portal-pool']}}
    path = stage.write_fleet('stuck.yaml', fleet)
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
    _changed_quota(fleet)
    return str(stage.write_fleet('changed.yaml', fleet))


@when('an operator who waits {wait_s:d} s for answers applies a changed quota')
def apply_impatiently(context, wait_s):
    stage = context.stage
    settings = yaml.safe_load(stage.cli_settings_path.read_text())
    path = stage.path / 'impatient.yaml'
    path.write_text(yaml.safe_dump({**settings, 'call_timeout_s': wait_s}))
    context.result = stage.run_cli(
        'apply', _write_changed(stage), '--settings', str(path)
    )


@when('an operator applies a changed quota and expects trouble')
def apply_in_trouble(context):
    stage = context.stage
    context.result = stage.run_cli('apply', _write_changed(stage))


@then('the message names the command that settles it')
def check_command(context):
    pattern = r'^run: hawthorndeal (apply --resume \w+)$'
    found = re.search(pattern, context.result.stderr, re.MULTILINE)
    assert found, context.result.stderr
    context.settling = found[1].split()


@when('that command is run until it knows')
def settle(context):
    def run():
        context.result = context.stage.run_cli(*context.settling)
        return context.result.returncode != 4

    processes.wait_until(run, SETTLE_TIMEOUT_S, 'apply settled')


@when('that command is run again')
def settle_again(context):
    context.result = context.stage.run_cli(*context.settling)


@then('the revision in force is {revision:d}')
def check_revision(context, revision):
    _, answer = context.stage.control('entry-a1', '/v1/document')
    assert answer['revision'] == revision, answer['revision']


@when('an operator applies a changed quota while "{daemon}" is frozen')
def apply_while_frozen(context, daemon):
    stage = context.stage
    stage.daemons[daemon].freeze()
    context.result = stage.run_cli(
        'apply', _write_changed(stage), '--wait', '--wait-timeout-s', '8'
    )


@when('"{daemon}" runs on and the same is awaited by id')
def await_by_id(context, daemon):
    stage = context.stage
    stage.daemons[daemon].wake()
    apply_id = re.search(r'apply id: (\w+)', context.result.stderr)[1]
    context.result = stage.run_cli('apply', '--resume', apply_id, '--wait')
