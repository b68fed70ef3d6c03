"""Forward requests with a ticket to the entry host that issued it."""

import hmac

import aiohttp

from hawthorndeal_fleet import calls
from hawthorndeal_fleet import errors

from . import callers
from . import endpoints
from . import web

FORWARD_PATH = '/v1/peers/requests/<service:str>'
CONNECT_TIMEOUT_S = 0.5


class Forwarder:
    """Own the connections that carry forwarded requests.

    :param settings: the daemon's settings
    """

    def __init__(self, settings):
        self._token = settings.peer_token
        self._max_answer_bytes = settings.max_answer_bytes
        self._session = None

    async def send(self, request, address, timeout_s):
        """Return the answer that another entry host has for a request.

        :param address: its control address
        :raises errors.RequestFailed: its final answer otherwise
        """
        try:
            async with self._open().post(
                f'http://{address}/v1/peers/requests/{request.service}',
                data=request.body,
                headers=self._headers(request),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, connect=min(CONNECT_TIMEOUT_S, timeout_s)
                ),
            ) as answer:
                return await _read(answer, request)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.TicketHolderUnreachable(
                f'{address}: {error!r:.200}'
            ) from error

    def _open(self):
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
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


async def _read(answer, request):
    outcome = answer.headers.get(callers.OUTCOME_HEADER)
    if outcome == 'answered':
        return calls.Answer(
            status=answer.status,
            body=await answer.read(),
            content_type=answer.headers.get('Content-Type', ''),
            endpoint=answer.headers.get(callers.ENDPOINT_HEADER, ''),
            content_encoding=answer.headers.get('Content-Encoding', ''),
        )
    told = await answer.json()
    kind = errors.NotRun if told['outcome'] == 'not_run' else None
    failure = (kind or errors.UnknownOutcome)(
        str(told['detail']), told['retry_after_s']
    )
    failure.reason = str(told['reason'])
    failure.status = answer.status
    raise failure


def add_route(app, dispatcher, settings):
    """Let peers forward requests to this entry host; return the app."""
    expected = f'Bearer {settings.peer_token}'.encode()

    @app.post(FORWARD_PATH)
    async def serve(request, service):
        shown = request.headers.get('authorization', '').encode()
        if not hmac.compare_digest(expected, shown):
            return web.failure_response(errors.BadRequest('not a peer'))
        try:
            call = callers.parse(request, service, request.body)
            answer = await dispatcher.serve(call, is_forwarded=True)
        except errors.RequestFailed as failure:
            return web.failure_response(failure)
        return callers.respond(answer, call.request_id)

    return app
