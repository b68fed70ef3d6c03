"""The ``apply`` command.

It applies a fleet file, looks up the outcome of an interrupted apply, and
waits until every entry host runs the new revision.
"""

import sys
import time
import uuid

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import configuration

from . import client as client_module
from . import command
from . import failures

IN_FORCE_POLL_S = 0.2
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404


class Apply(command.Command):
    """Make a fleet file the configuration in force."""

    name = 'apply'
    summary = 'make a fleet file the configuration in force'
    example = 'hawthorndeal apply fleet.yaml --wait'

    def add_arguments(self, parser):
        """Add the arguments of the command to a parser."""
        parser.add_argument('file', nargs='?', help='the fleet file')
        parser.add_argument(
            '--resume', metavar='ID', help='settle an apply that was cut off'
        )
        parser.add_argument(
            '--wait',
            action='store_true',
            help='wait until every entry host runs it',
        )
        parser.add_argument(
            '--wait-timeout-s',
            type=float,
            default=30.0,
            metavar='SECONDS',
            help='longest wait (default: 30)',
        )

    def run(self, options):
        """Return the outcome; with ``--wait``, also the time waited."""
        if bool(options.file) == bool(options.resume):
            raise failures.InvalidArguments(
                'expected either FILE or --resume ID',
                'run: hawthorndeal apply --help',
            )
        client = command.make_client(options)
        if options.resume:
            verdict = _look_up(client, options.resume)
        else:
            verdict = _apply(client, options.file)
        if options.wait:
            verdict['in_force_s'] = _wait_in_force(
                client, verdict, options.wait_timeout_s
            )
        return verdict


def _apply(client, path):
    new = command.read_fleet(path)
    revision, old = command.fetch_current(client)
    apply_id = uuid.uuid4().hex
    body = configuration.make_config_applied(old, revision, new, apply_id, '')
    # Print the id first: --resume needs it if the response is lost.
    _print_progress(f'apply id: {apply_id}')
    try:
        status, response = client.post('/v1/applies', codec.to_plain(body))
    except client_module.ResponseLost as error:
        raise _apply_unknown(apply_id, str(error)) from error
    if status == HTTP_BAD_REQUEST:
        raise failures.UnexpectedResponse(
            f'apply {apply_id}: {response["reason"]}',
            'check that client and entry hosts run the same version',
        )
    return _check_outcome(apply_id, response)


def _look_up(client, apply_id):
    status, response = client.get(f'/v1/applies/{apply_id}')
    if status == HTTP_NOT_FOUND:
        raise _apply_unknown(apply_id, 'the entry host has not read it yet')
    return _check_outcome(apply_id, response)


def _apply_unknown(apply_id, detail):
    return failures.ApplyUnknown(
        f'apply {apply_id}: unknown: {detail}',
        f'run: hawthorndeal apply --resume {apply_id}',
    )


def _check_outcome(apply_id, response):
    outcome = response['outcome']
    if outcome == 'accepted':
        return {'apply_id': apply_id, **response}
    if outcome == 'unknown':
        raise _apply_unknown(apply_id, response['reason'])
    detail = f'apply {apply_id}: {outcome}: {response["reason"]}'
    if outcome == 'not_applied':
        raise failures.Unavailable(detail, 'run the same command again later')
    raise failures.ApplyRefused(detail, 'run: hawthorndeal plan FILE')


def _wait_in_force(client, verdict, timeout_s):
    started_s = time.monotonic()
    reported = None
    while True:
        outdated = _find_outdated(client, verdict['revision'])
        waited_s = time.monotonic() - started_s
        if not outdated:
            return round(waited_s, 3)
        if waited_s > timeout_s:
            raise _not_in_force(verdict, outdated)
        if outdated != reported:
            reported = outdated
            _print_progress(
                f'waiting for {len(outdated)}: {", ".join(outdated)}'
            )
        time.sleep(IN_FORCE_POLL_S)


def _not_in_force(verdict, outdated):
    return failures.NotInForce(
        f'revision {verdict["revision"]} is accepted, but not yet in force '
        f'on {", ".join(outdated)}',
        'run: hawthorndeal status',
        result=verdict,
    )


def _find_outdated(client, revision):
    status = client.read('/v1/status')
    return sorted(
        member['daemon']
        for member in status['members']
        if (member['revision'] or 0) < revision
    )


def _print_progress(text):
    print(text, file=sys.stderr, flush=True)
