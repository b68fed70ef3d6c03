"""Decide which hosts begin their maintenance; answers waves in time."""

import attrs

# Part of a wave's time after which all its hosts should have begun.
START_SHARE = 0.55


@attrs.frozen
class DueHost:
    """Hold a host that a wave has yet to maintain.

    :ivar runs: tasks on it
    :ivar is_emptying: whether it gets no new tasks already
    """

    host: str
    runs: int
    is_draining: bool
    is_up: bool = True


@attrs.frozen
class WaveProgress:
    """Hold how far a wave is.

    :ivar elapsed_s: time since it was first seen
    :ivar down: hosts that are down for it now
    :ivar begun: hosts that have begun their maintenance
    """

    total: int
    begun: int
    down: int
    max_count: int
    duration_s: float
    elapsed_s: float


@attrs.frozen
class WavePlan:
    """Hold what to do for a wave now.

    :ivar begin: hosts to take down now
    :ivar empty: hosts to give no new tasks
    """

    begin: list[str]
    empty: list[str]


def plan_wave(progress, pending_hosts):
    """Return what to do for a wave now.

    Idle hosts go at once. Hosts at work are emptied when the wave is behind
    its plan, those with the fewest tasks first.
    """
    slots = progress.max_count - progress.down
    up = sorted(
        (host for host in pending_hosts if host.is_up),
        key=lambda host: (host.runs, not host.is_draining, host.host),
    )
    begin = [host.host for host in up if not host.runs][: max(0, slots)]
    draining = sum(host.is_draining for host in pending_hosts)
    behind = _hosts_behind_schedule(progress) - len(begin)
    drain_count = max(0, min(behind, slots - len(begin)) - draining)
    empty = [h.host for h in up if h.runs and not h.is_draining][:drain_count]
    return WavePlan(begin, empty)


def _hosts_behind_schedule(progress):
    share = progress.elapsed_s / (progress.duration_s * START_SHARE)
    planned = min(progress.total, int(progress.total * share) + 1)
    return planned - progress.begun


def may_end_lasting(others_at_work, others, max_unavailable):
    """Tell whether one lasting task of a step may be ended now.

    :param others_at_work: other tasks of the step that are at work
    :param others: other tasks of the step
    :param max_unavailable: tasks that may be away; None for any number
    """
    if max_unavailable is None:
        return True
    return others - others_at_work < max_unavailable


def is_completed(wave, begun, gone):
    """Tell whether every host of a wave that stays has begun.

    :param gone: hosts that are no more
    """
    return all(host in begun or host in gone for host in wave.hosts)
