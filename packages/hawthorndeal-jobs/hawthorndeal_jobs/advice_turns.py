"""Decide which step to request advice on next, and on which executors.

The service handles the calls of a daemon one after the other, so each call
keeps all steps waiting. There may be many steps that no executor may run, or
only a few executors of their pool, and calls on a step may never be answered.
No such step keeps the others waiting: each one takes its turn behind those
that have been asked about less often, no executor is asked about twice that
may not run a step, and a step is not asked about again before its pool has
another executor.

A call that fails while others are answered tells of its step, which is put
off for longer each time. A call that fails while none is answered tells of the
service: one step after the other is asked about to learn when it answers
again, and then all of them are.
"""

import attrs

from . import placement

# Requests for more executors take longer than they gain.
MAX_EXECUTORS = 30
# A step whose tasks have found no room for this long on the executors that may
# run them is asked about on others, too.
UNPLACED_S = 0.3
RETRY_S = 0.2
MAX_RETRY_S = 20.0
# Interval of the calls on steps that are put off, while the service answers
# none.
PROBE_S = 0.5
NO_EXECUTOR = -1


@attrs.frozen
class AdviceRequest:
    """The next call to make.

    :ivar ready_step: an :class:`ordering.ReadyStep`
    :ivar queue: its queue
    :ivar executor_ids: the executors to ask about
    :ivar failures: calls in a row on the step without an answer
    """

    ready_step: object
    queue: object
    executor_ids: list[str]
    failures: int = 0


@attrs.define
class _Inquiry:
    """What was asked about one step.

    :ivar is_open: whether a call on it has no answer yet
    :ivar answers_before: number of calls on any step that had been answered
        when its last one was made
    :ivar is_in_silence: whether the service answered no call at that time
    :ivar refused: ids of executors that may not run it
    :ivar fruitless: calls in a row that have permitted no executor
    :ivar failures: calls in a row without an answer
    :ivar retry_s: no call before
    :ivar asked_up_to: number of the newest executor of the pool when there
        was none left to ask about
    :ivar asked_pool: the pool at that time
    """

    is_open: bool = False
    answers_before: int = 0
    is_in_silence: bool = False
    refused: set[str] = attrs.Factory(set)
    fruitless: int = 0
    failures: int = 0
    retry_s: float = 0.0
    asked_up_to: int = NO_EXECUTOR
    asked_pool: str = ''

    def has_asked_all(self, pool, newest):
        """Return whether no executor of a pool was left to ask about.

        :param newest: number of its newest executor
        """
        return pool == self.asked_pool and newest <= self.asked_up_to


def is_unplaced(ready_step, now_s):
    """Return whether a step has found no room for some time."""
    since_s = ready_step.unplaced_since_s
    return since_s is not None and now_s - since_s >= UNPLACED_S


