"""What a listener does with what clients send."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from sassafrasstair import clocks
from sassafrasstair import httpio

HOST = "127.0.0.1"
LIMITS = httpio.Limits(
    head_bytes=400,
    body_bytes=100,
    head_seconds=0.2,
    body_seconds=0.2,
    idle_seconds=0.3,
)
GET = b"GET /a%20b/?q=1 HTTP/1.1\r\nHost: h\r\n"


@dataclasses.dataclass
class Served:
    """A listener on a free port and the requests that it took."""

    listener: httpio.Listener
    port: int
    requests: list[httpio.Request]


async def _serve() -> Served:
    requests: list[httpio.Request] = []

    def handle(exchange: httpio.Exchange) -> None:
        requests.append(exchange.request)
        exchange.respond(200, [(b"X-Of", exchange.request.target)], b"ok")

    listener = httpio.Listener(
        handle,
        lambda status: [],
        clocks.SystemClock(),
        httpio.MemoryBudget(1000),
    )
    listener.limits = LIMITS
    await listener.open(HOST, 0)
    assert listener._server is not None
    port = listener._server.sockets[0].getsockname()[1]
    return Served(listener, port, requests)


async def _talk(served: Served, *pieces: bytes, pause: float = 0.0) -> bytes:
    """Send the pieces and return all that comes until the end."""
    reader, writer = await asyncio.open_connection(HOST, served.port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause)
    if pause:
        served.listener.sweep(clocks.SystemClock().monotonic())
    answer = b""
    while data := await asyncio.wait_for(reader.read(4096), 5.0):
        answer += data
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
            id="two lengths",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            id="length and chunks",
        ),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            400,
            id="two hosts",
        ),
        pytest.param(
            b"GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400, id="space in name"
        ),
        pytest.param(b"\x16\x03\x01\r\n\r\n", 400, id="no request"),
        pytest.param(
            b"GET / HTTP/1.1\r\nX: " + b"x" * 500, 431, id="large head"
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
            413,
            id="large body told",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n65\r\n" + b"x" * 101 + b"\r\n",
            413,
            id="large body in chunks",
        ),
    ],
)
def test_bad_request_gets_status_and_close(sent: bytes, status: int) -> None:
    async def run() -> None:
        served = await _serve()
        answer = await _talk(served, sent)
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        assert not served.requests

    asyncio.run(run())


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"GET / HT", id="head"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
            id="body",
        ),
    ],
)
def test_request_that_stops_midway_ends_with_408(sent: bytes) -> None:
    async def run() -> None:
        served = await _serve()
        answer = await _talk(served, sent, pause=0.3)
        assert answer.startswith(b"HTTP/1.1 408 ")
        assert served.listener.memory.held_bytes == 0

    asyncio.run(run())


def test_idle_connection_is_closed_after_the_limit() -> None:
    async def run() -> None:
        served = await _serve()
        answer = await _talk(served, GET + b"\r\n", pause=0.5)
        assert answer.startswith(b"HTTP/1.1 200 ")

    asyncio.run(run())


@pytest.mark.parametrize(
    ("sent", "closes"),
    [
        pytest.param(GET + b"Connection: close\r\n\r\n", True, id="close"),
        pytest.param(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n", True, id="1.0"),
    ],
)
def test_connection_ends_with_its_last_request(
    sent: bytes, closes: bool
) -> None:
    async def run() -> None:
        served = await _serve()
        answer = await _talk(served, sent)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert (b"Connection: close" in answer) is closes

    asyncio.run(run())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def run() -> None:
        served = await _serve()
        first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        answer = await _talk(served, first + last)
        assert answer.index(b"X-Of: /1") < answer.index(b"X-Of: /2")

    asyncio.run(run())


def test_target_and_fields_are_kept_to_the_byte() -> None:
    async def run() -> None:
        served = await _serve()
        await _talk(served, GET + b"X-Odd:  a b \r\nConnection: close\r\n\r\n")
        (request,) = served.requests
        assert request.target == b"/a%20b/?q=1"
        fields = [(name, value.strip()) for _, name, value in request.fields]
        assert (b"X-Odd", b"a b") in fields

    asyncio.run(run())


def test_body_in_chunks_is_whole() -> None:
    async def run() -> None:
        served = await _serve()
        await _talk(
            served,
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n",
            b"2\r\nde\r\n0\r\n\r\n",
        )
        assert served.requests[0].body == b"abcde"
        assert served.listener.memory.held_bytes == 0

    asyncio.run(run())


def test_expecting_client_is_told_to_go_on() -> None:
    async def run() -> None:
        served = await _serve()
        answer = await _talk(
            served,
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\nConnection: close\r\n\r\n",
            b"ab",
        )
        assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")

    asyncio.run(run())


@pytest.mark.parametrize("last", [b"", b"Connection: close\r\n"])
def test_answer_that_nobody_reads_is_given_up(last: bytes) -> None:
    """A client asks for a long answer and stops reading.

    The answer stayed in memory for as long as the client stayed; a hundred
    such clients and the daemon was killed for its memory.
    """

    async def test() -> None:
        served = await _serve()
        served.listener.handle = lambda exchange: exchange.respond(
            200, [], b"x" * 20_000_000
        )
        _, writer = await asyncio.open_connection(HOST, served.port, limit=1)
        writer.write(GET + last + b"\r\n")
        while not served.listener.connections:
            await asyncio.sleep(0.01)
        (connection,) = served.listener.connections
        await asyncio.sleep(0.05)
        while connection._transport.get_write_buffer_size():
            await asyncio.sleep(0.05)
            served.listener.sweep(clocks.SystemClock().monotonic())
        while served.listener.connections:
            await asyncio.sleep(0.01)
        writer.close()

    asyncio.run(asyncio.wait_for(test(), 5.0))


def test_client_that_reads_slowly_gets_its_whole_answer() -> None:
    async def test() -> None:
        served = await _serve()
        body = b"x" * 20_000_000
        served.listener.handle = lambda exchange: exchange.respond(
            200, [], body
        )
        reader, writer = await asyncio.open_connection(HOST, served.port)
        writer.write(GET + b"Connection: close\r\n\r\n")
        got = 0
        while data := await reader.read(1_000_000):
            got += len(data)
            await asyncio.sleep(0.03)
            served.listener.sweep(clocks.SystemClock().monotonic())
        assert got > len(body)
        writer.close()

    asyncio.run(asyncio.wait_for(test(), 20.0))


def test_client_that_leaves_is_noticed_once() -> None:
    """The client closes while its request is under way.

    Without the note the work for it would go on at the instance.
    """

    async def run() -> None:
        left = []
        taken = asyncio.Event()

        def handle(exchange: httpio.Exchange) -> None:
            exchange.gone = lambda: left.append(1)
            taken.set()

        listener = httpio.Listener(
            handle, lambda _: [], clocks.SystemClock(), httpio.MemoryBudget(10)
        )
        await listener.open(HOST, 0)
        assert listener._server is not None
        port = listener._server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(GET + b"\r\n")
        await taken.wait()
        writer.close()
        while listener.connections:
            await asyncio.sleep(0.01)
        assert left == [1]

    asyncio.run(run())
