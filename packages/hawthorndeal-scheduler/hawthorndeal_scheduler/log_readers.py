"""Readers of the followed partitions: jobs, configuration, executors."""

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import replica as replica_module

_OWNER_KINDS = (journal.OWNER, journal.PROGRESS, journal.WAVE, journal.HOSTS)


class JobsReader:
    """Maintains a replica of the jobs and a view of the partition's owner.

    :param daemon: name of this entry host
    :param clock: clocks of the daemon
    :param events: the decision log
    """

    def __init__(self, daemon, clock, events):
        # Epochs that this process has claimed.
        self.claimed_epochs = set()
        self._daemon = daemon
        self._last_logged_owner = None
        self.replica = replica_module.Replica()
        self.owner_view = ownership.OwnerView()
        self.on_folded = None
        self._clock = clock
        self._events = events

    def reset(self):
        """Discard the replica before a reload."""
        self.replica = replica_module.Replica()

    def handle_record(self, record):
        """Fold one record into the replica."""
        folded = self.replica.apply(record.key, record.value, record.offset)
        if folded is None:
            return
        if folded.kind == journal.HOSTS:
            self.owner_view.intents_read_s = self._clock.monotonic_s()
        if folded.kind in _OWNER_KINDS:
            self._note_owner(folded)
        if self.on_folded is not None:
            self.on_folded(folded)

    def _note_owner(self, folded):
        current = self.replica.ownership
        if current is None:
            return
        self.owner_view.note_ownership(
            self._clock.monotonic_s(),
            current,
            self._daemon,
            self.claimed_epochs,
        )
        if folded.kind != journal.OWNER:
            return
        seen = current.daemon, current.epoch, current.is_released
        if seen != self._last_logged_owner:
            self._last_logged_owner = seen
            self._events.write(
                'owner_seen',
                owner=current.daemon,
                epoch=current.epoch,
                is_released=current.is_released,
            )

    def note_loaded(self, keys):
        """Log that the partition has been loaded."""
        self._events.write(
            'jobs_loaded', keys=len(keys), jobs=len(self.replica.jobs)
        )

    def note_read(self, sent_s):
        """Record that a read sent at this time reached the end."""
        self.owner_view.note_read(sent_s, self._clock.monotonic_s())


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
        newer = self._formats.decode_configuration(record.value)
        current = self.configuration
        if current is not None and newer.version <= current.version:
            return
        self.configuration = newer
        self._events.write(
            'configuration_in_force',
            version=newer.version,
            queues=len(newer.queues),
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
        if not record.value:
            if self.entries.pop(record.key, None) is not None:
                self._report_missing(record.key)
            return
        if record.offset < self.offsets.get(record.key, 0):
            return
        try:
            entry = self._formats.decode_entry(record.key, record.value)
        except ValueError as error:
            raise errors.InvalidRecord(str(error)) from error
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

    def note_read(self, sent_s):
        """Do nothing; entries carry their own time."""
