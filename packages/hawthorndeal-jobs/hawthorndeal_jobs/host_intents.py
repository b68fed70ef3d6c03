"""Decide which hosts a new owner may operate on.

Hosts don't check epochs, so operations of two owners on the same host must be
a lease apart. An owner stores an intent before it operates on a host. From
these intents, its successor knows which hosts have certainly been left alone,
and may operate on those at once.
"""

import attrs

# An owner starts host operations until this long after its last confirmed
# append. A slow store takes more than a second to confirm one.
HOST_ORDER_WINDOW_S = 2.5
# Time for a call in flight to complete.
IN_FLIGHT_MARGIN_S = 0.6
# Added to the lease between operations of two owners.
LEASE_MARGIN_S = 0.1


@attrs.frozen
class HostIntent:
    """A completed or intended operation on a host.

    :ivar daemon: the owner that performs the operation
    :ivar quiet_s: time since the operation ended when the intent was stored;
        None if it may still be sent
    """

    host: str
    daemon: str
    quiet_s: float | None = None


@attrs.define
class _HostOrder:
    daemon: str
    quiet_since_s: float
    is_open: bool = False
    is_stored: bool = False


class HostIntents:
    """Host intents of one owner, and those inherited from its predecessors.

    Times are in seconds of a clock that also advances while the daemon's host
    is suspended.

    :param daemon: the current owner
    :param lease_s: minimum time between operations of two owners on a host
    """

    def __init__(self, daemon, lease_s):
        self._daemon = daemon
        self._lease_s = lease_s + LEASE_MARGIN_S
        self._known = {}
        self._unconfirmed = []
        self._is_changed = False

    def inherit(self, intents, read_s, last_record_s):
        """Add the intents that previous owners stored.

        An owner performs no operation without a stored intent, and none later
        than HOST_ORDER_WINDOW_S after its last confirmed append.

        :param read_s: when the intents were read
        :param last_record_s: when a record of an owner was last read
        """
        for intent in intents:
            if intent.quiet_s is None:
                quiet_since_s = (
                    last_record_s + HOST_ORDER_WINDOW_S + IN_FLIGHT_MARGIN_S
                )
            else:
                quiet_since_s = read_s - intent.quiet_s
            known = self._known.get(intent.host)
            if known is None or known.quiet_since_s < quiet_since_s:
                self._known[intent.host] = _HostOrder(
                    intent.daemon, quiet_since_s
                )

    def wait_s(self, host, now_s):
        """Return the time until an operation on a host is allowed."""
        known = self._known.get(host)
        if known is None:
            return 0.0
        is_own = known.daemon == self._daemon
        lease_s = 0.0 if is_own else self._lease_s
        return max(0.0, known.quiet_since_s + lease_s - now_s)

    def outstanding(self, now_s):
        """Return hosts that an operation of a previous owner may still reach.

        :returns: the time until that is ruled out, by host
        """
        return {
            host: known.quiet_since_s - now_s
            for host, known in self._known.items()
            if known.quiet_since_s > now_s and not known.is_open
        }

    def begin(self, hosts, now_s):
        """Add intents for operations on hosts."""
        for host in hosts:
            self._known[host] = _HostOrder(self._daemon, now_s, is_open=True)
            self._is_changed = True

    def may_order(self, host):
        """Return True if the intent for an operation on a host is stored."""
        known = self._known.get(host)
        return known is not None and known.is_open and known.is_stored

    def end(self, host, now_s):
        """Record that an operation on a host has ended or was not sent."""
        known = self._known.get(host)
        if known is not None and known.is_open:
            known.is_open = False
            known.quiet_since_s = now_s
            self._is_changed = True

    def pop_changed(self, now_s):
        """Return all relevant intents, or None if nothing has changed."""
        if not self._is_changed:
            return None
        self._is_changed = False
        self._known = {
            host: known
            for host, known in self._known.items()
            if known.is_open or now_s < known.quiet_since_s + self._lease_s
        }
        self._unconfirmed = [k for k in self._known.values() if k.is_open]
        return [
            HostIntent(
                host,
                known.daemon,
                None
                if known.is_open
                else round(now_s - known.quiet_since_s, 3),
            )
            for host, known in self._known.items()
        ]

    def note_stored(self):
        """Record that the intents returned last are stored."""
        for known in self._unconfirmed:
            known.is_stored = True
        self._unconfirmed = []
