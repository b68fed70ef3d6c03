"""Return claims on requests that will never be sent."""

import asyncio
import collections

from hawthorndeal_fleet import claims
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

MAX_PENDING = 2000
RETRY_S = 0.5
COMMIT_TIMEOUT_S = 2.0
MAX_CONCURRENT_COMMITS = 100


class ClaimReturner:
    """Task that returns unused claims, with retries while the log is down.

    A claim that can't be returned is held until it expires. Until then a
    repeated request fails with an unknown outcome, which is safe.

    :param writer: log writer that commits the records
    :param clock: source of wall-clock time
    """

    name = 'claim-returner'

    def __init__(self, writer, clock):
        self._writer = writer
        self._clock = clock
        self._pending = collections.OrderedDict()
        self._relinquished = collections.OrderedDict()
        self._added = asyncio.Event()

    def add(self, claimed):
        """Queue a claim to be returned; a full queue drops its oldest.

        :param claimed: the :class:`records.RequestClaimed` to undo
        """
        self._pending[claimed.holder] = claimed
        self._relinquished[claimed.holder] = None
        for table in (self._pending, self._relinquished):
            if len(table) > MAX_PENDING:
                table.popitem(last=False)
        self._added.set()

    def is_relinquished(self, holder):
        """Return whether this daemon has given up its right to a claim."""
        return holder in self._relinquished

    async def run(self):
        """Return claims until cancelled."""
        while True:
            await self._added.wait()
            self._added.clear()
            while self._pending:
                await self._return_batch()

    async def stop(self):
        """Make a last attempt to return the pending claims."""
        if self._pending:
            await self._return_batch()

    async def _return_batch(self):
        self._drop_expired()
        batch = list(self._pending.values())[:MAX_CONCURRENT_COMMITS]
        results = await asyncio.gather(*map(self._try_return, batch))
        if not all(results):
            await asyncio.sleep(RETRY_S)

    def _drop_expired(self):
        cutoff_s = self._clock.now_s() - claims.CLOCK_SKEW_S
        for claimed in list(self._pending.values()):
            if claimed.deadline_s < cutoff_s:
                del self._pending[claimed.holder]

    async def _try_return(self, claimed):
        body = records.ClaimReturned(key=claimed.key, holder=claimed.holder)
        try:
            decision = await self._writer.commit(body, COMMIT_TIMEOUT_S)
        except errors.PlatformError:
            return False
        if decision.is_accepted:
            self._pending.pop(claimed.holder, None)
        # A refusal may mean that the claim itself is not in the log yet.
        return decision.is_accepted
