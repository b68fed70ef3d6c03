"""Bound the connections that one listening socket serves at once."""

import asyncio
import json

from sanic.server.protocols import http_protocol

from hawthorndeal_fleet import errors

# Time for the other end to read why it is refused.
REFUSAL_LINGER_S = 1.0
RETRY_AFTER_S = 1


def _refusal():
    failure = errors.TooManyConnections(
        'this entry host serves as many connections as it can',
        retry_after_s=RETRY_AFTER_S,
    )
    body = json.dumps(
        {
            'outcome': failure.outcome,
            'reason': failure.reason,
            'detail': failure.detail,
            'retry_after_s': failure.retry_after_s,
        }
    )
    return (
        f'HTTP/1.1 {failure.status} Service Unavailable\r\n'
        f'Content-Type: application/json\r\nConnection: close\r\n'
        f'Retry-After: {RETRY_AFTER_S}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


REFUSAL = _refusal()


def limited_protocol(max_connections):
    """Return a protocol that refuses connections over a limit.

    :param max_connections: served at once; as many again may linger
    """
    refused = set()

    class LimitedProtocol(http_protocol.HttpProtocol):
        """Serve HTTP, or say that there is no room."""

        def connection_made(self, transport):
            """Take a connection or refuse it."""
            if len(self.connections) < max_connections:
                super().connection_made(transport)
            elif len(refused) < max_connections:
                refused.add(self)
                transport.write(REFUSAL)
                asyncio.get_running_loop().call_later(
                    REFUSAL_LINGER_S, transport.close
                )
            else:
                transport.abort()

        def data_received(self, data):
            """Take in data, but not from a refused connection."""
            if self not in refused:
                super().data_received(data)

        def connection_lost(self, exc):
            """Forget the connection."""
            refused.discard(self)
            if self in self.connections:
                super().connection_lost(exc)

    return LimitedProtocol
