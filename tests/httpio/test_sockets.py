"""Tests of what is read of a connection's socket."""

from __future__ import annotations

import asyncio
import os
import time

from sassafrasstair.httpio import _sockets

HOST = "127.0.0.1"
SENDINGS = 100
WAITS = (0.011, 0.017, 0.03)
TOLERANCE = 0.05


class _Reader(asyncio.Protocol):
    """Notes for how long what it reads has waited."""

    def __init__(self) -> None:
        self.waited: list[float] = []
        self._transport: asyncio.BaseTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        seconds = _sockets.seconds_since_data(self._transport)
        self.waited.append(seconds)


def test_data_did_not_arrive_before_it_was_sent() -> None:
    """A request's limit counted from up to a tick of the kernel too early."""

    async def test() -> None:
        reader = _Reader()
        server = await asyncio.get_running_loop().create_server(
            lambda: reader, HOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection(HOST, port)
        descriptor = writer.transport.get_extra_info("socket").fileno()
        for number in range(SENDINGS):
            await asyncio.sleep(0.001)
            sent_at = time.monotonic()
            os.write(descriptor, b"x")
            time.sleep(WAITS[number % len(WAITS)])
            while len(reader.waited) == number:
                await asyncio.sleep(0.0)
            elapsed = time.monotonic() - sent_at
            assert elapsed - TOLERANCE <= reader.waited[-1] <= elapsed
        writer.close()
        server.close()

    asyncio.run(test())
