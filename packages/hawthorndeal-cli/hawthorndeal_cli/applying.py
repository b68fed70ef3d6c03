"""Apply a fleet file, settle a cut-off apply, and wait for its effect."""

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
        parser.add_argument(
            '--wait-timeout-s',
            type=float,
            default=30.0,
            metavar='SECONDS',
            help='longest wait (default: 30)',
        )

    def run(self, options):
        """Return the verdict, and when it was in force if asked to wait."""
        if bool(options.file) == bool(options.resume):
            raise failures.InvalidArguments(
                'expected either FILE or --resume ID',
                'run: hawthorndeal apply --help',
            )
        client = command.make_client(options)
        if options.resume:
            verdict = _find(client, options.resume)
        else:
            verdict = _apply(client, options.file)
        if options.wait:
            verdict['in_force_s'] = _await_in_force(
                client, verdict, options.wait_timeout_s
            )
        return verdict


def _apply(client, path):
    new = command.read_fleet(path)
    revision, old = command.current(client)
    apply_id = uuid.uuid4().hex
    body = configuration.make_config_applied(old, revision, new, apply_id, '')
    # The id must be known even when the answer never comes.
    _tell(f'apply id: {apply_id}')
    try:
        status, answer = client.post('/v1/applies', codec.to_plain(body))
    except client_module.AnswerLost as error:
        raise _unknown(apply_id, str(error)) from error
    if status == HTTP_BAD_REQUEST:
        raise failures.UnexpectedAnswer(
            f'apply {apply_id}: {answer["reason"]}',
            'check that client and entry hosts are of one version',
        )
    return _settle(apply_id, answer)


def _find(client, apply_id):
    status, answer = client.get(f'/v1/applies/{apply_id}')
    if status == HTTP_NOT_FOUND:
        raise _unknown(apply_id, 'the entry host asked has not read it yet')
    return _settle(apply_id, answer)


def _unknown(apply_id, detail):
    return failures.ApplyUnknown(
        f'apply {apply_id}: unknown: {detail}',
        f'run: hawthorndeal apply --resume {apply_id}',
    )


def _settle(apply_id, answer):
    outcome = answer['outcome']
    if outcome == 'accepted':
        return {'apply_id': apply_id, **answer}
    if outcome == 'unknown':
        raise _unknown(apply_id, answer['reason'])
    detail = f'apply {apply_id}: {outcome}: {answer["reason"]}'
    if outcome == 'not_applied':
        raise failures.Unavailable(detail, 'run the same command again later')
    raise failures.ApplyRefused(detail, 'run: hawthorndeal plan FILE')


def _await_in_force(client, verdict, timeout_s):
    started_s = time.monotonic()
    told = None
    while True:
        behind = _behind(client, verdict['revision'])
        waited_s = time.monotonic() - started_s
        if not behind:
            return round(waited_s, 3)
        if waited_s > timeout_s:
            raise _not_in_force(verdict, behind)
        if behind != told:
            told = behind
            _tell(f'waiting for {len(behind)}: {", ".join(behind)}')
        time.sleep(IN_FORCE_POLL_S)


def _not_in_force(verdict, behind):
    return failures.NotInForce(
        f'revision {verdict["revision"]} is accepted, but not yet in force '
        f'on {", ".join(behind)}',
        'run: hawthorndeal status',
        result=verdict,
    )


def _behind(client, revision):
    status = client.read('/v1/status')
    return sorted(
        member['daemon']
        for member in status['members']
        if (member['revision'] or 0) < revision
    )


def _tell(text):
    print(text, file=sys.stderr, flush=True)
