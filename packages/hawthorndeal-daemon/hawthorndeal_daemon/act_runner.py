"""Carry out what the placement decisions ask for, one act at a time."""

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
MAX_NEWS = 10_000

_Status = jobs_module.JobStatus
_FAILURES = (errors.PlatformError, errors.InvalidRecord)

_log = logs.get('placer')


class ActRunner:
    """Speak to workers and to the log for the placer.

    :param follower: keeps the folded state
    :param writer: appends records
    :param workers: the platform's workers
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    :param is_busy: tells whether an act on a job goes on
    """

    def __init__(self, follower, writer, workers, incarnation, clock, is_busy):
        self._follower = follower
        self._writer = writer
        self._workers = workers
        self._me = incarnation
        self._is_busy = is_busy
        self._unsure = set()
        self._cursor = 0
        self.reach = reachability.Reachability(clock)
        self.news = {}
        self.renewed_until_s = {}

    @property
    def _state(self):
        return self._follower.state

    def forget_old(self):
        """Forget leases that are not held any more, and hosts removed."""
        held = self._state.ledger.held.get(self._me, ())
        known = {self._state.jobs[key].lease for key in held}
        self.renewed_until_s = {
            token: end_s
            for token, end_s in self.renewed_until_s.items()
            if token in known
        }
        self._unsure &= known
        self.reach.retain(self._state.fleet.hosts)

    async def read_reports(self):
        """Take in what the platform reports of tasks."""
        try:
            page = await self._workers.reports(self._cursor)
        except _FAILURES as error:
            _log.debug('No reports: %s', error)
            return
        self._cursor = page.cursor
        for report in page.reports:
            self._note(report.job_id, report.status)

    def _note(self, job_id, status):
        job = self._held(job_id, status.token)
        if job is not None and len(self.news) < MAX_NEWS:
            self.news[job_id] = status

    def _held(self, job_id, token):
        job = self._state.jobs.get(job_id)
        if job is None or job.lease != token or job.holder != self._me:
            return None
        return job

    async def settle_news(self, job_id):
        """Append what was reported of a job."""
        status = self.news.pop(job_id)
        await self._settle(job_id, status)

    async def _settle(self, job_id, status):
        job = self._held(job_id, status.token)
        body = job and placement_planner.body_for_status(job, status, self._me)
        if body is None:
            return
        try:
            await self._commit(body)
        except errors.PlatformError as error:
            _log.info('End of %s is not written: %s', job_id, error)
            # It is told again; a repeated record changes nothing.
            self.news.setdefault(job_id, status)

    async def _commit(self, body):
        return await self._writer.commit(body, COMMIT_TIMEOUT_S)

    async def carry_out(self, act):
        """Do what an act asks for; a failure is tried again later."""
        try:
            await self._do(act)
        except _FAILURES as error:
            _log.info('%s: %s', type(act).__name__, error)

    @functools.singledispatchmethod
    async def _do(self, act):
        raise TypeError(f'no way to do {act!r}')

    @_do.register
    async def _place(self, act: actions.Place):
        choice = act.choice
        steps = [await self._make_room(one) for one in choice.preemptions]
        job = self._state.jobs.get(choice.job_id)
        if job is None or not job.is_queued or None in steps:
            return
        placed = job_records.JobPlaced(
            job_id=job.job_id,
            host=choice.host,
            holder=self._me,
            queued_offset=job.queued_offset,
        )
        # One batch, in this order: the room is made before it is taken.
        decisions = await asyncio.gather(
            *(self._commit(body) for body in (*steps, placed))
        )
        if decisions[-1].is_accepted:
            await self._start_or_return(choice.job_id)

    async def _start_or_return(self, job_id):
        try:
            await self._start_placed(job_id)
        except errors.PlatformUnavailable:
            # The first start was not even sent, so another host may run it.
            await self._step(job_id, job_records.JobStep.RETURNED)

    async def _make_room(self, one):
        seen_offset = self._state.next_offset
        if one.is_checkpoint:
            call = self._workers.checkpoint(one.host, one.lease)
        else:
            call = self._workers.throttle(one.host, one.lease, seen_offset)
        status = await self.reach.call(one.host, call)
        job = self._state.jobs.get(one.job_id)
        if job is None or job.lease != one.lease:
            return None
        if status.state is tasks.TaskState.THROTTLED:
            return job_records.JobStepped(
                job_id=one.job_id,
                lease=one.lease,
                step=job_records.JobStep.THROTTLED,
                holder=self._me,
                seen_offset=seen_offset,
            )
        return placement_planner.body_for_status(job, status, self._me)

    @_do.register
    async def _start(self, act: actions.Start):
        job = self._state.jobs.get(act.job_id)
        if job is None:
            return
        if job.lease in self._unsure:
            known = await self.reach.call(
                job.host, self._workers.tasks(job.host)
            )
            if job.lease in known:
                await self._settle(job.job_id, known[job.lease])
                return
        await self._start_placed(job.job_id)

    async def _start_placed(self, job_id):
        job = self._state.jobs.get(job_id)
        if not self._is_to_start(job):
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
            status = await self.reach.call(
                job.host, self._workers.start(job.host, order)
            )
        except errors.OutcomeUnknown:
            self._unsure.add(job.lease)
            raise
        if status.state is tasks.TaskState.REFUSED:
            self.reach.avoid(job.host)
        await self._settle(job_id, status)

    def _is_to_start(self, job):
        return (
            job is not None
            and job.holder == self._me
            and job.status is _Status.PLACED
            and not job.is_cancelled
            and not job.abandoned_s
            and job.host not in self._state.disruptions
        )

    @_do.register
    async def _stop(self, act: actions.Stop):
        job = self._state.jobs.get(act.job_id)
        if job is not None:
            call = self._workers.stop(job.host, job.lease)
            await self._settle(
                act.job_id, await self.reach.call(job.host, call)
            )

    @_do.register
    async def _checkpoint(self, act: actions.Checkpoint):
        job = self._state.jobs.get(act.job_id)
        if job is not None:
            call = self._workers.checkpoint(job.host, job.lease)
            await self._settle(
                act.job_id, await self.reach.call(job.host, call)
            )

    @_do.register
    async def _resume(self, act: actions.Resume):
        job = self._state.jobs.get(act.job_id)
        if job is not None:
            await self._run_in_full(job)

    async def _run_in_full(self, job):
        # The record comes first, so that the charge is never too small.
        decision = await self._commit(
            self._stepped(job, job_records.JobStep.RUNNING)
        )
        if decision.is_accepted:
            call = self._workers.resume(job.host, job.lease, decision.offset)
            await self.reach.call(job.host, call)

    def _stepped(self, job, step):
        return job_records.JobStepped(
            job_id=job.job_id,
            lease=job.lease,
            step=step,
            holder=self._me,
            seen_offset=self._state.next_offset,
        )

    @_do.register
    async def _abandon(self, act: actions.Abandon):
        await self._step(act.job_id, job_records.JobStep.ABANDONED)

    @_do.register
    async def _lapse(self, act: actions.Lapse):
        await self._step(act.job_id, job_records.JobStep.LAPSED)

    async def _step(self, job_id, step):
        job = self._state.jobs.get(job_id)
        if job is not None:
            await self._commit(self._stepped(job, step))

    @_do.register
    async def _refuse(self, act: actions.Refuse):
        await self._commit(
            job_records.JobEnded(
                job_id=act.job_id,
                lease=-1,
                outcome=job_records.JobOutcome.REFUSED,
                holder=self._me,
            )
        )

    @_do.register
    async def _probe(self, act: actions.Probe):
        call = self._workers.tasks(act.host)
        await self._reconcile(act.host, await self.reach.call(act.host, call))

    @_do.register
    async def _renew(self, act: actions.Renew):
        call = self._workers.renew(act.host, act.until_s)
        known = await self.reach.call(act.host, call)
        self.renewed_until_s.update(act.until_s)
        await self._reconcile(act.host, known)

    async def _reconcile(self, host, known):
        on_host = jobs_module.on_host(self._state, host)
        mine = (
            job
            for job in on_host
            if job.holder == self._me and job.status is not _Status.PLACED
        )
        for job in list(mine):
            status = known.get(job.lease)
            if status is None and not self._is_busy(job.job_id):
                # The worker lost it; a stop sees that it never runs again.
                call = self._workers.stop(host, job.lease)
                status = await self.reach.call(host, call)
            if status is not None:
                await self._adjust(job, status)

    async def _adjust(self, job, status):
        is_slow = status.state is tasks.TaskState.THROTTLED
        if is_slow and job.status is _Status.RUNNING:
            # A daemon was lost between throttling it and writing so.
            await self._run_in_full(job)
        else:
            self._note(job.job_id, status)

    @_do.register
    async def _take(self, act: actions.TakeOver):
        await self._commit(
            job_records.JobsTaken(
                pool=act.pool, lost=act.lost, holder=self._me
            )
        )

    @_do.register
    async def _renew_holder(self, act: actions.RenewHolder):
        await self._commit(job_records.HolderRenewed(holder=self._me))
