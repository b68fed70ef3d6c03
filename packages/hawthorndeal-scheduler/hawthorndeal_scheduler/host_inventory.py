"""Know the hosts of an owner, where they are and what runs on them."""

import attrs

from hawthorndeal_platform import host_orders

LIST_PERIOD_S = 1.0
# After an order a list is asked for sooner, since its outcome matters.
LIST_SOON_S = 0.3
# A host that doesn't arrive in its new pool by then is counted out.
ARRIVAL_LIMIT_S = 4.0
# A list says that a life has ended only of executors silent this long.
SILENT_S = 1.0

_State = host_orders.HostState


class HostInventory:
    """Keep what lists and orders tell of hosts.

    Times are seconds of the daemon's steady clock.

    :param parts: what an owner works with
    :param owner: knows the executors
    :ivar entries: hosts as last listed, or as orders have changed them
    :ivar emptying: hosts from which lasting tasks are to leave
    :ivar retry_s: when a host that refused an order may be ordered again
    """

    def __init__(self, parts, owner):
        self._parts = parts
        self._owner = owner
        self.entries = {}
        self.emptying = set()
        self.retry_s = {}
        self._listed_s = None
        self._list_due_s = 0.0
        self._moving = {}
        self._unlisted = set()
        # Hosts whose last order was not answered, and since when.
        self._unsure = {}

    @property
    def is_known(self):
        """Tell whether hosts were listed yet."""
        return self._listed_s is not None

    # Lists

    async def refresh(self):
        """List the hosts anew, when that is due."""
        sent_s = self._owner.now_s()
        if sent_s < self._list_due_s:
            return
        entries = await self._parts.hosts.list()
        self._listed_s = sent_s
        self._list_due_s = sent_s + LIST_PERIOD_S
        self.entries = {entry.host: entry for entry in entries}
        for entry in entries:
            self._note_entry(entry)
            self._settle(entry, sent_s)
        self._end_past_lives(entries, sent_s)

    def list_soon(self):
        """Have the hosts listed soon."""
        self._list_due_s = self._owner.now_s() + LIST_SOON_S

    def _note_entry(self, entry):
        arrival = self._moving.get(entry.host)
        is_there = entry.state is _State.UP
        if arrival and is_there and entry.pool == arrival[0]:
            del self._moving[entry.host]

    def _settle(self, entry, sent_s):
        """Let a host work on whose unanswered order came to nothing."""
        if self._unsure.get(entry.host, sent_s) >= sent_s:
            return
        del self._unsure[entry.host]
        self.unreserve(entry.host)

    def _end_past_lives(self, entries, sent_s):
        """End the executors that no host has had for two lists."""
        listed = {
            entry.executor_id
            for entry in entries
            if entry.state is not _State.DOWN
        }
        known = self._owner.scheduler.executors
        unlisted = {
            executor_id
            for executor_id, executor in known.items()
            if executor_id not in listed
            and sent_s - executor.reached_s > SILENT_S
        }
        for executor_id in sorted(unlisted & self._unlisted):
            self._owner.end_executor(known[executor_id], 'no host has it')
        self._unlisted = unlisted

    # Executors

    def executor_on(self, host):
        """Return the executor that lives on a host, or None.

        What executors tell of themselves is newer than the last list.
        """
        known = self._owner.scheduler.executors
        lives = [e for e in known.values() if e.entry.host == host]
        if lives:
            # An entry that is stored late may tell of a life that has ended.
            return max(lives, key=lambda e: (e.is_fenced, e.reached_s))
        entry = self.entries.get(host)
        return known.get(entry.executor_id) if entry is not None else None

    def reserve(self, host):
        """Have nothing more start on a host."""
        executor = self.executor_on(host)
        if executor is not None:
            executor.is_reserved = True

    def unreserve(self, host):
        """Let tasks start on a host again, unless it is being emptied."""
        executor = self.executor_on(host)
        if executor is not None:
            executor.is_reserved = host in self.emptying

    def is_steady(self, host):
        """Tell whether a host is up, and lists agree with what lives there."""
        entry = self.entries[host]
        if entry.state is not _State.UP or host in self._moving:
            return False
        if self._owner.now_s() < self.retry_s.get(host, 0.0):
            return False
        executor = self.executor_on(host)
        if executor is None:
            return True
        is_listed = executor.executor_id == entry.executor_id
        return is_listed and not executor.entry.is_leaving

    # Orders

    def note_unsure(self, host, since_s):
        """Note that an order may still reach a host, or has reached it."""
        self._unsure[host] = since_s

    def note_moving(self, host, pool):
        """Note that a host moves to a pool."""
        limit_s = self._owner.now_s() + ARRIVAL_LIMIT_S
        self._moving[host] = (pool, limit_s)
        self._change(host, pool=pool, state=_State.MOVING)

    def note_maintained(self, host):
        """Note that a host's maintenance has begun."""
        self.emptying.discard(host)
        self._change(host, state=_State.IN_MAINTENANCE)

    def _change(self, host, **fields):
        self.entries[host] = attrs.evolve(self.entries[host], **fields)

    def arriving(self, pool, now_s):
        """Return how many hosts are on their way to a pool."""
        return sum(
            target == pool and now_s < limit_s
            for target, limit_s in self._moving.values()
        )
