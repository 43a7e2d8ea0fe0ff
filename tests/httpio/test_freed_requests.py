"""The body of a request is freed as its client leaves, while it runs."""

from __future__ import annotations

import asyncio

from sassafrasstair import clocks
from sassafrasstair import httpio
from tests.httpio import freed
from tests.httpio import test_listeners

SIZE = 4_000_000
LEFT_BYTES = 500_000
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % SIZE


def test_upload_whose_client_leaves_is_freed_without_the_collector() -> None:
    """What the handler does then referred to the request, and back."""

    async def run() -> None:
        memory = httpio.MemoryBudget(10 * SIZE)
        left: list[httpio.Exchange] = []

        def handle(exchange: httpio.Exchange) -> None:
            exchange.gone = lambda: left.append(exchange)

        listener = httpio.Listener(
            handle, lambda _: [], clocks.SystemClock(), memory
        )
        await listener.open(test_listeners.HOST, 0)
        assert listener._server is not None
        port = listener._server.sockets[0].getsockname()[1]
        before = await freed.traced_bytes()
        for _ in range(3):
            _, writer = await asyncio.open_connection(
                test_listeners.HOST, port
            )
            writer.write(HEAD + bytes(SIZE))
            await writer.drain()
            await asyncio.sleep(0.2)
            assert memory.held_bytes == SIZE
            writer.transport.abort()
            await asyncio.sleep(0.1)
            assert len(left) == 1
            left.clear()
        assert await freed.traced_bytes() - before < LEFT_BYTES
        assert not memory.held_bytes

    with freed.without_collector():
        asyncio.run(run())
