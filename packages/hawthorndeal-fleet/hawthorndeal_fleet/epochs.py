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


def advanced(state):
    """Return the state as it stands at the beginning of a new epoch."""
    return attrs.evolve(
        state, epoch=state.epoch + 1, epoch_offset=state.next_offset
    )


def may_begin(mine, others):
    """Tell whether a daemon may begin a new epoch.

    All that are heard must find the log's end lost, and nobody heard may
    know more, so that nobody has to go back.

    :param mine: the daemon's own standing
    :param others: standings of the daemons heard lately
    """
    rank = mine.next_offset, mine.incarnation
    return mine.is_log_behind and all(
        other.epoch == mine.epoch
        and other.is_log_behind
        and (other.next_offset, other.incarnation) <= rank
        for other in others
    )
