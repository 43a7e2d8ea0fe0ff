"""What becomes of a connection between its last answer and its end."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import time

import pytest

from sassafrasstair.httpio import _connections
from tests.httpio import pipelined

SWEEP_SECONDS = 0.05
MEGABYTE = 1_000_000


async def _sweep(server: pipelined.Server) -> None:
    """Sweep as a daemon does."""
    while True:
        now = server.listener.clock.monotonic()
        server.listener.sweep(now)
        await asyncio.sleep(SWEEP_SECONDS)


@dataclasses.dataclass
class _Read:
    """What a client read, and what the listener noted."""

    size: int
    was_reset: bool
    reasons: list[str]


async def _read_slowly(size: int) -> _Read:
    """Read a last answer slowly, and send on after the close."""
    server = pipelined.Server()
    reasons: list[str] = []
    server.listener.note_cut = reasons.append
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
    sweeping = asyncio.ensure_future(_sweep(server))
    server.answer(0, body=b"x" * size, close=True)
    got, was_reset = 0, False
    ends_at = time.monotonic() + _connections.LINGER_SECONDS + 0.5
    while time.monotonic() < ends_at:
        got += len(await loop.sock_recv(client, 4_096))
        await asyncio.sleep(0.1)
    try:
        await loop.sock_sendall(client, pipelined.requests("us"))
        await server.settle()
        while data := await loop.sock_recv(client, 65_536):
            got += len(data)
    except ConnectionError:
        was_reset = True
    sweeping.cancel()
    client.close()
    return _Read(got, was_reset, reasons)


@pytest.mark.parametrize("size", [200_000, MEGABYTE])
def test_slow_reader_that_sends_on_gets_the_whole_last_answer(
    size: int,
) -> None:
    """The kernel still held the answer when the connection was aborted."""

    async def test() -> None:
        read = await _read_slowly(size)
        assert not read.was_reset
        assert read.size > size

    pipelined.run(test())


def test_answer_that_is_cut_in_the_kernel_is_noted() -> None:
    """Only what the process itself had not sent counted as unsent."""

    async def test() -> None:
        read = await _read_slowly(MEGABYTE)
        assert (not read.was_reset) or read.reasons

    pipelined.run(test())


@pytest.mark.parametrize("kinds", ["u", "us"])
def test_request_that_crosses_the_close_of_an_idle_connection_is_not_read(
    kinds: str,
) -> None:
    """Clients send what was not read again, whatever its kind."""

    async def test() -> None:
        server = pipelined.Server()
        await server.connect()
        await server.settle()
        (connection,) = server.listener.connections
        server.listener.close_idle(server.listener.clock.monotonic())
        server.writer.write(pipelined.requests(kinds))
        await server.settle()
        assert connection._dropped_bytes == 0
        server.writer.close()

    pipelined.run(test())
