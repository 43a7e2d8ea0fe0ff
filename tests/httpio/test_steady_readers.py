"""Tests of clients that read a great answer slowly and steadily."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from sassafrasstair import httpio
from tests.httpio import pipelined

SIZE = 12_000_000
IDLE_SECONDS = 1.0
STEADY_SECONDS = 2.5
PIECE_BYTES = 20_000
PAUSE_SECONDS = 0.1


@pytest.mark.parametrize("closes", [False, True])
def test_answer_that_is_read_steadily_is_not_cut(closes: bool) -> None:
    """Only whole steps of the kernel's buffer counted as progress."""

    async def test() -> None:
        server = pipelined.Server()
        server.listener.limits = httpio.Limits(idle_seconds=IDLE_SECONDS)
        await server.listener.open(pipelined.HOST, 0)
        assert server.listener._server is not None
        port = server.listener._server.sockets[0].getsockname()[1]
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (pipelined.HOST, port))
        await loop.sock_sendall(client, pipelined.requests("u"))
        await server.wait_until_started(0)
        server.answer(0, body=b"x" * SIZE, close=closes)
        got = 0
        until = time.monotonic() + STEADY_SECONDS
        while time.monotonic() < until:
            got += len(await loop.sock_recv(client, PIECE_BYTES))
            server.listener.sweep(server.listener.clock.monotonic())
            await asyncio.sleep(PAUSE_SECONDS)
        while piece := await loop.sock_recv(client, 1_000_000):
            got += len(piece)
            if got > SIZE:
                break
        client.close()
        assert got > SIZE

    pipelined.run(test())
