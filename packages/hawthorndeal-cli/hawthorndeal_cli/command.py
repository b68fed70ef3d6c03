"""Base class of all commands, and helpers that they share."""

import sys

from hawthorndeal_fleet import checks
from hawthorndeal_fleet import yamltext
from hawthorndeal_platform import files

from . import client as client_module
from . import settings as settings_module


class Command:
    """Base class of commands.

    Subclasses override :meth:`run`, and :meth:`add_arguments` if they take
    arguments.
    """

    name = ''
    summary = ''
    example = ''

    def add_arguments(self, parser):
        """Add the arguments of the command to a parser."""

    def run(self, options):
        """Run the command and return its result.

        :returns: rows, one mapping, or a mapping of section names to rows
        :raises errors.HawthorndealError: if the command fails
        """
        raise NotImplementedError


def read_fleet(path):
    """Read and validate a fleet file; return its document as plain data.

    :raises errors.InvalidFile: with every problem found
    """
    document = yamltext.parse(files.read(path), path)
    checks.fleet_from_document(document, path)
    return document


def read_lines(paths):
    """Yield the lines of log files; ``-`` stands for standard input."""
    # Invalid UTF-8 must make only the affected line unreadable.
    for path in paths:
        data = sys.stdin.buffer.read() if path == '-' else files.read(path)
        yield from data.decode(errors='replace').splitlines()


def make_client(options):
    """Return a client configured by the ``--settings`` file.

    :raises errors.InvalidFile: with every problem found
    """
    text = files.read(options.settings)
    return client_module.Client(settings_module.parse(text, options.settings))


def fetch_current(client):
    """Return the revision in force and its fleet document."""
    response = client.read('/v1/document')
    return response['revision'], response['document']
