"""Steps that check how invalid files are rejected."""

import subprocess
import sys

import yaml

from behave import given
from behave import when


def _unknown_key(fleet):
    fleet['hosts']['pr-checker-h1']['colour'] = 'red'


def _no_pool(fleet):
    del fleet['hosts']['pr-checker-h1']['pool']


def _two_pools(fleet):
    fleet['hosts']['pr-checker-h1']['pool'] = ['portal-pool', 'pr-pool']


def _unknown_reference(fleet):
    fleet['hosts']['pr-checker-h1']['pool'] = 'nowhere'


def _impossible_budget(fleet):
    budgets = fleet['workspaces']['vltava']['budgets']
    budgets['portal']['max_unavailable'] = 6


def _unit_error(fleet):
    fleet['hosts']['pr-checker-h1']['memory_bytes'] = '64GB'


def _two_problems(fleet):
    _unknown_reference(fleet)
    _impossible_budget(fleet)


def _null(fleet):
    fleet['hosts']['pr-checker-h1']['cpu_cores'] = None


_FLEET_FAULTS = {
    'an unknown key': _unknown_key,
    'a host in no pool': _no_pool,
    'a host in two pools': _two_pools,
    'an unknown reference': _unknown_reference,
    'an impossible budget': _impossible_budget,
    'a unit error': _unit_error,
    'two problems': _two_problems,
    'a null': _null,
}

_FILE_FAULTS = {
    'a duplicate key': 'zones: {a: {region: x}, a: {region: y}}\n',
    'no content': '',
    '50 MB of text': '# ' + 'x' * 50_000_000,
}


@given('the fleet file of Vltava with {fault}')
def write_fleet(context, fault):
    context.path = context.root / f'.fleet-{fault.replace(" ", "-")}.yaml'
    context.add_cleanup(context.path.unlink)
    if fault in _FILE_FAULTS:
        context.path.write_text(_FILE_FAULTS[fault])
        return
    fleet = context.load_example('vltava.yaml')
    _FLEET_FAULTS[fault](fleet)
    context.path.write_text(yaml.safe_dump(fleet))


@when('it is validated')
def validate(context):
    context.result = _run('hawthorndeal_cli', 'validate', str(context.path))


@given('the settings of a daemon with {fault}')
def write_settings(context, fault):
    changes = {
        'an unknown key': {'colour': 'red'},
        'a bad address': {'callers_address': 'nohost:1'},
        'a negative time': {'log_poll_s': -1.0},
    }
    settings = {
        'daemon': 'entry-a1',
        'zone': 'cz-a',
        'callers_address': '127.0.0.1:7200',
        'control_address': '127.0.0.1:7300',
        'platform': {'log_url': 'http://x', 'hosts_url': 'http://y'},
        **changes[fault],
    }
    context.path = context.root / '.settings.yaml'
    context.add_cleanup(context.path.unlink)
    context.path.write_text(yaml.safe_dump(settings))


@when('the daemon is started')
def start_daemon(context):
    context.result = _run(
        'hawthorndeal_daemon', '--settings', str(context.path)
    )


def _run(module, *arguments):
    return subprocess.run(
        [sys.executable, '-m', module, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
