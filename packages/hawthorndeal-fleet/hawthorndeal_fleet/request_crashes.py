"""Remember requests that seem to crash the endpoints that run them.

The same content may come again with another id, so that requests are known by
their service and content. Each entry host keeps such a table of its own.
"""

import hashlib

import attrs

# Endpoints that crash under a request before it is passed on to no other.
MAX_CRASHED_ENDPOINTS = 2
# Time for which such a request is refused.
RETENTION_S = 60.0
# Contents that are remembered; the oldest are dropped.
MAX_CONTENTS = 1000
DIGEST_BYTES = 16


@attrs.define
class _Crashes:
    """What is known of one content.

    :ivar endpoints: names of the endpoints that crashed
    :ivar request_keys: keys of the requests that were sent to them
    :ivar noted_s: time of the last crash
    """

    endpoints: set[str] = attrs.Factory(set)
    request_keys: set[str] = attrs.Factory(set)
    noted_s: float = 0.0


class RequestCrashes:
    """The endpoints that crashed under each request, by its content."""

    def __init__(self):
        self._by_content = {}

    def note(self, request, endpoint, now_s):
        """Record that an endpoint crashed while it ran a request."""
        key = _content_key(request)
        crashes = self._by_content.pop(key, None) or _Crashes()
        crashes.endpoints.add(endpoint)
        crashes.request_keys.add(request.key)
        crashes.noted_s = now_s
        # The newest is last.
        self._by_content[key] = crashes
        if len(self._by_content) > MAX_CONTENTS:
            del self._by_content[next(iter(self._by_content))]

    def is_blocked(self, request, now_s):
        """Return whether a request must not be passed on now."""
        return self.blocked_s(request, now_s) > 0.0

    def blocked_s(self, request, now_s):
        """Return for how long a request must not be passed on."""
        crashes = self._find(request, now_s)
        if crashes is None or (len(crashes.endpoints) < MAX_CRASHED_ENDPOINTS):
            return 0.0
        return crashes.noted_s + RETENTION_S - now_s

    def was_sent(self, request, now_s):
        """Return whether this very request was sent to a crashed endpoint."""
        crashes = self._find(request, now_s)
        return crashes is not None and request.key in crashes.request_keys

    def _find(self, request, now_s):
        if not self._by_content:
            return None
        crashes = self._by_content.get(_content_key(request))
        if crashes is None or now_s >= crashes.noted_s + RETENTION_S:
            return None
        return crashes


def _content_key(request):
    digest = hashlib.blake2b(request.body, digest_size=DIGEST_BYTES).digest()
    return request.workspace, request.service, digest
