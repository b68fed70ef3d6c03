"""Steps that check the command line and the start-up of the daemon."""

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

MAX_LINE_CHARS = 80
# In TEST-NET-1 (RFC 5737), which is assigned to no network interface.
FOREIGN_ADDRESS = '192.0.2.1:7300'


def run_in_process(main, arguments):
    """Call the main function of a program; return exit code and output."""
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


@given('command-line settings whose entry host is not reachable')
def write_unreachable_settings(context):
    path = _directory(context) / 'hawthorndeal.yaml'
    daemons = [f'127.0.0.1:{_free_port()}']
    path.write_text(yaml.safe_dump({'daemons': daemons, 'token': 't'}))
    context.cli_settings = path


@when('the command line runs "{arguments}"')
def run_command_line(context, arguments):
    given_settings = {'HAWTHORNDEAL_SETTINGS': str(context.cli_settings)}
    with unittest.mock.patch.dict(os.environ, given_settings):
        context.result = run_in_process(
            cli_main.main, _command_first(shlex.split(arguments))
        )


@when('the command line runs ""')
def run_without_arguments(context):
    run_command_line(context, '')


def _command_first(arguments):
    # The command must come first; its options may follow in any order.
    is_option_first = arguments[:1] == ['--settings']
    return [*arguments[2:], *arguments[:2]] if is_option_first else arguments


@then('no stack trace is printed')
def check_no_trace(context):
    printed = context.result.stdout + context.result.stderr
    assert 'Traceback' not in printed, printed


def parse(text, form):
    return json.loads(text) if form == 'json' else yaml.safe_load(text)


@then('the output is {form:w} and contains "{text}"')
def check_form(context, form, text):
    assert text in context.result.stdout, context.result.stdout
    if form != 'table':
        rows = parse(context.result.stdout, form)
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


def long_lines(text):
    return [line for line in text.splitlines() if len(line) > MAX_LINE_CHARS]


@then('no line is longer than 80 characters')
def check_width(context):
    assert not long_lines(context.printed), context.printed


def _cells(value):
    if isinstance(value, dict):
        return itertools.chain.from_iterable(map(_cells, value.values()))
    if isinstance(value, list):
        return itertools.chain.from_iterable(map(_cells, value))
    return [str(value)] if value is not None else []


@then('every cell can be read from it')
def check_cells(context):
    # A long cell is wrapped within its column, so the lines of a table mix
    # several cells: only the number of each character can be compared.
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


@when('its wave over "{pool}" is evaluated')
def evaluate_wave(context, pool):
    context.fleet['waves'] = {'test': {'pools': [pool]}}
    fleet = checks.fleet_from_document(context.fleet, 'fleet.yaml')
    (context.verdict,) = planning.evaluate_waves(fleet)


@then('{refused:d} of its {hosts:d} hosts can never be taken out of service')
def check_refused_hosts(context, refused, hosts):
    verdict = context.verdict
    assert verdict.hosts == hosts, verdict
    assert len(verdict.refused) == refused, verdict
    assert bool(verdict.reason) == bool(refused), verdict


@then('{count:d} of them may be out of service at once')
def check_at_once(context, count):
    assert context.verdict.at_once == count, context.verdict


def change_quota(fleet):
    fleet['workspaces']['vltava']['quota']['requests_in_flight'] = 321


DIFFERENCES = {
    'a new zone': lambda fleet: fleet['zones'].update(
        {'cz-z': {'region': 'cz'}}
    ),
    'a removed pool': lambda fleet: fleet['pools'].pop('portal-pool'),
    'a changed quota': change_quota,
    'no weights': lambda fleet: fleet.pop('weights'),
}


@given('a fleet file that differs by {difference}')
def change_fleet(context, difference):
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
def name_missing_file(context):
    context.arguments = ['--settings', 'none.yaml']


@given("the daemon's settings with an unknown zone")
def write_unknown_zone(context):
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


@given("the daemon's settings with a foreign address")
def write_foreign_address(context):
    context.arguments = _daemon_settings(
        context, control_address=FOREIGN_ADDRESS
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
