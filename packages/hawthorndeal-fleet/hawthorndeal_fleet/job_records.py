"""The records that ask about jobs: submit, place, step, end, cancel.

A lease token is the offset of the placement that was accepted, so a record
about an older placement of a job never matches a newer one.
"""

import enum

import attrs
from attrs import validators


class JobUrgency(enum.Enum):
    """Name how soon a job has to start."""

    URGENT = 'urgent'
    LONG = 'long'


class JobStep(enum.Enum):
    """Name what happened to a placed job that has not ended.

    A job returned, checkpointed or lapsed waits for a new placement. The
    lease of an abandoned job is not renewed any more.
    """

    RUNNING = 'running'
    THROTTLED = 'throttled'
    RETURNED = 'returned'
    CHECKPOINTED = 'checkpointed'
    ABANDONED = 'abandoned'
    LAPSED = 'lapsed'


class JobOutcome(enum.Enum):
    """Name how a job ended."""

    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'


class JobRefusal(enum.Enum):
    """Name why a job can not run."""

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
    """Describe the most that a task used, as its worker reported.

    Zero where the worker reported nothing.
    """

    cpu_cores: float = 0.0
    memory_bytes: int = 0


@attrs.frozen
class JobSubmitted:
    """Ask for a job to be run once it can be placed.

    :ivar run_s: how long it is declared to run
    :ivar submitted_s: the caller's time of asking, since the epoch
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
    """Ask for capacity of a host for a queued job.

    :ivar queued_offset: offset of the record that queued the job last
    """

    job_id: str
    host: str
    holder: str
    queued_offset: int


@attrs.frozen
class JobStepped:
    """Tell what a placed job does now.

    :ivar lease: the lease token
    :ivar progress_s: run time that a checkpoint has kept
    :ivar seen_offset: what the writer had folded when it decided so
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
    """Tell how a job ended; the lease is negative for a queued job."""

    job_id: str
    lease: int
    outcome: JobOutcome
    holder: str
    detail: str = ''
    usage: JobUsage = attrs.Factory(JobUsage)


@attrs.frozen
class JobCancelled:
    """Ask for a job to end, or not to start at all."""

    job_id: str
    workspace: str


@attrs.frozen
class HolderRenewed:
    """Tell that a daemon still cares for the jobs that it placed."""

    holder: str


@attrs.frozen
class JobsTaken:
    """Ask to care for a lost daemon's jobs in a pool."""

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
