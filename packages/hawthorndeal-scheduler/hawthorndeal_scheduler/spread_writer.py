"""Appends an owner's records to one of several partitions that answers."""

import asyncio
import math

import attrs

from hawthorndeal_platform import keyed_log
from hawthorndeal_platform import tasks


@attrs.frozen(eq=False)
class Choice:
    """A partition that records may be appended to.

    :ivar writer: a :class:`journal_writer.JournalWriter` of the partition
    :ivar follower: follower of the partition, which tells when it answered
    """

    writer: object
    follower: object

    @property
    def answered_s(self):
        """When the partition last answered a read."""
        answered_s = self.follower.last_answer_s
        return -math.inf if answered_s is None else answered_s


@attrs.frozen
class _Attempt:
    task: asyncio.Task
    begun_s: float


class SpreadWriter:
    """Appends to the first partition, or to another one while it is away.

    An append that is overdue stays in flight, so that the records may end up
    in several partitions, and an older record may be stored after a newer one
    in another partition. Readers have to tell which is newer.

    :param choices: the preferred partition first
    :param log: tells when an append is overdue
    :param spawn: runs a coroutine until the ownership term ends
    :param events: the decision log
    """

    def __init__(self, choices, log, spawn, events):
        self._choices = choices
        self._log = log
        self._spawn = spawn
        self._events = events
        self._in_flight = {}
        self._last = choices[0]
        self._lock = asyncio.Lock()

    @property
    def is_at_first(self):
        """Whether the first partition takes the records at present."""
        return self._last is self._choices[0] and not self._in_flight

    @property
    def ends(self):
        """Up to which offset each partition is known to hold records."""
        return tuple(
            max(choice.writer.end, choice.follower.next_offset)
            for choice in self._choices
        )

    def probe(self, partition, records):
        """Append records to a partition, unless one is in flight there."""
        choice = self._find(partition)
        if choice is not None and choice not in self._in_flight:
            self._begin(choice, records)

    def is_overdue(self, partition):
        """Return whether a partition leaves an append unanswered."""
        attempt = self._in_flight.get(self._find(partition))
        return attempt is not None and (
            _now_s() - attempt.begun_s > self._log.overdue_s
        )

    def _find(self, partition):
        return next(
            (c for c in self._choices if c.follower.partition == partition),
            None,
        )

    @property
    def has_read_back(self):
        """Whether all that was appended has been read again."""
        return all(
            choice.follower.has_read(choice.writer.end)
            for choice in self._choices
        )

    async def fence(self, records):
        """Append records to all partitions, so that each fences older owners.

        :raises keyed_log.Fenced: if a newer owner has taken over, or this one
            can't fence its predecessors
        """
        refused = await asyncio.gather(
            *(choice.writer.append(records) for choice in self._choices)
        )
        if any(refused):
            raise keyed_log.Fenced('the store refuses the record that fences')

    async def append(self, records):
        """Append records to one of the partitions.

        :returns: the records that the store will never take
        :raises keyed_log.Fenced: if a newer owner has taken over
        """
        async with self._lock:
            return await self._append(records)

    async def _append(self, records):
        attempts = {}
        while True:
            choice = self._next_choice(attempts)
            if choice is not None:
                attempts[self._begin(choice, records)] = choice
            others = [attempt.task for attempt in self._in_flight.values()]
            done = await self._wait(attempts or others)
            for attempt in done & attempts.keys():
                refused = attempt.result()
                self._note_used(attempts[attempt])
                return refused

    def _note_used(self, choice):
        if choice is not self._last:
            self._events.write(
                'records_moved',
                usual=self._choices[0].follower.partition.name,
                partition=choice.follower.partition.name,
            )
        self._last = choice

    def _next_choice(self, attempts):
        """Return the next partition to try, or None.

        While nothing at all is answered, a further try would not help.
        """
        if attempts and self._log.reachability.is_silent:
            return None
        idle = [c for c in self._choices if c not in self._in_flight]
        if not idle or self._choices[0] in idle:
            return idle[0] if idle else None
        if self._last in idle:
            return self._last
        return max(idle, key=lambda choice: choice.answered_s)

    def _begin(self, choice, records):
        task = self._spawn(choice.writer.append(records))
        self._in_flight[choice] = _Attempt(task, _now_s())
        task.add_done_callback(lambda _: self._in_flight.pop(choice))
        task.add_done_callback(tasks.retrieve_error)
        return task

    async def _wait(self, attempts):
        done, _ = await asyncio.wait(
            list(attempts),
            timeout=self._log.overdue_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return done


def _now_s():
    return asyncio.get_running_loop().time()
