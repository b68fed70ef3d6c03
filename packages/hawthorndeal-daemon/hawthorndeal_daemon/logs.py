"""Logs with a fixed prefix for each part of the daemon."""

import logging

from absl import logging as absl_logging


class _Prefixed(logging.LoggerAdapter):
    """Put the part's name in front of every message."""

    def process(self, msg, kwargs):
        """Return the message with its prefix."""
        return f'{self.extra["part"]}: {msg}', kwargs


def get(part):
    """Return the logger of a part.

    :param part: fixed prefix, such as ``follower``
    """
    return _Prefixed(absl_logging.get_absl_logger(), {'part': part})


def set_up(verbosity):
    """Send logs to standard error.

    :param verbosity: absl level, such as ``info``
    """
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(verbosity)
    absl_logging.set_stderrthreshold('debug')
