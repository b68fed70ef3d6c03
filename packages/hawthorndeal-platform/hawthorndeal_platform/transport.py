"""Call the platform over HTTP with JSON, giving each failure a type."""

import asyncio

import aiohttp

from hawthorndeal_fleet import errors

HTTP_GONE = 410
HTTP_RANGE_NOT_SATISFIABLE = 416
HTTP_ERROR = 400
HTTP_SERVER_ERROR = 500


class Transport:
    """Call one service of the platform.

    :param base_url: where the service is
    :param timeout_s: longest time for one call
    """

    def __init__(self, base_url, timeout_s):
        self._base_url = base_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session = None

    async def call(self, method, path, body=None, params=None):
        """Return the JSON answer of one call.

        :raises errors.PlatformUnavailable: nothing was sent
        :raises errors.OutcomeUnknown: the call may have taken effect
        :raises errors.PlatformRefused: the platform said no
        """
        session = self._open()
        try:
            async with session.request(
                method,
                self._base_url + path,
                json=body,
                params=params,
                timeout=self._timeout,
            ) as response:
                return await _read(response, path)
        except aiohttp.ClientConnectorError as error:
            raise errors.PlatformUnavailable(f'{path}: {error}') from error
        except (aiohttp.ClientError, ValueError) as error:
            raise errors.OutcomeUnknown(f'{path}: {error!r}') from error
        except asyncio.TimeoutError as error:
            raise errors.OutcomeUnknown(f'{path}: timed out') from error

    def _open(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                skip_auto_headers=('User-Agent', 'Accept-Encoding')
            )
        return self._session

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


async def _read(response, path):
    try:
        answer = await response.json(content_type=None)
    except RecursionError as error:
        raise errors.AnswerTooDeep(path) from error
    if response.status < HTTP_ERROR:
        return answer
    if response.status == HTTP_GONE:
        raise errors.OffsetExpired(answer['offset'], answer['first_offset'])
    if response.status == HTTP_RANGE_NOT_SATISFIABLE:
        raise errors.OffsetBeyondEnd(answer['offset'], answer['next_offset'])
    if response.status >= HTTP_SERVER_ERROR:
        raise errors.OutcomeUnknown(f'{path}: status {response.status}')
    raise errors.PlatformRefused(
        f'{path}: status {response.status}: {answer!r:.200}'
    )
