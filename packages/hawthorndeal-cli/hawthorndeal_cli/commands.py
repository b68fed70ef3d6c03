"""All commands of the command line."""

import datetime
import urllib.parse

from . import applying
from . import command
from . import failures
from . import log_timeline
from . import losses
from . import planning

SHORT_ID_CHARS = 12


class Validate(command.Command):
    """Check a fleet file without contacting an entry host."""

    name = 'validate'
    summary = 'check a fleet file'
    example = 'hawthorndeal validate fleet.yaml'

    def add_arguments(self, parser):
        """Add the arguments of the command to a parser."""
        parser.add_argument('file', help='the fleet file')

    def run(self, options):
        """Return the number of entries in each section."""
        document = command.read_fleet(options.file)
        return [
            {'section': section, 'entries': len(entries)}
            for section, entries in document.items()
        ]


class Status(command.Command):
    """Show the entry hosts and the revision each of them runs."""

    name = 'status'
    summary = 'show the entry hosts and what they run'
    example = 'hawthorndeal status --output json'

    def run(self, options):
        """Return a row for each entry host, or the full status."""
        response = command.make_client(options).read('/v1/status')
        return response['members'] if options.output == 'table' else response


class Waves(command.Command):
    """Show maintenance waves and why hosts wait."""

    name = 'waves'
    summary = 'show maintenance waves and why hosts wait'
    example = 'hawthorndeal waves'

    def run(self, options):
        """Return a row for each wave, or the full response."""
        response = command.make_client(options).read('/v1/waves')
        if options.output != 'table':
            return response
        return [
            {
                'wave': name,
                'state': wave['state'],
                'finished': len(wave['finished']),
                'working': list(wave['working']),
                'waiting': len(wave['waiting']),
                'why': _first_reason(wave['waiting']),
            }
            for name, wave in response.items()
        ]


def _first_reason(waiting):
    reasons = (f'{host}: {why}' for host, why in waiting.items() if why)
    return next(reasons, None)


class Explain(command.Command):
    """Show what is known about an id, and why it is waiting."""

    name = 'explain'
    summary = 'show what holds up a job or a host, by its id'
    example = 'hawthorndeal explain run-4711'

    def add_arguments(self, parser):
        """Add the arguments of the command to a parser."""
        parser.add_argument(
            'id', help='the id of a job, or the name of a host'
        )
        parser.add_argument(
            '--logs',
            nargs='+',
            metavar='FILE',
            help='tell the story of the id from log files of daemons; '
            '- reads standard input',
        )

    def run(self, options):
        """Return a row for each reason of each object with the id."""
        if options.logs:
            return log_timeline.rows(
                log_timeline.build_timeline(
                    options.id, command.read_lines(options.logs)
                )
            )
        path = f'/v1/explain/{urllib.parse.quote(options.id, safe="")}'
        found = command.make_client(options).read(path)['found']
        if not found:
            raise failures.UnknownId(
                f'no job or host with id {options.id!r} found',
                'jobs are no longer listed some time after their end',
            )
        if options.output != 'table':
            return found
        return [
            {**entry, 'reasons': reason}
            for entry in found
            for reason in entry.get('reasons') or ['']
        ]


class Audit(command.Command):
    """Show who changed what, and what was refused."""

    name = 'audit'
    summary = 'show who changed what, and what was refused'
    example = 'hawthorndeal audit --output yaml'

    def run(self, options):
        """Return a row for each record of the audit trail."""
        response = command.make_client(options).read('/v1/audit')
        if options.output != 'table':
            return response['entries']
        return [_audit_row(entry) for entry in response['entries']]


def _audit_row(entry):
    return {
        'offset': entry['offset'],
        'time': _format_time(entry['stamp_s']),
        'by': entry['writer'][:SHORT_ID_CHARS],
        'record': entry['kind'],
        'subject': entry['subject'],
        'result': 'accepted' if entry['is_accepted'] else entry['reason'],
    }


def _format_time(stamp_s):
    time_utc = datetime.datetime.fromtimestamp(stamp_s, datetime.timezone.utc)
    return time_utc.strftime('%m-%d %H:%M:%S')


ALL = (
    Validate(),
    planning.Plan(),
    applying.Apply(),
    Status(),
    Waves(),
    Explain(),
    losses.Losses(),
    Audit(),
)
