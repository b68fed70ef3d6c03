"""HTTP client for the control interface of entry hosts."""

import asyncio

import aiohttp

from hawthorndeal_fleet import errors

from . import failures

HTTP_OK = 200
HTTP_UNAUTHORIZED = 401


class ResponseLost(errors.HawthorndealError):
    """Raised when a change was sent but no response arrived."""


class Client:
    """Sends each request to the first entry host that responds.

    :param settings: addresses of the entry hosts, and the token
    """

    def __init__(self, settings):
        self._settings = settings

    def get(self, path):
        """Return the status and JSON body of the response to a GET request.

        :raises failures.Unavailable: if no entry host responds
        :raises failures.NotAuthorized: if the token is rejected
        """
        return asyncio.run(self._request_any('GET', path, None))

    def read(self, path):
        """Return the JSON body of the response to a GET request.

        :raises failures.UnexpectedResponse: if the status is not 200
        :raises failures.Unavailable: if no entry host responds
        :raises failures.NotAuthorized: if the token is rejected
        """
        status, response = self.get(path)
        if status != HTTP_OK:
            raise failures.UnexpectedResponse(
                f'{path}: status {status}: {response!r:.200}',
                'check that client and entry hosts run the same version',
            )
        return response

    def post(self, path, body):
        """Return the status and JSON body of the response to a POST request.

        The next entry host is tried only if the connection to the previous
        one could not be established, as a change must not be sent twice.

        :raises ResponseLost: if the change may have taken effect
        :raises failures.Unavailable: if no entry host can be reached
        :raises failures.NotAuthorized: if the token is rejected
        """
        return asyncio.run(self._request_any('POST', path, body))

    async def _request_any(self, method, path, body):
        timeout = aiohttp.ClientTimeout(total=self._settings.call_timeout_s)
        headers = {'Authorization': f'Bearer {self._settings.token}'}
        async with aiohttp.ClientSession(
            timeout=timeout, headers=headers
        ) as session:
            for address in self._settings.daemons:
                response = await _send_request(
                    session, method, address, path, body
                )
                if response is not None:
                    return response
        raise failures.Unavailable(
            f'no entry host of {self._settings.daemons} responds',
            'check the addresses in the settings file',
        )


async def _send_request(session, method, address, path, body):
    try:
        async with session.request(
            method, f'http://{address}{path}', json=body
        ) as response:
            if response.status == HTTP_UNAUTHORIZED:
                raise failures.NotAuthorized(
                    f'entry host {address} rejected the token',
                    'check the token in the settings file',
                )
            return response.status, await response.json()
    except aiohttp.ClientConnectorError:
        return None
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        if method == 'GET':
            return None
        raise ResponseLost(
            f'no response from {address} after sending: {error!r}'
        ) from error
