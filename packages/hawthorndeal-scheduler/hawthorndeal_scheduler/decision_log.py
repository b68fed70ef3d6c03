"""Write one line of JSON for each decision, without ever waiting."""

import collections
import json
import logging
import os
import sys
import time

# Lines of one kind in one second; more are counted and left out.
MAX_LINES_PER_KIND = 400
# Bytes kept while standard output takes nothing.
MAX_PENDING_BYTES = 262144
MAX_TEXT = 200


class DecisionLog:
    """Write events to a descriptor that must not block.

    :param daemon: this entry host's name
    :param descriptor: where lines go
    :param max_per_kind: lines of one kind in one second
    """

    def __init__(self, daemon, descriptor=None, max_per_kind=None):
        self._daemon = daemon
        self._descriptor = descriptor
        self._max_per_kind = max_per_kind or MAX_LINES_PER_KIND
        self._second = 0
        self._counts = collections.Counter()
        self._left_out = collections.Counter()
        self._pending = b''
        # Lines that were not taken, in all and since the last that was.
        self.dropped_lines = 0
        self._untold = 0

    def open(self):
        """Write to standard output from now on."""
        sys.stdout.flush()
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)

    def write(self, kind, **fields):
        """Write one event.

        :param kind: what was decided or found
        :param fields: plain data: ids, the inputs, their age, the outcome
        """
        if self._descriptor is None:
            return
        now_s = time.time()
        self._begin_second(int(now_s))
        self._counts[kind] += 1
        if self._counts[kind] > self._max_per_kind:
            self._left_out[kind] += 1
            return
        self._emit(now_s, kind, fields)

    def _begin_second(self, second):
        if second == self._second:
            return
        left_out, self._left_out = self._left_out, collections.Counter()
        self._second = second
        self._counts.clear()
        if left_out:
            self._emit(second, 'lines_left_out', {'kinds': dict(left_out)})

    def _emit(self, now_s, kind, fields):
        line = {'time_s': round(now_s, 3), 'daemon': self._daemon}
        line['event'] = kind
        line.update(fields)
        if self._untold:
            line['dropped_before'] = self._untold
        text = json.dumps(line, separators=(',', ':'), default=str)
        self._send(text.encode() + b'\n')

    def _send(self, data):
        # What waits goes first: else a log that was full once stays full.
        self._flush()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            self._untold += 1
            return
        self._untold = 0
        self._pending += data
        self._flush()

    def _flush(self):
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads; the process must go on all the same.
            self.dropped_lines += self._pending.count(b'\n')
            self._pending = b''
            return
        self._pending = self._pending[written:]


class LibraryHandler(logging.Handler):
    """Turn what libraries log into events, one short line each.

    :param events: a :class:`DecisionLog`
    """

    def __init__(self, events):
        super().__init__(logging.WARNING)
        self._events = events

    def emit(self, record):
        """Write one record; of an error, its type and message only."""
        error = record.exc_info[1] if record.exc_info else None
        self._events.write(
            'library_message',
            logger=record.name,
            level=record.levelname,
            text=record.getMessage()[:MAX_TEXT],
            error=repr(error)[:MAX_TEXT] if error is not None else '',
        )
