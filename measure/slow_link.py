"""A slow way to a service, on loopback."""

import asyncio
import socket
import threading

CHUNK_BYTES = 64 * 1024


class SlowLink:
    """Pass bytes on to an address after a delay, in both directions.

    :param host: where the service is
    :param port: its port
    :param delay_s: how much later each byte arrives
    """

    def __init__(self, host, port, delay_s):
        self._target = (host, port)
        self._delay_s = delay_s
        self._loop = asyncio.new_event_loop()
        self._socket = socket.create_server((host, 0))
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def url(self):
        """Return where it listens."""
        host, port = self._socket.getsockname()
        return f'http://{host}:{port}'

    def start(self):
        """Serve in a thread of its own."""
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
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pass_on(reader, back), self._pass_on(there, writer)
        )

    async def _pass_on(self, reader, writer):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self._delay_s)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
