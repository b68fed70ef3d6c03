"""Steps that compare the tables of OPERATIONS.md with the code."""

import ast
import itertools
import typing

import attrs
from behave import then
from behave import when

from hawthorndeal_cli import failures
from hawthorndeal_cli import settings as cli_settings
from hawthorndeal_daemon import main as daemon_main
from hawthorndeal_daemon import settings as daemon_settings
from steps import pages


@when('the table headed "{head}" is read from "{page}"')
def read_table(context, head, page):
    context.rows = pages.table(pages.read(context, page), head)


def _setting_rows(kind, prefix=''):
    """Yield the name, type and default of each setting, as in the page."""
    hints = typing.get_type_hints(kind)
    for field in attrs.fields(kind):
        hint = hints[field.name]
        if attrs.has(hint):
            yield from _setting_rows(hint, f'{prefix}{field.name}.')
        else:
            yield (
                f'`{prefix}{field.name}`',
                getattr(hint, '__name__', str(hint))
                if typing.get_origin(hint) is None
                else str(hint),
                _default_text(field.default),
            )


def _default_text(default):
    if default is attrs.NOTHING:
        return '-'
    if isinstance(default, attrs.Factory):
        return f'`{default.factory()}`'
    return 'empty' if default == '' else f'`{default}`'


def _compare(rows, expected):
    shown = {tuple(row[: len(expected[0])]) for row in rows}
    missing = sorted(set(expected) - shown)
    surplus = sorted(shown - set(expected))
    assert not missing, f'not in the page: {missing}'
    assert not surplus, f'not in the code: {surplus}'
    assert all(all(row) for row in rows), rows


@then('it lists the daemon settings of the code, and each has a meaning')
def check_daemon_settings(context):
    expected = list(_setting_rows(daemon_settings.Settings))
    _compare(context.rows, expected)


@then('it lists the client settings of the code, and each has a meaning')
def check_client_settings(context):
    _compare(context.rows, list(_setting_rows(cli_settings.Settings)))


@then('it lists the exit codes of the code, and each has a meaning')
def check_exit_codes(context):
    assert set(failures.MEANINGS) == set(failures.ExitCode)
    expected = [
        (str(code.value), meaning)
        for code, meaning in failures.MEANINGS.items()
    ]
    _compare(context.rows, expected)


@then('it lists the daemon exit codes of the code, and each has a meaning')
def check_daemon_exit_codes(context):
    expected = [(str(code.value),) for code in daemon_main.ExitCode]
    _compare(context.rows, expected)


_KIND_BY_METHOD = {'count': 'counter', 'gauge': 'gauge', 'time_s': 'timing'}


def _metrics_of(path):
    """Yield the name and kind of each metric that a module sends."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call):
            continue
        if not isinstance(node.func, ast.Attribute):
            continue
        owner = ast.unparse(node.func.value)
        if owner.endswith('metrics') and node.func.attr in _KIND_BY_METHOD:
            yield (
                f'`{_pattern(node.args[0])}`',
                _KIND_BY_METHOD[node.func.attr],
            )


def _pattern(node):
    if isinstance(node, ast.JoinedStr):
        return ''.join(map(_pattern, node.values))
    return str(node.value) if isinstance(node, ast.Constant) else '*'


@then('it lists the metrics of the code, and each has a meaning')
def check_metrics(context):
    modules = (context.root / 'packages').glob('*/*/*.py')
    found = set(itertools.chain.from_iterable(map(_metrics_of, modules)))
    assert len(found) >= 10, found
    _compare(context.rows, sorted(found))
