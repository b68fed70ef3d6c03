"""Limit on the number of connections to one listening socket."""

import asyncio
import json

from sanic.server.protocols import http_protocol

from hawthorndeal_fleet import errors

# Time that a refused client has to read the response.
REFUSAL_LINGER_S = 1.0
RETRY_AFTER_S = 1


def _refusal():
    failure = errors.TooManyConnections(
        'this entry host has reached its connection limit',
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
    """Return a protocol class that refuses connections over a limit.

    :param max_connections: connections served at once; as many refused ones
        may stay open to read the refusal, any more are aborted
    """
    refused = set()

    class LimitedProtocol(http_protocol.HttpProtocol):
        """HTTP protocol that refuses connections over the limit."""

        def connection_made(self, transport):
            """Accept a connection, or refuse it."""
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
            """Process data, unless the connection was refused."""
            if self not in refused:
                super().data_received(data)

        def connection_lost(self, exc):
            """Stop counting the connection."""
            refused.discard(self)
            if self in self.connections:
                super().connection_lost(exc)

    return LimitedProtocol
