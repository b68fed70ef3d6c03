"""The record of a case: what was sent, answered and run."""

import time


class Recorder:
    """Writes lines with the time since the start of the case.

    :param path: file to write
    """

    def __init__(self, path):
        self._file = open(path, 'w', buffering=1)
        self._begun_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the case."""
        return time.monotonic() - self._begun_s

    def write(self, event, **fields):
        """Write one line."""
        shown = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now_s():8.3f} {event} {shown}\n')

    def close(self):
        """Close the file."""
        self._file.close()
