"""Gives each stand-in worker its own loopback address, so that an owner opens as many connections as it would to real workers."""

import asyncio
import resource
import threading

import harness


def loopback_address(number):
    """Returns the loopback address of the worker with this number. All of 127.0.0.0/8 belongs to the loopback interface."""
    return f"127.0.{1 + number // 200}.{1 + number % 200}"


class WorkerRelay:
    """Listens on one port of many loopback addresses and forwards every connection to one target. Use as a context manager."""

    def __init__(self, count, port, target):
        self._count = count
        self._port = port
        self._target = target
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._serve_until_stopped, daemon=True)

    def __enter__(self):
        _raise_open_file_limit()
        self._thread.start()
        if not self._ready.wait(10):
            raise harness.HarnessError("the relay to the workers did not start listening; end other test runs")
        return self

    def __exit__(self, *_):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    def _serve_until_stopped(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen())
        self._ready.set()
        self._loop.run_forever()

    async def _listen(self):
        for number in range(self._count):
            await asyncio.start_server(self._serve_connection, loopback_address(number), self._port)

    async def _serve_connection(self, reader, writer):
        host, port = self._target.rsplit(":", 1)
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(_forward(reader, other_writer), _forward(other_reader, writer))


async def _forward(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass  # The process at the other end was killed, as some measurements intend.
    finally:
        writer.close()


def _raise_open_file_limit():
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 8192 if hard == resource.RLIM_INFINITY else min(8192, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
