"""Know which workers answer, and which are better left alone."""

from hawthorndeal_fleet import errors

from . import logs

AVOID_S = 5.0

_log = logs.get('reachability')


class Reachability:
    """Call workers, and remember those that do not answer.

    :param clock: tells the time
    """

    def __init__(self, clock):
        self._clock = clock
        self._silent_since_s = {}
        self._avoided_until_s = {}

    async def call(self, host, work):
        """Return the answer of a call to a host.

        :raises errors.PlatformError: as the call does
        """
        try:
            answer = await work
        except errors.PlatformRefused:
            self._silent_since_s.pop(host, None)
            raise
        except errors.PlatformError:
            self._note_silent(host)
            raise
        self._silent_since_s.pop(host, None)
        return answer

    def _note_silent(self, host):
        if host not in self._silent_since_s:
            _log.warning('Worker %s does not answer.', host)
        now_s = self._clock.monotonic_s()
        self._silent_since_s.setdefault(host, now_s)
        self.avoid(host)

    def avoid(self, host):
        """Keep new jobs off a host for a while."""
        self._avoided_until_s[host] = self._clock.monotonic_s() + AVOID_S

    def avoided(self):
        """Return the hosts to keep new jobs off."""
        now_s = self._clock.monotonic_s()
        known = self._avoided_until_s.items()
        return {host for host, until_s in known if now_s < until_s}

    def unreachable_s(self):
        """Return for how long hosts have not answered, by host."""
        now_s = self._clock.monotonic_s()
        known = self._silent_since_s.items()
        return {host: now_s - since_s for host, since_s in known}

    def keep_only(self, hosts):
        """Forget hosts that are not declared any more."""
        for known in (self._silent_since_s, self._avoided_until_s):
            for host in set(known) - set(hosts):
                del known[host]
