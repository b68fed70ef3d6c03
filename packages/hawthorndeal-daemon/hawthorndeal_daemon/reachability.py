"""Track which workers answer, and which are to be avoided."""

from hawthorndeal_fleet import errors

from . import logs

AVOIDANCE_PERIOD_S = 5.0

_log = logs.get('reachability')


class Reachability:
    """Track the workers that do not answer calls.

    :param clock: source of monotonic time
    """

    def __init__(self, clock):
        self._clock = clock
        self._unreachable_since_s = {}
        self._avoided_until_s = {}

    async def call(self, host, awaitable):
        """Await a call to a host and return its result.

        :raises errors.PlatformError: if the call fails
        """
        try:
            answer = await awaitable
        except errors.PlatformRefused:
            self._unreachable_since_s.pop(host, None)
            raise
        except errors.PlatformError:
            self._record_failure(host)
            raise
        self._unreachable_since_s.pop(host, None)
        return answer

    def _record_failure(self, host):
        if host not in self._unreachable_since_s:
            _log.warning('Worker %s does not answer.', host)
        now_s = self._clock.monotonic_s()
        self._unreachable_since_s.setdefault(host, now_s)
        self.avoid(host)

    def avoid(self, host):
        """Place no new jobs on a host for a while."""
        self._avoided_until_s[host] = (
            self._clock.monotonic_s() + AVOIDANCE_PERIOD_S
        )

    def avoided(self):
        """Return the hosts on which to place no new jobs."""
        now_s = self._clock.monotonic_s()
        known = self._avoided_until_s.items()
        return {host for host, until_s in known if now_s < until_s}

    def unreachable_s(self):
        """Return how long hosts have not answered, by host."""
        now_s = self._clock.monotonic_s()
        known = self._unreachable_since_s.items()
        return {host: now_s - since_s for host, since_s in known}

    def retain(self, hosts):
        """Forget all hosts but the given ones, which are still declared."""
        for known in (self._unreachable_since_s, self._avoided_until_s):
            for host in set(known) - set(hosts):
                del known[host]
