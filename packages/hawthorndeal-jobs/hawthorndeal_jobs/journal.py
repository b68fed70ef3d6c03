"""The records that persist jobs; each key has one current record.

The partition of the jobs holds what the owner needs to run them, and so do the
partitions of the submissions, over which callers' records are spread. Only
owners read them, and a job is dropped from them soon after its end.

====================  =======================================  ==============
key                   value                                    written by
====================  =======================================  ==============
``job/ID``            the submission                           any daemon
``cancel/ID``         the cancellation of the job              any daemon
``progress/ID/K``     the tasks of one occurrence              the owner
``progress/ID/K/N``   some of many tasks, from number N on     the owner
``owner``             the owner, which fences its predecessor  the owner
====================  =======================================  ==============

The partition of the statuses is small, and every daemon follows it.

====================  =======================================  ==============
key                   value                                    written by
====================  =======================================  ==============
``status/ID``         the job's state, as callers are told     the owner
``owner``             the owner of both partitions             a claimant
``offer``             the newest offer to take over            any daemon
``wave/N``            progress of a maintenance wave           the owner
``hosts``             completed or intended host operations    the owner
``load``              what new jobs will have to wait for      the owner
``daemon/NAME``       where a daemon takes calls of others     the daemon
====================  =======================================  ==============

An empty value deletes a key.

Where the owner may store its records in several partitions, each carries a
stamp, which tells the newest of a key: the owner's epoch and a number that
increases with each of its appends.
"""

import hashlib
import itertools
import json
import math
import typing

import attrs
import cattrs

from hawthorndeal_fleet import errors

from . import jobs
from . import queues
from . import specs

JOB = 'job'
CANCEL = 'cancel'
PROGRESS = 'progress'
STATUS = 'status'
OWNER = 'owner'
OFFER = 'offer'
WAVE = 'wave'
HOSTS = 'hosts'
LOAD = 'load'
DAEMON = 'daemon'

DIGEST_BYTES = 6
# The length of a key is stored before it.
KEY_LENGTH_BYTES = 1
# Failures of a task in a record that doesn't tell their runs.
MAX_TOLD_FAILURES = 1000
# Tasks whose progress fits into one record of any store.
TASKS_PER_RECORD = 256
NO_STAMP = (0, 0)

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    RecursionError,
    OverflowError,
)

_converter = cattrs.Converter(omit_if_default=True)


@attrs.frozen
class Record:
    """A keyed record; an empty value deletes the key."""

    key: str
    value: bytes = b''

    @property
    def size_bytes(self):
        """Size of its content in the store."""
        return KEY_LENGTH_BYTES + len(self.key) + len(self.value)


@attrs.frozen
class Submission:
    """A job as it was accepted.

    :ivar workspace: workspace of the caller; empty where the queue is public,
        and in records of earlier versions
    :ivar terms: what the queue promised; records of earlier versions hold
        none
    """

    queue: str
    pool: str
    accepted_s: float
    spec: specs.JobSpec
    workspace: str = ''
    terms: queues.QueueTerms = queues.QueueTerms()


@attrs.frozen
class Ownership:
    """The owner of a partition.

    :ivar epoch: increases with each claim; fences appends and requests
    :ivar daemon: the owner
    :ivar is_released: whether the owner has released the partition
    :ivar covered_offset: the statuses stored before this record cover the
        records of the partition of the jobs up to this offset
    :ivar submission_partitions: number of partitions of the submissions that
        the owner reads; 0 if it reads the partition of the jobs only
    :ivar covered_offsets: the same as covered_offset for each of them
    :ivar unread_partitions: numbers of the partitions of the submissions that
        the owner couldn't read of late
    :ivar delay_s: how long ago the owner had read all others to their ends
    :ivar number: increases with each record of one owner
    :ivar status_ends: up to which offset of each partition of the statuses
        the statuses before this record are stored; empty for one partition
    :ivar strength: strength of the owner's host; see :mod:`hand_over`
    :ivar successor: the daemon that the partition was released to; empty for
        any
    """

    epoch: int
    daemon: str
    is_released: bool = False
    covered_offset: int = 0
    strength: float = 1.0
    successor: str = ''
    submission_partitions: int = 0
    covered_offsets: tuple[int, ...] = ()
    delay_s: float = 0.0
    unread_partitions: tuple[int, ...] = ()
    number: int = 0
    status_ends: tuple[int, ...] = ()


