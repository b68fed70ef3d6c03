"""Execute placement actions through the log and the workers."""

import asyncio
import functools

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import jobs as jobs_module
from hawthorndeal_fleet import leases
from hawthorndeal_fleet import placement_actions as actions
from hawthorndeal_fleet import placement_planner
from hawthorndeal_fleet import tasks

from . import logs
from . import reachability

COMMIT_TIMEOUT_S = 5.0
MAX_PENDING_REPORTS = 10_000

_Status = jobs_module.JobStatus
_FAILURES = (errors.PlatformError, errors.InvalidRecord)

_log = logs.get('placer')


class ActionRunner:
    """Call workers and append records on behalf of the placer.

    :param follower: holds the folded state
    :param writer: appends records to the log
    :param workers: client of the platform's worker API
    :param incarnation: unique id of this daemon process
    :param clock: time source
    :param has_running_action: returns whether an action on a job is running
    """

    def __init__(
        self, follower, writer, workers, incarnation, clock, has_running_action
    ):
        self._follower = follower
        self._writer = writer
        self._workers = workers
        self._incarnation = incarnation
        self._has_running_action = has_running_action
        self._unconfirmed_leases = set()
        self._cursor = 0
        self.worker_reachability = reachability.Reachability(clock)
        self.pending_reports = {}
        self.renewed_until_s = {}

    @property
    def _state(self):
        return self._follower.state

    def drop_stale(self):
        """Drop leases no longer held and hosts no longer declared."""
        held = self._state.ledger.held.get(self._incarnation, ())
        known = {self._state.jobs[key].lease for key in held}
        self.renewed_until_s = {
            token: end_s
            for token, end_s in self.renewed_until_s.items()
            if token in known
        }
        self._unconfirmed_leases &= known
        self.worker_reachability.retain(self._state.fleet.hosts)

    async def read_reports(self):
        """Read task reports of the platform and store those of held jobs."""
        try:
            page = await self._workers.reports(self._cursor)
        except _FAILURES as error:
            _log.debug('Failed to read task reports: %s', error)
            return
        self._cursor = page.cursor
        for report in page.reports:
            self._store_report(report.job_id, report.status)

    def _store_report(self, job_id, status):
        job = self._held_job(job_id, status.token)
        if job is not None and len(self.pending_reports) < MAX_PENDING_REPORTS:
            self.pending_reports[job_id] = status

    def _held_job(self, job_id, token):
        job = self._state.jobs.get(job_id)
        if (
            job is None
            or job.lease != token
            or job.holder != self._incarnation
        ):
            return None
        return job

    async def record_report(self, job_id):
        """Append the record for the stored report of a job."""
        status = self.pending_reports.pop(job_id)
        await self._record_status(job_id, status)

    async def _record_status(self, job_id, status):
        job = self._held_job(job_id, status.token)
        body = job and placement_planner.body_for_status(
            job, status, self._incarnation
        )
        if body is None:
            return
        try:
            await self._commit(body)
        except errors.PlatformError as error:
            _log.info(
                'Failed to record the task status of %s: %s', job_id, error
            )
            # Retried at the next tick; a duplicate record has no effect.
            self.pending_reports.setdefault(job_id, status)

    async def _commit(self, body):
        return await self._writer.commit(body, COMMIT_TIMEOUT_S)

    async def execute(self, action):
        """Execute an action; a failure is logged and retried later."""
        try:
            await self._dispatch(action)
        except _FAILURES as error:
            _log.info('%s failed: %s', type(action).__name__, error)

    @functools.singledispatchmethod
    async def _dispatch(self, action):
        raise TypeError(f'unsupported action: {action!r}')

    @_dispatch.register
    async def _place(self, action: actions.Place):
        choice = action.choice
        steps = [
            await self._preempt(preemption)
            for preemption in choice.preemptions
        ]
        job = self._state.jobs.get(choice.job_id)
        if job is None or not job.is_queued or None in steps:
            return
        placed = job_records.JobPlaced(
            job_id=job.job_id,
            host=choice.host,
            holder=self._incarnation,
            queued_offset=job.queued_offset,
        )
        # One batch in this order, so that capacity is freed before the
        # placement claims it.
        decisions = await asyncio.gather(
            *(self._commit(body) for body in (*steps, placed))
        )
        if decisions[-1].is_accepted:
            await self._start_or_return(choice.job_id)

    async def _start_or_return(self, job_id):
        try:
            await self._start_placed(job_id)
        except errors.PlatformUnavailable:
            # The start order was never sent, so the job can safely be placed
            # on another host.
            await self._append_step(job_id, job_records.JobStep.RETURNED)

    async def _preempt(self, preemption):
        seen_offset = self._state.next_offset
        if preemption.is_checkpoint:
            call = self._workers.checkpoint(preemption.host, preemption.lease)
        else:
            call = self._workers.throttle(
                preemption.host, preemption.lease, seen_offset
            )
        status = await self.worker_reachability.call(preemption.host, call)
        job = self._state.jobs.get(preemption.job_id)
        if job is None or job.lease != preemption.lease:
            return None
        if status.state is tasks.TaskState.THROTTLED:
            return job_records.JobStepped(
                job_id=preemption.job_id,
                lease=preemption.lease,
                step=job_records.JobStep.THROTTLED,
                holder=self._incarnation,
                seen_offset=seen_offset,
            )
        return placement_planner.body_for_status(
            job, status, self._incarnation
        )

    @_dispatch.register
    async def _start(self, action: actions.Start):
        job = self._state.jobs.get(action.job_id)
        if job is None:
            return
        if job.lease in self._unconfirmed_leases:
            known = await self.worker_reachability.call(
                job.host, self._workers.tasks(job.host)
            )
            if job.lease in known:
                await self._record_status(job.job_id, known[job.lease])
                return
        await self._start_placed(job.job_id)

    async def _start_placed(self, job_id):
        job = self._state.jobs.get(job_id)
        if not self._should_start(job):
            return
        order = tasks.TaskOrder(
            token=job.lease,
            job_id=job_id,
            cpu_millicores=job.charge.cpu_millicores,
            memory_bytes=job.charge.memory_bytes,
            accelerators=job.charge.accelerators,
            until_s=leases.ends_s(self._state, job),
            is_resumed=job.has_checkpoint,
        )
        try:
            status = await self.worker_reachability.call(
                job.host, self._workers.start(job.host, order)
            )
        except errors.OutcomeUnknown:
            self._unconfirmed_leases.add(job.lease)
            raise
        if status.state is tasks.TaskState.REFUSED:
            self.worker_reachability.avoid(job.host)
        await self._record_status(job_id, status)

    def _should_start(self, job):
        return (
            job is not None
            and job.holder == self._incarnation
            and job.status is _Status.PLACED
            and not job.is_cancelled
            and not job.abandoned_s
            and job.host not in self._state.disruptions
        )

    @_dispatch.register
    async def _stop(self, action: actions.Stop):
        job = self._state.jobs.get(action.job_id)
        if job is not None:
            call = self._workers.stop(job.host, job.lease)
            await self._record_status(
                action.job_id,
                await self.worker_reachability.call(job.host, call),
            )

    @_dispatch.register
    async def _checkpoint(self, action: actions.Checkpoint):
        job = self._state.jobs.get(action.job_id)
        if job is not None:
            call = self._workers.checkpoint(job.host, job.lease)
            await self._record_status(
                action.job_id,
                await self.worker_reachability.call(job.host, call),
            )

    @_dispatch.register
    async def _resume(self, action: actions.Resume):
        job = self._state.jobs.get(action.job_id)
        if job is not None:
            await self._lift_throttle(job)

    async def _lift_throttle(self, job):
        # The record precedes the call, so that the ledger never charges less
        # than the task uses.
        decision = await self._commit(
            self._make_step(job, job_records.JobStep.RUNNING)
        )
        if decision.is_accepted:
            call = self._workers.resume(job.host, job.lease, decision.offset)
            await self.worker_reachability.call(job.host, call)

    def _make_step(self, job, step):
        return job_records.JobStepped(
            job_id=job.job_id,
            lease=job.lease,
            step=step,
            holder=self._incarnation,
            seen_offset=self._state.next_offset,
        )

    @_dispatch.register
    async def _abandon(self, action: actions.Abandon):
        await self._append_step(action.job_id, job_records.JobStep.ABANDONED)

    @_dispatch.register
    async def _lapse(self, action: actions.Lapse):
        await self._append_step(action.job_id, job_records.JobStep.LAPSED)

    async def _append_step(self, job_id, step):
        job = self._state.jobs.get(job_id)
        if job is not None:
            await self._commit(self._make_step(job, step))

    @_dispatch.register
    async def _refuse(self, action: actions.Refuse):
        await self._commit(
            job_records.JobEnded(
                job_id=action.job_id,
                lease=-1,
                outcome=job_records.JobOutcome.REFUSED,
                holder=self._incarnation,
            )
        )

    @_dispatch.register
    async def _probe(self, action: actions.Probe):
        call = self._workers.tasks(action.host)
        await self._reconcile(
            action.host, await self.worker_reachability.call(action.host, call)
        )

    @_dispatch.register
    async def _renew(self, action: actions.Renew):
        call = self._workers.renew(action.host, action.until_s)
        known = await self.worker_reachability.call(action.host, call)
        self.renewed_until_s.update(action.until_s)
        await self._reconcile(action.host, known)

    async def _reconcile(self, host, known):
        on_host = jobs_module.on_host(self._state, host)
        own_jobs = (
            job
            for job in on_host
            if job.holder == self._incarnation
            and job.status is not _Status.PLACED
        )
        for job in list(own_jobs):
            status = known.get(job.lease)
            if status is None and not self._has_running_action(job.job_id):
                # The worker no longer knows the task; a stop order makes
                # sure that it never runs again.
                call = self._workers.stop(host, job.lease)
                status = await self.worker_reachability.call(host, call)
            if status is not None:
                await self._adjust(job, status)

    async def _adjust(self, job, status):
        is_throttled = status.state is tasks.TaskState.THROTTLED
        if is_throttled and job.status is _Status.RUNNING:
            # A daemon failed after throttling the task and before recording
            # it.
            await self._lift_throttle(job)
        else:
            self._store_report(job.job_id, status)

    @_dispatch.register
    async def _take_over(self, action: actions.TakeOver):
        await self._commit(
            job_records.JobsTaken(
                pool=action.pool, lost=action.lost, holder=self._incarnation
            )
        )

    @_dispatch.register
    async def _renew_holder(self, action: actions.RenewHolder):
        await self._commit(job_records.HolderRenewed(holder=self._incarnation))
