"""Return claims on requests that their holder has bound itself not to run."""

import asyncio
import collections

from hawthorndeal_fleet import claims
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records

MAX_WAITING = 2000
RETRY_S = 0.5
COMMIT_TIMEOUT_S = 2.0
MAX_AT_ONCE = 100


class ClaimReturner:
    """Be a task that returns claims, through outages of the log too.

    A claim that can't be returned stands until its deadline, and a repeat
    is told that the outcome is unknown: less use, but safe.

    :param writer: appends the records
    :param clock: tells the time
    """

    name = 'claim-returner'

    def __init__(self, writer, clock):
        self._writer = writer
        self._clock = clock
        self._waiting = collections.OrderedDict()
        self._bound = collections.OrderedDict()
        self._added = asyncio.Event()

    def add(self, claimed):
        """Have a claim returned; when too many wait, the oldest is dropped.

        :param claimed: the :class:`records.RequestClaimed` to undo
        """
        self._waiting[claimed.holder] = claimed
        self._bound[claimed.holder] = None
        for kept in (self._waiting, self._bound):
            if len(kept) > MAX_WAITING:
                kept.popitem(last=False)
        self._added.set()

    def is_bound(self, holder):
        """Tell whether a claim is known never to be used any more."""
        return holder in self._bound

    async def run(self):
        """Return claims until cancelled."""
        while True:
            await self._added.wait()
            self._added.clear()
            while self._waiting:
                await self._return_some()

    async def stop(self):
        """Try once more to return what is left."""
        if self._waiting:
            await self._return_some()

    async def _return_some(self):
        self._drop_lapsed()
        some = list(self._waiting.values())[:MAX_AT_ONCE]
        settled = await asyncio.gather(*map(self._settle, some))
        if not all(settled):
            await asyncio.sleep(RETRY_S)

    def _drop_lapsed(self):
        horizon_s = self._clock.now_s() - claims.CLOCK_SKEW_S
        for claimed in list(self._waiting.values()):
            if claimed.deadline_s < horizon_s:
                del self._waiting[claimed.holder]

    async def _settle(self, claimed):
        body = records.ClaimReturned(key=claimed.key, holder=claimed.holder)
        try:
            decision = await self._writer.commit(body, COMMIT_TIMEOUT_S)
        except errors.PlatformError:
            return False
        if decision.is_accepted:
            self._waiting.pop(claimed.holder, None)
        # A refusal may mean that the claim itself is still to come.
        return decision.is_accepted
