"""Print results as tables, as JSON or as YAML."""

import itertools
import json

import tabulate
import yaml

MAX_LINE_CHARS = 80
MIN_CELL_CHARS = 6
GAP_CHARS = 2
HEADER_PADDING_CHARS = 2


def render(result, form):
    """Return the text of a result.

    :param result: a list of mappings, one mapping, or a mapping of
        sections, each such a list
    :param form: ``table``, ``json`` or ``yaml``
    """
    if form == 'json':
        return json.dumps(result, indent=2, sort_keys=True)
    if form == 'yaml':
        return yaml.safe_dump(result, sort_keys=True).rstrip()
    if _is_sections(result):
        return '\n\n'.join(
            f'{name}:\n{_table(rows)}' for name, rows in result.items()
        )
    return _table(result)


def _is_sections(result):
    return (
        isinstance(result, dict)
        and bool(result)
        and all(isinstance(rows, list) for rows in result.values())
    )


def _table(rows):
    if isinstance(rows, dict):
        rows = [{'field': key, 'value': rows[key]} for key in rows]
    if not rows:
        return '(none)'
    # Rows on things of several kinds differ in their keys.
    keys = dict.fromkeys(itertools.chain.from_iterable(rows))
    cells = [{key: _cell(row.get(key)) for key in keys} for row in rows]
    widths = _column_widths(cells)
    return tabulate.tabulate(
        cells,
        headers='keys',
        tablefmt='simple',
        maxcolwidths=widths,
        maxheadercolwidths=[width - HEADER_PADDING_CHARS for width in widths],
        disable_numparse=True,
    )


def _cell(value):
    if value is None:
        return '-'
    if isinstance(value, list):
        return ', '.join(str(item) for item in value) or '-'
    return str(value)


def _column_widths(cells):
    """Return widths that fit a line, taking from the widest columns."""
    widths = [
        max(
            len(key) + HEADER_PADDING_CHARS,
            *(len(row[key]) for row in cells),
        )
        for key in cells[0]
    ]
    room = MAX_LINE_CHARS - GAP_CHARS * (len(widths) - 1)
    while sum(widths) > room and max(widths) > MIN_CELL_CHARS:
        widths[widths.index(max(widths))] -= 1
    return widths
