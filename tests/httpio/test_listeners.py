"""How a listener handles client requests, valid and invalid."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import typing

import pytest
import uvloop

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
class Server:
    """A listener on a free port, and the requests that it received."""

    listener: httpio.Listener
    port: int
    requests: list[httpio.Request]


async def _start_server() -> Server:
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
    return Server(listener, port, requests)


async def _send(
    server: Server, *pieces: bytes, pause_seconds: float = 0.0
) -> bytes:
    """Send the pieces and return all data received until the end."""
    reader, writer = await asyncio.open_connection(HOST, server.port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(pause_seconds)
    if pause_seconds:
        server.listener.sweep(clocks.SystemClock().monotonic())
    response = b""
    while data := await asyncio.wait_for(reader.read(4096), 5.0):
        response += data
    writer.close()
    return response


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
def test_invalid_request_gets_error_status_and_close(
    sent: bytes, status: int
) -> None:
    async def run() -> None:
        server = await _start_server()
        response = await _send(server, sent)
        assert response.startswith(b"HTTP/1.1 %d " % status)
        assert not server.requests

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
def test_incomplete_request_times_out_with_408(sent: bytes) -> None:
    async def run() -> None:
        server = await _start_server()
        response = await _send(server, sent, pause_seconds=0.3)
        assert response.startswith(b"HTTP/1.1 408 ")
        assert server.listener.memory.held_bytes == 0

    asyncio.run(run())


def test_idle_connection_is_closed_after_the_limit() -> None:
    async def run() -> None:
        server = await _start_server()
        response = await _send(server, GET + b"\r\n", pause_seconds=0.5)
        assert response.startswith(b"HTTP/1.1 200 ")

    asyncio.run(run())


@pytest.mark.parametrize(
    ("sent", "closes"),
    [
        pytest.param(GET + b"Connection: close\r\n\r\n", True, id="close"),
        pytest.param(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n", True, id="1.0"),
    ],
)
def test_connection_closes_if_request_is_not_keep_alive(
    sent: bytes, closes: bool
) -> None:
    async def run() -> None:
        server = await _start_server()
        response = await _send(server, sent)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert (b"Connection: close" in response) is closes

    asyncio.run(run())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def run() -> None:
        server = await _start_server()
        first = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
        last = b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        response = await _send(server, first + last)
        assert response.index(b"X-Of: /1") < response.index(b"X-Of: /2")

    asyncio.run(run())


def test_target_and_fields_are_kept_byte_for_byte() -> None:
    async def run() -> None:
        server = await _start_server()
        await _send(server, GET + b"X-Odd:  a b \r\nConnection: close\r\n\r\n")
        (request,) = server.requests
        assert request.target == b"/a%20b/?q=1"
        fields = [(name, value) for _, name, value in request.fields]
        assert (b"X-Odd", b"a b") in fields

    asyncio.run(run())


def test_white_space_around_a_value_is_no_part_of_it() -> None:
    """Such a host has no route, such a key is unknown."""

    async def run() -> None:
        server = await _start_server()
        head = b"GET / HTTP/1.1\r\nHost:h \r\nX-Key:\t k\t\r\n"
        await _send(server, head + b"Connection: close \r\n\r\n")
        (request,) = server.requests
        assert request.headers[b"host"] == b"h"
        assert request.headers[b"x-key"] == b"k"

    asyncio.run(run())


def test_chunked_body_is_reassembled() -> None:
    async def run() -> None:
        server = await _start_server()
        await _send(
            server,
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n3\r\nabc\r\n",
            b"2\r\nde\r\n0\r\n\r\n",
        )
        assert server.requests[0].body == b"abcde"
        assert server.listener.memory.held_bytes == 0

    asyncio.run(run())


def test_expect_100_continue_gets_a_100_response() -> None:
    async def run() -> None:
        server = await _start_server()
        response = await _send(
            server,
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\nConnection: close\r\n\r\n",
            b"ab",
        )
        assert response.startswith(
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"
        )

    asyncio.run(run())


@pytest.mark.parametrize("last", [b"", b"Connection: close\r\n"])
def test_connection_is_aborted_if_client_stops_reading(last: bytes) -> None:
    """A client requests a long response and stops reading it.

    Without a limit the response would stay in memory until the client
    disconnects. A hundred such clients would make the daemon exceed its
    memory limit and be killed.
    """

    async def test() -> None:
        server = await _start_server()
        server.listener.handle = lambda exchange: exchange.respond(
            200, [], b"x" * 20_000_000
        )
        _, writer = await asyncio.open_connection(HOST, server.port, limit=1)
        writer.write(GET + last + b"\r\n")
        while not server.listener.connections:
            await asyncio.sleep(0.01)
        (connection,) = server.listener.connections
        await asyncio.sleep(0.05)
        while connection._transport.get_write_buffer_size():
            await asyncio.sleep(0.05)
            server.listener.sweep(clocks.SystemClock().monotonic())
        while server.listener.connections:
            await asyncio.sleep(0.01)
        writer.close()

    asyncio.run(asyncio.wait_for(test(), 5.0))


def test_client_that_reads_slowly_gets_the_whole_response() -> None:
    async def test() -> None:
        server = await _start_server()
        body = b"x" * 20_000_000
        server.listener.handle = lambda exchange: exchange.respond(
            200, [], body
        )
        reader, writer = await asyncio.open_connection(HOST, server.port)
        writer.write(GET + b"Connection: close\r\n\r\n")
        received_bytes = 0
        while data := await reader.read(1_000_000):
            received_bytes += len(data)
            await asyncio.sleep(0.03)
            server.listener.sweep(clocks.SystemClock().monotonic())
        assert received_bytes > len(body)
        writer.close()

    asyncio.run(asyncio.wait_for(test(), 20.0))


def test_disconnect_of_a_client_is_reported_once() -> None:
    """The client disconnects while its request is handled.

    If that were not reported, the instance would go on with the request.
    """

    async def run() -> None:
        left = []
        received = asyncio.Event()

        def handle(exchange: httpio.Exchange) -> None:
            exchange.gone = lambda: left.append(1)
            received.set()

        listener = httpio.Listener(
            handle, lambda _: [], clocks.SystemClock(), httpio.MemoryBudget(10)
        )
        await listener.open(HOST, 0)
        assert listener._server is not None
        port = listener._server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(GET + b"\r\n")
        await received.wait()
        writer.close()
        while listener.connections:
            await asyncio.sleep(0.01)
        assert left == [1]

    asyncio.run(run())


def test_refusal_of_a_half_read_body_reaches_a_client_that_sends_on() -> None:
    """The kernel resets a connection that is closed with unread data."""

    async def test() -> None:
        server = await _start_server()
        reader, writer = await asyncio.open_connection(HOST, server.port)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"
        writer.write(head)
        for _ in range(4):
            await asyncio.sleep(0.05)
            writer.write(b"x" * 20)
        answer = await asyncio.wait_for(reader.read(), 1.0)
        assert answer.startswith(b"HTTP/1.1 413 ")
        writer.close()
        await writer.wait_closed()

    asyncio.run(test())


@pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_connections_that_wait_to_be_accepted_are_not_reset(
    new_loop: typing.Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """A request had been sent when its daemon stopped accepting."""

    async def test() -> None:
        server = await _start_server()
        clients = [
            socket.create_connection((HOST, server.port)) for _ in range(20)
        ]
        for client in clients:
            client.sendall(GET + b"\r\n")
        server.listener.stop_accepting()
        loop = asyncio.get_running_loop()
        for client in clients:
            client.setblocking(False)
            assert (await loop.sock_recv(client, 99)).startswith(
                b"HTTP/1.1 200"
            )
            client.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((HOST, server.port))

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(test())
