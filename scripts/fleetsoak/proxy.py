"""A TCP proxy on loopback that can delay, reset or block its open connections, in one direction or in both."""

import asyncio
import threading

import harness

# Modes of a proxy. SILENT holds back the bytes in both directions, ONE_WAY only those from the target.
PASS, DELAY, RESET, SILENT, ONE_WAY = "pass", "delay", "reset", "silent", "one_way"
DELAY_S = 0.15


class ProxyLoop:
    """A thread with an event loop that serves all proxies. Use as a context manager."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.servers = []
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self.run_coroutine(self._close_servers())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)

    async def _close_servers(self):
        for server in self.servers:
            server.close()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def run_coroutine(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)


class Proxy:
    """Forwards connections from a loopback port to the address @p target. Thread-safe."""

    def __init__(self, proxy_loop, port, target):
        self.address = f"{harness.HOST}:{port}"
        self._target = target.rsplit(":", 1)
        self._mode = PASS
        self._changed = None
        self._writers = set()
        self._proxy_loop = proxy_loop
        proxy_loop.run_coroutine(self._listen(port))

    def set_mode(self, mode):
        """Applies one of the modes. RESET closes every open connection; SILENT and ONE_WAY hold bytes back until the next mode allows them."""
        self._proxy_loop.run_coroutine(self._apply_mode(mode))

    def forward_to(self, target):
        """Closes every open connection, and forwards new ones to another address from now on."""
        self._target = target.rsplit(":", 1)
        self.set_mode(RESET)
        self.set_mode(PASS)

    async def _listen(self, port):
        self._changed = asyncio.Condition()
        self._proxy_loop.servers.append(await asyncio.start_server(self._serve_connection, harness.HOST, port))

    async def _apply_mode(self, mode):
        async with self._changed:
            self._mode = mode
            self._changed.notify_all()
        if mode == RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve_connection(self, reader, writer):
        if self._mode == RESET:
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(self._target[0], int(self._target[1]))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, other_writer}
        try:
            await asyncio.gather(self._forward(reader, other_writer, False), self._forward(other_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The soak is ending.
        self._writers -= {writer, other_writer}

    async def _forward(self, reader, writer, from_target):
        try:
            while data := await reader.read(65536):
                await self._wait_while_blocked(from_target)
                if writer.transport.is_closing():
                    break  # A reset discards the bytes that were held back.
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # A process was killed or the connection was reset, as the soak intends.
        finally:
            writer.close()

    async def _wait_while_blocked(self, from_target):
        if self._mode == DELAY:
            await asyncio.sleep(DELAY_S)
        async with self._changed:
            await self._changed.wait_for(lambda: self._mode != SILENT and not (self._mode == ONE_WAY and from_target))
