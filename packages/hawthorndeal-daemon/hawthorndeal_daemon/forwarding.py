"""Forwarding of requests to the entry hosts that issued their tickets."""

import hmac

import aiohttp

from hawthorndeal_fleet import calls
from hawthorndeal_fleet import errors
from hawthorndeal_platform import connector

from . import callers
from . import endpoints
from . import web

FORWARD_PATH = '/v1/peers/requests/<service:str>'
CONNECT_TIMEOUT_S = 0.5


class Forwarder:
    """HTTP client that forwards requests to other entry hosts.

    :param settings: the daemon's settings
    """

    def __init__(self, settings):
        self._token = settings.peer_token
        self._max_answer_bytes = settings.max_answer_bytes
        self._session = None

    async def send(self, request, address, timeout_s):
        """Forward a request and return the answer to it.

        :param address: control address of the other entry host
        :param timeout_s: time to the deadline, in seconds
        :raises errors.RequestFailed: if the other entry host has no answer of
            an endpoint, or can't be reached
        """
        try:
            async with self._get_session().post(
                f'http://{address}/v1/peers/requests/{request.service}',
                data=request.body,
                headers=self._headers(request),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s)
                ),
            ) as answer:
                return await _parse_response(answer, request)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.TicketHolderUnreachable(
                f'{address}: {error!r:.200}'
            ) from error

    def _get_session(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=connector.Connector(
                    limit=0, socket_factory=endpoints.make_socket
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
            )
        return self._session

    def _headers(self, request):
        return {
            'Authorization': f'Bearer {self._token}',
            callers.WORKSPACE_HEADER: request.workspace,
            callers.REQUEST_ID_HEADER: request.request_id,
            callers.DEADLINE_HEADER: f'{request.deadline_s:.3f}',
            callers.URGENCY_HEADER: request.urgency.value,
            callers.TICKET_HEADER: request.ticket,
        }

    async def close(self):
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


async def _parse_response(answer, request):
    outcome = answer.headers.get(callers.OUTCOME_HEADER)
    if outcome == 'answered':
        return calls.Answer(
            status=answer.status,
            body=await answer.read(),
            content_type=answer.headers.get('Content-Type', ''),
            endpoint=answer.headers.get(callers.ENDPOINT_HEADER, ''),
            content_encoding=answer.headers.get('Content-Encoding', ''),
        )
    failure_fields = await answer.json()
    kind = errors.NotRun if failure_fields['outcome'] == 'not_run' else None
    failure = (kind or errors.UnknownOutcome)(
        str(failure_fields['detail']), failure_fields['retry_after_s']
    )
    failure.reason = str(failure_fields['reason'])
    failure.status = answer.status
    raise failure


def add_route(app, dispatcher, settings):
    """Add the route for requests forwarded by peers; return the app."""
    expected = f'Bearer {settings.peer_token}'.encode()

    @app.post(FORWARD_PATH)
    async def serve(request, service):
        presented = request.headers.get('authorization', '').encode()
        if not hmac.compare_digest(expected, presented):
            return web.failure_response(
                errors.BadRequest('wrong or missing peer token')
            )
        try:
            call = callers.parse_request(request, service, request.body)
            answer = await dispatcher.serve(call, is_forwarded=True)
        except errors.RequestFailed as failure:
            return web.failure_response(failure)
        return callers.make_response(answer, call.request_id)

    return app
