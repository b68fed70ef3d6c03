"""Loggers with a fixed prefix for each component of the daemon."""

import logging

from absl import logging as absl_logging


class _PrefixAdapter(logging.LoggerAdapter):
    """Prefix every message with the component's name."""

    def process(self, msg, kwargs):
        """Return the prefixed message."""
        return f'{self.extra["part"]}: {msg}', kwargs


def get(part):
    """Return the logger of a component.

    :param part: the component's name, such as ``follower``
    """
    return _PrefixAdapter(absl_logging.get_absl_logger(), {'part': part})


def configure(verbosity):
    """Configure logging to standard error.

    :param verbosity: absl level, such as ``info``
    """
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(verbosity)
    absl_logging.set_stderrthreshold('debug')
