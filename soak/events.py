"""Events that the stand-ins record, one JSON object a line."""

import enum
import json
import time

import attrs


class Kind(enum.StrEnum):
    """What happened."""

    EXECUTOR_UP = 'executor_up'
    EXECUTOR_DOWN = 'executor_down'
    STARTED = 'started'
    ENDED = 'ended'
    SUBMITTED = 'submitted'
    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    # A stand-in was held up, and is at work again.
    LATE = 'late'


@attrs.frozen
class Event:
    """Something that a stand-in has seen.

    :ivar time_s: seconds since 1970, as in the daemons' logs
    :ivar subject: id of the executor, or of the job for callers' events
    :ivar fields: what else is known of it
    """

    time_s: float
    kind: Kind
    subject: str
    fields: dict


class Recorder:
    """Appends events to a file.

    :param path: file to write
    """

    def __init__(self, path):
        self._file = open(path, 'w', buffering=1 << 16)

    def write(self, kind, subject, **fields):
        """Record an event that has just happened."""
        row = [round(time.time(), 4), kind, subject, fields]
        self._file.write(json.dumps(row, separators=(',', ':')) + '\n')

    def close(self):
        """Write what is buffered, and close the file."""
        self._file.close()


def read(paths):
    """Return the events of several files in the order of their times."""
    events = []
    for path in paths:
        with open(path) as lines:
            for line in lines:
                time_s, kind, subject, fields = json.loads(line)
                events.append(Event(time_s, Kind(kind), subject, fields))
    return sorted(events, key=lambda event: event.time_s)
