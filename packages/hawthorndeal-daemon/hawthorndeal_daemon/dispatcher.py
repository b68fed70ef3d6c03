"""Request dispatching: validation, claims, retries and draining."""

import asyncio
import contextlib
import itertools
import secrets

from hawthorndeal_fleet import admission
from hawthorndeal_fleet import claims
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import health
from hawthorndeal_fleet import records
from hawthorndeal_fleet import request_crashes
from hawthorndeal_fleet import retries
from hawthorndeal_fleet import tickets

from . import gate as gate_module
from . import logs

RETRY_AFTER_S = 1.0
SERVER_ERROR = 500

_log = logs.get('dispatcher')


class Dispatcher:
    """Route requests to endpoints, with retries, quotas and draining.

    A non-idempotent request is executed at most once: it needs a claim in
    the log or a ticket.

    :param follower: log follower that holds the folded state
    :param writer: log writer that commits claims
    :param router: selects endpoints
    :param endpoints: client that sends requests to endpoints
    :param returner: returns unused claims
    :param forwarder: forwards requests to the issuers of their tickets
    :param incarnation: unique id of this start of the daemon
    :param settings: the daemon's settings
    :param clock: source of wall-clock and monotonic time
    :param rng: random number generator
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
        self._crashes = request_crashes.RequestCrashes()
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._shielded_tasks = set()
        self.is_draining = False

    def issue_ticket(self):
        """Issue a ticket for one non-idempotent request."""
        return self._tickets.issue(self._clock.monotonic_s())

    async def serve(self, request, is_forwarded=False):
        """Serve a request and return the endpoint's answer.

        If the caller disconnects and this coroutine is cancelled, an
        idempotent request is cancelled too. A non-idempotent one runs to
        its end, since it may have been executed in part.

        :param is_forwarded: whether another entry host forwarded it
        :rtype: calls.Answer
        :raises errors.RequestFailed: if there is no answer of an endpoint
        """
        try:
            return await self._route(request, is_forwarded)
        except errors.NotRun as failure:
            if self._may_have_run(request):
                raise errors.AlreadyClaimed(
                    'an earlier attempt may have run; this one did not: '
                    f'{failure.detail}'
                ) from failure
            raise

    def _may_have_run(self, request):
        """Return whether an earlier attempt at a request may have run."""
        if request.is_idempotent:
            return False
        if request.ticket:
            return self._tickets.is_used(request.ticket)
        holder = claims.holder_of(self._follower.state, request.key)
        return holder is not None and not self._returner.is_relinquished(
            holder
        )

    async def _route(self, request, is_forwarded):
        if self.is_draining:
            raise errors.ShuttingDown(
                'this entry host is shutting down', retry_after_s=0
            )
        if request.is_idempotent:
            return await self._check_and_serve(request)
        if request.ticket and not is_forwarded:
            holder = tickets.parse(request.ticket).incarnation
            if holder != self._incarnation:
                with self._track_running():
                    return await self._forward(request, holder)
        task = asyncio.create_task(self._check_and_serve(request))
        self._shielded_tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return await asyncio.shield(task)

    async def _forward(self, request, holder):
        member = self._follower.state.members.get(holder)
        if member is None:
            raise errors.TicketHolderUnreachable(
                f'no entry host has the incarnation {holder:.40}'
            )
        remaining_s = self._remaining_s(request)
        if remaining_s <= 0:
            raise errors.DeadlinePassed(
                f'the deadline passed {-remaining_s:.3f} s ago'
            )
        try:
            async with asyncio.timeout(remaining_s):
                return await self._forwarder.send(
                    request, member.address, remaining_s
                )
        except asyncio.TimeoutError:
            raise errors.AnswerLate(
                f'{member.daemon} did not answer before the deadline'
            ) from None

    def _on_task_done(self, task):
        self._shielded_tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception: if the caller has disconnected nobody
            # awaits the task, and asyncio would log it as never retrieved.
            task.exception()

    @contextlib.contextmanager
    def _track_running(self):
        self._running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def _check_and_serve(self, request):
        with self._track_running():
            self._check(request)
            self._check_crashes(request)
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
            return await self._serve_with_retries(request)
        if request.ticket:
            return await self._serve_with_ticket(request)
        self._gate.check(request, self._remaining_s(request))
        claimed = await self._claim(request)
        try:
            return await self._serve_with_retries(request)
        except errors.NotRun:
            # This daemon must not send the request from here on.
            self._returner.add(claimed)
            raise

    async def _serve_with_ticket(self, request):
        ticket = tickets.parse(request.ticket)
        self._tickets.use(ticket, self._clock.monotonic_s())
        try:
            return await self._serve_with_retries(request)
        except errors.NotRun:
            self._tickets.give_back(ticket)
            raise

    def _check(self, request):
        if not self._follower.is_ready:
            # Disruption steps that stop hosts don't wait for this daemon's
            # acknowledgement until it has read back its own join record.
            raise errors.NotReady('this entry host has not joined yet', 1.0)
        fleet = self._follower.state.fleet
        service = fleet.services.get(request.service)
        if service is None:
            raise errors.UnknownService(f'unknown service {request.service!r}')
        if service.workspace != request.workspace:
            raise errors.UnknownWorkspace(
                f'service {request.service!r} does not belong to workspace '
                f'{request.workspace!r}'
            )
        self._check_deadline(request, service)

    def _check_deadline(self, request, service):
        remaining_s = self._remaining_s(request)
        if remaining_s <= 0:
            raise errors.DeadlinePassed(
                f'the deadline passed {-remaining_s:.3f} s ago'
            )
        if remaining_s > service.max_deadline_s:
            raise errors.BadRequest(
                f'deadline is {remaining_s:.3f} s away, the maximum is '
                f'{service.max_deadline_s} s'
            )

    def _check_crashes(self, request):
        """Refuse a request that must not be passed on to an endpoint.

        :raises errors.EndpointsCrashed: if it was sent to one that crashed
        :raises errors.RequestQuarantined: if its content crashes endpoints
        """
        now_s = self._clock.monotonic_s()
        blocked_s = self._crashes.blocked_s(request, now_s)
        if not blocked_s:
            return
        kind = errors.RequestQuarantined
        if self._crashes.was_sent(request, now_s):
            kind = errors.EndpointsCrashed
        raise kind(
            'endpoints crashed while they ran this request',
            retry_after_s=blocked_s,
        )

    def _remaining_s(self, request):
        return request.deadline_s - self._clock.now_s()

    async def _claim(self, request):
        body = records.RequestClaimed(
            key=request.key,
            deadline_s=request.deadline_s,
            # Unique for each claim, so that a late return of one can't
            # release a newer claim on the same request.
            holder=f'{self._incarnation}.{next(self._claim_numbers)}',
        )
        timeout_s = min(self._claim_timeout_s, self._remaining_s(request))
        try:
            decision = await self._writer.commit(body, timeout_s)
        except errors.PlatformError as error:
            if isinstance(error, errors.OutcomeUnknown):
                # The claim may have been written or may still be; it is
                # never used.
                self._returner.add(body)
            raise errors.ClaimUnavailable(
                f'the claim could not be written: {error}',
                retry_after_s=RETRY_AFTER_S,
            ) from error
        if not decision.is_accepted:
            raise errors.AlreadyClaimed(decision.reason)
        return body

    async def _serve_with_retries(self, request):
        attempts = retries.Attempts()
        while True:
            try:
                return await self._attempt(request, attempts)
            except errors.RequestFailed as failure:
                self._check_crashes(request)
                if not attempts.allows_retry(
                    request,
                    failure,
                    self._remaining_s(request),
                    self._retry_budget,
                ):
                    if isinstance(failure, errors.NotRun):
                        failure.retry_after_s = (
                            failure.retry_after_s or RETRY_AFTER_S
                        )
                    raise
            await asyncio.sleep(attempts.backoff_s(self._rng))

    async def _attempt(self, request, attempts):
        name = await self._gate.acquire_endpoint(
            request, self._remaining_s(request), attempts.failed
        )
        started_s = self._clock.monotonic_s()
        outcome = health.Outcome.CANCELLED
        took_s = None
        try:
            answer = await self._send(request, name)
            outcome = _outcome_of_answer(answer)
            took_s = self._clock.monotonic_s() - started_s
            return answer
        except errors.RequestFailed as failure:
            outcome = _outcome_of_failure(failure)
            attempts.note(failure, name)
            if isinstance(failure, errors.ConnectionBroken):
                await self._note_if_crashed(request, name)
            raise
        finally:
            self._gate.release_endpoint(
                request.service, request.urgency, name, outcome, took_s
            )

    async def _note_if_crashed(self, request, name):
        """Record that an endpoint crashed, if nothing listens there now."""
        endpoint = self._follower.state.fleet.endpoints.get(name)
        if endpoint is None:
            return
        if await self._endpoints.is_refusing(endpoint.address):
            _log.warning(
                'Endpoint %s crashed while it ran request %s.',
                name,
                request.key,
            )
            self._crashes.note(request, name, self._clock.monotonic_s())

    async def _send(self, request, name):
        # Checks the deadline again: this daemon may have been paused since
        # the last check, and a claim is valid only until the deadline.
        remaining_s = self._remaining_s(request)
        if remaining_s <= 0:
            raise errors.DeadlinePassed(
                'the deadline passed before the request was sent'
            )
        endpoint = self._follower.state.fleet.endpoints.get(name)
        if endpoint is None:
            raise errors.NoEndpoint(f'endpoint {name} is no longer declared')
        return await self._endpoints.send(
            request, name, endpoint.address, remaining_s
        )

    async def drain(self, grace_s, timeout_s):
        """Refuse new requests and wait for those in progress.

        :param grace_s: time during which requests are refused before
            connections close, so that callers and the load balancer notice
        :param timeout_s: maximum time to wait for requests in progress
        """
        self.is_draining = True
        await asyncio.sleep(grace_s)
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except asyncio.TimeoutError:
            _log.warning(
                'Drain timed out with %d requests in progress.', self._running
            )


def _outcome_of_answer(answer):
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