@attrs.frozen
class JobStatus:
    """What callers are told about a job.

    :ivar digest: digest of the declared job; see :func:`spec_digest`
    :ivar workspace: workspace that may see the job; empty for any
    :ivar reason: why the job has failed; empty if it hasn't, and in records
        of earlier versions
    """

    queue: str
    digest: str
    state: jobs.JobState = jobs.JobState.QUEUED
    workspace: str = ''
    reason: str = ''

    def is_visible_to(self, workspace):
        """Return whether callers of a workspace may see the job."""
        return self.workspace in ('', workspace)

    @property
    def is_waiting(self):
        """Whether no task of the job has started."""
        return self.state is jobs.JobState.QUEUED


@attrs.frozen
class Offer:
    """An offer to take over the partition from its owner.

    :ivar epoch: epoch of the owner that the offer is made to
    :ivar daemon: the daemon that offers
    :ivar strength: strength of its host
    """

    epoch: int
    daemon: str
    strength: float


@attrs.frozen
class DaemonRecord:
    """Where a daemon takes the calls that others pass on.

    :ivar address: as ``IP:PORT``
    :ivar zone: availability zone of its host
    """

    address: str
    zone: str


@attrs.frozen
class WaveRecord:
    """Progress of a maintenance wave.

    :ivar begun: hosts whose maintenance has started
    :ivar seen_s: when the wave was first seen, since the epoch
    """

    begun: list[str]
    seen_s: float = 0.0
    is_completed: bool = False


def submission_record(job_id, submission):
    """Return the record of an accepted job."""
    return Record(f'{JOB}/{job_id}', _encode(submission))


def cancel_record(job_id):
    """Return the record of a job's cancellation."""
    return Record(f'{CANCEL}/{job_id}', b'{}')


