"""What callers ask for: submits, queries, cancels and counts jobs."""

import asyncio
import math

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import admission
from hawthorndeal_jobs import journal
from hawthorndeal_jobs import queues
from hawthorndeal_jobs import quotas
from hawthorndeal_platform import keyed_log

from . import call_effect
from . import caller_access

# No append is started with less time left before shutdown.
MIN_APPEND_TIMEOUT_S = 0.05
# Time for the statuses to cover what was stored when a caller asked.
CATCH_UP_TIMEOUT_S = 1.0
# Shorter waits are not worth while.
MIN_WAIT_S = 0.001
# Jobs are not counted if the owner has published nothing for this long.
MAX_WAITING_AGE_S = 3.0
# The store counts as unavailable when no call was answered for this long, and
# a daemon as behind when no read has reached the end. A store that turns slow
# is silent for a moment.
MAX_ANSWER_AGE_S = 1.2
RETRY_AFTER_S = caller_access.RETRY_AFTER_S


class CallersInterface:
    """Answers callers from the board, and appends their submissions.

    :param parts: shared components of the daemon
    :param formats: decodes request bodies
    """

    def __init__(self, parts, formats):
        self._parts = parts
        self._formats = formats
        self._guard = caller_access.CallerGuard(parts)
        self._unsettled = call_effect.UnsettledJobs()
        self._drain_deadline_s = math.inf

    @property
    def key_header(self):
        """Name of the header in which a call carries a key."""
        return self._formats.key_header

    @property
    def is_draining(self):
        """Return whether the daemon is shutting down."""
        return self._drain_deadline_s < math.inf

    def begin_draining(self, deadline_s):
        """Report not ready, and answer all requests by a deadline.

        :param deadline_s: on the daemon's monotonic clock
        """
        self._drain_deadline_s = deadline_s

    def _cap_timeout(self, timeout_s):
        left_s = self._drain_deadline_s - self._parts.clock.monotonic_s()
        return min(timeout_s, left_s)

    @property
    def is_ready(self):
        """Return whether the balancer should route callers here."""
        parts = self._parts
        return (
            not self.is_draining
            and self._guard.has_read_configuration
            and parts.status_follower.is_loaded
            and not self._is_behind()
        )

    def _is_store_unavailable(self):
        reachability = self._parts.log.reachability
        return (
            reachability.is_silent
            and reachability.silence_s > MAX_ANSWER_AGE_S
        )

    def _is_behind(self):
        read_s = self._parts.status_reader.last_read_s
        now_s = self._parts.clock.monotonic_s()
        return read_s is None or now_s - read_s > MAX_ANSWER_AGE_S

    def require_version(self, version):
        """Check that the configuration in force is new enough.

        :raises errors.NotReady: if another daemon has a newer one
        """
        if self._parts.configuration_version < version:
            raise caller_access.StoreUnreachable(
                f'version {version} of the configuration was not read',
                RETRY_AFTER_S,
            )

    def timeout_s(self, call):
        """Return how long a caller waits for the answer to a call.

        :param call: a :class:`peer_calls.CallerCall`
        """
        configuration = self._parts.configuration_reader.configuration
        queue = configuration and configuration.find_queue(
            call.host_name.lower(), call.path
        )
        wait_s = queue.timeout_s if queue else queues.CALLER_TIMEOUT_S
        return self._cap_timeout(wait_s)

    def find_queue(self, host_name, path):
        """Return the queue of a request, and the rest of its path.

        :raises errors.NotReady: while there is no configuration
        :raises errors.UnknownService: if no queue matches
        """
        configuration = self._parts.configuration_reader.configuration
        if configuration is None:
            raise caller_access.StoreUnreachable(
                'no configuration yet', RETRY_AFTER_S
            )
        queue = configuration.find_queue(host_name.lower(), path)
        if queue is None:
            raise errors.UnknownService(f'no queue at {host_name}{path:.80}')
        return queue, path[len(queue.path_prefix) :]

    def authorize(self, queue, key, effect):
        """Return the access that a key gives to a queue.

        :param key: the key that the call carries, or None
        :param effect: the call's :class:`call_effect.CallEffect`
        :rtype: caller_access.Access
        :raises errors.UnknownKey: if the key is not valid
        :raises errors.NotReady: if that can't be told now
        """
        return self._guard.authorize(queue, key, effect)

    async def submit(self, access, job_id, body):
        """Accept a job.

        :param access: what the caller may do; see :meth:`authorize`
        :returns: the declared job
        :rtype: specs.JobSpec
        :raises errors.RequestFailed: if it is not accepted
        """
        queue = access.queue
        if not self._formats.is_job_id(job_id):
            raise errors.BadRequest(f'{job_id!r:.40} is not a job id')
        try:
            spec = self._formats.decode_job(body)
        except ValueError as error:
            raise errors.BadRequest(str(error)[:200]) from error
        parts = self._parts
        status = journal.JobStatus(
            queue.name,
            journal.spec_digest(spec),
            workspace=access.workspace,
        )
        if self._is_known(access, job_id, status):
            return spec
        self._check_quota(access, spec)
        if self._is_store_unavailable() or not parts.status_follower.is_loaded:
            raise caller_access.StoreUnreachable(
                'the store is away', RETRY_AFTER_S
            )
        refusal = self._find_load_refusal(access, spec, job_id)
        if refusal is not None and not self._is_repeat(access, job_id):
            # An earlier call for the job may have come to another daemon.
            known = await self._read_unread(job_id)
            if known is None:
                raise refusal
            _require_same(access, job_id, known, status)
            return spec
        submission = journal.Submission(
            queue.name,
            queue.pool,
            parts.clock.now_s(),
            spec,
            access.workspace,
            queue.terms,
        )
        record = journal.submission_record(job_id, submission)
        size_bytes = record.size_bytes
        if size_bytes > parts.settings.max_record_bytes:
            raise errors.RequestTooLarge(
                f'the job takes {size_bytes} bytes to store, more than '
                f'{parts.settings.max_record_bytes}'
            )
        try:
            await self._append(job_id, record, access)
        except errors.AnswerLost:
            # The owner may have read the submission meanwhile.
            if not self._is_known(access, job_id, status):
                raise
        parts.board.note_accepted(job_id, status)
        return spec

    def _is_repeat(self, access, job_id):
        """Return whether an earlier attempt may have stored the job.

        Then a refusal could be untrue, and storing the job again settles it.
        """
        now_s = self._parts.clock.monotonic_s()
        is_unsettled = self._unsettled.includes(job_id, now_s)
        return access.effect.is_repeat or is_unsettled

    def _find_load_refusal(self, access, spec, job_id):
        """Return why a job could not be of use any more, or None.

        :returns: errors.NotReady if the owner is behind, PoolOverloaded if
            the pool has too much work
        """
        parts = self._parts
        view, now_s = parts.owner_view, parts.clock.monotonic_s()
        report = parts.board.load
        if now_s - view.load_read_s > admission.MAX_REPORT_AGE_S:
            report = None
        is_unread = all(map(parts.is_unread, parts.submission_choices(job_id)))
        refusal = admission.check_owner(
            view.behind_s(now_s), is_unread, parts.rng
        ) or admission.check_pool(
            report, access.queue, access.workspace, spec, parts.rng
        )
        if refusal is None:
            return None
        kind = PoolOverloaded if refusal.is_overload else errors.NotReady
        return kind(refusal.detail, refusal.retry_after_s)

    async def _read_unread(self, job_id):
        """Return the status of a job that the owner has not read yet, or None.

        :raises errors.AnswerLost: if it can't be read whether there is one
        """
        parts = self._parts
        try:
            async with asyncio.timeout(
                max(0.0, self._cap_timeout(CATCH_UP_TIMEOUT_S))
            ):
                tails = await asyncio.gather(
                    *map(self._read_tail, parts.submission_choices(job_id))
                )
            value = next((t[job_id] for t in tails if job_id in t), None)
            if value is None:
                return parts.board.find(job_id)
            stored = journal.decode(value, journal.Submission)
        except (
            errors.PlatformError,
            errors.InvalidRecord,
            asyncio.TimeoutError,
        ) as error:
            raise errors.AnswerLost(
                f'an earlier call may have stored the job: {error!r}',
                RETRY_AFTER_S,
            ) from error
        return journal.JobStatus(
            stored.queue,
            journal.spec_digest(stored.spec),
            workspace=stored.workspace,
        )

    async def _read_tail(self, partition):
        parts = self._parts
        covered = parts.covered_offset(partition)
        return await parts.tail_reader(partition).read(covered)

    def _is_known(self, access, job_id, status):
        """Return whether the same job was accepted before.

        :raises JobConflict: if the id belongs to another job
        """
        known = self._parts.board.find(job_id)
        if known is None:
            return False
        _require_same(access, job_id, known, status)
        return True

    def _check_quota(self, access, spec):
        configuration = self._parts.configuration_reader.configuration
        workspace = configuration.workspaces.get(access.workspace)
        problem = workspace and quotas.never_fits(workspace.quota, spec)
        if problem:
            raise errors.QuotaExceeded(
                f'{problem}, more than workspace {workspace.name} may use'
            )

    async def _append(self, job_id, record, access):
        parts = self._parts
        timeout_s = self._cap_timeout(access.timeout_s)
        if timeout_s < MIN_APPEND_TIMEOUT_S:
            raise errors.ShuttingDown('this daemon stops', RETRY_AFTER_S)
        if access.effect.is_held:
            timeout_s = await self._wait_until_released(access, timeout_s)
        is_stored = False
        try:
            await parts.submitter.append(
                parts.submission_choices(job_id),
                record,
                timeout_s,
                access.begin_append,
            )
            is_stored = True
        except errors.RequestFailed:
            access.effect.rule_out(call_effect.HERE)
            raise
        except errors.PlatformUnavailable as error:
            access.effect.rule_out(call_effect.HERE)
            raise caller_access.StoreUnreachable(
                'the store takes nothing now', RETRY_AFTER_S
            ) from error
        except keyed_log.RecordsRefused as error:
            access.effect.rule_out(call_effect.HERE)
            raise errors.RequestTooLarge(
                f'the store does not take the call: {error!s:.160}'
            ) from error
        except errors.PlatformError as error:
            # The record may have been stored; only a retry can tell.
            raise errors.AnswerLost(str(error)[:200]) from error
        finally:
            if access.effect.is_possible and not is_stored:
                self._unsettled.note(job_id, parts.clock.monotonic_s())

    async def _wait_until_released(self, access, timeout_s):
        """Wait until this daemon may store a call; return the time left."""
        now_s = self._parts.clock.monotonic_s
        deadline_s = now_s() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await access.effect.wait_until_released()
        except asyncio.TimeoutError as error:
            raise caller_access.StoreUnreachable(
                'the store is silent', RETRY_AFTER_S
            ) from error
        return deadline_s - now_s()

    def _find(self, access, job_id):
        status = self._parts.board.find(job_id)
        is_visible = (
            status is not None
            and status.queue == access.queue.name
            and access.may_see(status)
        )
        return status if is_visible else None

    async def find(self, access, job_id):
        """Return the status of a job, or None if there is none to be seen.

        :param access: what the caller may do; see :meth:`authorize`
        :raises errors.NotReady: if that can't be told now
        """
        status = self._find(access, job_id)
        if status is None:
            await self._wait_until_covered(job_id)
            status = self._find(access, job_id)
        now_s = self._parts.clock.monotonic_s()
        if status is None and self._unsettled.includes(job_id, now_s):
            raise self._unreadable_jobs()
        return status

    async def _wait_until_covered(self, job_id):
        """Wait until the board covers a submission stored before the call.

        :raises errors.NotReady: if it doesn't in time
        """
        parts = self._parts
        if not parts.status_follower.is_loaded:
            raise self._unreadable_jobs()
        partitions = parts.submission_choices(job_id)
        timeout_s = max(0.0, self._cap_timeout(CATCH_UP_TIMEOUT_S))
        deadline_s = parts.clock.monotonic_s() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                ends = await asyncio.gather(*map(self._read_end, partitions))
        except (errors.PlatformError, asyncio.TimeoutError) as error:
            raise self._unreadable_jobs() from error
        while not all(map(self._covers, partitions, ends)):
            left_s = deadline_s - parts.clock.monotonic_s()
            if left_s < MIN_WAIT_S:
                raise self._unreadable_jobs()
            await parts.wait_for_statuses(left_s)

    async def _read_end(self, partition):
        parts = self._parts
        covered = parts.covered_offset(partition)
        return await parts.end_reader(partition).read(covered)

    def _covers(self, partition, end):
        return (
            self._parts.status_follower.is_loaded
            and self._parts.covered_offset(partition) >= end
        )

    def _unreadable_jobs(self):
        return caller_access.StoreUnreachable(
            'jobs can not be read now', RETRY_AFTER_S
        )

    async def cancel(self, access, job_id):
        """Cancel a job; return whether it exists.

        :param access: what the caller may do; see :meth:`authorize`
        """
        status = await self.find(access, job_id)
        if status is None:
            return False
        if status.state.may_have_runs:
            await self._append(job_id, journal.cancel_record(job_id), access)
            self._parts.note_cancelled(job_id)
        return True

    def waiting(self, queue):
        """Return the number of jobs of a queue that have not begun.

        :raises errors.NotReady: if the board may be stale
        """
        covered_s = self._parts.owner_view.covered_s
        now_s = self._parts.clock.monotonic_s()
        if covered_s is None or now_s - covered_s > MAX_WAITING_AGE_S:
            raise self._unreadable_jobs()
        return self._parts.board.waiting(queue.name)


def _require_same(access, job_id, known, status):
    """Check that a job that was accepted before is the one that arrives.

    :raises JobConflict: if the id belongs to another job
    """
    if (
        not access.may_see(known)
        or known.queue != status.queue
        or known.digest != status.digest
    ):
        raise JobConflict(f'job {job_id} was submitted differently')


class PoolOverloaded(errors.NotRun):
    """Raised when a job would have lost its value before its end."""

    reason = 'pool_overloaded'
    status = 429


class JobConflict(errors.NotRun):
    """Raised when a job id is already in use for a different job."""

    reason = 'job_conflict'
    status = 409
