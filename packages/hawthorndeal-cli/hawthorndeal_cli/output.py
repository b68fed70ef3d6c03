"""Print results as a table, as JSON or as YAML."""

import json

import tabulate
import yaml

MAX_CELL_CHARS = 40


def render(rows, form):
    """Return the text of a result.

    :param rows: a list of mappings with the same keys, or one mapping
    :param form: ``table``, ``json`` or ``yaml``
    """
    if form == 'json':
        return json.dumps(rows, indent=2, sort_keys=True)
    if form == 'yaml':
        return yaml.safe_dump(rows, sort_keys=True).rstrip()
    return _table(rows)


def _table(rows):
    if isinstance(rows, dict):
        rows = [{'field': key, 'value': rows[key]} for key in rows]
    return tabulate.tabulate(
        [{key: _cell(row[key]) for key in row} for row in rows],
        headers='keys',
        tablefmt='simple',
        maxcolwidths=MAX_CELL_CHARS,
        disable_numparse=True,
    )


def _cell(value):
    if value is None:
        return '-'
    if isinstance(value, list):
        return ', '.join(str(item) for item in value) or '-'
    return str(value)
