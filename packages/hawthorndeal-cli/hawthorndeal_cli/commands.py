"""The commands of the command line, one class each."""

import pathlib
import sys
import time
import uuid

from hawthorndeal_fleet import checks
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import document
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import yamltext

from . import client as client_module
from . import failures
from . import settings as settings_module

IN_FORCE_POLL_S = 0.2
HTTP_NOT_FOUND = 404


class Command:
    """Be one command: its arguments, and what it does.

    Subclasses override :meth:`run`, and :meth:`add_arguments` where they
    take any.
    """

    name = ''
    summary = ''
    example = ''

    def add_arguments(self, parser):
        """Declare the command's arguments."""

    def run(self, options):
        """Do the work and return the rows to print.

        :raises errors.HawthorndealError: when it can't be done
        """
        raise NotImplementedError


def read_fleet(path):
    """Return the plain document of a valid fleet file.

    :raises errors.InvalidFile: with every problem found
    """
    plain = yamltext.parse(_read(path), path)
    checks.fleet_from_document(plain, path)
    return plain


def _read(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.InvalidFile(
            [errors.Problem(path, '(top)', str(error))]
        ) from error


def make_client(options):
    """Return a client by the settings file that the options name."""
    text = _read(options.settings)
    return client_module.Client(settings_module.parse(text, options.settings))


class Validate(Command):
    """Check a fleet file without asking anyone."""

    name = 'validate'
    summary = 'check a fleet file'
    example = 'hawthorndeal validate fleet.yaml'

    def add_arguments(self, parser):
        """Declare the file."""
        parser.add_argument('file', help='the fleet file')

    def run(self, options):
        """Return how many entries each section has."""
        plain = read_fleet(options.file)
        return [
            {'section': section, 'entries': len(entries)}
            for section, entries in plain.items()
        ]


def _current(client):
    _, answer = client.get('/v1/document')
    return answer['revision'], answer['document']


class Plan(Command):
    """Show what an apply would change."""

    name = 'plan'
    summary = 'show what an apply would change'
    example = 'hawthorndeal plan fleet.yaml'

    def add_arguments(self, parser):
        """Declare the file."""
        parser.add_argument('file', help='the fleet file')

    def run(self, options):
        """Return the entries that differ."""
        new = read_fleet(options.file)
        _, old = _current(make_client(options))
        return [
            {'change': change, 'section': section, 'name': name}
            for section, patch in document.diff(old, new).items()
            for name, change in _changes(old.get(section), patch)
        ]


def _changes(old, patch):
    if not isinstance(patch, dict):
        return [('-', 'remove' if patch is None else 'replace')]
    known = old or {}
    return [
        (name, _verb(name in known, value)) for name, value in patch.items()
    ]


def _verb(is_known, value):
    if value is None:
        return 'remove'
    return 'change' if is_known else 'add'


class Apply(Command):
    """Make a fleet file the configuration in force."""

    name = 'apply'
    summary = 'make a fleet file the configuration in force'
    example = 'hawthorndeal apply fleet.yaml --wait'

    def add_arguments(self, parser):
        """Declare the file and how to wait."""
        parser.add_argument('file', nargs='?', help='the fleet file')
        parser.add_argument(
            '--resume', metavar='ID', help='settle an apply that was cut off'
        )
        parser.add_argument(
            '--wait',
            action='store_true',
            help='wait until every entry host runs it',
        )
        parser.add_argument('--wait-timeout-s', type=float, default=30.0)

    def run(self, options):
        """Return the verdict, and who runs it where asked to wait."""
        client = make_client(options)
        if options.resume:
            verdict = _find(client, options.resume)
        else:
            verdict = self._apply(client, options.file)
        if options.wait:
            verdict['in_force_s'] = self._wait(client, verdict, options)
        return verdict

    def _apply(self, client, path):
        if path is None:
            raise failures.CommandError(
                'neither FILE nor --resume is given',
                'run: hawthorndeal apply --help',
            )
        new = read_fleet(path)
        revision, old = _current(client)
        apply_id = uuid.uuid4().hex
        body = configuration.make_applied(old, revision, new, apply_id, '')
        # The id must be known even when the answer never comes.
        print(f'apply id: {apply_id}', file=sys.stderr)
        try:
            _, answer = client.post('/v1/applies', codec.to_plain(body))
        except failures.ApplyUnknown as error:
            raise _unknown(apply_id, str(error)) from error
        return _settle(apply_id, answer)

    def _wait(self, client, verdict, options):
        started_s = time.monotonic()
        behind = _behind(client, verdict['revision'])
        while behind:
            waited_s = time.monotonic() - started_s
            if waited_s > options.wait_timeout_s:
                raise failures.ApplyUnknown(
                    f'accepted, but not yet in force on {behind}',
                    'run: hawthorndeal status',
                )
            time.sleep(IN_FORCE_POLL_S)
            behind = _behind(client, verdict['revision'])
        return round(time.monotonic() - started_s, 3)


def _behind(client, revision):
    _, status = client.get('/v1/status')
    return [
        member['daemon']
        for member in status['members']
        if (member['revision'] or 0) < revision
    ]


def _find(client, apply_id):
    status, answer = client.get(f'/v1/applies/{apply_id}')
    if status == HTTP_NOT_FOUND:
        raise _unknown(apply_id, 'no entry host has read it yet')
    return _settle(apply_id, answer)


def _unknown(apply_id, detail):
    return failures.ApplyUnknown(
        f'apply {apply_id}: {detail}',
        f'run: hawthorndeal apply --resume {apply_id}',
    )


def _settle(apply_id, answer):
    if answer['outcome'] == 'unknown':
        raise _unknown(apply_id, answer['reason'])
    if answer['outcome'] == 'accepted':
        return {'apply_id': apply_id, **answer}
    raise failures.ApplyRefused(
        f'apply {apply_id}: {answer["outcome"]}: {answer["reason"]}',
        'run: hawthorndeal plan FILE',
    )


class Status(Command):
    """Show the entry hosts and what they run."""

    name = 'status'
    summary = 'show the entry hosts and what they run'
    example = 'hawthorndeal status --output json'

    def run(self, options):
        """Return a row for each entry host, or all of it."""
        _, answer = make_client(options).get('/v1/status')
        return answer['members'] if options.output == 'table' else answer


class Waves(Command):
    """Show maintenance waves and why hosts wait."""

    name = 'waves'
    summary = 'show maintenance waves and why hosts wait'
    example = 'hawthorndeal waves'

    def run(self, options):
        """Return a row for each wave, or all of it."""
        _, answer = make_client(options).get('/v1/waves')
        if options.output != 'table':
            return answer
        return [
            {
                'wave': name,
                'state': wave['state'],
                'finished': len(wave['finished']),
                'working': list(wave['working']),
                'waiting': len(wave['waiting']),
            }
            for name, wave in answer.items()
        ]


class Audit(Command):
    """Show who changed what, and what was refused."""

    name = 'audit'
    summary = 'show who changed what, and what was refused'
    example = 'hawthorndeal audit --output yaml'

    def run(self, options):
        """Return a row for each record of the trail."""
        _, answer = make_client(options).get('/v1/audit')
        return answer['entries']


ALL = (Validate(), Plan(), Apply(), Status(), Waves(), Audit())
