"""The actions that a daemon takes on jobs and their tasks."""

import attrs

from . import placement


@attrs.frozen
class Action:
    """Base class of all actions."""


@attrs.frozen
class Place(Action):
    """Preempt other jobs, append the placement and start the task."""

    choice: placement.Choice


@attrs.frozen
class Blocked(Action):
    """Skip a pool until its jobs change, as none of them can be placed.

    :ivar changes: the pool's change count when this was decided
    """

    pool: str
    changes: int


@attrs.frozen
class JobAction(Action):
    """Base class of actions on a single job."""

    job_id: str


@attrs.frozen
class Start(JobAction):
    """Start the task, unless its worker already runs it."""


@attrs.frozen
class Stop(JobAction):
    """Stop the task of a cancelled job, or prevent it from starting."""


@attrs.frozen
class Checkpoint(JobAction):
    """Checkpoint the task, so that the job can resume on another host."""


@attrs.frozen
class Resume(JobAction):
    """Remove the throttling of a task."""


@attrs.frozen
class Abandon(JobAction):
    """Append that the lease is no longer renewed."""


@attrs.frozen
class Lapse(JobAction):
    """Append that the lease has expired, allowing for clock skew."""


@attrs.frozen
class Refuse(JobAction):
    """Append that a queued job can no longer run on this fleet."""


@attrs.frozen
class Probe(Action):
    """Read the status of all tasks on a host that may be lost."""

    host: str


@attrs.frozen
class Renew(Action):
    """Renew the leases of tasks on a host.

    :ivar until_s: end of each lease, by token
    """

    host: str
    until_s: dict[int, float]


@attrs.frozen
class TakeOver(Action):
    """Append that this daemon takes over a lost one's jobs in a pool."""

    pool: str
    lost: str


@attrs.frozen
class RenewHolder(Action):
    """Append that this daemon still holds its jobs."""
