"""The command ``hawthorndeald``."""

import argparse
import asyncio
import enum
import os
import socket
import sys

# libuv opens io_uring descriptors unless this is set before a loop is created.
os.environ['UV_USE_IO_URING'] = '0'

import uvloop  # noqa: E402

from hawthorndeal_fleet import checks  # noqa: E402
from hawthorndeal_fleet import errors  # noqa: E402
from hawthorndeal_fleet import yamltext  # noqa: E402
from hawthorndeal_platform import files  # noqa: E402

from . import daemon  # noqa: E402
from . import logs  # noqa: E402
from . import settings as settings_module  # noqa: E402


class ExitCode(enum.IntEnum):
    """Exit codes of the process; its supervisors may rely on them."""

    OK = 0
    FAILED = 1
    INVALID = 2
    ADDRESS_UNAVAILABLE = 3


class AddressUnavailable(errors.HawthorndealError):
    """Raised when an address in the settings can't be listened on."""

    reason = 'address_unavailable'


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
        '--fleet',
        metavar='FILE',
        help='with --check: a fleet file that must declare the zone',
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
        settings = _read_settings(options)
        if options.check:
            return ExitCode.OK
        _check_addresses(settings)
        logs.configure(options.verbosity)
        return _serve(settings)
    except errors.InvalidFile as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID
    except AddressUnavailable as error:
        print(error, file=sys.stderr)
        return ExitCode.ADDRESS_UNAVAILABLE


def _read_settings(options):
    text = files.read(options.settings)
    settings = settings_module.parse(text, options.settings)
    if options.fleet:
        _check_zone(settings, options)
    return settings


def _check_zone(settings, options):
    plain = yamltext.parse(files.read(options.fleet), options.fleet)
    fleet = checks.fleet_from_document(plain, options.fleet)
    if settings.zone not in fleet.zones:
        problem = errors.Problem(
            options.settings,
            'zone',
            f'{settings.zone!r} is not declared in {options.fleet}, which '
            f'has {sorted(fleet.zones)}',
        )
        raise errors.InvalidFile([problem])


def _check_addresses(settings):
    # Fail early: the supervisor would keep restarting a server that can't
    # listen on its address.
    for field in ('callers_address', 'control_address'):
        address = getattr(settings, field)
        try:
            _try_to_listen(*settings_module.split_address(address))
        except OSError as error:
            raise AddressUnavailable(
                f'{field}: {address}: {error.strerror}'
            ) from error


def _try_to_listen(host, port):
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, port))
        probe.listen()


def _serve(settings):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            runner.run(daemon.Daemon(settings).run())
        except errors.HawthorndealError as error:
            print(f'{error.reason}: {error}', file=sys.stderr)
            return ExitCode.FAILED
    return ExitCode.OK


if __name__ == '__main__':
    sys.exit(main())
