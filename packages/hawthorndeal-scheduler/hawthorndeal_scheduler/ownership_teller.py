"""Tells other daemons of an ownership, and of what its owner has read."""

import itertools

import attrs

from hawthorndeal_jobs import journal

from . import offerer

# A partition of the submissions that wasn't read for longer is published as
# unread. A read waits up to half a second for records, and a slow store takes
# more.
MAX_UNREAD_S = 2.0


class OwnershipTeller:
    """Makes the records of one ownership.

    :param parts: shared components of the daemon
    :param epoch: epoch of the ownership
    :param status_writer: a :class:`spread_writer.SpreadWriter`
    """

    def __init__(self, parts, epoch, status_writer):
        self._parts = parts
        self._epoch = epoch
        self._status_writer = status_writer
        self._numbers = itertools.count(1)

    def ownership(self, is_at_work):
        """Return what the ownership is now.

        :param is_at_work: whether all that predecessors stored was read
        :rtype: journal.Ownership
        """
        settings = self._parts.settings
        ownership = journal.Ownership(
            self._epoch,
            settings.daemon,
            strength=offerer.strength(settings),
            submission_partitions=len(self._parts.submission_partitions),
        )
        if not is_at_work:
            return ownership
        return self._with_coverage(ownership)

    def _with_coverage(self, ownership):
        parts = self._parts
        jobs, *submissions = [f.next_offset for f in parts.jobs_followers]
        reader, now_s = parts.jobs_reader, parts.clock.monotonic_s()
        unread = set(reader.unread_sources(now_s - MAX_UNREAD_S))
        homes = [home.name for home in parts.homes]
        read = [home for home in homes if home not in unread]
        delay_s = now_s - reader.read_s(read or homes)
        has_spares = len(parts.status_partitions) > 1
        return attrs.evolve(
            ownership,
            number=next(self._numbers),
            status_ends=self._status_writer.ends if has_spares else (),
            covered_offset=jobs,
            covered_offsets=tuple(submissions),
            delay_s=round(max(0.0, delay_s), 2),
            unread_partitions=tuple(
                partition.number
                for partition in parts.submission_partitions
                if partition.name in unread
            ),
        )
