"""Readers of the jobs, the configuration and the executors' entries.

Every daemon reads the configuration, and the statuses (:mod:`status_readers`);
an owner also reads the others.
"""

import math

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import replica as replica_module
from hawthorndeal_jobs import specs

# The store was away for this daemon if none of the partitions of the jobs was
# read for longer.
MAX_SILENCE_S = 1.0


class JobsReader:
    """Maintains the owner's replica of the jobs, from several partitions.

    :param clock: clocks of the daemon
    :param events: the decision log
    :param sources: names of the partitions that it is read from
    :ivar answering_since_s: since when some partitions have been read all the
        time
    """

    def __init__(self, clock, events, sources):
        self.on_applied = None
        self._clock = clock
        self._events = events
        self._sources = tuple(sources)
        self.reset()

    def reset(self):
        """Discard the replica, so that the partitions are read anew."""
        self.replica = replica_module.Replica()
        # When the last read of each partition that reached its end completed.
        self._read_s = {}
        self.answering_since_s = math.inf

    @property
    def last_read_s(self):
        """When the last read of any partition reached its end, or None."""
        return max(self._read_s.values(), default=None)

    @property
    def is_read(self):
        """Whether all partitions were read to their ends."""
        return len(self._read_s) == len(self._sources)

    def unread_sources(self, since_s):
        """Return the partitions that were not read to their end since."""
        return [
            source
            for source in self._sources
            if self._read_s.get(source, -math.inf) < since_s
        ]

    def read_s(self, sources):
        """Return since when all of some partitions are known."""
        return min(self._read_s.get(s, -math.inf) for s in sources)

    def handle_record(self, source, record):
        """Apply one record of a partition to the replica."""
        applied = self.replica.apply(
            record.key, record.value, record.offset, source
        )
        if applied is not None and self.on_applied is not None:
            self.on_applied(applied)

    def note_loaded(self, source, keys):
        """Log that a partition has been loaded."""
        if keys or source == self._sources[0]:
            self._events.write(
                'jobs_loaded',
                partition=source,
                keys=len(keys),
                jobs=len(self.replica.jobs),
            )

    def note_read(self, source):
        """Record that a read has reached the end of a partition."""
        now_s = self._clock.monotonic_s()
        last_s = self.last_read_s
        if last_s is None or now_s - last_s > MAX_SILENCE_S:
            self.answering_since_s = now_s
        self._read_s[source] = now_s


class JobsPartitionReader:
    """Reader of one of the partitions that hold the jobs.

    :param jobs_reader: maintains the replica
    :param source: name of the partition
    """

    def __init__(self, jobs_reader, source):
        self._jobs_reader = jobs_reader
        self._source = source

    def handle_record(self, record):
        """Apply one record."""
        self._jobs_reader.handle_record(self._source, record)

    def note_loaded(self, keys):
        """Process the end of the load."""
        self._jobs_reader.note_loaded(self._source, keys)

    def note_page(self, sent_s):
        """Do nothing; only reads that reach the end count."""

    def note_read(self, sent_s):
        """Record that a read has reached the end."""
        self._jobs_reader.note_read(self._source)


class ConfigurationReader:
    """Holds the newest configuration and the waves requested by operators.

    :param formats: decodes the operators' records
    :param events: the decision log
    """

    def __init__(self, formats, events):
        self.configuration = None
        self.waves = {}
        self.on_changed = None
        self._formats = formats
        self._events = events

    def handle_record(self, record):
        """Process one record written by operators."""
        try:
            if record.key == self._formats.configuration_key:
                self._handle_configuration(record)
            elif record.key.startswith(self._formats.wave_prefix):
                self._handle_wave(record)
        except ValueError as error:
            raise errors.InvalidRecord(str(error)) from error

    def _handle_configuration(self, record):
        # A deleted record doesn't revoke the configuration in force.
        if not record.value:
            return
        try:
            newer = self._formats.decode_configuration(record.value)
        except ValueError as error:
            # What was in force stays.
            self._events.write(
                'configuration_rejected',
                offset=record.offset,
                why=str(error)[:200],
            )
            return
        current = self.configuration
        if current is not None and newer.version <= current.version:
            return
        self.configuration = newer
        self._events.write(
            'configuration_in_force',
            version=newer.version,
            queues=len(newer.queues),
            workspaces=len(newer.workspaces),
            offset=record.offset,
        )
        if self.on_changed is not None:
            self.on_changed(newer)

    def _handle_wave(self, record):
        if not record.value:
            return
        wave = self._formats.decode_wave(record.value)
        if wave.number not in self.waves:
            self._events.write(
                'wave_seen', wave=wave.number, hosts=len(wave.hosts)
            )
        self.waves[wave.number] = wave

    def note_loaded(self, keys):
        """Do nothing; deleted records have no effect."""

    def note_page(self, sent_s):
        """Do nothing; the age of the configuration is not tracked."""

    def note_read(self, sent_s):
        """Do nothing; the age of the configuration is not tracked."""


class EntriesReader:
    """Holds the entries that executors publish.

    :param formats: decodes the entries
    :param clock: clocks of the daemon
    :param events: the decision log
    """

    def __init__(self, formats, clock, events):
        self.entries = {}
        self.offsets = {}
        self.on_entry = None
        self.on_missing = None
        self._formats = formats
        self._clock = clock
        self._events = events

    def handle_record(self, record):
        """Process the entry of an executor; an empty value removes it."""
        if record.offset < self.offsets.get(record.key, 0):
            return
        if not record.value:
            if self.entries.pop(record.key, None) is not None:
                self._report_missing(record.key)
            return
        try:
            entry = self._formats.decode_entry(record.key, record.value)
        except ValueError as error:
            self._note_unreadable(record)
            raise errors.InvalidRecord(str(error)) from error
        self._note_entry(record, entry)

    def _note_unreadable(self, record):
        """Let nothing start on an executor whose newest entry is invalid."""
        entry = self.entries.get(record.key)
        if entry is not None:
            no_room = attrs.evolve(entry, capacity=specs.Resources())
            self._note_entry(record, no_room)

    def _note_entry(self, record, entry):
        self.entries[record.key] = entry
        self.offsets[record.key] = record.offset
        if self.on_entry is not None:
            self.on_entry(entry, self._clock.monotonic_s())

    def _report_missing(self, executor_id):
        if self.on_missing is not None:
            self.on_missing(executor_id)

    def note_loaded(self, keys):
        """Remove the entries whose keys no longer exist."""
        for executor_id in set(self.entries) - keys:
            del self.entries[executor_id]
            self._report_missing(executor_id)

    def note_page(self, sent_s):
        """Do nothing; entries carry their own time."""

    def note_read(self, sent_s):
        """Do nothing; entries carry their own time."""
