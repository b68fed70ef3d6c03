"""What a daemon does next about jobs and their tasks."""

import attrs

from . import placement


@attrs.frozen
class Act:
    """Be the root of what a daemon does next."""


@attrs.frozen
class Place(Act):
    """Have jobs make room, append the placement, start the task."""

    choice: placement.Choice


@attrs.frozen
class Blocked(Act):
    """Remember that no queued job of a pool could be placed.

    :ivar changes: how often its jobs had changed
    """

    pool: str
    changes: int


@attrs.frozen
class JobAct(Act):
    """Be the root of what is done about one placed job."""

    job_id: str


@attrs.frozen
class Start(JobAct):
    """Start the task, unless its worker runs it already."""


@attrs.frozen
class Stop(JobAct):
    """Stop the task of a cancelled job, or see that none starts."""


@attrs.frozen
class Checkpoint(JobAct):
    """Checkpoint the task, so that the job can go on elsewhere."""


@attrs.frozen
class Resume(JobAct):
    """Let a throttled task run in full again."""


@attrs.frozen
class Abandon(JobAct):
    """Append that the lease is not renewed any more."""


@attrs.frozen
class Lapse(JobAct):
    """Append that the lease has surely ended."""


@attrs.frozen
class Refuse(JobAct):
    """Append that a queued job can not run any more."""


@attrs.frozen
class Probe(Act):
    """Ask a host that may be lost what has become of its tasks."""

    host: str


@attrs.frozen
class Renew(Act):
    """Renew the leases of tasks on a host.

    :ivar until_s: end of each lease, by token
    """

    host: str
    until_s: dict[int, float]


@attrs.frozen
class Take(Act):
    """Append that a lost daemon's jobs in a pool are taken."""

    pool: str
    lost: str


@attrs.frozen
class RenewHolder(Act):
    """Append that this daemon is there."""
