"""Behave hooks that manage deployments and record scenario results."""

import json
import pathlib
import sys

import yaml

from behave.model_core import Status
from stage import deployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
ZONES = {'entry-a1': 'cz-a', 'entry-b1': 'cz-b', 'entry-c1': 'cz-c'}


def before_all(context):
    """Initialize the list of scenario results."""
    # A list that is appended to, since behave drops the attributes that a
    # scenario sets on the context when the scenario ends.
    context.statuses = []
    context.root = EXAMPLES.parent


def before_scenario(context, scenario):
    """Let each scenario start a deployment of its own."""
    context.stage = None
    context.load_example = load_example
    context.make_stage = lambda **options: _make_stage(context, **options)


def load_example(name):
    """Return an example fleet file as plain mappings and lists."""
    return yaml.safe_load((EXAMPLES / name).read_text())


def _make_stage(context, **options):
    """Start a deployment and stop it when the scenario ends."""
    fleet = options.pop('fleet', None) or load_example('vltava.yaml')
    zones = options.pop('daemons', ZONES)
    context.stage = deployment.Deployment(fleet, zones, **options)
    # Registered before the start, so that a partial start is cleaned up.
    context.add_cleanup(context.stage.end)
    context.stage.start()
    return context.stage


def after_scenario(context, scenario):
    """Record the status; print the end of each log after a failure."""
    if scenario.status in (Status.skipped, Status.untested):
        return
    context.statuses.append([scenario.name, scenario.status.name])
    if scenario.status != Status.passed and context.stage is not None:
        _print_logs(context.stage)


def _print_logs(stage):
    for path in sorted(stage.path.glob('*.log')):
        tail = path.read_text(errors='replace').splitlines()[-15:]
        print(f'--- {path.name}', *tail, sep='\n', file=sys.stderr)


def after_all(context):
    """Write the statuses to the file that the runner reads."""
    path = context.config.userdata.get('statuses')
    if path:
        pathlib.Path(path).write_text(json.dumps(context.statuses))


def after_step(context, step):
    """Print the error of a failed step.

    The progress formatter of behave omits it.
    """
    if step.status in (Status.failed, Status.error):
        print(f'{step.name}: {step.error_message}', file=sys.stderr)
