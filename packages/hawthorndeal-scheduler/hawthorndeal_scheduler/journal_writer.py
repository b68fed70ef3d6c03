"""Appends the owner's records to the log, exactly once and in order."""

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_platform import keyed_log

RETRY_S = 0.05
MAX_RETRY_S = 0.5
# A batch crosses a link of 5 Mbit/s in a fraction of the append's timeout.
MAX_BATCH_BYTES = 65536


class JournalWriter:
    """Appends under one epoch; the store drops duplicates of an append.

    :param log: a :class:`keyed_log.KeyedLog`
    :param partition: partition to append to
    :param term: ownership term of this owner; marked lost if the store
        fences it
    :param clock: clocks of the daemon
    :param rng: source of the jitter between retries
    :param refused: a :class:`refused_records.RefusedRecords`
    :param max_record_bytes: size of the largest record that the store takes
    :param confirms_term: whether its appends confirm the ownership
    :ivar end: offset after the last record that it has appended
    """

    def __init__(
        self,
        log,
        partition,
        term,
        clock,
        rng,
        refused,
        max_record_bytes,
        confirms_term=False,
    ):
        self._log = log
        self._partition = partition
        self._term = term
        self._clock = clock
        self._rng = rng
        self._refused = refused
        self._max_record_bytes = max_record_bytes
        self._confirms_term = confirms_term
        self._fence = keyed_log.AppendFence(term.epoch, 0)
        self.end = 0

    async def append(self, records):
        """Append records, retrying until the store has decided on each.

        :returns: the records that it will never take; all others are stored
        :raises keyed_log.Fenced: if a newer owner has taken over
        """
        refused = [r for r in records if self._is_too_large(r)]
        for record in refused:
            self._refused.note(
                self._partition,
                record,
                f'larger than {self._max_record_bytes} bytes',
            )
        storable = [r for r in records if not self._is_too_large(r)]
        for batch in _split_batches(storable):
            refused += await self._append_apart(batch)
        return refused

    def _is_too_large(self, record):
        return record.size_bytes > self._max_record_bytes

    async def _append_apart(self, batch):
        """Append a batch; return what the store refuses of it.

        One refused record keeps no others from being stored.
        """
        try:
            await self._append_batch(batch)
        except keyed_log.RecordsRefused as error:
            if len(batch) == 1:
                self._refused.note(self._partition, batch[0], str(error))
                return batch
        else:
            return []
        half = len(batch) // 2
        return [
            *await self._append_apart(batch[:half]),
            *await self._append_apart(batch[half:]),
        ]

    async def _append_batch(self, batch):
        # A refused append has used no sequence number.
        fence = attrs.evolve(self._fence, sequence=self._fence.sequence + 1)
        retry_s = RETRY_S
        while True:
            if self._term.is_lost:
                raise keyed_log.Fenced('the ownership was lost')
            sent_s = self._clock.boot_s()
            try:
                offset = await self._log.append(self._partition, batch, fence)
            except keyed_log.Fenced:
                self._term.is_lost = True
                raise
            except keyed_log.RecordsRefused:
                raise
            except errors.PlatformError:
                # The store accepts each sequence number at most once.
                await self._log.reachability.pause(
                    retry_s * self._rng.uniform(0.5, 1.0)
                )
                retry_s = min(MAX_RETRY_S, retry_s * 2)
            else:
                self._fence = fence
                self.end = offset + len(batch)
                if self._confirms_term:
                    self._term.confirmed_s = max(
                        sent_s, self._term.confirmed_s
                    )
                return


def _split_batches(records):
    batch, size = [], 0
    for record in records:
        if batch and size + len(record.value) > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += len(record.value) + len(record.key)
    if batch:
        yield batch
