"""Structured log of decisions: JSON lines, written without blocking."""

import collections
import json
import logging
import os
import sys
import time

# Maximum lines per kind and second; excess lines are counted and suppressed.
MAX_LINES_PER_KIND = 400
# Maximum bytes buffered while standard output is blocked.
MAX_PENDING_BYTES = 262144
MAX_TEXT_CHARS = 200


class DecisionLog:
    """Writes events to a non-blocking descriptor.

    :param daemon: name of this entry host
    :param descriptor: file descriptor to write to; no output while None
    :param max_per_kind: maximum lines per kind and second
    :ivar dropped_lines: total number of lines lost to a full buffer or a
        failed write
    """

    def __init__(self, daemon, descriptor=None, max_per_kind=None):
        self._daemon = daemon
        self._descriptor = descriptor
        self._max_per_kind = max_per_kind or MAX_LINES_PER_KIND
        self._second = 0
        self._counts = collections.Counter()
        self._suppressed = collections.Counter()
        self._pending = b''
        self.dropped_lines = 0
        # Lines dropped since the last line that was buffered.
        self._unreported_drops = 0

    def open(self):
        """Direct the log to standard output."""
        sys.stdout.flush()
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)

    def write(self, kind, **fields):
        """Write one event.

        :param kind: name of the event
        :param fields: plain data: ids, inputs of the decision, their age, the
            outcome
        """
        if self._descriptor is None:
            return
        now_s = time.time()
        self._begin_second(int(now_s))
        self._counts[kind] += 1
        if self._counts[kind] > self._max_per_kind:
            self._suppressed[kind] += 1
            return
        self._emit(now_s, kind, fields)

    def _begin_second(self, second):
        if second == self._second:
            return
        suppressed, self._suppressed = self._suppressed, collections.Counter()
        self._second = second
        self._counts.clear()
        if suppressed:
            self._emit(second, 'lines_left_out', {'kinds': dict(suppressed)})

    def _emit(self, now_s, kind, fields):
        line = {'time_s': round(now_s, 3), 'daemon': self._daemon}
        line['event'] = kind
        line.update(fields)
        if self._unreported_drops:
            line['dropped_before'] = self._unreported_drops
        text = json.dumps(line, separators=(',', ':'), default=str)
        self._send(text.encode() + b'\n')

    def _send(self, encoded):
        # Flushes first: otherwise a buffer that was full once stays full.
        self._flush()
        if len(self._pending) + len(encoded) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            self._unreported_drops += 1
            return
        self._unreported_drops = 0
        self._pending += encoded
        self._flush()

    def _flush(self):
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # For example, the reader has closed the pipe. The daemon must keep
            # running.
            self.dropped_lines += self._pending.count(b'\n')
            self._pending = b''
            return
        self._pending = self._pending[written:]


class LibraryHandler(logging.Handler):
    """Logging handler that writes library messages as events.

    :param events: a :class:`DecisionLog`
    """

    def __init__(self, events):
        super().__init__(logging.WARNING)
        self._events = events

    def emit(self, record):
        """Write one record; of an exception, only its type and message."""
        error = record.exc_info[1] if record.exc_info else None
        self._events.write(
            'library_message',
            logger=record.name,
            level=record.levelname,
            text=record.getMessage()[:MAX_TEXT_CHARS],
            error=repr(error)[:MAX_TEXT_CHARS] if error is not None else '',
        )
