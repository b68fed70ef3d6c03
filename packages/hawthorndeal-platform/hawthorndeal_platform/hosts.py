"""The platform's list of hosts over HTTP with JSON."""

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import maintenance


class HttpHosts:
    """Ask about hosts and work on them; see :class:`protocols.Hosts`.

    :param transport: the connection to the host service
    """

    def __init__(self, transport):
        self._transport = transport
        self._version = ''
        self._known = {}

    async def list(self):
        """Return the status of every host by name; it lags.

        Only what changed since the last answer is asked for. A platform that
        keeps no versions, or has forgotten this one, tells the whole list.
        """
        answer = await self._transport.call(
            'GET',
            '/v1/hosts',
            params={'since': self._version} if self._version else None,
        )
        # Asked for anew from the start, should this answer not be usable.
        self._version = ''
        told = {
            name: codec.from_plain(status, maintenance.HostStatus)
            for name, status in answer['hosts'].items()
        }
        if answer.get('is_whole', True):
            self._known = told
        else:
            self._known.update(told)
            for name in answer['gone']:
                self._known.pop(name, None)
        self._version = answer.get('version', '')
        return dict(self._known)

    async def get(self, host):
        """Return the status of one host, up to date."""
        answer = await self._transport.call('GET', f'/v1/hosts/{host}')
        return codec.from_plain(answer, maintenance.HostStatus)

    async def drain(self, host, deadline_s):
        """Have tasks moved off a host; repeating it changes nothing."""
        await self._post(host, 'drain', deadline_s)

    async def reboot(self, host, boot_id, deadline_s):
        """Reboot a host that still runs the boot named."""
        await self._post(host, 'reboot', deadline_s, boot_id=boot_id)

    async def move(self, host, pool, deadline_s):
        """Put a host into a pool; repeating it changes nothing."""
        await self._post(host, 'move', deadline_s, pool=pool)

    async def restore(self, host, deadline_s):
        """Let a drained host take tasks again."""
        await self._post(host, 'restore', deadline_s)

    async def _post(self, host, verb, deadline_s, **body):
        await self._transport.call(
            'POST',
            f'/v1/hosts/{host}/{verb}',
            {'deadline_s': deadline_s, **body},
        )
