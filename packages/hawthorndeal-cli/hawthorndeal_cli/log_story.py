"""Tell the story of one id from the log lines of all daemons."""

import json

import attrs

# Time around an id's own lines in which what befell daemons is told too.
CONTEXT_S = 2.0
CONTEXT_EVENTS = frozenset(
    {
        'started',
        'stopping',
        'stopped',
        'owner_claimed',
        'owner_at_work',
        'owner_lost',
        'owner_released',
        'dependency_lost',
        'dependency_regained',
        'lines_left_out',
    }
)
_HIDDEN_FIELDS = ('time_s', 'daemon', 'event')
_REFUSALS = frozenset({'request_refused', 'request_failed'})


@attrs.frozen
class Line:
    """Hold one line of a log.

    :ivar time_s: time of day of the host that wrote it
    """

    time_s: float
    daemon: str
    event: str
    fields: dict


@attrs.frozen
class Story:
    """Hold what the logs tell of an id.

    :ivar lines: in order of time
    :ivar missing: what the logs should hold and don't
    :ivar unreadable: lines that are no events
    """

    lines: tuple[Line, ...]
    missing: tuple[str, ...]
    unreadable: int


def tell(name, texts):
    """Return the story of an id.

    :param name: id of a job, of a task, of an executor or of a host
    :param texts: lines of logs, of any daemons, in any order
    """
    lines, unreadable = [], 0
    for text in texts:
        try:
            lines.append(_read(text))
        except (ValueError, TypeError, KeyError, RecursionError):
            unreadable += bool(text.strip())
    lines.sort(key=lambda line: line.time_s)
    own = [line for line in lines if _is_about(line, name)]
    told = _with_context(own, lines)
    return Story(tuple(told), tuple(_missing(own)), unreadable)


def _read(text):
    # Whoever collects logs may put a prefix in front of each line.
    plain = json.loads(text[text.index('{') :])
    fields = {k: v for k, v in plain.items() if k not in _HIDDEN_FIELDS}
    return Line(
        float(plain['time_s']), plain['daemon'], plain['event'], fields
    )


def _is_about(line, name):
    return any(
        value == name
        or (isinstance(value, str) and value.startswith(f'{name}.'))
        or (isinstance(value, str) and value.endswith(f'/{name}'))
        for value in line.fields.values()
    )


def _with_context(own, lines):
    if not own:
        return []
    first_s = own[0].time_s - CONTEXT_S
    last_s = own[-1].time_s + CONTEXT_S
    chosen = set(map(id, own))
    return [
        line
        for line in lines
        if id(line) in chosen
        or (line.event in CONTEXT_EVENTS and first_s <= line.time_s <= last_s)
    ]


def _missing(own):
    events = {line.event for line in own}
    if not own:
        yield 'no line names this id: look at the balancer, or at other times'
        return
    if events <= _REFUSALS:
        yield 'it was refused each time, and never accepted'
        return
    if 'job_accepted' not in events and any('job' in e for e in events):
        yield 'no line tells that it was accepted'
    for task, number in sorted(_unended(own)):
        yield f'no line tells how run {number} of {task} ended'
    if 'job_accepted' in events and 'run_started' not in events:
        yield 'no line tells that a task began'
    if 'run_started' in events and 'job_ended' not in events:
        yield 'no line tells that the job ended'


def _unended(own):
    runs = {'run_started': set(), 'run_over': set()}
    for line in own:
        if line.event in runs:
            key = line.fields.get('task'), line.fields.get('run')
            runs[line.event].add(key)
    return runs['run_started'] - runs['run_over']


def rows(story):
    """Return a story as rows of a table."""
    told = [
        {
            'time_s': line.time_s,
            'daemon': line.daemon,
            'event': line.event,
            'details': ' '.join(f'{k}={v}' for k, v in line.fields.items()),
        }
        for line in story.lines
    ]
    notes = [*story.missing]
    if story.unreadable:
        notes.append(f'{story.unreadable} lines could not be read')
    return told + [
        {'time_s': '', 'daemon': '', 'event': 'note', 'details': note}
        for note in notes
    ]
