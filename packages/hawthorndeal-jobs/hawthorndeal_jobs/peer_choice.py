"""Decide which daemon to pass a caller's call on to.

The load: the store turns some daemons away, or a link to it is cut, while
others are served. A call that this daemon can't answer is passed on to one
that may. Daemons that failed of late are left out, so that nothing is passed
around while the store is away for all.
"""

import attrs

# A daemon that failed is not tried again for this long.
AVOID_S = 0.5


@attrs.define
class PeerChoice:
    """Chooses among the other daemons.

    :ivar daemon: name of this daemon
    :ivar zone: availability zone of this daemon
    """

    daemon: str
    zone: str
    _failed_s: dict[str, float] = attrs.Factory(dict)

    def order(self, daemons, now_s, rng):
        """Return the names of other daemons in the order to try them.

        Those of this zone are first, since calls between zones cost more; all
        else is random, so that the calls are shared.

        :param daemons: :class:`journal.DaemonRecord` by name
        """
        others = [
            name
            for name in daemons
            if name != self.daemon and not self._is_avoided(name, now_s)
        ]
        rng.shuffle(others)
        return sorted(others, key=lambda name: daemons[name].zone != self.zone)

    def _is_avoided(self, name, now_s):
        failed_s = self._failed_s.get(name)
        return failed_s is not None and now_s - failed_s < AVOID_S

    def note_failed(self, name, now_s):
        """Record that a daemon could not answer a call."""
        self._failed_s[name] = now_s

    def note_answered(self, name):
        """Record that a daemon answered a call."""
        self._failed_s.pop(name, None)
