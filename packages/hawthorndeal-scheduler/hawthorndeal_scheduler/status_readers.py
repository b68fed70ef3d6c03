"""Reads the statuses of all jobs from the log, on every daemon."""

from hawthorndeal_jobs import journal
from hawthorndeal_jobs import ownership
from hawthorndeal_jobs import status_board


class StatusReader:
    """Maintains the board of statuses and a view of the owner.

    :param daemon: name of this entry host
    :param clock: clocks of the daemon
    :param events: the decision log
    :ivar followers: followers of the partitions that it reads, by name
    :ivar last_read_s: when a read of any of them last reached the end
    """

    def __init__(self, daemon, clock, events):
        self.followers = {}
        self.last_read_s = None
        # The newest record of an owner that tells what the statuses cover,
        # until all statuses before it were read.
        self._coverage = None
        # Epochs that this process has claimed.
        self.claimed_epochs = set()
        self._daemon = daemon
        self._last_logged_owner = None
        self.board = status_board.StatusBoard()
        self.owner_view = ownership.OwnerView()
        # When the final state of each job was first read.
        self.final_since_s = {}
        self.on_changed = None
        self._clock = clock
        self._events = events

    def handle_record(self, record, source=''):
        """Apply one record to the board."""
        change = self.board.apply(
            record.key, record.value, record.offset, source
        )
        if change is None:
            return
        now_s = self._clock.monotonic_s()
        if change.kind == journal.STATUS:
            self._note_status(change.job_id, now_s)
        if change.kind == journal.HOSTS:
            self.owner_view.intents_read_s = now_s
        if change.kind == journal.LOAD:
            self.owner_view.load_read_s = now_s
        # Any daemon may write these; all else is written by owners.
        if change.kind not in (journal.OFFER, journal.DAEMON):
            self._note_owner(now_s)
        if change.kind == journal.OWNER:
            self._note_ownership(now_s, source)
        if self.on_changed is not None:
            self.on_changed(change)

    def _note_status(self, job_id, now_s):
        if self.board.is_stored_final(job_id):
            self.final_since_s.setdefault(job_id, now_s)
        else:
            self.final_since_s.pop(job_id, None)

    def _note_owner(self, now_s):
        current = self.board.ownership
        if current is None:
            return
        self.owner_view.note_ownership(
            now_s,
            current,
            self._daemon,
            self.claimed_epochs,
        )

    def _note_ownership(self, now_s, source):
        current = self.board.ownership
        if self.owner_view.owner_seen_s is None:
            self.owner_view.owner_seen_s = now_s
        if current.covered_offset:
            self.owner_view.covered_s = now_s - max(0.0, current.delay_s)
            self._coverage = current
            self._note_coverage(source)
        seen = current.daemon, current.epoch, current.is_released
        if seen != self._last_logged_owner:
            self._last_logged_owner = seen
            self._events.write(
                'owner_seen',
                owner=current.daemon,
                epoch=current.epoch,
                is_released=current.is_released,
            )

    def _note_coverage(self, source=''):
        """Apply what the statuses cover, once those before it were read.

        :param source: the partition whose records are being processed
        """
        current = self._coverage
        if current is None:
            return
        behind = [
            name
            for name, end in zip(self.followers, current.status_ends)
            if name != source and not self.followers[name].has_read(end)
        ]
        if not behind:
            self._coverage = None
            self.owner_view.covered_offset = current.covered_offset
            self.owner_view.covered_offsets = current.covered_offsets

    def note_loaded(self, keys, source=''):
        """Drop the statuses whose keys no longer exist, and log the load."""
        for job_id in self.board.retain(source, keys):
            self.final_since_s.pop(job_id, None)
        self._note_coverage()
        self._events.write(
            'statuses_loaded', keys=len(keys), jobs=len(self.board.stored)
        )

    def note_first_read(self, sent_s):
        """Record that a read of the first partition reached its end."""
        self.owner_view.note_read(sent_s, self._clock.monotonic_s())
        self.note_read()

    def note_read(self):
        """Record that a read of a partition reached its end."""
        self.last_read_s = self._clock.monotonic_s()
        self._note_coverage()


class StatusPartitionReader:
    """Reader of one of the partitions that hold the statuses.

    :param status_reader: maintains the board
    :param source: name of the partition
    """

    def __init__(self, status_reader, source):
        self._status_reader = status_reader
        self._source = source

    def handle_record(self, record):
        """Apply one record."""
        self._status_reader.handle_record(record, self._source)

    def note_loaded(self, keys):
        """Process the end of the load."""
        self._status_reader.note_loaded(keys, self._source)

    def note_page(self, sent_s):
        """Do nothing; claims go by the first partition."""

    def note_read(self, sent_s):
        """Record that a read has reached the end."""
        self._status_reader.note_read()


class FirstStatusPartitionReader(StatusPartitionReader):
    """Reader of the partition that claims are made in."""

    def note_page(self, sent_s):
        """Record that a read sent at this time was answered."""
        self._status_reader.owner_view.note_page(sent_s)

    def note_read(self, sent_s):
        """Record that a read sent at this time reached the end."""
        self._status_reader.note_first_read(sent_s)


class SpareStatusPartitionReader(StatusPartitionReader):
    """Reader of a partition that takes statuses while the first is away."""

    def __init__(self, status_reader, source):
        super().__init__(status_reader, source)
        self._is_loaded = False

    def handle_record(self, record):
        """Apply one record, but for a load that may be from long ago."""
        if self._is_loaded or record.key != journal.LOAD:
            super().handle_record(record)

    def note_loaded(self, keys):
        """Process the end of the load."""
        self._is_loaded = True
        super().note_loaded(keys)
