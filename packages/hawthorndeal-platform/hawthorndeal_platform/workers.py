"""The platform's workers over HTTP with JSON."""

import attrs

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import tasks


class HttpWorkers:
    """Run tasks on workers; see :class:`protocols.Workers`.

    :param transport: the connection to the worker service
    """

    def __init__(self, transport):
        self._transport = transport

    async def reports(self, cursor):
        """Return the reports that came since a cursor; they lag."""
        answer = await self._transport.call(
            'GET', '/v1/reports', params={'cursor': str(cursor)}
        )
        return codec.from_plain(answer, tasks.ReportPage)

    async def tasks(self, host):
        """Return the status of each task of a host, up to date."""
        answer = await self._transport.call('GET', f'/v1/workers/{host}/tasks')
        return _by_token(answer)

    async def start(self, host, order):
        """Start a task under a new token."""
        return await self._act(host, order.token, 'start', attrs.asdict(order))

    async def renew(self, host, until_s):
        """Extend leases, and return the status of each token known."""
        ends = [[token, end_s] for token, end_s in until_s.items()]
        answer = await self._transport.call(
            'POST', f'/v1/workers/{host}/renew', {'until_s': ends}
        )
        return _by_token(answer)

    async def throttle(self, host, token, version):
        """Have a task run slowly."""
        return await self._act(host, token, 'throttle', {'version': version})

    async def resume(self, host, token, version):
        """Have a throttled task run in full."""
        return await self._act(host, token, 'resume', {'version': version})

    async def checkpoint(self, host, token):
        """Keep a task's progress and end it."""
        return await self._act(host, token, 'checkpoint', {})

    async def stop(self, host, token):
        """End a task, or see that it never starts."""
        return await self._act(host, token, 'stop', {})

    async def _act(self, host, token, verb, body):
        path = f'/v1/workers/{host}/tasks/{token}/{verb}'
        answer = await self._transport.call('POST', path, body)
        return codec.from_plain(answer, tasks.TaskStatus)


def _by_token(answer):
    statuses = codec.from_plain(answer['tasks'], list[tasks.TaskStatus])
    return {status.token: status for status in statuses}
