"""Decide which hosts an owner may order about; answers a change of owners.

Hosts don't check epochs, so that orders of two owners to one host must lie
apart by a lease. An owner stores that it is about to order a host before it
does. Who takes over knows by this which hosts have surely been left alone,
and orders these at once.
"""

import attrs

# An owner gives orders to hosts while the store confirmed it this recently;
# a slow store takes more than a second to do so.
HOST_ORDER_WINDOW_S = 2.5
# Time for a call that is on its way to be over.
IN_FLIGHT_MARGIN_S = 0.6
# Added to the time between orders of two owners.
LEASE_MARGIN_S = 0.1


@attrs.frozen
class HostIntent:
    """Tell of a host that was, or is about to be, ordered about.

    :ivar daemon: the owner that gives the order
    :ivar quiet_s: time since that order was over, when this was stored;
        None while the order may still be given
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
    """Keep one owner's intents, and those that it has inherited.

    Times are seconds of a clock that also counts while the host of the
    daemon is suspended.

    :param daemon: this owner
    :param lease_s: time between orders of two owners to one host
    """

    def __init__(self, daemon, lease_s):
        self._daemon = daemon
        self._lease_s = lease_s + LEASE_MARGIN_S
        self._known = {}
        self._unconfirmed = []
        self._is_changed = False

    def inherit(self, intents, read_s, last_sign_s):
        """Take in what earlier owners have stored.

        An owner gives no order that it has stored no intent for, and none
        long after the store last confirmed it.

        :param read_s: when the intents were read
        :param last_sign_s: when anything of an owner's was last read
        """
        for intent in intents:
            if intent.quiet_s is None:
                quiet_since_s = (
                    last_sign_s + HOST_ORDER_WINDOW_S + IN_FLIGHT_MARGIN_S
                )
            else:
                quiet_since_s = read_s - intent.quiet_s
            self._known[intent.host] = _HostOrder(intent.daemon, quiet_since_s)

    def wait_s(self, host, now_s):
        """Return the time until a host may be ordered about."""
        known = self._known.get(host)
        if known is None:
            return 0.0
        is_own = known.daemon == self._daemon
        lease_s = 0.0 if is_own else self._lease_s
        return max(0.0, known.quiet_since_s + lease_s - now_s)

    def outstanding(self, now_s):
        """Return hosts that an earlier owner's order may still reach.

        :returns: the time until that is over, by host
        """
        return {
            host: known.quiet_since_s - now_s
            for host, known in self._known.items()
            if known.quiet_since_s > now_s and not known.is_open
        }

    def begin(self, hosts, now_s):
        """Note hosts that are about to be ordered about."""
        for host in hosts:
            self._known[host] = _HostOrder(self._daemon, now_s, is_open=True)
            self._is_changed = True

    def may_order(self, host):
        """Tell whether the store knows that a host is to be ordered."""
        known = self._known.get(host)
        return known is not None and known.is_open and known.is_stored

    def end(self, host, now_s):
        """Note that an order to a host is over, or was not given."""
        known = self._known.get(host)
        if known is not None and known.is_open:
            known.is_open = False
            known.quiet_since_s = now_s
            self._is_changed = True

    def take_changed(self, now_s):
        """Return all intents that matter, or None if nothing has changed."""
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
        """Note that what was taken last is in the store."""
        for known in self._unconfirmed:
            known.is_stored = True
        self._unconfirmed = []
