"""The tasks that workers run for jobs, as the platform tells of them."""

import enum

import attrs

from . import job_records


class TaskState(enum.Enum):
    """Name where a task stands at its worker.

    A task that is neither running nor throttled never runs again under its
    token.
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
    """Describe a task.

    :ivar token: the lease token that it runs under
    :ivar usage: the most that it used, as known so far
    :ivar progress_s: run time that its checkpoint keeps
    """

    token: int
    state: TaskState
    usage: job_records.JobUsage = attrs.Factory(job_records.JobUsage)
    progress_s: float = 0.0
    detail: str = ''


@attrs.frozen
class TaskOrder:
    """Describe a task to be started.

    :ivar until_s: end of its lease, since the epoch
    :ivar is_resumed: whether it goes on from the job's checkpoint
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
    """Tell that a task changed; it comes with a lag."""

    job_id: str
    host: str
    status: TaskStatus


@attrs.frozen
class ReportPage:
    """Carry reports read at once.

    :ivar cursor: where to read on
    """

    reports: tuple[TaskReport, ...]
    cursor: int
