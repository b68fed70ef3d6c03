"""Reads submissions that the owner has not read yet."""

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import journal

# An owner that is further behind may be so for long.
MAX_RECORDS = 4000


class TooManyRecords(errors.PlatformError):
    """Raised when the owner has too many records left to read."""

    reason = 'too_many_records'


async def read_submissions(log, partition, offset):
    """Return the submissions of a partition, as values by job id.

    :param log: a :class:`keyed_log.KeyedLog`
    :param offset: where to begin
    :raises errors.PlatformError: if they can't be read up to the end
    """
    found = {}
    first = offset
    while True:
        page = await log.read(partition, offset, 0.0)
        for record in page.records:
            kind, _, job_id = record.key.partition('/')
            if kind == journal.JOB and record.value:
                found.setdefault(job_id, record.value)
        offset = page.next_offset
        if offset >= page.end:
            return found
        if offset - first > MAX_RECORDS:
            raise TooManyRecords(f'{page.end - first} records of {partition}')
