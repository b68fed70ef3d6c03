"""The command ``hawthorndeald``."""

import argparse
import asyncio
import os
import pathlib
import sys

# libuv opens io_uring descriptors unless told not to before a loop is made.
os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402

from hawthorndeal_fleet import errors  # noqa: E402

from . import daemon  # noqa: E402
from . import logs  # noqa: E402
from . import settings as settings_module  # noqa: E402

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2


def _parse_arguments(arguments):
    parser = argparse.ArgumentParser(
        prog='hawthorndeald',
        description='Serve an entry host of hawthorndeal.',
        epilog='example: hawthorndeald --settings entry-a1.yaml',
    )
    parser.add_argument(
        '--settings', required=True, help='YAML file with the settings'
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    parser.add_argument(
        '--verbosity',
        default='info',
        choices=['debug', 'info', 'warning', 'error'],
        help='how much to log (default: info)',
    )
    return parser.parse_args(arguments)


def main(arguments=None):
    """Run the daemon and return its exit code."""
    options = _parse_arguments(arguments)
    try:
        text = pathlib.Path(options.settings).read_bytes()
        settings = settings_module.parse(text, options.settings)
    except (OSError, errors.InvalidFile) as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID
    if options.check:
        return EXIT_OK
    logs.set_up(options.verbosity)
    return _serve(settings)


def _serve(settings):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(daemon.Daemon(settings).run())
        except errors.HawthorndealError as error:
            print(f'{error.reason}: {error}', file=sys.stderr)
            return EXIT_FAILED
    return EXIT_OK


if __name__ == '__main__':
    sys.exit(main())
