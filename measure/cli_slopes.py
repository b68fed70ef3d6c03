"""Measure the cost of the command line against the size of the fleet."""

import copy
import json

import yaml

from hawthorndeal_cli import planning
from hawthorndeal_fleet import checks
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import yamltext

from . import fleets
from . import slopes as slopes_module

SIZES = (500, 1000, 2000, 4000)


def slopes():
    """Yield the slopes of reading, planning and sending a file."""
    documents = {size: fleets.make(size) for size in SIZES}
    texts = {size: yaml.safe_dump(documents[size]).encode() for size in SIZES}
    yield _slope('file, bytes', {n: len(texts[n]) for n in SIZES})
    yield _slope(
        'read and check a file, processor s',
        {
            n: slopes_module.processor_s(lambda n=n: _read(texts[n]))
            for n in SIZES
        },
    )
    yield _slope(
        'read and check a file, peak bytes',
        {
            n: slopes_module.peak_bytes(lambda n=n: _read(texts[n]))
            for n in SIZES
        },
    )
    yield _slope(
        'document read from an entry host, bytes',
        {n: len(json.dumps(documents[n])) for n in SIZES},
    )
    yield from _change_slopes(documents)


def _change_slopes(documents):
    yield _slope(
        'make the record of one change, processor s',
        {
            n: slopes_module.processor_s(lambda n=n: _record(documents[n]))
            for n in SIZES
        },
    )
    yield _slope(
        'record of one change, bytes',
        {
            n: len(codec.canonical(codec.to_plain(_record(documents[n]))))
            for n in SIZES
        },
    )
    yield _slope(
        'judge a wave over every pool, processor s',
        {
            n: slopes_module.processor_s(_wave_evaluation(documents[n]))
            for n in SIZES
        },
    )


def _slope(name, values):
    return slopes_module.Slope(
        name, 'host', list(values.items()), design_size=fleets.HOSTS
    )


def _read(text):
    return checks.fleet_from_document(yamltext.parse(text, 'file'), 'file')


def _record(document):
    changed = copy.copy(document)
    changed['workspaces'] = {
        **document['workspaces'],
        'w0': {**document['workspaces']['w0'], 'quota': {}},
    }
    return configuration.make_config_applied(
        document, 1, changed, 'id', 'operator'
    )


def _wave_evaluation(document):
    with_wave = {**document, 'waves': {'all': {'pools': [*document['pools']]}}}
    fleet = checks.fleet_from_document(with_wave, 'file')
    return lambda: planning.evaluate_waves(fleet)
