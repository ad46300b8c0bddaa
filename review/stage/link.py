"""A link between a daemon and a member that can be cut: a proxy that holds all bytes meanwhile."""

import asyncio


class Link:
    """Forwards connections to a port of the loopback address."""

    def __init__(self, target):
        self.target = target
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.forward, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        """Holds everything that is sent from now on."""
        self.is_open.clear()

    def heal(self):
        """Delivers what was held."""
        self.is_open.set()

    async def forward(self, reader, writer):
        await self.is_open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        await self.is_open.wait()
        writer.close()
