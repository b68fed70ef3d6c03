"""Steps for what the logs tell of late jobs and of the use of hosts."""

import argparse
import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
from hawthorndeal_cli import host_use
from hawthorndeal_cli import late_jobs
from hawthorndeal_cli import log_history
from hawthorndeal_cli import log_lines
from hawthorndeal_cli import losses

TASK = {'task': 'j.0.0.0', 'executor': 'x'}


def _line(time_s, daemon, event, **fields):
    plain = {'time_s': time_s, 'daemon': daemon, 'event': event}
    return json.dumps({**plain, **fields})


def _story_line(words, run, daemon):
    """Return the log line of one part of a story."""
    kind, time_s = words[0], words[1]
    simple = {
        'end': ('run_over', {**TASK, 'run': run, 'cause': words[-1]}),
        'told': ('job_ended', {'job': 'j', 'state': 'completed'}),
        'failed': ('job_ended', {'job': 'j', 'state': 'failed'}),
        'halted': ('starts_halted', {'why': 'x'}),
        'resumed': ('starts_resumed', {}),
        'acts': ('host_moved', {'outcome': 'done'}),
        'lost': ('owner_lost', {}),
        'refused': (
            'request_refused',
            {'method': 'POST', 'path': '/jobs/j', 'reason': 'not_ready'},
        ),
        'owner': ('owner_at_work', {}),
    }
    if kind == 'owner':
        daemon, time_s = words[1], words[2]
    if kind == 'start':
        planned_s = float(time_s) - float(words[-1]) if words[2:] else 0.0
        event, fields = 'run_started', {**TASK, 'run': run}
        fields['planned_s'] = planned_s
    else:
        event, fields = simple[kind]
    return _line(float(time_s), daemon, event, **fields), daemon


def _history(context):
    lines, _ = log_lines.parse(context.texts)
    return lines, log_history.History(lines)


@given('log lines of the job')
def write_lines(context):
    context.texts = [
        _line(
            float(row['time']),
            row['daemon'],
            row['event'],
            **json.loads(row['fields']),
        )
        for row in context.table
    ]


@given('log lines "{story}"')
def write_story(context, story):
    context.texts = getattr(context, 'texts', [])
    run, daemon = 0, 'a'
    for part in story.split(';'):
        words = part.split()
        run += words[0] == 'start'
        text, daemon = _story_line(words, run, daemon)
        context.texts.append(text)


@given('runs of the step that took 1, 1, 1 and 4 seconds')
def write_runs(context):
    for index, took_s in enumerate((1, 1, 1, 4)):
        fields = {'task': f'j.0.0.{index}', 'executor': 'x', 'run': 1}
        context.texts += [
            _line(100.0, 'a', 'run_started', **fields),
            _line(100.0 + took_s, 'a', 'run_over', cause='done', **fields),
        ]
    context.texts.append(
        _line(104.0, 'a', 'job_ended', job='j', state='completed')
    )


@then('{share:f} of the jobs are late, by "{cause}" alone')
def check_cause(context, share, cause):
    lateness = late_jobs.measure(_history(context)[1])
    assert list(lateness.lost) == [late_jobs.Cause(cause)], lateness
    lost = lateness.lost[late_jobs.Cause(cause)]
    assert abs(lost.jobs / lateness.jobs - share) < 1e-6, lateness


@then('none of the jobs are late')
def check_in_time(context):
    lateness = late_jobs.measure(_history(context)[1])
    assert lateness.jobs == 1 and not lateness.lost, lateness


@then('the host-seconds are')
def check_host_seconds(context):
    use = host_use.measure(*_history(context))
    expected = {row['use']: float(row['seconds']) for row in context.table}
    found = {what: round(s, 3) for what, s in use.seconds.items() if s}
    assert found == expected, use


@then('the moves are {count:d} "{kind}" and {other_count:d} "{other}"')
def check_moves(context, count, kind, other_count, other):
    use = host_use.measure(*_history(context))
    assert use.moves == {kind: count, other: other_count}, use


@given('a log file with 2 lines of a job in time and 3 that are malformed')
def write_file(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = pathlib.Path(directory.name, 'log.jsonl')
    context.path.write_text(
        '\n'.join(
            [
                _line(100.0, 'a', 'job_accepted', job='j', objective_s=2.0),
                _line(101.0, 'a', 'job_ended', job='j', state='completed'),
                '{',
                'no json',
                'prefix {"time_s": []}',
            ]
        )
    )


@when('the losses are shown')
def show_losses(context):
    options = argparse.Namespace(logs=[str(context.path)])
    context.rows = losses.Losses().run(options)


@then('a row tells that {count:d} lines were "{what}"')
def check_row(context, count, what):
    assert any(
        row['what'] == what and row['amount'] == count for row in context.rows
    ), context.rows
