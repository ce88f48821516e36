"""A loopback proxy whose connections can be delayed, reset, silenced or cut one way while they are open."""

import asyncio
import threading

import harness

# What a proxy does with the bytes of its connections.
PASS, DELAY, RESET, SILENT, ONE_WAY = "pass", "delay", "reset", "silent", "one_way"
DELAY_S = 0.15


class ProxyLoop:
    """The thread that serves all proxies. Use as a context."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.servers = []
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self.call(self._end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)

    async def _end(self):
        for server in self.servers:
            server.close()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)


class Proxy:
    """Passes connections to one address on to another. Thread-safe."""

    def __init__(self, proxy_loop, port, target):
        self.address = f"{harness.HOST}:{port}"
        self._target = target.rsplit(":", 1)
        self._mode = PASS
        self._changed = None
        self._writers = set()
        self._proxy_loop = proxy_loop
        proxy_loop.call(self._listen(port))

    def set(self, mode):
        """Bytes on their way in a silenced connection are kept until the mode ends; a reset ends every open connection."""
        self._proxy_loop.call(self._set(mode))

    async def _listen(self, port):
        self._changed = asyncio.Condition()
        self._proxy_loop.servers.append(await asyncio.start_server(self._serve, harness.HOST, port))

    async def _set(self, mode):
        async with self._changed:
            self._mode = mode
            self._changed.notify_all()
        if mode == RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader, writer):
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
            await asyncio.gather(self._copy(reader, other_writer, False), self._copy(other_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The soak ends.
        self._writers -= {writer, other_writer}

    async def _copy(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                await self._wait(is_answer)
                if writer.transport.is_closing():
                    break  # A reset drops what was held back.
                writer.write(data)
                await writer.drain()
        except OSError:
            pass  # One end was killed or reset, which is part of the soak.
        finally:
            writer.close()

    async def _wait(self, is_answer):
        if self._mode == DELAY:
            await asyncio.sleep(DELAY_S)
        async with self._changed:
            await self._changed.wait_for(lambda: self._mode != SILENT and not (self._mode == ONE_WAY and is_answer))
