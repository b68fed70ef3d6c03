"""HTTP client of the host service, with JSON bodies."""

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import maintenance


class HttpHosts:
    """List and maintain hosts; see :class:`protocols.Hosts`.

    :param transport: the connection to the host service
    """

    def __init__(self, transport):
        self._transport = transport
        self._version = ''
        self._statuses = {}

    async def list(self):
        """Return the status of every host by name, possibly outdated.

        Requests only the changes since the last answer. A service that keeps
        no versions, or no longer has this one, returns the full list.
        """
        answer = await self._transport.call(
            'GET',
            '/v1/hosts',
            params={'since': self._version} if self._version else None,
        )
        # If this answer can't be decoded, the next call fetches the full list.
        self._version = ''
        reported = {
            name: codec.from_plain(status, maintenance.HostStatus)
            for name, status in answer['hosts'].items()
        }
        if answer.get('is_whole', True):
            self._statuses = reported
        else:
            self._statuses.update(reported)
            for name in answer['gone']:
                self._statuses.pop(name, None)
        self._version = answer.get('version', '')
        return dict(self._statuses)

    async def get(self, host):
        """Return the current status of one host."""
        answer = await self._transport.call('GET', f'/v1/hosts/{host}')
        return codec.from_plain(answer, maintenance.HostStatus)

    async def drain(self, host, deadline_s):
        """Start moving all tasks off a host; idempotent."""
        await self._post(host, 'drain', deadline_s)

    async def reboot(self, host, boot_id, deadline_s):
        """Reboot a host if its boot id is still the one given."""
        await self._post(host, 'reboot', deadline_s, boot_id=boot_id)

    async def move(self, host, pool, deadline_s):
        """Move a host to a pool; idempotent."""
        await self._post(host, 'move', deadline_s, pool=pool)

    async def restore(self, host, deadline_s):
        """Allow tasks on a drained host again."""
        await self._post(host, 'restore', deadline_s)

    async def _post(self, host, action, deadline_s, **body):
        await self._transport.call(
            'POST',
            f'/v1/hosts/{host}/{action}',
            {'deadline_s': deadline_s, **body},
        )
