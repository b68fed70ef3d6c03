"""Shows why jobs were late, and what hosts in pools were used for."""

from . import command
from . import host_use
from . import late_jobs
from . import log_history
from . import log_lines

_DIGITS = 4


class Losses(command.Command):
    """Show why jobs were late, and what hosts were used for."""

    name = 'losses'
    summary = 'show why jobs were late, from the logs of daemons'
    example = 'hawthorndeal losses entry-1.jsonl entry-2.jsonl'

    def add_arguments(self, parser):
        """Add the arguments of the command to a parser."""
        parser.add_argument(
            'logs',
            nargs='+',
            metavar='FILE',
            help='log file of a daemon; - reads standard input',
        )

    def run(self, options):
        """Return a row for each cause, use and kind of move."""
        return rows(command.read_lines(options.logs))


def rows(texts):
    """Return what log lines tell, as rows of a table.

    :param texts: log lines of any daemons, in any order
    """
    lines, unreadable = log_lines.parse(texts)
    history = log_history.History(lines)
    lateness = late_jobs.measure(history)
    use = host_use.measure(lines, history)
    return [
        *_job_rows(lateness),
        *_host_rows(use),
        *(_row('moves', kind, count) for kind, count in use.moves.items()),
        *_note_rows(history, unreadable),
    ]


def _row(section, what, amount, share=None, work_share=None):
    return {
        'section': section,
        'what': what,
        'amount': round(amount, 1),
        'share': '' if share is None else round(share, _DIGITS),
        'work_share': '' if work_share is None else round(work_share, _DIGITS),
    }


def _job_rows(lateness):
    yield _row('jobs', 'owed', lateness.jobs, 1.0, 1.0)
    work_core_s = lateness.work_core_s or 1.0
    late = sum(lost.jobs for lost in lateness.lost.values())
    late_work = sum(lost.work_core_s for lost in lateness.lost.values())
    jobs = lateness.jobs or 1
    yield _row(
        'jobs', 'late or never done', late, late / jobs,
        late_work / work_core_s,
    )  # fmt: skip
    for cause, lost in lateness.lost.items():
        yield _row(
            'cause', cause.value, lost.jobs, lost.jobs / jobs,
            lost.work_core_s / work_core_s,
        )  # fmt: skip


def _host_rows(use):
    total_s = sum(use.seconds.values())
    yield _row('host-seconds', 'in pools', total_s, 1.0)
    for what, seconds in use.seconds.items():
        yield _row('host-seconds', what, seconds, seconds / (total_s or 1.0))


def _note_rows(history, unreadable):
    for kind, count in history.left_out.items():
        yield _row('lines left out by daemons', kind, count)
    if unreadable:
        yield _row('lines', 'not readable', unreadable)
