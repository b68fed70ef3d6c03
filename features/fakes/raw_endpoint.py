"""Fake endpoint that can send malformed or incomplete HTTP responses."""

import asyncio
import collections
import enum

NOT_RUN_RESPONSE = (
    b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nHd-Not-Run: %s\r\n\r\n'
)


DEADLY_BODY = b'crashes the endpoint'


class Fault(enum.Enum):
    """What goes wrong with a request."""

    NONE = 'none'
    REFUSE = 'refuses'
    SHUTTING_DOWN = 'says that it leaves'
    ERROR = 'answers an error at once'
    ABORT_BEFORE = 'breaks off before running'
    CRASH = 'crashes by the request'
    ABORT_AFTER = 'breaks off after running'
    TRUNCATE = 'truncates its answer'
    NO_LENGTH = 'tells no length'
    WRONG_ID = 'answers another request'
    TOO_LONG = 'answers too much'
    TOO_LONG_CHUNKED = 'answers too much in chunks'
    REDIRECT = 'redirects'
    NO_RESPONSE = 'never answers'
    STALL_MIDWAY = 'stops half way'
    SLOW = 'is slow'


class RawEndpoint:
    """Serves requests on one address and counts those that ran.

    :ivar crashes: how often a request crashed it
    :ivar last_silent_connection: number, counted from 1, of the last
        connection that gets no response
    """

    def __init__(self):
        self.fault = Fault.NONE
        self.crashes = 0
        self.delay_s = 0.0
        self.runs = collections.Counter()
        self.finished = collections.Counter()
        self.connections = 0
        self.open = set()
        self.last_silent_connection = 0
        self.address = ''
        self._server = None

    async def start(self):
        """Start to listen, on the port of an earlier start if any."""
        port = int(self.address.rpartition(':')[2] or 0)
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=512
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    async def stop(self):
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in list(self.open):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        self.open.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer, number)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            # asyncio streams would log it as an unhandled callback error.
            return
        finally:
            self.open.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer, number):
        request_id, body = await _read_request(reader)
        if (
            number <= self.last_silent_connection
            or self.fault is Fault.NO_RESPONSE
        ):
            await reader.read()
            raise ConnectionResetError
        refusal = {Fault.REFUSE: b'busy', Fault.SHUTTING_DOWN: b'leaving'}
        if self.fault in refusal:
            writer.write(NOT_RUN_RESPONSE % refusal[self.fault])
            return
        if self.fault is Fault.ABORT_BEFORE:
            raise ConnectionResetError
        if self.fault is Fault.CRASH and body == DEADLY_BODY:
            self.crashes += 1
            await self.stop()
            raise ConnectionResetError
        self.runs[request_id] += 1
        await asyncio.sleep(self.delay_s)
        self.finished[request_id] += 1
        await self._send_response(reader, writer, request_id, body)

    async def _send_response(self, reader, writer, request_id, body):
        if self.fault is Fault.ABORT_AFTER:
            raise ConnectionResetError
        if self.fault is Fault.WRONG_ID:
            request_id = 'another'
        if self.fault in (Fault.TOO_LONG, Fault.TOO_LONG_CHUNKED):
            body *= 100_000
        writer.write(self._response_head(request_id, len(body)))
        if self.fault is Fault.TOO_LONG_CHUNKED:
            body = f'{len(body):x}\r\n'.encode() + body + b'\r\n0\r\n\r\n'
        if self.fault in (Fault.TRUNCATE, Fault.STALL_MIDWAY):
            body = body[: len(body) // 2]
        writer.write(body)
        await writer.drain()
        if self.fault is Fault.STALL_MIDWAY:
            await reader.read()
        if self.fault in (Fault.TRUNCATE, Fault.NO_LENGTH):
            writer.close()
            raise ConnectionResetError

    def _response_head(self, request_id, size):
        status = {
            Fault.ERROR: '500 Broken',
            Fault.REDIRECT: '307 Elsewhere',
        }.get(self.fault, '200 OK')
        lines = [f'HTTP/1.1 {status}', f'Hd-Request-Id: {request_id}']
        if self.fault is Fault.TOO_LONG_CHUNKED:
            lines.append('Transfer-Encoding: chunked')
        elif self.fault is not Fault.NO_LENGTH:
            lines.append(f'Content-Length: {size}')
        if self.fault is Fault.REDIRECT:
            lines.append('Location: /run/again')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def _read_request(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
    headers = dict(
        line.split(': ', 1) for line in head.split('\r\n')[1:] if line
    )
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return headers['hd-request-id'], body
