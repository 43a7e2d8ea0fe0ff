"""How a pool handles responses, including those of a faulty server."""

from __future__ import annotations

import asyncio
import dataclasses
import socket
import struct
import threading
import time

import pytest

from sassafrasstair import clocks
from sassafrasstair import httpio

HOST = "127.0.0.1"
ID_FIELD = (b"x-id", b"now")
OK = b"HTTP/1.1 200 OK\r\nX-Id: now\r\nContent-Length: 2\r\n\r\nok"
LATE_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: now\r\n\r\nok"


@dataclasses.dataclass
class Script:
    """The server's response to each request, and how it disconnects.

    ``afterwards`` is sent some time after the first response.
    """

    responses: tuple[bytes, ...]
    afterwards: bytes = b""
    closes: bool = False
    resets: bool = False


class Server:
    """A server that follows a script and counts its connections."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.port = 0

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        for answer in self.script.responses:
            if not await reader.readuntil(b"\r\n\r\n"):
                return
            writer.write(answer)
            await writer.drain()
            if self.script.afterwards and self.connections == 1:
                await asyncio.sleep(0.05)
                writer.write(self.script.afterwards)
        if self.script.resets:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            # A reset drops unread data, so let the client read first.
            await asyncio.sleep(0.05)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        elif self.script.closes:
            writer.close()


async def _send(
    pool: httpio.Pool, expect: tuple[bytes, bytes] | None = ID_FIELD
) -> httpio.Response | httpio.Failure:
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[httpio.Response | httpio.Failure] = (
        loop.create_future()
    )
    head = httpio.request_head(b"GET", b"/", [(b"Host", b"h")], 0)
    pool.send(httpio.Job(head, answer.set_result, expect))
    return await asyncio.wait_for(answer, 5.0)


def _pool(port: int, idle: float = 30.0) -> httpio.Pool:
    return httpio.Pool(HOST, port, clocks.SystemClock(), idle)


@pytest.mark.parametrize(
    ("script", "wanted"),
    [
        pytest.param(Script((OK,)), b"ok", id="whole"),
        pytest.param(
            Script((LATE_RESPONSE + OK,)), b"ok", id="late one first"
        ),
        pytest.param(
            Script((OK.replace(b"now", b" now\t "),)),
            b"ok",
            id="white space around the id",
        ),
        pytest.param(Script((OK + OK,)), b"ok", id="extra answer"),
        pytest.param(Script((OK + b"\x00junk",)), b"ok", id="extra bytes"),
        pytest.param(
            Script((WITHOUT_LENGTH,), closes=True), b"ok", id="no length"
        ),
        pytest.param(
            Script((b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK,)),
            b"ok",
            id="interim answer",
        ),
        pytest.param(
            Script((WITHOUT_LENGTH,), resets=True),
            httpio.Failure.CUT_SHORT,
            id="no length and a reset",
        ),
        pytest.param(
            Script((OK[:-1],), closes=True),
            httpio.Failure.CUT_SHORT,
            id="body cut short",
        ),
        pytest.param(
            Script((b"\x00\x01garbage\r\n\r\n",)),
            httpio.Failure.GARBLED,
            id="no answer at all",
        ),
        pytest.param(
            Script((b"",), closes=True), httpio.Failure.LOST, id="closed"
        ),
        pytest.param(
            Script((LATE_RESPONSE,), closes=True),
            httpio.Failure.LOST,
            id="only a late one",
        ),
    ],
)
def test_result_is_the_whole_response_to_this_request(
    script: Script, wanted: bytes | httpio.Failure
) -> None:
    async def run() -> None:
        server = Server(script)
        await server.open()
        result = await _send(_pool(server.port))
        if isinstance(result, httpio.Response):
            assert result.body == wanted
        else:
            assert result is wanted

    asyncio.run(run())


@pytest.mark.parametrize(
    ("answer", "connections"),
    [
        pytest.param(OK, 1, id="kept"),
        pytest.param(OK + OK, 2, id="dirty after an extra answer"),
        pytest.param(
            OK.replace(b"X-Id", b"Connection: close\r\nX-Id"),
            2,
            id="closed",
        ),
        pytest.param(
            OK.replace(b"X-Id", b"Keep-Alive: timeout=1\r\nX-Id"),
            2,
            id="kept for less than the margin",
        ),
    ],
)
def test_connection_is_reused_only_if_still_usable(
    answer: bytes, connections: int
) -> None:
    async def run() -> None:
        server = Server(Script((answer, answer)))
        await server.open()
        pool = _pool(server.port)
        await _send(pool)
        second = await _send(pool)
        assert isinstance(second, httpio.Response)
        assert server.connections == connections

    asyncio.run(run())


@pytest.mark.parametrize("resets", [False, True])
def test_connection_that_closed_while_the_loop_was_busy_is_not_used(
    resets: bool,
) -> None:
    """Its end had arrived, but the request was written before it was read.

    Such a request has not run, but its outcome was taken for unknown.
    """
    may_close, closed = threading.Event(), threading.Event()
    listener = socket.create_server((HOST, 0))

    def serve() -> None:
        first, _ = listener.accept()
        first.recv(4096)
        first.sendall(OK)
        may_close.wait(5.0)
        if resets:
            linger = struct.pack("ii", 1, 0)
            first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        first.close()
        closed.set()
        second, _ = listener.accept()
        second.recv(4096)
        second.sendall(OK)
        second.close()

    async def test() -> None:
        pool = _pool(listener.getsockname()[1])
        assert isinstance(await _send(pool), httpio.Response)
        may_close.set()
        assert closed.wait(5.0)
        time.sleep(0.05)
        assert isinstance(await _send(pool), httpio.Response)

    server = threading.Thread(target=serve, daemon=True)
    server.start()
    asyncio.run(test())
    listener.close()


@pytest.mark.parametrize(
    "afterwards",
    [
        pytest.param(OK, id="an answer"),
        pytest.param(OK[:-1], id="a part of one"),
        pytest.param(b"\x00", id="junk"),
    ],
)
def test_connection_with_data_that_nobody_waits_for_is_not_reused(
    afterwards: bytes,
) -> None:
    """The next request would get that data, or an answer that is cut."""

    async def run() -> None:
        server = Server(Script((OK, OK), afterwards))
        await server.open()
        pool = _pool(server.port)
        await _send(pool)
        await asyncio.sleep(0.2)
        second = await _send(pool)
        assert isinstance(second, httpio.Response)
        assert (second.body, server.connections) == (b"ok", 2)

    asyncio.run(run())


def test_refused_connection_fails_as_not_sent() -> None:
    async def run() -> None:
        with socket.socket() as free:
            free.bind((HOST, 0))
            port = free.getsockname()[1]
        assert await _send(_pool(port)) is httpio.Failure.NOT_SENT

    asyncio.run(run())


def test_connection_that_closes_before_its_first_request_is_not_sent() -> None:
    """The server resets a new connection before the request is written.

    The request would wait for a response until its deadline.
    """

    async def test() -> None:
        server = Server(Script(()))
        await server.open()
        pool = _pool(server.port)
        opened = pool._open

        async def open_and_lose() -> object:
            connection = await opened()
            assert connection is not None
            connection.abort()
            await asyncio.sleep(0.05)
            return connection

        pool._open = open_and_lose  # type: ignore[method-assign, assignment]
        assert await _send(pool) is httpio.Failure.NOT_SENT

    asyncio.run(test())


def test_closing_a_pool_ends_requests_that_are_being_connected() -> None:
    """A caller that got no result would wait until its deadline."""

    async def test() -> None:
        pool = _pool(1)
        connecting = asyncio.Event()

        async def never() -> None:
            connecting.set()
            await asyncio.sleep(60.0)

        pool._open = never  # type: ignore[method-assign]
        sent = asyncio.ensure_future(_send(pool))
        reached: list[bool] = []
        pool.try_connect(reached.append)
        await connecting.wait()
        pool.close()
        assert await sent is httpio.Failure.NOT_SENT
        assert reached == [False]

    asyncio.run(test())


@pytest.mark.parametrize("seconds", [0.42, 0.6, 1.5])
def test_stall_of_the_own_process_fails_no_connection(seconds: float) -> None:
    """A connection established during a stall counted as not established."""

    async def test() -> None:
        server = Server(Script((OK,)))
        await server.open()
        pool = httpio.Pool(HOST, server.port, clocks.SystemClock(), 30.0)
        loop = asyncio.get_running_loop()
        # Runs after the task that connects has begun.
        loop.call_soon(loop.call_soon, loop.call_soon, time.sleep, seconds)
        answer = await _send(pool)
        assert isinstance(answer, httpio.Response)
        assert server.connections == 1

    asyncio.run(test())


@pytest.mark.parametrize("listens", [True, False])
def test_refused_connection_is_told_from_an_open_one(listens: bool) -> None:
    """A daemon that runs would be taken for one that has ended."""

    async def check() -> None:
        server = Server(Script((OK,)))
        await server.open()
        port = server.port
        if not listens:
            with socket.socket() as unused:
                unused.bind((HOST, 0))
                port = unused.getsockname()[1]
        pool = httpio.Pool(HOST, port, clocks.SystemClock(), 60.0)
        refused: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        pool.check_refused(refused.set_result)
        assert await asyncio.wait_for(refused, 1.0) is not listens
        pool.close()

    asyncio.run(check())
