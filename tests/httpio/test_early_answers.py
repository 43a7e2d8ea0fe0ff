"""Tests of servers that answer before they have read the whole body."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from sassafrasstair import clocks
from sassafrasstair import httpio
from sassafrasstair.httpio import _responses
from tests.httpio import freed

HOST = "127.0.0.1"
BODY = bytes(range(256)) * 32 * 1024
"""More than the buffers of both sockets hold."""
ANSWER = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT = 5.0
LEFT_BYTES = 500_000


class Server:
    """Answers each request once its head has come, and reads on later."""

    def __init__(self, failures: bool) -> None:
        self.streams: list[bytearray] = []
        self.read_on = asyncio.Event()
        self.port = 0
        self._failures = failures

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = bytearray()
        self.streams.append(stream)
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            stream += head
            number = head.split(b"x-id: ")[1].split(b"\r\n")[0]
            whole = ANSWER % number
            if self._failures:
                whole = whole.replace(b"200 OK", b"413 Too Large")
            writer.write(whole)
            await self.read_on.wait()
            size = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            while size:
                piece = await reader.read(min(size, 65536))
                if not piece:
                    return
                size -= len(piece)
                stream += piece


def _request(number: int, body: bytes) -> bytes:
    fields = [(b"host", b"h"), (b"x-id", b"%d" % number)]
    head = httpio.request_head(b"POST", b"/", fields, len(body))
    return head.replace(b"Content-Length", b"content-length") + body


async def _send(pool: httpio.Pool, number: int, data: bytes) -> bool:
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[httpio.Response | httpio.Failure] = (
        loop.create_future()
    )
    pool.send(httpio.Job(data, ended.set_result, (b"x-id", b"%d" % number)))
    result = await asyncio.wait_for(ended, TIMEOUT)
    return isinstance(result, httpio.Response) and result.body == b"ok"


@pytest.mark.parametrize("failures", [False, True])
@pytest.mark.parametrize("late", [False, True])
def test_rest_of_the_body_follows_an_early_answer(
    late: bool, failures: bool
) -> None:
    """The server would take the next request for the rest of the body.

    It reads on before the next request is sent, or only after that.
    """

    async def test() -> None:
        server = Server(failures)
        await server.open()
        pool = httpio.Pool(HOST, server.port, clocks.SystemClock(), 30.0)
        requests = [_request(1, BODY), _request(2, b"short"), _request(3, b"")]
        assert await _send(pool, 1, requests[0])
        rest = asyncio.gather(
            *(_send(pool, number, requests[number - 1]) for number in (2, 3))
        )
        if late:
            await asyncio.sleep(0.2)
        server.read_on.set()
        assert await rest == [True, True]
        await asyncio.sleep(0.3)
        for stream in server.streams:
            assert _is_made_of(bytes(stream), requests)
        assert any(BODY in stream for stream in server.streams)
        pool.close()

    asyncio.run(test())


@pytest.mark.parametrize("failures", [False, True])
def test_rest_of_a_body_that_nobody_takes_counts_and_ends(
    failures: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It stayed in memory for as long as the server kept the connection."""
    monkeypatch.setattr(_responses, "REST_SECONDS", 0.5)

    async def test() -> None:
        server = Server(failures)
        await server.open()
        clock = clocks.SystemClock()
        pool = httpio.Pool(HOST, server.port, clock, 30.0)
        before = await freed.traced_bytes()
        assert await _send(pool, 1, _request(1, BODY))
        pool.sweep(clock.monotonic())
        held_bytes = pool.memory.held_bytes
        assert 0 < held_bytes < len(BODY)
        await asyncio.sleep(0.3)
        pool.sweep(clock.monotonic())
        assert 0 < pool.memory.held_bytes <= held_bytes
        for _ in range(10):
            await asyncio.sleep(0.1)
            pool.sweep(clock.monotonic())
        assert await freed.traced_bytes() - before < LEFT_BYTES
        assert pool.memory.held_bytes == 0

    with freed.without_collector():
        uvloop.run(test())


def _is_made_of(stream: bytes, requests: list[bytes]) -> bool:
    """Return whether a stream is a sequence of whole requests."""
    while stream:
        first = next((one for one in requests if stream.startswith(one)), b"")
        if not first:
            return False
        stream = stream[len(first) :]
    return True
