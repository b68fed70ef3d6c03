"""Inventory of hosts: their pools, states and executors."""

import attrs

from hawthorndeal_jobs import departures
from hawthorndeal_platform import host_orders

LIST_PERIOD_S = 1.0
# Hosts are listed earlier after an order, to learn its outcome, and while an
# executor with runs has only just fallen silent, since it may have crashed.
EARLY_LIST_DELAY_S = 0.3
SILENCE_WATCH_S = 2.0
# A host that takes longer to reach its new pool no longer counts as arriving.
ARRIVAL_TIMEOUT_S = 4.0
# Absence from a list ends an executor only if it was not reached for this
# long. Lists lag, so that one which no list has shown may have begun since.
MIN_UNREACHED_S = 1.0
MIN_UNREACHED_LISTED_S = 0.4

_State = host_orders.HostState


class HostInventory:
    """State of the hosts, from the host service's lists and from orders.

    Times are in seconds of the daemon's monotonic clock.

    :param parts: shared components of the daemon
    :param owner: its scheduler knows the executors
    :ivar entries: hosts as last listed, updated by orders since
    :ivar draining: hosts from which lasting tasks are displaced
    :ivar retry_at_s: when a host that refused an order may be given another
    """

    def __init__(self, parts, owner):
        self._parts = parts
        self._owner = owner
        self.entries = {}
        self.draining = set()
        self.retry_at_s = {}
        self._listed_s = None
        self._list_due_s = 0.0
        self._moving = {}
        self._unlisted = set()
        # Ids of the known executors that a list has shown.
        self._ever_listed = set()
        # Hosts with an order of unknown outcome, and the time after which a
        # list shows the outcome.
        self._unconfirmed_orders = {}

    @property
    def has_listing(self):
        """Return whether the hosts have been listed at least once."""
        return self._listed_s is not None

    # Lists

    async def refresh(self):
        """List the hosts if a new list is due."""
        sent_s = self._owner.now_s()
        if sent_s < self._list_due_s and not self._is_list_needed(sent_s):
            return
        entries = await self._parts.hosts.list()
        self._listed_s = sent_s
        self._list_due_s = sent_s + LIST_PERIOD_S
        self.entries = {entry.host: entry for entry in entries}
        for entry in entries:
            self._note_entry(entry)
            self._clear_unconfirmed_order(entry, sent_s)
        self._owner.tracker.note_listed(
            {e.executor_id for e in entries if e.state is _State.UP}, sent_s
        )
        self._end_unlisted_executors(entries, sent_s)

    def _is_list_needed(self, now_s):
        """Return whether an executor may have crashed since the last list."""
        if now_s - self._listed_s < EARLY_LIST_DELAY_S:
            return False
        return any(
            executor.runs
            and executor.unanswered_since_s is not None
            and now_s - executor.unanswered_since_s < SILENCE_WATCH_S
            for executor in self._owner.scheduler.executors.values()
        )

    def list_soon(self):
        """Request an early list of the hosts.

        Further requests don't put it off: while hosts are ordered in every
        cycle, the outcomes would never be learned.
        """
        early_s = self._owner.now_s() + EARLY_LIST_DELAY_S
        self._list_due_s = min(self._list_due_s, early_s)

    def _note_entry(self, entry):
        arrival = self._moving.get(entry.host)
        is_up = entry.state is _State.UP
        if arrival and is_up and entry.pool == arrival[0]:
            del self._moving[entry.host]

    def _clear_unconfirmed_order(self, entry, sent_s):
        """Release a host if this list was requested after its last order.

        Only such a list shows whether an unanswered order took effect.
        """
        if self._unconfirmed_orders.get(entry.host, sent_s) >= sent_s:
            return
        del self._unconfirmed_orders[entry.host]
        self.unreserve(entry.host)

    def _end_unlisted_executors(self, entries, sent_s):
        """End the executors that two consecutive lists show on no host."""
        listed = {
            entry.executor_id
            for entry in entries
            if entry.state is not _State.DOWN
        }
        known = self._owner.scheduler.executors
        self._ever_listed = (self._ever_listed | listed) & known.keys()
        unlisted = {
            executor_id
            for executor_id, executor in known.items()
            if executor_id not in listed and executor.last_contact_s < sent_s
        }
        ended = {
            executor_id
            for executor_id in unlisted & self._unlisted
            if self._is_unreached(known[executor_id], sent_s)
        }
        for executor_id in sorted(ended):
            self._owner.tracker.remove(
                known[executor_id], departures.Departure.UNLISTED
            )
        self._unlisted = unlisted

    def _is_unreached(self, executor, now_s):
        is_listed = executor.executor_id in self._ever_listed
        min_s = MIN_UNREACHED_LISTED_S if is_listed else MIN_UNREACHED_S
        return now_s - executor.last_contact_s > min_s

    # Executors

    def executor_on(self, host):
        """Return the current executor of a host, or None.

        Entries that executors publish are newer than the last list.
        """
        scheduler = self._owner.scheduler
        incarnations = scheduler.executors_on(host)
        if incarnations:
            # An entry that is stored late may describe an ended incarnation.
            return max(
                incarnations,
                key=lambda e: (e.incarnation.is_fenced, e.last_contact_s),
            )
        entry = self.entries.get(host)
        if entry is None:
            return None
        return scheduler.executors.get(entry.executor_id)

    def reserve(self, host):
        """Prevent new runs on a host."""
        executor = self.executor_on(host)
        if executor is not None:
            executor.is_reserved = True

    def unreserve(self, host):
        """Allow new runs on a host again, unless it is draining."""
        executor = self.executor_on(host)
        if executor is not None:
            executor.is_reserved = host in self.draining
            self._owner.scheduler.reopen_executor(executor)
            if self._is_listed_up(host, executor):
                executor.incarnation.is_ordered_away = False

    def _is_listed_up(self, host, executor):
        entry = self.entries.get(host)
        return (
            entry is not None
            and entry.state is _State.UP
            and entry.executor_id == executor.executor_id
        )

    def end_draining(self, host):
        """Allow new runs on a host that need not be drained any more."""
        self.draining.discard(host)
        self.unreserve(host)

    def note_ordered_away(self, host):
        """Record that the executor of a host may end by an order."""
        executor = self.executor_on(host)
        if executor is not None:
            executor.incarnation.is_ordered_away = True

    def is_stable(self, host):
        """Return whether a host is up and runs the executor last listed."""
        entry = self.entries[host]
        if entry.state is not _State.UP or host in self._moving:
            return False
        if self._owner.now_s() < self.retry_at_s.get(host, 0.0):
            return False
        executor = self.executor_on(host)
        if executor is None:
            return True
        is_listed = executor.executor_id == entry.executor_id
        return is_listed and not executor.entry.is_leaving

    # Orders

    def note_unconfirmed_order(self, host, since_s):
        """Record that an order may have reached a host, or may still do so.

        :param since_s: time after which a list shows the outcome
        """
        self._unconfirmed_orders[host] = since_s

    def may_be_ordered(self, host):
        """Return whether an unanswered order may have reached a host."""
        return host in self._unconfirmed_orders

    def note_moving(self, host, pool):
        """Record that a host is moving to a pool."""
        timeout_at_s = self._owner.now_s() + ARRIVAL_TIMEOUT_S
        self._moving[host] = (pool, timeout_at_s)
        self._change(host, pool=pool, state=_State.MOVING)

    def note_maintained(self, host):
        """Record that the maintenance of a host has begun."""
        self.draining.discard(host)
        self._change(host, state=_State.IN_MAINTENANCE)

    def _change(self, host, **fields):
        self.entries[host] = attrs.evolve(self.entries[host], **fields)

    def arriving(self, pool, now_s):
        """Return the number of hosts that are moving to a pool.

        A host whose executor has been reached there has arrived, even if it
        is not listed in the pool so far.
        """
        return sum(
            target == pool
            and now_s < timeout_at_s
            and not self._has_arrived(host, pool)
            for host, (target, timeout_at_s) in self._moving.items()
        )

    def _has_arrived(self, host, pool):
        return any(
            executor.incarnation.is_fenced and executor.entry.pool == pool
            for executor in self._owner.scheduler.executors_on(host)
        )
