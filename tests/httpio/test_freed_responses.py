"""What came of a response is freed as the response ends, in any way."""

from __future__ import annotations

import asyncio
import typing

import pytest

from sassafrasstair import clocks
from sassafrasstair import httpio
from tests.httpio import freed
from tests.httpio import test_pools

SIZE = 8_000_000
LEFT_BYTES = 500_000
"""Of connections and tasks, but not of any body."""
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: now\r\n"
END = b"0\r\n\r\n"
RESPONSES = {
    "no length": HEAD + b"\r\n" + SIZE * b"x",
    "length": HEAD + b"Content-Length: %d\r\n\r\n" % (2 * SIZE) + SIZE * b"x",
    "chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + (b"10000\r\n%s\r\n" % (0x10000 * b"x")) * (SIZE // 0x10000),
}
ENDS: dict[str, typing.Any] = {
    "aborted": test_pools.Script((b"",)),
    "reset": test_pools.Script((b"",), resets=True),
    "garbled": test_pools.Script((b"",), b"\x00\r\n\x00"),
}


@pytest.mark.parametrize("response", RESPONSES.values(), ids=RESPONSES)
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_unfinished_response_is_freed_without_the_collector(
    response: bytes, end: test_pools.Script
) -> None:
    """It stayed with its connection, which refers to its parser and back."""

    async def run() -> None:
        script = test_pools.Script(
            (response,), end.afterwards, end.closes, end.resets
        )
        server = test_pools.Server(script)
        await server.open()
        memory = httpio.ResponseMemory(10 * SIZE)
        pool = httpio.Pool(
            test_pools.HOST, server.port, clocks.SystemClock(), 30.0, memory
        )
        before = await freed.traced_bytes()
        for _ in range(3):
            head = httpio.request_head(b"GET", b"/", [(b"Host", b"h")], 0)
            job = httpio.Job(head, lambda _: None, test_pools.ID_FIELD)
            pool.send(job)
            await asyncio.sleep(0.3)
            job.abort()
        left = await freed.traced_bytes() - before
        assert left < LEFT_BYTES
        assert not memory.held_bytes
        pool.close()

    with freed.without_collector():
        asyncio.run(run())


def test_pool_that_closes_reports_no_part_of_a_response_as_whole() -> None:
    """A response without a length ends with its connection, if cleanly."""

    async def run() -> None:
        server = test_pools.Server(test_pools.Script((HEAD + b"\r\npart",)))
        await server.open()
        pool = test_pools._pool(server.port)
        sent = asyncio.ensure_future(test_pools._send(pool))
        await asyncio.sleep(0.2)
        pool.close()
        assert await sent is httpio.Failure.CUT_SHORT

    asyncio.run(run())
