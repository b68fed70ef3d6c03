"""What a daemon tells callers about jobs, and who owns the partitions.

Every daemon applies the records of the partition of the statuses to a board.
"""

import collections

import attrs

from hawthorndeal_fleet import errors

from . import admission
from . import host_intents
from . import jobs
from . import journal
from . import keyed_records


@attrs.frozen
class StatusChange:
    """The result of applying a record to the board.

    :ivar job_id: the job that the record refers to, if any
    """

    kind: str
    job_id: str = ''


class StatusBoard(keyed_records.KeyedRecords):
    """Statuses of jobs, the owner, its waves and its host intents.

    :ivar stored: statuses read from the store, by job
    :ivar ownership: the newest owner, or None
    :ivar offer: the newest offer to take over from an owner, or None
    :ivar wave_records: progress of maintenance waves, by number
    :ivar host_intents: the newest intents of an owner
    :ivar daemons: where daemons take calls of others, by name
    :ivar load: the newest :class:`admission.LoadReport`, or None
    """

    def __init__(self):
        super().__init__()
        self.stored = {}
        self.ownership = None
        self.offer = None
        self.wave_records = {}
        self.host_intents = []
        self.load = None
        self.daemons = {}
        # What this daemon has appended itself and not read back so far.
        self._local = {}
        self._waiting = collections.Counter()

    def _apply_status(self, job_id, value):
        change = StatusChange(journal.STATUS, job_id)
        self._count(job_id, -1)
        try:
            if value:
                self._store(job_id, journal.decode(value, journal.JobStatus))
            else:
                self.stored.pop(job_id, None)
                self._local.pop(job_id, None)
        finally:
            self._count(job_id, 1)
        return change

    def _store(self, job_id, status):
        known = self.stored.get(job_id)
        # Of several partitions, one may hold an older status.
        if known and known.state.progress > status.state.progress:
            return
        self.stored[job_id] = status
        local = self._local.get(job_id)
        # A cancellation takes effect here before the owner has read it.
        if local is not None and (
            status.state.is_final or not local.state.is_final
        ):
            del self._local[job_id]

    def _apply_owner(self, _, value):
        ownership = journal.decode(value, journal.Ownership)
        if self.ownership and _order(ownership) < _order(self.ownership):
            # Another partition holds a newer record.
            return None
        self.ownership = ownership
        return StatusChange(journal.OWNER)

    def _apply_offer(self, _, value):
        self.offer = journal.decode(value, journal.Offer)
        return StatusChange(journal.OFFER)

    def _apply_wave(self, number, value):
        if not number.isdecimal():
            raise errors.InvalidRecord(f'invalid wave number {number!r:.80}')
        progress = journal.decode(value, journal.WaveRecord)
        self.wave_records[int(number)] = progress
        return StatusChange(journal.WAVE)

    def _apply_hosts(self, _, value):
        intents = journal.decode(value, list[host_intents.HostIntent])
        self.host_intents = intents
        return StatusChange(journal.HOSTS)

    def _apply_load(self, _, value):
        self.load = journal.decode(value, admission.LoadReport)
        return StatusChange(journal.LOAD)

    def _apply_daemon(self, name, value):
        if value:
            self.daemons[name] = journal.decode(value, journal.DaemonRecord)
        else:
            self.daemons.pop(name, None)
        return StatusChange(journal.DAEMON)

    def retain(self, source, keys):
        """Drop the statuses that are in no partition after a whole load.

        :param source: name of the partition that was loaded
        :param keys: the keys that it holds
        :returns: the ids of their jobs
        """
        self._offsets[source].retain(keys)
        dropped = [
            job_id for job_id in self.stored if not self.sources_of(job_id)
        ]
        for job_id in dropped:
            self._count(job_id, -1)
            del self.stored[job_id]
            self._count(job_id, 1)
        return dropped

    def sources_of(self, job_id):
        """Return the names of the partitions that hold the status of a job."""
        key = f'{journal.STATUS}/{job_id}'
        return [
            s for s, offsets in self._offsets.items() if offsets.holds(key)
        ]

    # What callers are told

    def find(self, job_id):
        """Return the status of a job, or None if it is not known."""
        return self._local.get(job_id) or self.stored.get(job_id)

    def is_stored_running(self, job_id):
        """Return whether a job is stored as one that has begun."""
        status = self.stored.get(job_id)
        return status is not None and status.state is jobs.JobState.RUNNING

    def is_stored_final(self, job_id):
        """Return whether the final state of a job is stored."""
        status = self.stored.get(job_id)
        return status is not None and status.state.is_final

    def note_accepted(self, job_id, status):
        """Add a job whose submission this daemon has stored."""
        if self.find(job_id) is None:
            self._set_local(job_id, status)

    def note_cancelled(self, job_id):
        """Record that this daemon has stored a job's cancellation."""
        status = self.find(job_id)
        if status is not None and not status.state.is_final:
            cancelled = attrs.evolve(status, state=jobs.JobState.CANCELLED)
            self._set_local(job_id, cancelled)

    def _set_local(self, job_id, status):
        self._count(job_id, -1)
        self._local[job_id] = status
        self._count(job_id, 1)

    def _count(self, job_id, change):
        status = self.find(job_id)
        if status is not None and status.is_waiting:
            self._waiting[status.queue] += change

    def waiting(self, queue):
        """Return how many accepted jobs of a queue have not started."""
        return self._waiting[queue]

    @property
    def total_waiting(self):
        """Number of accepted jobs that have not started."""
        return self._waiting.total()

    _HANDLERS = {
        journal.STATUS: _apply_status,
        journal.OWNER: _apply_owner,
        journal.OFFER: _apply_offer,
        journal.WAVE: _apply_wave,
        journal.HOSTS: _apply_hosts,
        journal.LOAD: _apply_load,
        journal.DAEMON: _apply_daemon,
    }


def _order(ownership):
    """Return what orders the records of owners, and those of one of them.

    A release is an owner's last record.
    """
    return ownership.epoch, ownership.is_released, ownership.number
