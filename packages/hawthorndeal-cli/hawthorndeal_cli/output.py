"""Formats results as tables, JSON or YAML."""

import itertools
import json

import tabulate
import yaml

MAX_LINE_CHARS = 80
MIN_CELL_CHARS = 6
COLUMN_GAP_CHARS = 2
HEADER_PADDING_CHARS = 2


def render(result, output_format):
    """Return a result as text.

    :param result: a list of mappings, one mapping, or a mapping of section
        names to lists of mappings
    :param output_format: ``table``, ``json`` or ``yaml``
    """
    if output_format == 'json':
        return json.dumps(result, indent=2, sort_keys=True)
    if output_format == 'yaml':
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
    # Rows for objects of different kinds have different keys.
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
    """Return column widths that fit a line, shrinking the widest first."""
    widths = [
        max(
            len(key) + HEADER_PADDING_CHARS,
            *(len(row[key]) for row in cells),
        )
        for key in cells[0]
    ]
    available_chars = MAX_LINE_CHARS - COLUMN_GAP_CHARS * (len(widths) - 1)
    while sum(widths) > available_chars and max(widths) > MIN_CELL_CHARS:
        widths[widths.index(max(widths))] -= 1
    return widths
