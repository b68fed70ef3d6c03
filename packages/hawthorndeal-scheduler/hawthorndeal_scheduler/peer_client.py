"""Passes callers' calls on to other daemons, by HTTP with JSON."""

import attrs

from hawthorndeal_fleet import errors
from hawthorndeal_platform import peer_calls

PATH = '/calls'
# A daemon that can't be connected to for this long is not tried further.
CONNECT_TIMEOUT_S = 0.25
NAME_HEADER = 'Expected-Daemon'
# Answered by a daemon that has not handled the call.
NOT_HANDLED_STATUS = 421


class PeerClient:
    """Client of other daemons; see :class:`peer_calls.Peers`.

    :param client: a :class:`transport.HttpClient`
    """

    def __init__(self, client):
        self._client = client

    async def pass_on(self, address, daemon, call, timeout_s):
        """Return the answer of another daemon to a caller's call."""
        response = await self._client.send(
            'POST',
            f'http://{address}{PATH}',
            timeout_s,
            encode_call(call),
            headers={NAME_HEADER: daemon},
        )
        if response.status == NOT_HANDLED_STATUS:
            raise errors.PlatformUnavailable(f'{daemon} is not at {address}')
        if response.status != 200:
            raise errors.OutcomeUnknown(f'{daemon}: status {response.status}')
        return decode_answer(response.json_object(PATH))


def encode_call(call):
    """Return a call as plain data."""
    plain = attrs.asdict(call)
    plain['body'] = call.body.decode(errors='replace')
    return plain


def decode_call(plain):
    """Return the call that plain data describe.

    :raises ValueError: if they describe none
    """
    try:
        key = plain['key']
        return peer_calls.CallerCall(
            str(plain['method']),
            str(plain['host_name']),
            str(plain['path']),
            None if key is None else str(key),
            str(plain['body']).encode(),
            is_relayed=True,
            min_version=int(plain['min_version']),
            # Daemons of an earlier version don't send it.
            may_be_stored=bool(plain.get('may_be_stored')),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f'not a call: {error!r}') from error


def encode_answer(answer):
    """Return an answer as plain data."""
    return attrs.asdict(answer)


def decode_answer(plain):
    """Return the answer that plain data describe.

    :raises errors.OutcomeUnknown: if they describe none
    """
    try:
        retry_after_s = plain['retry_after_s']
        return peer_calls.CallerAnswer(
            int(plain['status']),
            dict(plain['plain']),
            None if retry_after_s is None else float(retry_after_s),
            int(plain['version']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.OutcomeUnknown(f'not an answer: {error!r}') from error
