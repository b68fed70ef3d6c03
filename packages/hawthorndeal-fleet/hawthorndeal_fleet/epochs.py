"""Decide when and by whom the log is restarted after it lost its tail.

Each epoch has a stream of its own. Offsets continue from the end of the
previous epoch, so that they never decrease.
"""

import attrs


@attrs.frozen
class Candidate:
    """Log position of a daemon, compared to elect who begins an epoch."""

    epoch: int
    next_offset: int
    incarnation: str
    is_log_behind: bool


def check_restart(body, state, offset):
    """Accept the record that begins the epoch in force, and no other."""
    if body.epoch != state.epoch or body.next_offset != state.epoch_offset:
        return (
            f'epoch {body.epoch} before offset {body.next_offset}; in force '
            f'is {state.epoch} before {state.epoch_offset}'
        )
    return None


def with_epoch(state, epoch):
    """Return the state at the beginning of a new epoch."""
    return attrs.evolve(state, epoch=epoch, epoch_offset=state.next_offset)


def has_majority(others, members):
    """Return whether a daemon and the members it hears from are a majority.

    Of two groups that don't hear from each other, at most one is.

    :param others: candidates of the members heard from recently
    :param members: number of members
    """
    return 2 * (1 + len(others)) > members


def may_begin_epoch(mine, others, members):
    """Return whether a daemon may begin a new epoch.

    It must hear from a majority, all of which find the tail of the log lost,
    and none of them may have a later offset, so that no state is rolled back.

    :param mine: the daemon's own candidate
    :param others: candidates of the members heard from recently
    :param members: number of members
    """
    rank = mine.next_offset, mine.incarnation
    return (
        mine.is_log_behind
        and has_majority(others, members)
        and all(
            other.epoch == mine.epoch
            and other.is_log_behind
            and (other.next_offset, other.incarnation) <= rank
            for other in others
        )
    )


def is_abandoned(begun, mine, others, members):
    """Return whether an epoch was begun but adopted by no member.

    This happens if the lost tail of the log reappears at the same moment.

    :param begun: the :class:`records.LogRestarted` that began the epoch
    """
    return (
        begun.next_offset < mine.next_offset
        and has_majority(others, members)
        and all(other.epoch < begun.epoch for other in others)
    )
