"""HTTP client of the worker service, with JSON bodies."""

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
        """Return the reports since a cursor, with a delay."""
        answer = await self._transport.call(
            'GET', '/v1/reports', params={'cursor': str(cursor)}
        )
        return codec.from_plain(answer, tasks.ReportPage)

    async def tasks(self, host):
        """Return the current status of each task on a host."""
        answer = await self._transport.call('GET', f'/v1/workers/{host}/tasks')
        return _by_token(answer)

    async def start(self, host, order):
        """Start a task under a new token."""
        return await self._post_action(
            host, order.token, 'start', attrs.asdict(order)
        )

    async def renew(self, host, until_s):
        """Extend leases, and return the status of each known token."""
        ends = [[token, end_s] for token, end_s in until_s.items()]
        answer = await self._transport.call(
            'POST', f'/v1/workers/{host}/renew', {'until_s': ends}
        )
        return _by_token(answer)

    async def throttle(self, host, token, version):
        """Throttle a task."""
        return await self._post_action(
            host, token, 'throttle', {'version': version}
        )

    async def resume(self, host, token, version):
        """Undo a throttle, unless the task has a newer one."""
        return await self._post_action(
            host, token, 'resume', {'version': version}
        )

    async def checkpoint(self, host, token):
        """Save a task's progress and end the task."""
        return await self._post_action(host, token, 'checkpoint', {})

    async def stop(self, host, token):
        """End a task, or prevent it from starting."""
        return await self._post_action(host, token, 'stop', {})

    async def _post_action(self, host, token, action, body):
        path = f'/v1/workers/{host}/tasks/{token}/{action}'
        answer = await self._transport.call('POST', path, body)
        return codec.from_plain(answer, tasks.TaskStatus)


def _by_token(answer):
    statuses = codec.from_plain(answer['tasks'], list[tasks.TaskStatus])
    return {status.token: status for status in statuses}
