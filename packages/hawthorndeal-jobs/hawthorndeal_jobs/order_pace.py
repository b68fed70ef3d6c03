"""Decide when the next order to a host may be sent.

The host service accepts a limited number of orders per second, and refuses
those beyond it.
"""

import attrs

# Share of the accepted rate that is used, so that jitter on the way to the
# service exceeds it in no second.
USED_SHARE = 0.85


@attrs.define
class OrderPace:
    """Spaces out orders evenly.

    :ivar orders_per_s: orders that the service accepts per second
    """

    orders_per_s: float
    _due_s: float = 0.0

    def reserve(self, now_s):
        """Return the time to wait before one more order is sent."""
        sent_s = max(now_s, self._due_s)
        self._due_s = sent_s + 1.0 / (USED_SHARE * self.orders_per_s)
        return sent_s - now_s
