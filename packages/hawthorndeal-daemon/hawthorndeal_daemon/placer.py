"""Carry out what the placement decisions ask for."""

import asyncio
import functools

from hawthorndeal_fleet import errors
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import jobs as jobs_module
from hawthorndeal_fleet import leases
from hawthorndeal_fleet import placing
from hawthorndeal_fleet import tasks

from . import logs

COMMIT_TIMEOUT_S = 5.0
RENEWAL_PERIOD_S = 5.0
TURNS_PERIOD_S = 5.0
AVOID_S = 5.0
# Hosts come back, quotas get free and probes fall due without a change.
BLOCKED_S = 1.0
MAX_RUNNING = 100
MAX_NEWS = 10_000

_Status = jobs_module.JobStatus
_FAILURES = (errors.PlatformError, errors.InvalidRecord)

_log = logs.get('placer')


def no_turns(state, now_s):
    """Return no expected turns of hosts."""
    return {}


class Placer:
    """Place jobs, and care for the tasks whose leases this daemon holds.

    :param follower: keeps the folded state
    :param writer: appends records
    :param workers: the platform's workers
    :param settings: the daemon's settings
    :param incarnation: identity of this start of the daemon
    :param clock: tells the time
    :param turns: returns when hosts are expected to be worked on
    """

    name = 'placer'

    def __init__(
        self,
        follower,
        writer,
        workers,
        settings,
        incarnation,
        clock,
        turns=no_turns,
    ):
        self._follower = follower
        self._writer = writer
        self._workers = workers
        self._period_s = settings.placement_period_s
        self._me = incarnation
        self._clock = clock
        self._turns = turns
        self._running = {}
        self._choices = {}
        self._news = {}
        self._unsure = set()
        self._avoided_until_s = {}
        self._silent_since_s = {}
        self._renewed_until_s = {}
        self._next_renewal_s = 0.0
        self._blocked = {}
        self._unblock_s = 0.0
        self._next_turns_s = 0.0
        self._known_turns = {}
        self._cursor = 0

    @property
    def _state(self):
        return self._follower.state

    async def run(self):
        """Act on a period until cancelled."""
        try:
            while True:
                await self.tick()
                await asyncio.sleep(self._period_s)
        finally:
            for task in self._running.values():
                task.cancel()

    async def stop(self):
        """Do nothing: another daemon takes the jobs."""

    async def tick(self):
        """Begin what there is to do now; it goes on beside later ticks."""
        self._begin('reports', self._read_reports())
        sight = self._look()
        acts = [*placing.plan(self._state, sight), *self._renewals(sight)]
        for job_id in list(self._news):
            self._begin(job_id, self._settle_news(job_id))
        for act in acts:
            if isinstance(act, placing.Blocked):
                self._blocked[act.pool] = act.changes
                continue
            self._begin(_key(act), self._carry_out(act), _choice(act))

    def _begin(self, key, work, choice=None):
        if key in self._running or len(self._running) >= MAX_RUNNING:
            work.close()
            return
        if choice is not None:
            self._choices[key] = choice
        task = asyncio.create_task(work)
        self._running[key] = task
        task.add_done_callback(functools.partial(self._finish, key))

    def _finish(self, key, task):
        del self._running[key]
        self._choices.pop(key, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error('%s failed.', key, exc_info=task.exception())

    def _look(self):
        now_s = self._clock.monotonic_s()
        if now_s >= self._unblock_s:
            self._unblock_s = now_s + BLOCKED_S
            self._blocked = {}
        return placing.Sight(
            me=self._me,
            now_s=self._clock.now_s(),
            busy=self._running,
            avoided={
                host
                for host, until_s in self._avoided_until_s.items()
                if now_s < until_s
            },
            reserved=dict(self._choices),
            renewed_until_s=self._renewed_until_s,
            unreachable_s={
                host: now_s - since_s
                for host, since_s in self._silent_since_s.items()
            },
            blocked=self._blocked,
            turns=self._expected_turns(now_s),
        )

    def _expected_turns(self, now_s):
        # They go through all hosts, and change slowly.
        if now_s >= self._next_turns_s:
            self._next_turns_s = now_s + TURNS_PERIOD_S
            self._known_turns = self._turns(
                self._state, self._state.log_time_s
            )
        return self._known_turns

    def _renewals(self, sight):
        now_s = self._clock.monotonic_s()
        if now_s < self._next_renewal_s:
            return []
        self._next_renewal_s = now_s + RENEWAL_PERIOD_S
        self._forget_old()
        return placing.renewals(self._state, sight)

    def _forget_old(self):
        now_s = self._clock.monotonic_s()
        held = self._state.ledger.held.get(self._me, ())
        known = {self._state.jobs[key].lease for key in held}
        kept = {
            token: end_s
            for token, end_s in self._renewed_until_s.items()
            if token in known
        }
        self._renewed_until_s = kept
        self._unsure &= known
        self._avoided_until_s = {
            host: until_s
            for host, until_s in self._avoided_until_s.items()
            if now_s < until_s
        }
        for host in set(self._silent_since_s) - set(self._state.fleet.hosts):
            del self._silent_since_s[host]

    async def _read_reports(self):
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
        if job is not None and len(self._news) < MAX_NEWS:
            self._news[job_id] = status

    def _held(self, job_id, token):
        job = self._state.jobs.get(job_id)
        if job is None or job.lease != token or job.holder != self._me:
            return None
        return job

    async def _settle_news(self, job_id):
        status = self._news.pop(job_id)
        await self._settle(job_id, status)

    async def _settle(self, job_id, status):
        job = self._held(job_id, status.token)
        body = job and placing.settle(job, status, self._me)
        if body is None:
            return
        try:
            await self._commit(body)
        except errors.PlatformError as error:
            _log.info('End of %s is not written: %s', job_id, error)
            # It is told again; a repeated record changes nothing.
            self._news.setdefault(job_id, status)

    async def _commit(self, body):
        return await self._writer.commit(body, COMMIT_TIMEOUT_S)

    async def _carry_out(self, act):
        try:
            await self._do(act)
        except _FAILURES as error:
            _log.info('%s: %s', type(act).__name__, error)

    async def _call(self, host, work):
        try:
            answer = await work
        except errors.PlatformRefused:
            self._silent_since_s.pop(host, None)
            raise
        except errors.PlatformError:
            now_s = self._clock.monotonic_s()
            if host not in self._silent_since_s:
                _log.warning('Worker %s does not answer.', host)
            self._silent_since_s.setdefault(host, now_s)
            self._avoided_until_s[host] = now_s + AVOID_S
            raise
        self._silent_since_s.pop(host, None)
        return answer

    @functools.singledispatchmethod
    async def _do(self, act):
        raise TypeError(f'no way to do {act!r}')

    @_do.register
    async def _place(self, act: placing.Place):
        choice = act.choice
        steps = [await self._make_room(one) for one in choice.yields]
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
        status = await self._call(one.host, call)
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
        return placing.settle(job, status, self._me)

    @_do.register
    async def _start(self, act: placing.Start):
        job = self._state.jobs.get(act.job_id)
        if job is None:
            return
        if job.lease in self._unsure:
            known = await self._call(job.host, self._workers.tasks(job.host))
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
            status = await self._call(
                job.host, self._workers.start(job.host, order)
            )
        except errors.OutcomeUnknown:
            self._unsure.add(job.lease)
            raise
        if status.state is tasks.TaskState.REFUSED:
            until_s = self._clock.monotonic_s() + AVOID_S
            self._avoided_until_s[job.host] = until_s
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
    async def _stop(self, act: placing.Stop):
        job = self._state.jobs.get(act.job_id)
        if job is not None:
            call = self._workers.stop(job.host, job.lease)
            await self._settle(act.job_id, await self._call(job.host, call))

    @_do.register
    async def _checkpoint(self, act: placing.Checkpoint):
        job = self._state.jobs.get(act.job_id)
        if job is not None:
            call = self._workers.checkpoint(job.host, job.lease)
            await self._settle(act.job_id, await self._call(job.host, call))

    @_do.register
    async def _resume(self, act: placing.Resume):
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
            await self._call(job.host, call)

    def _stepped(self, job, step):
        return job_records.JobStepped(
            job_id=job.job_id,
            lease=job.lease,
            step=step,
            holder=self._me,
            seen_offset=self._state.next_offset,
        )

    @_do.register
    async def _abandon(self, act: placing.Abandon):
        await self._step(act.job_id, job_records.JobStep.ABANDONED)

    @_do.register
    async def _lapse(self, act: placing.Lapse):
        await self._step(act.job_id, job_records.JobStep.LAPSED)

    async def _step(self, job_id, step):
        job = self._state.jobs.get(job_id)
        if job is not None:
            await self._commit(self._stepped(job, step))

    @_do.register
    async def _refuse(self, act: placing.Refuse):
        await self._commit(
            job_records.JobEnded(
                job_id=act.job_id,
                lease=-1,
                outcome=job_records.JobOutcome.REFUSED,
                holder=self._me,
            )
        )

    @_do.register
    async def _probe(self, act: placing.Probe):
        call = self._workers.tasks(act.host)
        await self._reconcile(act.host, await self._call(act.host, call))

    @_do.register
    async def _renew(self, act: placing.Renew):
        call = self._workers.renew(act.host, act.until_s)
        known = await self._call(act.host, call)
        self._renewed_until_s.update(act.until_s)
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
            if status is None and job.job_id not in self._running:
                # The worker lost it; a stop sees that it never runs again.
                call = self._workers.stop(host, job.lease)
                status = await self._call(host, call)
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
    async def _take(self, act: placing.Take):
        await self._commit(
            job_records.JobsTaken(
                pool=act.pool, lost=act.lost, holder=self._me
            )
        )

    @_do.register
    async def _renew_holder(self, act: placing.RenewHolder):
        await self._commit(job_records.HolderRenewed(holder=self._me))


def _choice(act):
    return act.choice if isinstance(act, placing.Place) else None


def _key(act):
    """Return what an act is about, so that no two acts run on it at once."""
    if isinstance(act, placing.Place):
        return act.choice.job_id
    if isinstance(act, placing.JobAct):
        return act.job_id
    if isinstance(act, placing.Take):
        return f'take {act.pool}/{act.lost}'
    if isinstance(act, placing.RenewHolder):
        return 'holder'
    return act.host
