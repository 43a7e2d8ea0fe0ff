"""Answers that clients have not read count, and make room for others."""

from __future__ import annotations

import asyncio

import uvloop

from sassafrasstair import clocks
from sassafrasstair.decisions import memory
from sassafrasstair import httpio

HOST = "127.0.0.1"
SIZE = 12_000_000
"""Far more than the buffers of both sockets hold."""
LIMIT = SIZE
TIMEOUT = 5.0
HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Server:
    """Answers each request with a large body, within a small memory."""

    def __init__(self) -> None:
        self.given_up: list[tuple[memory.Kind, str]] = []
        self.cuts: list[str] = []
        self.clock = clocks.SystemClock()
        self.answers = httpio.ResponseMemory(
            LIMIT,
            self.clock,
            lambda kind, size, peer: self.given_up.append((kind, peer)),
        )
        self.listener = httpio.Listener(
            lambda exchange: exchange.respond(200, [], bytes(SIZE)),
            lambda _: [],
            self.clock,
            httpio.MemoryBudget(SIZE),
            note_cut=self.cuts.append,
            answers=self.answers,
        )
        self.port = 0

    async def open(self) -> None:
        """Listen on a free port."""
        await self.listener.open(HOST, 0)
        assert self.listener._server is not None
        self.port = self.listener._server.sockets[0].getsockname()[1]

    async def sweep(self, seconds: float) -> None:
        """Let time pass, with the regular checks of a daemon."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            now = self.clock.monotonic()
            self.listener.sweep(now)
            self.answers.sweep()
            await asyncio.sleep(0.05)

    async def ask(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request; nothing of its answer is read yet."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(HEAD)
        return reader, writer


async def _read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> int:
    writer.transport.resume_reading()  # type: ignore[attr-defined]
    async with asyncio.timeout(TIMEOUT):
        await reader.readuntil(b"\r\n\r\n")
        size = 0
        while size < SIZE and (piece := await reader.read(65_536)):
            size += len(piece)
    return size


def test_client_that_reads_nothing_makes_room_for_one_that_reads() -> None:
    """Its answer was in no account, and the others' found no memory."""

    async def run() -> None:
        server = Server()
        await server.open()
        _, silent = await server.ask()
        await server.sweep(0.2)
        assert 0 < server.answers.held_bytes <= SIZE
        await server.sweep(memory.STALLED_SECONDS)
        assert server.given_up == []
        assert await _read(*await server.ask()) == SIZE
        assert server.given_up == [(memory.Kind.UNREAD, HOST)]
        assert server.cuts == ["memory"]
        await server.sweep(0.1)
        assert server.answers.held_bytes == 0
        silent.transport.abort()

    uvloop.run(run())


def test_client_that_reads_late_gets_its_answer_while_there_is_room() -> None:
    async def run() -> None:
        server = Server()
        await server.open()
        reader, writer = await server.ask()
        await server.sweep(2 * memory.STALLED_SECONDS)
        assert await _read(reader, writer) == SIZE
        await server.sweep(0.1)
        assert server.answers.held_bytes == 0
        assert server.given_up == []

    uvloop.run(run())
