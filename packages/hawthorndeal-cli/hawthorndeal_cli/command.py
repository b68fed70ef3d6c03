"""What every command of the command line is made of."""

from hawthorndeal_fleet import checks
from hawthorndeal_fleet import yamltext
from hawthorndeal_platform import files

from . import client as client_module
from . import settings as settings_module


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
        """Do the work and return what to print.

        :returns: rows, one mapping, or a mapping of sections with rows
        :raises errors.HawthorndealError: when it can't be done
        """
        raise NotImplementedError


def read_fleet(path):
    """Return the plain document of a valid fleet file.

    :raises errors.InvalidFile: with every problem found
    """
    plain = yamltext.parse(files.read(path), path)
    checks.fleet_from_document(plain, path)
    return plain


def make_client(options):
    """Return a client by the settings file that the options name.

    :raises errors.InvalidFile: with every problem found
    """
    text = files.read(options.settings)
    return client_module.Client(settings_module.parse(text, options.settings))


def current(client):
    """Return the revision in force and its document."""
    answer = client.read('/v1/document')
    return answer['revision'], answer['document']
