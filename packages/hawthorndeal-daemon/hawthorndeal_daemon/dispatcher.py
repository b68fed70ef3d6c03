"""Serve one request from its arrival to its final answer."""

import asyncio

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records
from hawthorndeal_fleet import retries

from . import logs

COME_BACK_S = 1.0

_log = logs.get('dispatcher')


class Dispatcher:
    """Route requests to endpoints, keeping each promise to the caller.

    :param follower: keeps the folded state
    :param writer: appends claims
    :param router: chooses endpoints
    :param endpoints: sends to them
    :param incarnation: identity of this start of the daemon
    :param settings: the daemon's settings
    :param clock: tells the time
    :param rng: source of randomness
    """

    def __init__(
        self,
        follower,
        writer,
        router,
        endpoints,
        incarnation,
        settings,
        clock,
        rng,
    ):
        self._follower = follower
        self._writer = writer
        self._router = router
        self._endpoints = endpoints
        self._incarnation = incarnation
        self._claim_timeout_s = settings.claim_timeout_s
        self._clock = clock
        self._rng = rng
        self._retry_budget = retries.RetryBudget()
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_draining = False

    async def serve(self, request):
        """Return the answer to a request.

        :rtype: calls.Answer
        :raises errors.RequestFailed: the final answer otherwise
        """
        if self.is_draining:
            raise errors.ShuttingDown(
                'this entry host is leaving', retry_after_s=0
            )
        self._running += 1
        self._idle.clear()
        try:
            return await self._serve(request)
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def _serve(self, request):
        self._check(request)
        self._retry_budget.note_request()
        if request.is_idempotent:
            return await self._try_endpoints(request)
        await self._claim(request)
        try:
            return await self._try_endpoints(request)
        except errors.NotRun:
            await self._return_claim(request)
            raise

    def _check(self, request):
        fleet = self._follower.state.fleet
        service = fleet.services.get(request.service)
        if service is None:
            raise errors.UnknownService(f'no service {request.service!r}')
        if service.workspace != request.workspace:
            raise errors.UnknownWorkspace(
                f'service {request.service!r} is not of workspace '
                f'{request.workspace!r}'
            )
        self._check_deadline(request, service)

    def _check_deadline(self, request, service):
        left_s = self._left_s(request)
        if left_s <= 0:
            raise errors.DeadlinePassed(f'{-left_s:.3f} s late')
        if left_s > service.max_deadline_s:
            raise errors.BadRequest(
                f'deadline in {left_s:.3f} s, at most '
                f'{service.max_deadline_s} s are allowed'
            )

    def _left_s(self, request):
        return request.deadline_s - self._clock.now_s()

    async def _claim(self, request):
        body = records.RequestClaimed(
            key=request.key,
            deadline_s=request.deadline_s,
            holder=self._incarnation,
        )
        timeout_s = min(self._claim_timeout_s, self._left_s(request))
        try:
            decision = await self._writer.commit(body, timeout_s)
        except errors.PlatformError as error:
            raise errors.ClaimUnavailable(
                f'the claim could not be written: {error}',
                retry_after_s=COME_BACK_S,
            ) from error
        if not decision.is_accepted:
            raise errors.AlreadyClaimed(decision.reason)

    async def _return_claim(self, request):
        body = records.ClaimReturned(key=request.key, holder=self._incarnation)
        try:
            await self._writer.commit(body, self._claim_timeout_s)
        except errors.PlatformError:
            # The claim then stands until its deadline; a repeat is told
            # that the outcome is unknown, which is safe.
            return

    async def _try_endpoints(self, request):
        tried = []
        while True:
            try:
                return await self._try_one(request, tried)
            except errors.RequestFailed as failure:
                if not self._may_retry(request, failure, tried):
                    raise
            await asyncio.sleep(retries.back_off_s(len(tried), self._rng))

    def _may_retry(self, request, failure, tried):
        return (
            0 < len(tried) < retries.MAX_TRIES
            and not isinstance(failure, errors.Overloaded)
            and retries.is_safe_to_retry(request, failure)
            and self._left_s(request) > retries.BACK_OFF_S
            and self._retry_budget.spend()
        )

    async def _try_one(self, request, tried):
        state = self._follower.state
        name = self._router.choose(
            state, request.service, self._rng, excluded=tried
        )
        if name is None:
            raise errors.Overloaded(
                f'no free endpoint of {request.service!r}',
                retry_after_s=COME_BACK_S,
            )
        tried.append(name)
        left_s = self._left_s(request)
        if left_s <= 0:
            raise errors.DeadlinePassed('the deadline passed while waiting')
        address = state.fleet.endpoints[name].address
        self._router.start(name)
        try:
            return await self._endpoints.send(request, name, address, left_s)
        finally:
            self._router.finish(name)

    async def drain(self, grace_s, timeout_s):
        """Refuse new requests and wait for those that run.

        :param grace_s: time to go on refusing, so that callers and the
            balancer learn of it before the connections close
        :param timeout_s: longest wait for the requests that run
        """
        self.is_draining = True
        await asyncio.sleep(grace_s)
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except asyncio.TimeoutError:
            _log.warning('Left %d requests running.', self._running)
