"""Send a request to an endpoint and read its whole answer."""

import asyncio

import aiohttp

from hawthorndeal_fleet import calls
from hawthorndeal_fleet import errors

REQUEST_ID_HEADER = 'Hd-Request-Id'
WORKSPACE_HEADER = 'Hd-Workspace'
DEADLINE_HEADER = 'Hd-Deadline-S'
NOT_RUN_HEADER = 'Hd-Not-Run'
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 15.0


class EndpointClient:
    """Own the connections to endpoints.

    A connection carries one request at a time and is closed when that
    request ends in anything but a whole answer.
    """

    def __init__(self):
        self._session = None

    def _open(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, keepalive_timeout=IDLE_CONNECTION_S
                ),
                auto_decompress=False,
                skip_auto_headers=('User-Agent', 'Accept-Encoding'),
            )
        return self._session

    async def send(self, request, name, address, timeout_s):
        """Return the whole answer of an endpoint.

        :param request: the caller's request
        :param name: the endpoint's name
        :param address: where it listens
        :param timeout_s: seconds left to the deadline
        :rtype: calls.Answer
        :raises errors.NoEndpoint: no byte was sent
        :raises errors.EndpointRefused: it said that it didn't run it
        :raises errors.UnknownOutcome: it may have run
        """
        try:
            async with self._open().post(
                f'http://{address}/run/{request.service}',
                data=request.body,
                headers={
                    REQUEST_ID_HEADER: request.request_id,
                    WORKSPACE_HEADER: request.workspace,
                    DEADLINE_HEADER: f'{request.deadline_s:.3f}',
                },
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s)
                ),
            ) as response:
                return await _read_answer(response, request, name)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.NoEndpoint(f'{name}: {error}') from error
        except asyncio.TimeoutError as error:
            raise errors.AnswerLate(f'{name}: no answer in time') from error
        except aiohttp.ClientError as error:
            raise errors.AnswerLost(f'{name}: {error!r}') from error

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


async def _read_answer(response, request, name):
    body = await response.read()
    echoed = response.headers.get(REQUEST_ID_HEADER, request.request_id)
    if echoed != request.request_id:
        response.close()
        raise errors.AnswerLost(f'{name}: answer to request {echoed!r:.80}')
    if NOT_RUN_HEADER in response.headers:
        raise errors.EndpointRefused(f'{name}: status {response.status}')
    return calls.Answer(
        status=response.status,
        body=body,
        content_type=response.headers.get('Content-Type', ''),
        endpoint=name,
    )
