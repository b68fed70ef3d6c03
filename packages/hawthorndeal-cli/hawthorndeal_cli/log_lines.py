"""Reads the log lines of daemons."""

import json

import attrs

_COLUMN_FIELDS = ('time_s', 'daemon', 'event')


@attrs.frozen
class Line:
    """One parsed log line.

    :ivar time_s: wall-clock time of the host that wrote the line
    """

    time_s: float
    daemon: str
    event: str
    fields: dict


def parse(texts):
    """Return the lines sorted by time, and how many could not be read.

    :param texts: log lines of any daemons, in any order
    :rtype: tuple[list[Line], int]
    """
    lines, unreadable = [], 0
    for text in texts:
        try:
            lines.append(_parse_line(text))
        except (ValueError, TypeError, KeyError, RecursionError):
            unreadable += bool(text.strip())
    lines.sort(key=lambda line: line.time_s)
    return lines, unreadable


def _parse_line(text):
    # Log collectors may prepend a prefix to each line.
    record = json.loads(text[text.index('{') :])
    fields = {k: v for k, v in record.items() if k not in _COLUMN_FIELDS}
    return Line(
        float(record['time_s']), record['daemon'], record['event'], fields
    )