class AdviceTurns:
    """Chooses calls to the advice service.

    :param tickets: a :class:`tickets.TicketCache`
    """

    def __init__(self, tickets):
        self._tickets = tickets
        self._by_job = {}
        self._answers = 0
        # Keys of steps whose calls have failed since the last answer to any.
        self._failed_beside_none = set()
        self._probe_s = 0.0
        # Numbers of the occurrences of each job that were asked about.
        self._occurrences = {}

    def _inquiry(self, step_key):
        steps = self._by_job.setdefault(step_key[0], {})
        return steps.setdefault(step_key, _Inquiry())

    def choose(self, waiting, executors_in, now_s, is_from_end=False):
        """Return the next call, which is to be made now, or None.

        :param waiting: the steps that need advice, with their queues
        :param executors_in: returns the executors of a pool
        :param is_from_end: whether to choose the step that is last in line
        :rtype: AdviceRequest | None
        """
        executors = {}
        in_line = sorted(waiting, key=self._order, reverse=is_from_end)
        for ready_step, queue in in_line:
            inquiry = self._inquiry(ready_step.key)
            if inquiry.is_open or (
                now_s < inquiry.retry_s
                and not self._may_probe(ready_step.key, now_s)
            ):
                continue
            if queue.pool not in executors:
                executors[queue.pool] = executors_in(queue.pool)
            known = executors[queue.pool]
            newest = max((e.number for e in known), default=NO_EXECUTOR)
            has_asked_all = inquiry.has_asked_all(queue.pool, newest)
            if has_asked_all and not self._must_renew(ready_step.key, now_s):
                continue
            executor_ids = self._executors_to_ask(ready_step, known, now_s)
            if executor_ids:
                inquiry.is_open = True
                inquiry.answers_before = self._answers
                inquiry.is_in_silence = bool(self._failed_beside_none)
                self._probe_s = now_s + PROBE_S
                job_id, occurrence, _ = ready_step.key
                self._occurrences.setdefault(job_id, set()).add(occurrence)
                return AdviceRequest(
                    ready_step, queue, executor_ids, inquiry.failures
                )
            inquiry.asked_up_to, inquiry.asked_pool = newest, queue.pool
            inquiry.retry_s = now_s + RETRY_S
        return None

    def _may_probe(self, step_key, now_s):
        """Return whether a call on a step is to show if the service is up."""
        return step_key in self._failed_beside_none and now_s >= self._probe_s

    def _order(self, item):
        ready_step, _ = item
        inquiry = self._inquiry(ready_step.key)
        return (
            inquiry.fruitless + inquiry.failures,
            self._occurrences_before(ready_step.key),
            bool(self._tickets.permitted(ready_step.key)),
            ready_step.objective_s,
            ready_step.number,
        )

    def _occurrences_before(self, step_key):
        """Return how many other occurrences of a job had calls before.

        Those of one job that are all due don't keep other jobs waiting. An
        occurrence that has begun goes on.
        """
        job_id, occurrence, _ = step_key
        asked = self._occurrences.get(job_id, ())
        return 0 if occurrence in asked else len(asked)

    def _must_renew(self, step_key, now_s):
        """Return whether all tickets of a step have expired."""
        return bool(
            self._tickets.permitted(step_key)
        ) and not self._tickets.valid(step_key, now_s)

    def _executors_to_ask(self, ready_step, known, now_s):
        """Return the executors to ask about, the most useful ones first."""
        refused = self._inquiry(ready_step.key).refused
        valid = self._tickets.valid(ready_step.key, now_s)
        permitted = self._tickets.permitted(ready_step.key)

        def order(executor):
            return (
                not placement.has_room(executor, ready_step.spec),
                executor.executor_id not in permitted,
                -executor.free.cpu_millicores,
            )

        candidates = [
            executor
            for executor in known
            if executor.executor_id not in refused
            and executor.executor_id not in valid
            and not executor.entry.is_leaving
        ]
        candidates.sort(key=order)
        return [e.executor_id for e in candidates[:MAX_EXECUTORS]]

    def close(self, request):
        """Record that a call has ended, with or without an answer."""
        inquiry = self._known(request)
        if inquiry is not None:
            inquiry.is_open = False

    def _known(self, request):
        """Return what was asked about the step of a call.

        :returns: None if its job has ended meanwhile
        """
        key = request.ready_step.key
        return self._by_job.get(key[0], {}).get(key)

    def note_answer(self, request, good):
        """Record which of the executors of a call may run its step.

        :returns: whether the step still needs to know
        """
        self._note_service_answers()
        inquiry = self._known(request)
        if inquiry is None:
            return False
        inquiry.refused.update(set(request.executor_ids) - set(good))
        inquiry.failures = 0
        inquiry.fruitless = 0 if good else inquiry.fruitless + 1
        return True

    def _note_service_answers(self):
        self._answers += 1
        failed, self._failed_beside_none = self._failed_beside_none, set()
        for key in failed:
            inquiry = self._by_job.get(key[0], {}).get(key)
            if inquiry is not None:
                inquiry.retry_s = 0.0

    def note_failed(self, request, now_s):
        """Record a call without an answer, and put off the next one."""
        inquiry = self._known(request)
        if inquiry is None:
            return
        wait_s = min(MAX_RETRY_S, RETRY_S * 2**inquiry.failures)
        inquiry.failures += 1
        inquiry.retry_s = now_s + wait_s
        if inquiry.answers_before == self._answers:
            self._failed_beside_none.add(request.ready_step.key)
        elif inquiry.is_in_silence:
            # The service has begun to answer after it got this call.
            inquiry.retry_s = now_s

    def lacks_executor(self, step_key, pool):
        """Return whether no executor that a pool has may run a step."""
        inquiry = self._by_job.get(step_key[0], {}).get(step_key)
        return (
            inquiry is not None
            and inquiry.asked_up_to != NO_EXECUTOR
            and inquiry.asked_pool == pool
            and not self._tickets.permitted(step_key)
        )

    def note_lost_ticket(self, step_key):
        """Record that an executor has refused the ticket of a step.

        The executor may have begun another life, in which it can be asked
        about again.
        """
        self._inquiry(step_key).asked_up_to = NO_EXECUTOR

    def discard_job(self, job_id):
        """Forget what was asked about the steps of a job."""
        self._by_job.pop(job_id, None)
        self._occurrences.pop(job_id, None)
