"""The records that keep jobs in the store, one key each.

====================  =======================================  ==============
key                   value                                    written by
====================  =======================================  ==============
``job/ID``            the submission                           any daemon
``cancel/ID``         that the job was cancelled               any daemon
``progress/ID/K``     the tasks of one occurrence              the owner
``owner``             who owns the partition                   a claimant
``wave/N``            hosts that a wave has done               the owner
``hosts``             hosts it has ordered about, or is to     the owner
====================  =======================================  ==============

An empty value drops a key.
"""

import json

import attrs
import cattrs

from hawthorndeal_fleet import errors

from . import jobs
from . import specs

JOB = 'job'
CANCEL = 'cancel'
PROGRESS = 'progress'
OWNER = 'owner'
WAVE = 'wave'
HOSTS = 'hosts'

_converter = cattrs.Converter(omit_if_default=True)


@attrs.frozen
class Record:
    """Carry one keyed record; an empty value drops the key."""

    key: str
    value: bytes = b''


@attrs.frozen
class Submission:
    """Hold a job as it was accepted."""

    queue: str
    pool: str
    accepted_s: float
    spec: specs.JobSpec


@attrs.frozen
class Ownership:
    """Tell who owns a partition.

    :ivar epoch: rises with each claim; fences writes and orders
    :ivar daemon: the owner
    :ivar is_released: whether the owner has given it up in good order
    """

    epoch: int
    daemon: str
    is_released: bool = False


@attrs.frozen
class WaveRecord:
    """Hold the hosts of a wave that have begun their maintenance.

    :ivar seen_s: when the wave was first seen, since the epoch
    """

    begun: list[str]
    seen_s: float = 0.0
    is_completed: bool = False


def submission_record(job_id, submission):
    """Return the record of an accepted job."""
    return Record(f'{JOB}/{job_id}', _encode(submission))


def cancel_record(job_id):
    """Return the record of a cancelled job."""
    return Record(f'{CANCEL}/{job_id}', b'{}')


def progress_record(occurrence):
    """Return the record of an occurrence's tasks."""
    tasks = [
        [
            [t.state.value, t.run, t.executor, t.failures, t.checkpoint]
            if t.run
            else []
            for t in step
        ]
        for step in occurrence.tasks
    ]
    value = {'f': int(occurrence.job.is_failed), 't': tasks}
    key = f'{PROGRESS}/{occurrence.job.job_id}/{occurrence.number}'
    return Record(key, json.dumps(value, separators=(',', ':')).encode())


def ownership_record(ownership):
    """Return the record of a claim, a renewal or a release."""
    return Record(OWNER, _encode(ownership))


def wave_record(number, progress):
    """Return the record of a wave's progress."""
    return Record(f'{WAVE}/{number}', _encode(progress))


def host_intents_record(intents):
    """Return the record of the hosts that an owner orders about."""
    return Record(HOSTS, _encode(intents))


def dropped_records(job):
    """Return the records that drop everything of a job."""
    keys = [f'{PROGRESS}/{job.job_id}/{k}' for k in job.occurrences]
    keys += [f'{CANCEL}/{job.job_id}', f'{JOB}/{job.job_id}']
    return [Record(key) for key in keys]


def decode(value, kind):
    """Return a value of a record as an object.

    :raises errors.InvalidRecord: when it can't be read
    """
    try:
        return _converter.structure(json.loads(value), kind)
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise errors.InvalidRecord(f'{value!r:.80}: {error!r}') from error
    except cattrs.BaseValidationError as error:
        raise errors.InvalidRecord(f'{value!r:.80}: {error!r}') from error


def restore_progress(value, occurrence):
    """Put the tasks of a progress record into an occurrence.

    :raises errors.InvalidRecord: when the record can't be read
    """
    try:
        plain = json.loads(value)
        tasks = [[_decode_task(row) for row in step] for step in plain['t']]
        is_failed = bool(plain['f'])
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise errors.InvalidRecord(f'{value!r:.80}: {error!r}') from error
    counts = [len(step) for step in tasks]
    if counts != [step.count for step in occurrence.job.spec.steps]:
        raise errors.InvalidRecord(f'steps of {counts} tasks do not match')
    occurrence.tasks = tasks
    occurrence.done_counts = [
        sum(task.state is jobs.TaskState.DONE for task in step)
        for step in tasks
    ]
    occurrence.job.is_failed |= is_failed


def _decode_task(row):
    if not row:
        return jobs.Task()
    state, run, executor, failures, checkpoint = row
    return jobs.Task(
        jobs.TaskState(state), int(run), str(executor), int(failures),
        str(checkpoint),
    )  # fmt: skip


def _encode(value):
    plain = _converter.unstructure(value)
    return json.dumps(plain, separators=(',', ':')).encode()
