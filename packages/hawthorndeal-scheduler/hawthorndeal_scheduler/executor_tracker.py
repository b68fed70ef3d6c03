"""Tracks the executors of a partition on behalf of its owner."""

import asyncio

from hawthorndeal_jobs import departures
from hawthorndeal_jobs import ended_incarnations
from hawthorndeal_jobs import run_state

from . import executor_agent

_Cause = run_state.EndCause
_Departure = departures.Departure


class ExecutorTracker:
    """Runs an agent for each executor, and ends executors that are gone.

    :param owner: the owner; its scheduler knows the executors
    :param metrics: counts ends and unanswered polls
    """

    def __init__(self, owner, metrics):
        self._owner = owner
        self._scheduler = owner.scheduler
        self._events = owner.events
        self._metrics = metrics
        self._agents = {}
        # Executors without a known address.
        self._without_agent = {}
        self._ended = ended_incarnations.EndedIncarnations()

    def register(self, entries):
        """Add the executors that had published entries before."""
        now_s = self._owner.now_s()
        for entry in entries:
            self._register_entry(entry, now_s)

    def start_agents(self):
        """Start an agent for each executor that the scheduler knows."""
        for executor in list(self._scheduler.executors.values()):
            self._ensure_agent(executor)

    def cancel_agents(self):
        """Cancel all agents."""
        for task, _ in self._agents.values():
            task.cancel()

    def note_ends_stored(self, executor_ids):
        """Record that ends of runs on these executors were stored."""
        for executor_id in executor_ids:
            if executor_id in self._agents:
                self._agents[executor_id][1].note_ends_stored()

    def update(self, entry, now_s):
        """Process the entry that an executor published."""
        executor = self._register_entry(entry, now_s)
        if executor is not None:
            self._ensure_agent(executor)
            if not executor.incarnation.is_fenced:
                self.poll_soon(executor)
            self._owner.wake()

    def _register_entry(self, entry, now_s):
        if entry.executor_id in self._scheduler.executors:
            return self._scheduler.update_executor(entry, now_s)
        ended = self._ended.find(entry)
        if ended is not None:
            self._log_ignored(entry, ended)
            return None
        return self._add_executor(entry, now_s)

    def _add_executor(self, entry, now_s):
        executor = self._scheduler.update_executor(entry, now_s)
        ended = self._ended.pop(entry.executor_id)
        is_back = ended is not None and not ended.is_followed_by(entry)
        if ended is not None:
            self._scheduler.restore_leases(executor, ended.incarnation, now_s)
        self._events.write(
            'executor_found',
            executor=entry.executor_id,
            host=entry.host,
            pool=entry.pool,
            back_after=ended.departure.value if is_back else '',
        )
        return executor

    def _log_ignored(self, entry, ended):
        """Log, once for each end, why an entry makes no executor known."""
        if ended.is_entry_ignored:
            return
        ended.is_entry_ignored = True
        self._events.write(
            'entry_ignored',
            executor=entry.executor_id,
            host=entry.host,
            why=ended.departure.value,
        )

    def note_listed(self, executor_ids, sent_s):
        """Record that a list shows executors on hosts that are up.

        :param sent_s: when the list was requested
        """
        self._ended.note_listed(executor_ids, sent_s)

    def mark_missing(self, executor_id):
        """Record that the entry of an executor was removed."""
        self._scheduler.mark_executor_missing(executor_id, self._owner.now_s())

    def _ensure_agent(self, executor):
        executor_id = executor.executor_id
        if executor_id in self._agents:
            return
        if not executor.entry.address:
            self._without_agent[executor_id] = executor
            return
        self._without_agent.pop(executor_id, None)
        agent = executor_agent.ExecutorAgent(executor, self._owner)
        task = asyncio.create_task(self._owner.tasks.run_guarded(agent))
        self._agents[executor_id] = (task, agent)

    def handle_poll(self, executor, look):
        """Process the answer to a poll, and return the runs that ended."""
        executor_id = executor.executor_id
        for other in self._scheduler.superseded_executors(executor_id, look):
            self.remove(other, _Departure.REPLACED)
        now_s = self._owner.now_s()
        end = self._scheduler.renew_executor(executor_id, look, now_s)
        if end is not None:
            self._log_executor_end(executor, end, _Departure.REBORN)
            self._owner.wake()
        ended_runs = self._scheduler.handle_poll(executor_id, look, now_s)
        for ended in ended_runs:
            self._log_end(executor, ended)
        if ended_runs or self._scheduler.has_orphans:
            self._owner.wake()
        return ended_runs

    def note_unanswered_poll(self):
        """Count a poll that failed or timed out."""
        self._metrics.note_unanswered_call('poll')

    def poll_soon(self, executor):
        """Request an early poll of an executor."""
        if executor.executor_id in self._agents:
            self._agents[executor.executor_id][1].poll_soon()

    def _log_end(self, executor, ended):
        run = ended.run
        cause = ended.cause.value if ended.cause else 'never_began'
        self._metrics.note_end(cause)
        fields = {}
        if ended.cause is _Cause.LOST:
            fields['survival_s'] = _rounded(executor.survival_s(run))
        self._events.write(
            'run_over',
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            cause=cause,
            failures=run.task.failures,
            **fields,
        )

    def _log_suspect(self, suspect):
        run = suspect.run
        if suspect.is_blamed:
            self._metrics.note_task_given_up()
        self._events.write(
            'crash_suspect',
            task=str(run.task_id),
            run=run.number,
            executor=run.executor_id,
            survival_s=round(suspect.survival_s, 3),
            crashes=run.task.crash_count,
            confirmed=len(run.task.crashed_executors),
            is_given_up=suspect.is_blamed,
        )

    def _log_executor_end(self, executor, end, departure):
        self._metrics.note_departure(end.kind.value)
        silent_s = self._owner.now_s() - executor.last_answer_s
        self._events.write(
            'executor_gone',
            executor=executor.executor_id,
            host=executor.entry.host,
            rack=executor.entry.rack,
            runs=len(end.finished_runs),
            departure=end.kind.value,
            why=departure.value,
            unanswered_s=round(silent_s, 3),
        )
        for ended in end.finished_runs:
            self._log_end(executor, ended)
        for suspect in end.suspects:
            self._log_suspect(suspect)

    def _is_known(self, executor):
        known = self._scheduler.executors.get(executor.executor_id)
        return known is executor

    def check_lease_expiry(self, executor):
        """End the runs of an executor whose leases have expired.

        :returns: whether the executor has ended as well
        """
        now_s = self._owner.now_s()
        if not self._is_known(executor):
            return True
        if not executor.incarnation.is_lease_expired(now_s):
            return False
        if executor.runs:
            for ended in self._scheduler.expire_executor(
                executor.executor_id, now_s
            ):
                self._log_end(executor, ended)
            self._owner.wake()
        if executor.missing_since_s is not None and not executor.runs:
            self.remove(executor, _Departure.EXPIRED)
            return True
        return False

    def check_without_agent(self):
        """Check the leases of executors without a known address."""
        for executor in list(self._without_agent.values()):
            self.check_lease_expiry(executor)

    def note_gone(self, executor, incarnation):
        """Process that another executor has answered in place of one.

        Where a new incarnation was learned of during the call, that answer
        came from its former address.

        :param incarnation: the one that was called
        :returns: whether the executor has ended
        """
        if (
            self._is_known(executor)
            and executor.incarnation is not incarnation
        ):
            return False
        self.remove(executor, _Departure.ADDRESS_TAKEN)
        return True

    def remove(self, executor, departure):
        """Remove an executor that has ended, and end all its runs.

        Does nothing if it was removed before, and may have been found again.

        :param departure: a :class:`departures.Departure`
        """
        if not self._is_known(executor):
            return
        now_s = self._owner.now_s()
        self._ended.note_end(executor, departure, now_s)
        self._without_agent.pop(executor.executor_id, None)
        kind = departures.kind_of(executor, departure)
        end = self._scheduler.remove_executor(
            executor.executor_id, now_s, kind
        )
        self._log_executor_end(executor, end, departure)
        held = self._agents.pop(executor.executor_id, None)
        if held is not None and held[0] is not asyncio.current_task():
            held[0].cancel()
        self._owner.wake()


def _rounded(seconds):
    return None if seconds is None else round(seconds, 3)
