"""Entry point of the ``hawthorndeal`` command."""

import argparse
import os
import sys

from hawthorndeal_fleet import errors

from . import commands
from . import failures
from . import output

SETTINGS_VARIABLE = 'HAWTHORNDEAL_SETTINGS'
DEFAULT_SETTINGS = 'hawthorndeal.yaml'
EXIT_INTERRUPTED = 130

_EXIT_CODES = 'exit codes:\n' + ''.join(
    f'  {code.value}  {meaning}\n'
    for code, meaning in failures.MEANINGS.items()
)


def _make_parser():
    parser = argparse.ArgumentParser(
        prog='hawthorndeal',
        description='Operate a fleet by files that declare all of it.',
        epilog=_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(
        dest='command', required=True, metavar='COMMAND'
    )
    for command in commands.ALL:
        _add_command(subparsers, command)
    return parser


def _add_command(subparsers, command):
    parser = subparsers.add_parser(
        command.name,
        help=command.summary,
        description=command.summary.capitalize() + '.',
        epilog=f'example: {command.example}\n\n{_EXIT_CODES}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--settings',
        default=os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS),
        help='YAML file with entry hosts and token '
        f'(default: ${SETTINGS_VARIABLE} or {DEFAULT_SETTINGS})',
    )
    parser.add_argument(
        '--output',
        choices=['table', 'json', 'yaml'],
        default='table',
        help='form of the result (default: table)',
    )
    command.add_arguments(parser)
    parser.set_defaults(run=command.run)


def main(arguments=None):
    """Run one command and return its exit code."""
    options = _make_parser().parse_args(arguments)
    try:
        print(output.render(options.run(options), options.output))
    except errors.InvalidFile as error:
        print(error, file=sys.stderr)
        return failures.ExitCode.INVALID
    except failures.CommandError as error:
        return _print_error(error, options.output)
    except KeyboardInterrupt:
        print('interrupted', file=sys.stderr)
        return EXIT_INTERRUPTED
    return failures.ExitCode.OK


def _print_error(error, output_format):
    if error.result is not None:
        print(output.render(error.result, output_format))
    print(error.detail, file=sys.stderr)
    if error.next_step:
        print(error.next_step, file=sys.stderr)
    return error.exit_code


if __name__ == '__main__':
    sys.exit(main())
