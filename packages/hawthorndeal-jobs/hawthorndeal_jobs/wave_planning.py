"""Decide which hosts of a wave start maintenance, so that it ends in time."""

import collections
import itertools
import math

import attrs

from . import journal

# A host that has been draining for this long has tasks that can't leave it.
MAX_DRAINING_S = 8.0
# Share of a wave's duration within which all hosts should have started.
START_SHARE = 0.55


@attrs.frozen
class WaveHost:
    """A host whose maintenance in a wave has not started.

    :ivar runs: number of runs on it
    :ivar is_draining: whether it already gets no new tasks
    :ivar is_up: whether its maintenance may start
    :ivar is_stuck: whether it has been draining for long; others are drained
        beside it
    """

    host: str
    runs: int
    is_draining: bool
    is_up: bool = True
    is_stuck: bool = False


@attrs.frozen
class WaveProgress:
    """The progress of a wave.

    :ivar elapsed_s: time since the wave was first seen
    :ivar down: number of hosts in maintenance now
    :ivar begun: number of hosts whose maintenance has started
    """

    total: int
    begun: int
    down: int
    max_count: int
    duration_s: float
    elapsed_s: float


@attrs.frozen
class WavePlan:
    """The next actions for a wave.

    :ivar begin: hosts whose maintenance starts now
    :ivar empty: hosts to drain
    """

    begin: list[str]
    empty: list[str]


def plan_wave(progress, pending_hosts):
    """Return the next actions for a wave.

    Idle hosts start at once. If the wave is behind schedule, busy hosts are
    drained, starting with those that have the fewest tasks.
    """
    slots = progress.max_count - progress.down
    up = sorted(
        (host for host in pending_hosts if host.is_up),
        key=lambda host: (host.runs, not host.is_draining, host.host),
    )
    begin = [host.host for host in up if not host.runs][: max(0, slots)]
    draining = sum(
        host.is_draining and not host.is_stuck for host in pending_hosts
    )
    behind = _hosts_behind_schedule(progress) - len(begin)
    drain_count = max(0, min(behind, slots - len(begin)) - draining)
    empty = [h.host for h in up if h.runs and not h.is_draining][:drain_count]
    return WavePlan(begin, empty)


def _hosts_behind_schedule(progress):
    start_s = progress.duration_s * START_SHARE
    planned = progress.total
    if progress.elapsed_s < start_s:
        planned = int(progress.total * progress.elapsed_s / start_s) + 1
    return min(progress.total, planned) - progress.begun


def may_stop_lasting(others_at_work, others, max_unavailable):
    """Return True if a long-running task of a step may be stopped now.

    :param others_at_work: number of other tasks of the step that are serving
    :param others: number of other tasks of the step
    :param max_unavailable: number of tasks that may be unavailable at once;
        None for no limit
    """
    if max_unavailable is None:
        return True
    return others - others_at_work < max_unavailable


@attrs.frozen
class BlockedTask:
    """A long-running task on a due host that no other executor has room for.

    :ivar step_key: identifies its step
    :ivar max_per_executor: limit on tasks of the step per executor; 0 for none
    :ivar max_unavailable: number of tasks of the step that may be away at
        once; None for no limit
    """

    step_key: tuple
    max_per_executor: int
    max_unavailable: int | None


def hosts_for_blocked(tasks):
    """Return how many more hosts blocked tasks of one pool can use now.

    Steps share hosts, and few tasks of a step can move at once.

    :param tasks: all :class:`BlockedTask` of the pool
    """
    by_step = collections.Counter(tasks)
    return max(itertools.starmap(_hosts_for_step, by_step.items()), default=0)


def _hosts_for_step(task, count):
    movable = count
    if task.max_unavailable is not None:
        movable = min(count, task.max_unavailable)
    return math.ceil(movable / (task.max_per_executor or movable or 1))


def merge(one, other):
    """Return what two records tell of the progress of one wave."""
    return journal.WaveRecord(
        list(dict.fromkeys([*one.begun, *other.begun])),
        min(one.seen_s, other.seen_s),
        one.is_completed or other.is_completed,
    )


def is_completed(wave, begun, gone):
    """Return True if every existing host of a wave has started maintenance.

    :param gone: hosts that no longer exist
    """
    return all(host in begun or host in gone for host in wave.hosts)
