"""The records about jobs: submit, place, step, end, cancel.

The lease token is the offset of the accepted placement, so a record about an
earlier placement of a job never matches a later one.
"""

import enum

import attrs
from attrs import validators


class JobUrgency(enum.Enum):
    """How soon a job has to start."""

    URGENT = 'urgent'
    LONG = 'long'


class JobStep(enum.Enum):
    """Change in a placed job that has not ended.

    A returned, checkpointed or lapsed job is queued for a new placement. The
    lease of an abandoned job is no longer renewed.
    """

    RUNNING = 'running'
    THROTTLED = 'throttled'
    RETURNED = 'returned'
    CHECKPOINTED = 'checkpointed'
    ABANDONED = 'abandoned'
    LAPSED = 'lapsed'


class JobOutcome(enum.Enum):
    """How a job ended."""

    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'


class JobRefusal(enum.Enum):
    """Reason why a job can't run."""

    BAD_SIZE = 'bad_size'
    UNKNOWN_POOL = 'unknown_pool'
    UNKNOWN_WORKSPACE = 'unknown_workspace'
    TOO_LARGE = 'too_large'
    OVER_QUOTA = 'over_quota'
    TOO_OLD = 'too_old'
    TOO_MANY = 'too_many'
    NONE = 'none'


@attrs.frozen
class JobUsage:
    """Describe the peak usage of a task, as reported by its worker.

    Values are zero if the worker reported nothing.
    """

    cpu_cores: float = 0.0
    memory_bytes: int = 0


@attrs.frozen
class JobSubmitted:
    """Submit a job to be run once it can be placed.

    :ivar run_s: declared run time
    :ivar submitted_s: time of submission by the caller's clock, in seconds
        since the epoch
    """

    job_id: str
    workspace: str
    pool: str
    cpu_cores: float
    memory_bytes: int
    submitted_s: float
    accelerators: int = attrs.field(default=0, validator=validators.ge(0))
    run_s: float = attrs.field(default=60.0, validator=validators.gt(0))
    urgency: JobUrgency = JobUrgency.LONG
    is_checkpointable: bool = False


@attrs.frozen
class JobPlaced:
    """Request capacity of a host for a queued job.

    :ivar queued_offset: offset of the record that last queued the job
    """

    job_id: str
    host: str
    holder: str
    queued_offset: int


@attrs.frozen
class JobStepped:
    """Report a change in a placed job.

    :ivar lease: the lease token
    :ivar progress_s: run time that a checkpoint preserves
    :ivar seen_offset: offset up to which the writer had folded the log when
        it decided on the step
    """

    job_id: str
    lease: int
    step: JobStep
    holder: str
    progress_s: float = 0.0
    seen_offset: int = 0
    usage: JobUsage = attrs.Factory(JobUsage)


@attrs.frozen
class JobEnded:
    """Report how a job ended; the lease is negative for a queued job."""

    job_id: str
    lease: int
    outcome: JobOutcome
    holder: str
    detail: str = ''
    usage: JobUsage = attrs.Factory(JobUsage)


@attrs.frozen
class JobCancelled:
    """Cancel a queued or placed job."""

    job_id: str
    workspace: str


@attrs.frozen
class HolderRenewed:
    """Report that a daemon still manages the jobs that it holds."""

    holder: str


@attrs.frozen
class JobsTaken:
    """Request to take over a lost daemon's jobs in a pool."""

    pool: str
    lost: str
    holder: str


Body = (
    JobSubmitted
    | JobPlaced
    | JobStepped
    | JobEnded
    | JobCancelled
    | HolderRenewed
    | JobsTaken
)
