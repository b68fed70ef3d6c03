"""Decide how the log is begun anew after it lost its end.

Records of an epoch stand on a stream of their own. Offsets go on counting
where the last epoch stopped, so that they never fall.
"""

import attrs


@attrs.frozen
class Standing:
    """Tell how far a daemon is, for choosing who begins an epoch."""

    epoch: int
    next_offset: int
    incarnation: str
    is_log_behind: bool


def restart(body, state, offset):
    """Take note of the record that begins the epoch in force."""
    if body.epoch != state.epoch or body.next_offset != state.epoch_offset:
        return (
            f'epoch {body.epoch} before offset {body.next_offset}; in force '
            f'is {state.epoch} before {state.epoch_offset}'
        )
    return None


def advanced(state, epoch):
    """Return the state as it stands at the beginning of a new epoch."""
    return attrs.evolve(state, epoch=epoch, epoch_offset=state.next_offset)


def is_majority(others, members):
    """Tell whether a daemon and those it hears are more than half.

    Two groups that don't hear each other can't both be.

    :param others: standings of the members heard lately
    :param members: number of members
    """
    return 2 * (1 + len(others)) > members


def may_begin(mine, others, members):
    """Tell whether a daemon may begin a new epoch.

    More than half must be heard, all of them must find the log's end lost,
    and nobody heard may know more, so that nobody has to go back.

    :param mine: the daemon's own standing
    :param others: standings of the members heard lately
    :param members: number of members
    """
    rank = mine.next_offset, mine.incarnation
    return (
        mine.is_log_behind
        and is_majority(others, members)
        and all(
            other.epoch == mine.epoch
            and other.is_log_behind
            and (other.next_offset, other.incarnation) <= rank
            for other in others
        )
    )


def is_abandoned(begun, mine, others, members):
    """Tell whether an epoch was begun but taken up by nobody.

    That happens where the log's end comes back in the same moment.

    :param begun: the record that began it
    """
    return (
        begun.next_offset < mine.next_offset
        and is_majority(others, members)
        and all(other.epoch < begun.epoch for other in others)
    )
