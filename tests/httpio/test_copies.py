"""A long body is held once while it is sent, not beside a copy of it."""

from __future__ import annotations

import asyncio
import tracemalloc

import uvloop

from sassafrasstair import clocks
from sassafrasstair import httpio
from tests.httpio import freed

HOST = "127.0.0.1"
SIZE = 16_000_000
COPIED_BYTES = SIZE // 4
"""Far less than a copy."""
HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
_SILENT_SECONDS = 0.3


async def _read_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(_SILENT_SECONDS)
    writer.transport.abort()


def test_upload_is_not_copied_for_each_attempt() -> None:
    """Two attempts held three copies, of which one was accounted for."""

    async def run() -> None:
        server = await asyncio.start_server(_read_nothing, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        pool = httpio.Pool(HOST, port, clocks.SystemClock(), 30.0)
        body = bytes(SIZE)
        head = httpio.request_head(b"POST", b"/", [(b"Host", b"h")], SIZE)
        before = await freed.traced_bytes()
        tracemalloc.reset_peak()
        for _ in range(2):
            pool.send(httpio.Job(head, lambda _: None, body=body))
        await asyncio.sleep(_SILENT_SECONDS)
        peak = tracemalloc.get_traced_memory()[1]
        assert peak - before < COPIED_BYTES
        pool.close()
        server.close()

    with freed.without_collector():
        uvloop.run(run())


def test_answer_is_not_copied_for_its_client() -> None:
    """The copy stood beside the answer until the client had read it."""

    async def run() -> None:
        body = bytes(SIZE)
        listener = httpio.Listener(
            lambda exchange: exchange.respond(200, [], body),
            lambda _: [],
            clocks.SystemClock(),
            httpio.MemoryBudget(SIZE),
        )
        await listener.open(HOST, 0)
        assert listener._server is not None
        port = listener._server.sockets[0].getsockname()[1]
        before = await freed.traced_bytes()
        tracemalloc.reset_peak()
        _, writer = await asyncio.open_connection(HOST, port, limit=1)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(HEAD)
        await asyncio.sleep(_SILENT_SECONDS)
        peak = tracemalloc.get_traced_memory()[1]
        assert peak - before < COPIED_BYTES
        writer.transport.abort()
        await asyncio.sleep(_SILENT_SECONDS)

    with freed.without_collector():
        uvloop.run(run())
