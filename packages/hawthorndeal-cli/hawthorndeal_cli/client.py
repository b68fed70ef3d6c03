"""Ask entry hosts on behalf of an operator."""

import asyncio

import aiohttp

from hawthorndeal_fleet import errors

from . import failures

HTTP_OK = 200
HTTP_UNAUTHORIZED = 401


class AnswerLost(errors.HawthorndealError):
    """Report a change whose answer was lost after it was sent."""


class Client:
    """Call the first entry host that answers.

    :param settings: which entry hosts, and the token
    """

    def __init__(self, settings):
        self._settings = settings

    def get(self, path):
        """Return status and JSON answer of a read.

        :raises failures.Unavailable: when no entry host answers
        :raises failures.NotAuthorized: when the token isn't accepted
        """
        return asyncio.run(self._first('GET', path, None))

    def read(self, path):
        """Return the JSON answer of a read that must succeed.

        :raises failures.UnexpectedAnswer: when it doesn't
        :raises failures.Unavailable: when no entry host answers
        :raises failures.NotAuthorized: when the token isn't accepted
        """
        status, answer = self.get(path)
        if status != HTTP_OK:
            raise failures.UnexpectedAnswer(
                f'{path}: status {status}: {answer!r:.200}',
                'check that client and entry hosts are of one version',
            )
        return answer

    def post(self, path, body):
        """Return status and JSON answer of a change.

        Only an entry host that was certainly not reached is passed over.

        :raises AnswerLost: when it may have taken effect
        :raises failures.Unavailable: when no entry host can be reached
        :raises failures.NotAuthorized: when the token isn't accepted
        """
        return asyncio.run(self._first('POST', path, body))

    async def _first(self, method, path, body):
        timeout = aiohttp.ClientTimeout(total=self._settings.call_timeout_s)
        headers = {'Authorization': f'Bearer {self._settings.token}'}
        async with aiohttp.ClientSession(
            timeout=timeout, headers=headers
        ) as session:
            for address in self._settings.daemons:
                answer = await _try(session, method, address, path, body)
                if answer is not None:
                    return answer
        raise failures.Unavailable(
            f'no entry host of {self._settings.daemons} answers',
            'check the addresses in the settings file',
        )


async def _try(session, method, address, path, body):
    try:
        async with session.request(
            method, f'http://{address}{path}', json=body
        ) as answer:
            if answer.status == HTTP_UNAUTHORIZED:
                raise failures.NotAuthorized(
                    f'entry host {address} does not accept the token',
                    'check the token in the settings file',
                )
            return answer.status, await answer.json()
    except aiohttp.ClientConnectorError:
        return None
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        if method == 'GET':
            return None
        raise AnswerLost(
            f'the answer of {address} is lost: {error!r}'
        ) from error
