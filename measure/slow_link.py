"""TCP proxy on loopback that delays the traffic to a service."""

import asyncio
import socket
import threading

CHUNK_BYTES = 64 * 1024


class SlowLink:
    """Forward bytes to an address after a delay, in both directions.

    :param host: host of the service
    :param port: port of the service
    :param delay_s: delay of each chunk, in seconds
    """

    def __init__(self, host, port, delay_s):
        self._target = (host, port)
        self._delay_s = delay_s
        self._loop = asyncio.new_event_loop()
        self._socket = socket.create_server((host, 0))
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def url(self):
        """Return the URL of the proxy."""
        host, port = self._socket.getsockname()
        return f'http://{host}:{port}'

    def start(self):
        """Start serving in a background thread."""
        self._thread.start()

    def end(self):
        """Stop serving and close every connection."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._socket.close()

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(
            asyncio.start_server(self._serve, sock=self._socket)
        )
        self._loop.run_forever()

    async def _serve(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, upstream_writer),
            self._forward(upstream_reader, writer),
        )

    async def _forward(self, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self._delay_s)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