def progress_records(
    occurrence, stamp=None, is_split=False, max_bytes=math.inf
):
    """Return the records of the tasks that changed since the last call.

    A record of all tasks would cost their number at the end of each task, and
    may be larger than the store takes.

    :param stamp: tells which of several records is newer
    :param is_split: whether many tasks are stored in several records
    :param max_bytes: size of the largest record that the store takes; see
        :func:`progress_record`
    """
    changed = occurrence.pop_changed_tasks()
    if not is_split or occurrence.job.spec.tasks <= TASKS_PER_RECORD:
        return [progress_record(occurrence, stamp, max_bytes)]
    return [
        _partial_record(
            occurrence, number * TASKS_PER_RECORD, stamp, max_bytes
        )
        for number in sorted({task // TASKS_PER_RECORD for task in changed})
    ]


def progress_record(occurrence, stamp=None, max_bytes=math.inf):
    """Return the record of all tasks of an occurrence.

    :param stamp: tells which of several records is newer
    :param max_bytes: size above which checkpoints are left out, the largest
        first; a run without one starts from its beginning
    """
    tasks = [list(map(_task_row, step)) for step in occurrence.tasks]
    numbered = enumerate(itertools.chain.from_iterable(occurrence.tasks))
    value = _progress_value(occurrence, tasks, numbered, stamp)
    key = f'{PROGRESS}/{occurrence.job.job_id}/{occurrence.number}'
    rows = itertools.chain.from_iterable(tasks)
    return _bounded_record(key, value, rows, max_bytes)


def _partial_record(occurrence, first, stamp, max_bytes):
    """Return the record of some tasks of an occurrence.

    :param first: number of the first one, over all steps
    """
    tasks = occurrence.tasks_from(first, TASKS_PER_RECORD)
    rows = list(map(_task_row, tasks))
    value = _progress_value(occurrence, rows, enumerate(tasks, first), stamp)
    key = f'{PROGRESS}/{occurrence.job.job_id}/{occurrence.number}/{first}'
    return _bounded_record(key, value, rows, max_bytes)


def _bounded_record(key, value, rows, max_bytes):
    """Return the record of a value, without the checkpoints that don't fit.

    :param rows: the rows of the tasks in the value
    """
    record = Record(key, _dump(value))
    excess_bytes = record.size_bytes - max_bytes
    if excess_bytes <= 0:
        return record
    sized_rows = sorted(
        (
            (len(_dump(row[-1])), number, row)
            for number, row in enumerate(filter(None, rows))
        ),
        reverse=True,
    )
    for size_bytes, _, row in sized_rows:
        if excess_bytes <= 0:
            break
        row[-1] = ''
        excess_bytes -= size_bytes - len(_dump(''))
    return Record(key, _dump(value))


def job_of_progress(record):
    """Return the id of the job whose progress a record holds, or None."""
    kind, *names = record.key.split('/')
    return names[0] if kind == PROGRESS else None


def _progress_value(occurrence, rows, numbered_tasks, stamp):
    numbered_tasks = list(numbered_tasks)
    value = {'f': int(occurrence.job.is_failed), 't': rows}
    crashes = [
        [*occurrence.place(number), *_crash_fields(task)]
        for number, task in numbered_tasks
        if task.crash_count
    ]
    failed_runs = [
        [*occurrence.place(number), *task.failed_runs]
        for number, task in numbered_tasks
        if task.failed_runs
    ]
    # Earlier versions ignore further fields, but can't read longer rows.
    if crashes:
        value['c'] = crashes
    if failed_runs:
        value['r'] = failed_runs
    if stamp is not None:
        value['s'] = stamp
    return value


def _task_row(task):
    if not task.run:
        return []
    return [
        task.state.value, task.run, task.executor, task.failures,
        task.checkpoint,
    ]  # fmt: skip


def _crash_fields(task):
    return (
        round(task.crash_survival_s, 3),
        task.unconfirmed_crashes,
        task.started_run,
        *task.crashed_executors,
    )


def _dump(plain):
    # Checkpoints may hold any text: as UTF-8 a character takes four bytes at
    # most, and a surrogate on its own is read back as it was.
    text = json.dumps(plain, ensure_ascii=False, separators=(',', ':'))
    return text.encode('utf-8', 'surrogatepass')


def stamped_record(record, stamp):
    """Return a record of the owner that carries a stamp."""
    head = json.dumps(stamp, separators=(',', ':')).encode()
    return Record(record.key, b'{"s":%b,"v":%b}' % (head, record.value))


def decode_stamped(value, kind):
    """Return the stamp of a record, and the object that it encodes.

    :raises errors.InvalidRecord: if the value cannot be decoded
    """
    plain = decode(value, dict[str, typing.Any])
    try:
        return _stamp(plain['s']), _converter.structure(plain['v'], kind)
    except (*_DECODE_ERRORS, cattrs.BaseValidationError) as error:
        raise errors.InvalidRecord(
            f'cannot decode {value!r:.80}: {error!r}'
        ) from error


def _stamp(plain):
    epoch, number = plain
    return int(epoch), int(number)


def status_record(job_id, status):
    """Return the record of a job's status."""
    return Record(f'{STATUS}/{job_id}', _encode(status))


def status_deletion_record(job_id):
    """Return the record that deletes the status of a job."""
    return Record(f'{STATUS}/{job_id}')


def cancel_deletion_record(job_id):
    """Return the record that deletes the cancellation of a job."""
    return Record(f'{CANCEL}/{job_id}')


def spec_digest(spec):
    """Return a digest that tells different declared jobs apart."""
    return hashlib.blake2b(_encode(spec), digest_size=DIGEST_BYTES).hexdigest()


def ownership_record(ownership):
    """Return the record of a claim, a renewal or a release."""
    return Record(OWNER, _encode(ownership))


def offer_record(offer):
    """Return the record of an offer to take over."""
    return Record(OFFER, _encode(offer))


def load_record(report):
    """Return the record of an owner's load."""
    return Record(LOAD, _encode(report))


def daemon_record(name, daemon):
    """Return the record of where a daemon takes calls of others."""
    return Record(f'{DAEMON}/{name}', _encode(daemon))


def wave_record(number, progress):
    """Return the record of a wave's progress."""
    return Record(f'{WAVE}/{number}', _encode(progress))


def host_intents_record(intents):
    """Return the record of an owner's host intents."""
    return Record(HOSTS, _encode(intents))


def progress_keys(job):
    """Return the keys of all records that may hold progress of a job."""
    firsts = range(0, job.spec.tasks, TASKS_PER_RECORD)
    parts = [''] + [f'/{first}' for first in firsts if len(firsts) > 1]
    return [
        f'{PROGRESS}/{job.job_id}/{number}{part}'
        for number in job.occurrences
        for part in parts
    ]


def progress_deletion_records(job):
    """Return the records that delete the progress of a job."""
    return [Record(key) for key in progress_keys(job)]


def submission_deletion_records(job_id):
    """Return the records that delete what callers have stored of a job."""
    return [Record(f'{CANCEL}/{job_id}'), Record(f'{JOB}/{job_id}')]


def submission_partition(job_id, count):
    """Return the number of the partition that a job's submission belongs to.

    Each repeat lands in the same one, wherever it is sent.
    """
    return int.from_bytes(_digest(job_id)) % count


def _digest(text):
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def spare_submission_partitions(job_id, count, spares):
    """Return where a job's records go while its own partition is away.

    They differ from job to job, so that no pattern of partitions that are
    away together hits all jobs of one.

    :param count: number of partitions
    :param spares: how many others to return, at most
    :returns: their numbers, in the order to try them
    """
    own = submission_partition(job_id, count)
    others = [number for number in range(count) if number != own]
    others.sort(key=lambda number: _digest(f'{job_id}/{number}'))
    return others[:spares]


def decode(value, kind):
    """Return the object that a record value encodes.

    :raises errors.InvalidRecord: if the value cannot be decoded
    """
    try:
        return _converter.structure(json.loads(value), kind)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise errors.InvalidRecord(
            f'cannot decode {value!r:.80}: {error!r}'
        ) from error
    except cattrs.BaseValidationError as error:
        raise errors.InvalidRecord(
            f'cannot decode {value!r:.80}: {error!r}'
        ) from error


def restore_progress(value, occurrence, first=None):
    """Set tasks of an occurrence from a progress record.

    A record that is older than one that was applied changes nothing.

    :param first: number of the first task, over all steps; None for a record
        of all tasks
    :raises errors.InvalidRecord: if the record cannot be decoded
    """
    counts = [step.count for step in occurrence.job.spec.steps]
    try:
        plain = json.loads(value)
        is_failed = bool(plain['f'])
        stamp = _stamp(plain.get('s', NO_STAMP))
        rows = plain['t']
        if first is None:
            found = [len(step) for step in rows]
            if found != counts:
                raise ValueError(f'task counts {found} do not match the job')
            rows, first = list(itertools.chain.from_iterable(rows)), 0
        tasks = list(map(_decode_task, rows))
        first_tasks = occurrence.job.spec.first_tasks
        for step, index, *fields in plain.get('c', ()):
            number = first_tasks[int(step)] + int(index)
            _restore_crashes(tasks[number - first], *fields)
        for step, index, *runs in plain.get('r', ()):
            number = first_tasks[int(step)] + int(index)
            tasks[number - first].failed_runs = tuple(map(int, runs))
        if not 0 <= first <= sum(counts) - len(tasks):
            raise ValueError(f'{len(tasks)} tasks from number {first}')
    except _DECODE_ERRORS as error:
        raise errors.InvalidRecord(
            f'cannot decode {value!r:.80}: {error!r}'
        ) from error
    for begin in range(0, len(tasks), TASKS_PER_RECORD):
        part = tasks[begin : begin + TASKS_PER_RECORD]
        if stamp >= occurrence.stamps.get(first + begin, NO_STAMP):
            occurrence.stamps[first + begin] = stamp
            occurrence.restore(first + begin, part)
    occurrence.job.is_failed |= is_failed


def _decode_task(row):
    if not row:
        return jobs.Task()
    state, run, executor, failures, checkpoint = row
    # Earlier versions don't tell which runs have failed. The first ones stand
    # for them: a task fails once a run at most, so that the runs that its gang
    # has failed in are not taken for more than they are.
    count = min(int(failures), int(run), MAX_TOLD_FAILURES)
    failed_runs = tuple(range(1, count + 1))
    return jobs.Task(
        jobs.TaskState(state), int(run), str(executor), failed_runs,
        str(checkpoint),
    )  # fmt: skip


def _restore_crashes(
    task, survival_s, unconfirmed, started_run, *executor_ids
):
    task.crashed_executors = tuple(map(str, executor_ids))
    task.unconfirmed_crashes = max(0, int(unconfirmed))
    task.started_run = int(started_run)
    task.crash_survival_s = max(0.0, float(survival_s))


def _encode(value):
    plain = _converter.unstructure(value)
    return json.dumps(plain, separators=(',', ':')).encode()
