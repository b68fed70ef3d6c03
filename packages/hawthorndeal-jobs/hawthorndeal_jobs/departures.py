"""How executors end, as far as it is known.

An executor that is only silent or cut off has not ended, and one whose entry
is missing may be cut off from the store. Neither counts as crashed.
"""

import enum


class Departure(enum.Enum):
    """What showed that an executor has ended."""

    MOVED = 'its host was moved'
    MAINTAINED = 'maintenance of its host began'
    REPLACED = 'its host runs a newer executor'
    REBORN = 'another incarnation has begun under its id'
    ADDRESS_TAKEN = 'another executor answers at its address'
    UNLISTED = 'not on any listed host'
    EXPIRED = 'its entry was removed and its leases have expired'


class DepartureKind(enum.Enum):
    """Whether an executor was expected to end."""

    PLANNED = 'planned'
    CRASHED = 'crashed'
    # Its runs have certainly ended, but it may only be cut off.
    SILENT = 'silent'


def kind_of(executor, departure):
    """Return whether an executor that has ended was expected to.

    :rtype: DepartureKind
    """
    if departure in (Departure.MOVED, Departure.MAINTAINED):
        return DepartureKind.PLANNED
    # The answer to a host order may have been lost.
    ended = executor.last_reached
    if ended.is_leaving or ended.is_ordered_away:
        return DepartureKind.PLANNED
    if departure is Departure.EXPIRED:
        return DepartureKind.SILENT
    return DepartureKind.CRASHED
