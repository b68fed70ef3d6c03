"""Builds the timeline of one id from the log lines of all daemons."""

import attrs

from . import log_lines

# Events of the daemons themselves are included up to this long before the
# first and after the last line that mentions the id.
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
_REFUSAL_EVENTS = frozenset({'request_refused', 'request_failed'})


@attrs.frozen
class Timeline:
    """Log lines about an id.

    :ivar lines: sorted by time
    :ivar missing: descriptions of events that were expected but not found
    :ivar unreadable: number of lines that could not be parsed as events
    """

    lines: tuple[log_lines.Line, ...]
    missing: tuple[str, ...]
    unreadable: int


def build_timeline(entity_id, texts):
    """Return the timeline of an id.

    :param entity_id: id of a job, of a task, of an executor or of a host
    :param texts: log lines of any daemons, in any order
    """
    lines, unreadable = log_lines.parse(texts)
    matching = [line for line in lines if _mentions(line, entity_id)]
    matching = _with_crashes(matching, lines)
    selected = _with_context(matching, lines)
    return Timeline(
        tuple(selected), tuple(_find_missing(matching)), unreadable
    )


def _mentions(line, entity_id):
    return any(
        value == entity_id
        or (isinstance(value, str) and value.startswith(f'{entity_id}.'))
        or (isinstance(value, str) and value.endswith(f'/{entity_id}'))
        for value in line.fields.values()
    )


def _with_crashes(matching, lines):
    """Add the ends of the executors that crashed under the runs."""
    crashed = {
        line.fields.get('executor')
        for line in matching
        if line.event == 'crash_suspect'
    }
    chosen = set(map(id, matching))
    return [
        line
        for line in lines
        if id(line) in chosen
        or (
            line.event == 'executor_gone'
            and line.fields.get('executor') in crashed
        )
    ]


def _with_context(matching, lines):
    if not matching:
        return []
    first_s = matching[0].time_s - CONTEXT_S
    last_s = matching[-1].time_s + CONTEXT_S
    chosen = set(map(id, matching))
    return [
        line
        for line in lines
        if id(line) in chosen
        or (line.event in CONTEXT_EVENTS and first_s <= line.time_s <= last_s)
    ]


def _find_missing(matching):
    events = {line.event for line in matching}
    if not matching:
        yield 'no line names this id: look at the balancer, or at other times'
        return
    if events <= _REFUSAL_EVENTS:
        yield 'it was refused each time, and never accepted'
        return
    if 'job_accepted' not in events and any('job' in e for e in events):
        yield 'no line tells that it was accepted'
    for task, number in sorted(_runs_without_end(matching)):
        yield f'no line tells how run {number} of {task} ended'
    if 'job_accepted' in events and 'run_started' not in events:
        yield 'no line tells that a task began'
    if 'run_started' in events and 'job_ended' not in events:
        yield 'no line tells that the job ended'


def _runs_without_end(matching):
    runs = {'run_started': set(), 'run_over': set()}
    for line in matching:
        if line.event in runs:
            key = line.fields.get('task'), line.fields.get('run')
            runs[line.event].add(key)
    return runs['run_started'] - runs['run_over']


def rows(timeline):
    """Return a timeline as rows of a table."""
    selected = [
        {
            'time_s': line.time_s,
            'daemon': line.daemon,
            'event': line.event,
            'details': ' '.join(f'{k}={v}' for k, v in line.fields.items()),
        }
        for line in timeline.lines
    ]
    notes = [*timeline.missing]
    if timeline.unreadable:
        notes.append(f'{timeline.unreadable} lines could not be read')
    return selected + [
        {'time_s': '', 'daemon': '', 'event': 'note', 'details': note}
        for note in notes
    ]
