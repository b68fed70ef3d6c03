"""Set up and end what scenarios use, and count them."""

import json
import pathlib
import sys

import yaml

from behave.model_core import Status
from stage import deployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
ZONES = {'entry-a1': 'cz-a', 'entry-b1': 'cz-b', 'entry-c1': 'cz-c'}


def before_all(context):
    """Start counting scenarios."""
    # One list, since each scenario sets attributes on a layer of its own.
    context.statuses = []
    context.root = EXAMPLES.parent


def before_scenario(context, scenario):
    """Give each scenario its own deployment, not started yet."""
    context.stage = None
    context.load_example = load_example
    context.make_stage = lambda **options: _make_stage(context, **options)


def load_example(name):
    """Return the plain document of an example fleet."""
    return yaml.safe_load((EXAMPLES / name).read_text())


def _make_stage(context, **options):
    """Start a deployment that is ended with the scenario."""
    fleet = options.pop('fleet', None) or load_example('vltava.yaml')
    zones = options.pop('daemons', ZONES)
    context.stage = deployment.Deployment(fleet, zones, **options)
    # Ended even where the start fails half way.
    context.add_cleanup(context.stage.end)
    context.stage.start()
    return context.stage


def after_scenario(context, scenario):
    """Count the scenario, and show the logs of one that failed."""
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
    """Hand the statuses to the runner."""
    path = context.config.userdata.get('statuses')
    if path:
        pathlib.Path(path).write_text(json.dumps(context.statuses))


def after_step(context, step):
    """Show why a step failed; the progress form does not."""
    if step.status in (Status.failed, Status.error):
        print(f'{step.name}: {step.error_message}', file=sys.stderr)
