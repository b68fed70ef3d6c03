"""The tasks that workers run for jobs, as reported by the platform."""

import enum

import attrs

from . import job_records


class TaskState(enum.Enum):
    """State of a task at its worker.

    A task that is neither running nor throttled never runs again under the
    same token.
    """

    RUNNING = 'running'
    THROTTLED = 'throttled'
    CHECKPOINTED = 'checkpointed'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    REFUSED = 'refused'


LIVE = (TaskState.RUNNING, TaskState.THROTTLED)


@attrs.frozen
class TaskStatus:
    """Describe the status of a task.

    :ivar token: the lease token that it runs under
    :ivar usage: its peak usage so far
    :ivar progress_s: run time that its checkpoint preserves
    """

    token: int
    state: TaskState
    usage: job_records.JobUsage = attrs.Factory(job_records.JobUsage)
    progress_s: float = 0.0
    detail: str = ''


@attrs.frozen
class TaskOrder:
    """Describe a task to be started.

    :ivar until_s: end of its lease, in seconds since the epoch
    :ivar is_resumed: whether it resumes from the job's checkpoint
    """

    token: int
    job_id: str
    cpu_millicores: int
    memory_bytes: int
    accelerators: int
    until_s: float
    is_resumed: bool = False


@attrs.frozen
class TaskReport:
    """Report that a task changed; delivered with a delay."""

    job_id: str
    host: str
    status: TaskStatus


@attrs.frozen
class ReportPage:
    """A page of reports.

    :ivar cursor: position from which to read the next page
    """

    reports: tuple[TaskReport, ...]
    cursor: int
