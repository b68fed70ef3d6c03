"""Serve one request from its arrival to its final answer."""

import asyncio
import contextlib
import itertools
import secrets

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import claims
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import health
from hawthorndeal_fleet import records
from hawthorndeal_fleet import retries
from hawthorndeal_fleet import tickets

from . import gate as gate_module
from . import logs

COME_BACK_S = 1.0
SERVER_ERROR = 500

_log = logs.get('dispatcher')


class Dispatcher:
    """Route requests to endpoints, keeping each promise to the caller.

    :param follower: keeps the folded state
    :param writer: appends claims
    :param router: chooses endpoints
    :param endpoints: sends to them
    :param returner: returns claims that were not used
    :param forwarder: sends requests to the issuers of their tickets
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
        returner,
        forwarder,
        incarnation,
        settings,
        clock,
        rng,
    ):
        self._follower = follower
        self._writer = writer
        self._gate = gate_module.Gate(follower, router, clock, rng)
        self._endpoints = endpoints
        self._returner = returner
        self._forwarder = forwarder
        self._tickets = tickets.TicketTable(
            incarnation, secrets.token_bytes(32)
        )
        self._incarnation = incarnation
        self._claim_numbers = itertools.count(1)
        self._claim_timeout_s = settings.claim_timeout_s
        self._clock = clock
        self._rng = rng
        self._quotas = admission.QuotaTable()
        self._retry_budget = retries.RetryBudget()
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._kept = set()
        self.is_draining = False

    def issue_ticket(self):
        """Return a ticket for one non-idempotent request."""
        return self._tickets.issue(self._clock.monotonic_s())

    async def serve(self, request, is_forwarded=False):
        """Return the answer to a request.

        When the caller vanishes and this is cancelled, idempotent work is
        cancelled; other work runs on, since half of it may be done.

        :param is_forwarded: whether another entry host sent it here
        :rtype: calls.Answer
        :raises errors.RequestFailed: the final answer otherwise
        """
        try:
            return await self._route(request, is_forwarded)
        except errors.NotRun as failure:
            if self._may_have_run(request):
                raise errors.AlreadyClaimed(
                    f'an earlier try may have run; now: {failure.detail}'
                ) from failure
            raise

    def _may_have_run(self, request):
        """Tell whether an earlier try of a refused request is known."""
        if request.is_idempotent:
            return False
        if request.ticket:
            return self._tickets.is_used(request.ticket)
        holder = claims.holder_of(self._follower.state, request.key)
        return holder is not None and not self._returner.is_bound(holder)

    async def _route(self, request, is_forwarded):
        if self.is_draining:
            raise errors.ShuttingDown(
                'this entry host is leaving', retry_after_s=0
            )
        if request.is_idempotent:
            return await self._count_and_serve(request)
        if request.ticket and not is_forwarded:
            holder = tickets.parse(request.ticket).incarnation
            if holder != self._incarnation:
                with self._running_one():
                    return await self._forward(request, holder)
        task = asyncio.create_task(self._count_and_serve(request))
        self._kept.add(task)
        task.add_done_callback(self._let_go)
        return await asyncio.shield(task)

    async def _forward(self, request, holder):
        member = self._follower.state.members.get(holder)
        if member is None:
            raise errors.TicketHolderUnreachable(
                f'no entry host runs as {holder:.40}'
            )
        left_s = self._left_s(request)
        if left_s <= 0:
            raise errors.DeadlinePassed(f'{-left_s:.3f} s late')
        try:
            async with asyncio.timeout(left_s):
                return await self._forwarder.send(
                    request, member.address, left_s
                )
        except asyncio.TimeoutError:
            raise errors.AnswerLate(
                f'{member.daemon} did not answer in time'
            ) from None

    def _let_go(self, task):
        self._kept.discard(task)
        if not task.cancelled():
            # Marks the failure as seen, where the caller has vanished.
            task.exception()

    @contextlib.contextmanager
    def _running_one(self):
        self._running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def _count_and_serve(self, request):
        with self._running_one():
            self._check(request)
            return await self._serve_within_quota(request)

    async def _serve_within_quota(self, request):
        state = self._follower.state
        quota = state.fleet.workspaces[request.workspace].quota
        self._quotas.enter(
            request.workspace, quota.requests_in_flight, len(state.members)
        )
        try:
            return await self._serve(request)
        finally:
            self._quotas.leave(request.workspace)

    async def _serve(self, request):
        self._retry_budget.note_request()
        if request.is_idempotent:
            return await self._try_endpoints(request)
        if request.ticket:
            return await self._serve_with_ticket(request)
        self._gate.check(request, self._left_s(request))
        claimed = await self._claim(request)
        try:
            return await self._try_endpoints(request)
        except errors.NotRun:
            # Binds this daemon: it never sends the request from here on.
            self._returner.add(claimed)
            raise

    async def _serve_with_ticket(self, request):
        ticket = tickets.parse(request.ticket)
        self._tickets.use(ticket, self._clock.monotonic_s())
        try:
            return await self._try_endpoints(request)
        except errors.NotRun:
            self._tickets.give_back(ticket)
            raise

    def _check(self, request):
        if not self._follower.is_ready:
            # Steps that stop hosts don't wait for a daemon's word before it
            # has read its own join back.
            raise errors.NotReady('this entry host has not joined yet', 1.0)
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
            # Unlike for each claim, so that a late return of one can't free
            # another on the same request.
            holder=f'{self._incarnation}.{next(self._claim_numbers)}',
        )
        timeout_s = min(self._claim_timeout_s, self._left_s(request))
        try:
            decision = await self._writer.commit(body, timeout_s)
        except errors.PlatformError as error:
            if isinstance(error, errors.OutcomeUnknown):
                # The claim may stand or come yet; it is never used.
                self._returner.add(body)
            raise errors.ClaimUnavailable(
                f'the claim could not be written: {error}',
                retry_after_s=COME_BACK_S,
            ) from error
        if not decision.is_accepted:
            raise errors.AlreadyClaimed(decision.reason)
        return body

    async def _try_endpoints(self, request):
        tries = retries.Tries()
        while True:
            try:
                return await self._try_one(request, tries)
            except errors.RequestFailed as failure:
                if not tries.may_go_on(
                    request,
                    failure,
                    self._left_s(request),
                    self._retry_budget,
                ):
                    if isinstance(failure, errors.NotRun):
                        failure.retry_after_s = (
                            failure.retry_after_s or COME_BACK_S
                        )
                    raise
            await asyncio.sleep(tries.back_off_s(self._rng))

    async def _try_one(self, request, tries):
        name = await self._gate.enter(
            request, self._left_s(request), tries.failed
        )
        started_s = self._clock.monotonic_s()
        outcome = health.Outcome.CANCELLED
        took_s = None
        try:
            answer = await self._send(request, name)
            outcome = _outcome_of(answer)
            took_s = self._clock.monotonic_s() - started_s
            return answer
        except errors.RequestFailed as failure:
            outcome = _outcome_of_failure(failure)
            tries.note(failure, name)
            raise
        finally:
            self._gate.leave(
                request.service, request.urgency, name, outcome, took_s
            )

    async def _send(self, request, name):
        # Read again: this daemon may have been paused since the last check,
        # and a claim is only good until the deadline.
        left_s = self._left_s(request)
        if left_s <= 0:
            raise errors.DeadlinePassed('the deadline passed while waiting')
        endpoint = self._follower.state.fleet.endpoints.get(name)
        if endpoint is None:
            raise errors.NoEndpoint(f'{name} is no longer declared')
        return await self._endpoints.send(
            request, name, endpoint.address, left_s
        )

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


def _outcome_of(answer):
    if answer.status >= SERVER_ERROR:
        return health.Outcome.FAILED
    return health.Outcome.ANSWERED


_OUTCOMES = (
    (errors.EndpointLeaving, health.Outcome.LEAVING),
    (errors.EndpointRefused, health.Outcome.REFUSED),
    (errors.NoEndpoint, health.Outcome.UNREACHABLE),
    (errors.DeadlinePassed, health.Outcome.CANCELLED),
)


def _outcome_of_failure(failure):
    return next(
        (outcome for kind, outcome in _OUTCOMES if isinstance(failure, kind)),
        health.Outcome.FAILED,
    )
