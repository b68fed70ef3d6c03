"""A TCP proxy in front of a stand-in, which can be cut in one direction."""

import asyncio

from standins import serving

CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections until it is cut.

    :param address: where it forwards to
    :ivar is_cut: whether nothing comes back any more; what is sent on open
        connections still arrives, and new connections are not opened
    """

    def __init__(self, address):
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._server = None
        self._tasks = set()
        self.is_cut = False
        self.address = ''

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, serving.HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{serving.HOST}:{port}'

    async def stop(self):
        """Close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        if self.is_cut:
            # The opening of a connection needs answers. It stays silent.
            await self._drop(reader)
            writer.close()
            return
        try:
            remote_reader, remote_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.close()
            return
        forward = asyncio.create_task(
            self._pump(reader, remote_writer, lambda: False)
        )
        back = asyncio.create_task(
            self._pump(remote_reader, writer, lambda: self.is_cut)
        )
        self._tasks |= {forward, back}
        try:
            await asyncio.wait(
                {forward, back}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (forward, back):
                task.cancel()
                self._tasks.discard(task)
            writer.close()
            remote_writer.close()

    async def _drop(self, reader):
        try:
            while await reader.read(CHUNK_BYTES):
                pass
        except OSError:
            return

    async def _pump(self, reader, writer, is_dropped):
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if not is_dropped():
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            return
